// Gives requests of silent targets to others. The silent attempt goes on until another target has begun to answer,
// since it may still bring the answer, and the next target may not take the request.
#include "serving/dispatcher.h"

#include <algorithm>

namespace tamarack::serving {

namespace {

    using namespace std::chrono_literals;

    /// Interval at which another target is looked for while an attempt is silent.
    constexpr duration silenceCheckInterval = 100ms;
    /// A begun stream is offered to another target this long before its caller would abandon it, or earlier by a
    /// multiple of the predicted time where that is longer.
    constexpr duration minMoveTime = 400ms;
    constexpr double moveTimeFactor = 3;

}

current_attempt& dispatcher::attemptOf(std::size_t row, attempt_id attempt)
{
    return m_book.silent[row].id == attempt ? m_book.silent[row] : m_book.current[row];
}

target_choice dispatcher::choiceBesideSilent(std::size_t row, instant now)
{
    const auto& request = m_book.request[row];
    if (m_book.silent[row].id.isValid() || !quarantinedTraits(row).empty() || !mayRetry(row, now)
        || !retryLimiterOf(request.service).maySend(m_knownNodes, now))
        return {};
    auto query = needOf(row, now);
    query.avoid = m_book.current[row].target;
    const auto choice = m_placement.chooseFirst(query, now);
    if (!choice.target.isValid() || choice.target == query.avoid)
        return {};
    if (m_stop && now + timeToAnswer(row, choice, now) > m_stop->lastAnswerAt)
        return {};
    // A sound engine may be silent for a while, so it works alone for as long as the caller can wait.
    const auto moveTime = std::max<duration>(minMoveTime, fromSeconds(moveTimeFactor * choice.seconds));
    const auto& progress = m_book.progress[row];
    if (progress.hasStarted && now < progress.lastEventAt + abandonedGap(*request.route) - moveTime)
        return {};
    // An engine whose slots are taken may reject the attempt, and few attempts are allowed.
    const bool hasFreeSlot = m_fleet.running(choice.target) < m_fleet.slots[choice.target.value];
    if (progress.hasStarted && !hasFreeSlot)
        return {};
    const bool isInTime = fromSeconds(choice.seconds) + minUsefulTime <= m_book.times[row].answerDeadline - now;
    return isInTime ? choice : target_choice {};
}

void dispatcher::leaveSilent(std::size_t row, instant now, command_list& out)
{
    auto& current = m_book.current[row];
    const auto choice = choiceBesideSilent(row, now);
    if (!choice.target.isValid()) {
        current.silenceDeadline = now + silenceCheckInterval;
        return;
    }
    m_connections.forget(current.target); // the connection may be the cause of the silence
    // Nothing of an answer is lost with a prefill.
    if (current.stage == attempt_stage::prefill) {
        out.push_back(stop_attempt { m_book.idOf(row), current.id, stop_reason::silent });
        abandonAttempt(row, current, now);
        return handleAttemptResult(row, attempt_result::broken, {}, now, out);
    }
    if (current.detour.empty() || current.hasTargetFailed)
        m_health.recordFailure(current.target, now);
    auto& progress = m_book.progress[row];
    progress.avoid = current.target;
    progress.hasFailed = true;
    m_book.silent[row] = std::exchange(current, {});
    start(row, choice, now, out);
}

// The rest of the answer comes from one target only, so the other one stops.
void dispatcher::goOnWith(std::size_t row, attempt_id attempt, instant now)
{
    auto& silent = m_book.silent[row];
    if (!silent.id.isValid())
        return;
    auto reason = stop_reason::silent;
    if (silent.id == attempt) {
        std::swap(silent, m_book.current[row]);
        reason = stop_reason::overtaken;
    } else if (auto& cache = m_book.progress[row].cache; !cache.name.empty()) {
        m_delayed.push_back(release_cache { std::exchange(cache, {}) });
    }
    m_book.progress[row].mayHaveRun |= silent.stage != attempt_stage::prefill;
    m_delayed.push_back(stop_attempt { m_book.idOf(row), silent.id, reason });
    abandonAttempt(row, silent, now);
    releaseAttempt(silent);
}

bool dispatcher::returnToSilent(std::size_t row, instant now)
{
    auto& silent = m_book.silent[row];
    if (!silent.id.isValid())
        return false;
    m_book.current[row] = std::exchange(silent, {});
    m_book.current[row].silenceDeadline = now + silenceCheckInterval;
    m_book.phase[row] = request_phase::running;
    return true;
}

void dispatcher::silentEnded(std::size_t row, attempt_result result, instant now)
{
    auto& silent = m_book.silent[row];
    if (result == attempt_result::rejected)
        m_health.recordRejection(silent.target, now);
    const bool hasNotRun = result == attempt_result::rejected || result == attempt_result::misdirected
        || result == attempt_result::unreached || result == attempt_result::not_passed_on;
    m_book.progress[row].mayHaveRun |= !hasNotRun;
    releaseAttempt(silent);
}

}
