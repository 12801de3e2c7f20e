// Decides what a stopping node still takes, and ends what it holds at its exit.
#include "serving/dispatcher.h"

#include <algorithm>

namespace tamarack::serving {

namespace {

    using namespace std::chrono_literals;

    /// Passing the last bytes on, beyond the time that the target takes.
    constexpr duration deliveryTime = 100ms;
    /// From the exit of a process to the time at which its successor takes calls.
    constexpr duration restartTime = 1s;
    /// A target may be silent so often in an answer, each time for as long as callers wait, before the exit cuts it.
    constexpr int allowedPauses = 2;

}

void dispatcher::recordAnswerTime(std::size_t row, instant now)
{
    const auto& request = m_book.request[row];
    const auto& current = m_book.current[row];
    // A stream that is taken up or goes on is a part of an answer, and a caller that reads slowly prolongs one.
    if (!current.hasStartedAnswering || current.wasPaused || request.takesUpStream)
        return;
    const auto outputTokens = request.text ? request.text->outputTokens : 0;
    const auto fromBegin = now - current.answeringSince;
    const auto& route = request.route->name;
    m_answerTimes.record(route, attempt_stage::whole,
        { current.answeringSince - m_book.progress[row].workBeganAt, fromBegin, outputTokens }, now);
    if (current.stage == attempt_stage::decode)
        m_answerTimes.record(
            route, current.stage, { current.answeringSince - current.sentAt, fromBegin, outputTokens }, now);
}

// A route whose answers this node does not know may need all the time that the request has.
duration dispatcher::timeToAnswer(std::size_t row, const target_choice& choice, instant now) const
{
    const auto& request = m_book.request[row];
    const duration left = m_book.times[row].answerDeadline - now;
    const auto allowed = m_answerTimes.allowance(request.route->name, choice.stage, now);
    if (!allowed)
        return left;
    auto toBegin = std::max(allowed->toBegin, fromSeconds(choice.seconds));
    if (choice.stage == attempt_stage::prefill) {
        // The prediction ends with the prefill.
        const auto decode = m_answerTimes.allowance(request.route->name, attempt_stage::decode, now);
        if (!decode)
            return left;
        toBegin = std::max(allowed->toBegin, fromSeconds(choice.seconds) + decode->toBegin);
    }
    return std::min(left, toBegin + *timeFromBegin(row, choice, now) + deliveryTime);
}

std::optional<duration> dispatcher::timeFromBegin(std::size_t row, const target_choice& choice, instant now) const
{
    const auto& request = m_book.request[row];
    const auto allowed = m_answerTimes.allowance(request.route->name, choice.stage, now);
    if (!allowed)
        return std::nullopt;
    auto out = seconds(allowed->fromBegin);
    if (request.text && allowed->outputTokens > 0)
        out *= std::max(
            1.0, static_cast<double>(request.text->outputTokens) / static_cast<double>(allowed->outputTokens));
    if (request.text && choice.target.isValid())
        out *= std::max(1.0, m_pace.slowness(choice.target, now));
    return fromSeconds(out);
}

bool dispatcher::mayBeginAnswer(request_id request, instant now) const
{
    const auto held = m_book.row(request);
    if (!m_stop || held < 0)
        return true;
    const auto row = static_cast<std::size_t>(held);
    const auto& current = m_book.current[row];
    target_choice choice;
    choice.target = current.target;
    choice.stage = current.stage;
    duration needed = m_book.times[row].answerDeadline - now;
    if (const auto rest = timeFromBegin(row, choice, now))
        needed = std::min<duration>(
            needed, *rest + allowedPauses * abandonedGap(*m_book.request[row].route) + deliveryTime);
    return m_book.progress[row].hasStarted || now + needed <= m_stop->lastAnswerAt;
}

bool dispatcher::refuseIfStopping(std::size_t row, duration needed, instant now, command_list& out)
{
    if (!m_stop || now + needed <= m_stop->lastAnswerAt)
        return false;
    // The caller of a stream that has begun may go on with it elsewhere, the sooner the better.
    if (m_book.progress[row].hasStarted)
        refuse(row, error_kind::answer_cut, duration::zero(), out);
    else
        refuse(row, error_kind::stopping, returnDelayAtStop(now), out);
    return true;
}

bool dispatcher::refuseIfStoppingBeforeStart(std::size_t row, instant now, command_list& out)
{
    if (!m_stop)
        return false;
    return refuseIfStopping(row, timeToAnswer(row, nextChoice(row), now), now, out);
}

bool dispatcher::refuseIfStoppingAfterWait(std::size_t row, instant now, command_list& out)
{
    if (!m_stop)
        return false;
    const auto& request = m_book.request[row];
    const auto wait = m_admission.predictedWait(request.service, request.priority, positionOf(row, now), now);
    return wait && refuseIfStopping(row, *wait + timeToAnswer(row, nextChoice(row), now), now, out);
}

target_choice dispatcher::nextChoice(std::size_t row) const
{
    target_choice out;
    if (!m_book.progress[row].cache.name.empty())
        out.stage = attempt_stage::decode;
    return out;
}

duration dispatcher::returnDelayAtStop(instant now)
{
    if (m_othersTakeCalls)
        return retryDelay(0, now);
    auto exitAt = m_stop->earliestExitAt;
    for (std::size_t row = 0; row < m_book.rows(); ++row) {
        if (m_book.current[row].id.isValid())
            exitAt = std::max(exitAt, m_book.times[row].answerDeadline);
    }
    exitAt = std::max(now, std::min(exitAt, m_stop->lastAnswerAt));
    return exitAt - now + restartTime + retryDelay(0, now);
}

void dispatcher::endAll(instant now, command_list& out)
{
    for (std::size_t row = 0; row < m_book.rows(); ++row) {
        if (m_book.phase[row] == request_phase::free)
            continue;
        const bool isRepeatable = m_book.request[row].route->isRepeatable;
        abandonAttempts(row, now);
        if (m_book.progress[row].hasStarted)
            refuse(row, error_kind::answer_cut, duration::zero(), out);
        else if (hasRunOrMayRun(row))
            refuse(row, isRepeatable ? error_kind::attempt_timeout : error_kind::outcome_unknown,
                isRepeatable ? returnDelayAtStop(now) : duration::zero(), out);
        else
            refuse(row, error_kind::stopping, returnDelayAtStop(now), out);
    }
}

}
