// Handles the results of attempts: completion, retry or failure of their requests.
#include "serving/dispatcher.h"

#include "base/contract.h"

#include <algorithm>
#include <utility>

namespace tamarack::serving {

void dispatcher::releaseAttempt(current_attempt& attempt)
{
    if (!attempt.id.isValid())
        return;
    if (attempt.isPrefilling)
        m_queues.cancel(attempt.target, attempt.prefillKey);
    m_fleet.removeRunning(attempt.target);
    if (!attempt.detour.empty())
        m_paths.detourEnded(attempt.detour);
    attempt = {};
}

void dispatcher::releaseCurrent(std::size_t row)
{
    releaseAttempt(m_book.current[row]);
    m_book.phase[row] = request_phase::waiting;
}

void dispatcher::abandonAttempt(std::size_t row, const current_attempt& attempt, instant now)
{
    if (!attempt.id.isValid())
        return;
    countTrial(row);
    const auto instance = m_fleet.instanceHash[attempt.target.value];
    forSuspects(row, attempt, [&](const request_trait& trait, const attempt_evidence& evidence) {
        m_abandoned.add(trait, evidence, instance, now);
    });
}

void dispatcher::abandonAttempts(std::size_t row, instant now)
{
    abandonAttempt(row, m_book.current[row], now);
    abandonAttempt(row, m_book.silent[row], now);
}

template <class Function>
void dispatcher::forSuspects(std::size_t row, const current_attempt& attempt, Function function) const
{
    const auto& request = m_book.request[row];
    // A prefill does not run the request.
    if (attempt.stage == attempt_stage::prefill)
        return;
    // What crashes a target in the middle of an answer is the request as a whole, if anything of it.
    function(request.digest, attempt_evidence { request.digest.account, attempt.lastEventAt != instant() });
    if (!request.text || attempt.isProven)
        return;
    for (const auto& part : sharedParts(*request.text))
        function(promptPartTrait(part.id), attempt_evidence { request.digest.account, false });
}

void dispatcher::countTrial(std::size_t row)
{
    if (m_book.progress[row].trialFrom == instant())
        return;
    for (const auto& trait : quarantinedTraits(row))
        m_quarantine.trialSent(trait);
}

void dispatcher::partsBegun(std::size_t row, instant now)
{
    if (!m_book.request[row].text)
        return;
    for (const auto& part : sharedParts(*m_book.request[row].text))
        m_quarantine.begun(promptPartTrait(part.id), now);
}

void dispatcher::partsProvenHarmless(std::size_t row, instant now)
{
    auto& current = m_book.current[row];
    if (std::exchange(current.isProven, true) || !m_book.request[row].text)
        return;
    const auto begunAt = current.firstEventAt == instant() ? now : current.firstEventAt;
    for (const auto& part : sharedParts(*m_book.request[row].text))
        m_quarantine.answered(promptPartTrait(part.id), begunAt, now);
}

void dispatcher::blameAbandoned(target_id target, instant now)
{
    const auto instance = m_fleet.instanceHash[target.value];
    m_abandoned.targetEnded(instance, m_quarantine, now);
}

void dispatcher::releaseCache(std::size_t row, command_list& out)
{
    auto& cache = m_book.progress[row].cache;
    if (m_book.silent[row].id.isValid())
        return; // it may still import the cache
    if (!cache.name.empty())
        out.push_back(release_cache { cache });
    cache = {};
}

void dispatcher::remove(std::size_t row, command_list& out)
{
    releaseAttempt(m_book.current[row]);
    releaseAttempt(m_book.silent[row]);
    releaseCache(row, out);
    m_origins.cancel(m_book.idOf(row));
    m_book.remove(m_book.idOf(row));
}

bool dispatcher::hasRunOrMayRun(std::size_t row) const
{
    const auto isAtTarget = [](const current_attempt& attempt) {
        return attempt.id.isValid() && attempt.stage != attempt_stage::prefill;
    };
    return isAtTarget(m_book.current[row]) || isAtTarget(m_book.silent[row]) || m_book.progress[row].mayHaveRun;
}

void dispatcher::stopAttempts(std::size_t row, stop_reason reason, command_list& out)
{
    for (const auto& attempt : { m_book.current[row].id, m_book.silent[row].id }) {
        if (attempt.isValid())
            out.push_back(stop_attempt { m_book.idOf(row), attempt, reason });
    }
}

void dispatcher::refuse(std::size_t row, error_kind kind, duration retryAfter, command_list& out)
{
    // An error that promises "not run" must be true. Once a target may have worked on the request, nothing is promised.
    if (hasRunOrMayRun(row) && answerFor(kind).executed == ran::no)
        kind = kind == error_kind::harmful_request || kind == error_kind::suspect_request ? error_kind::outcome_unknown
                                                                                          : error_kind::attempt_timeout;
    const request_id id = m_book.idOf(row);
    stopAttempts(row, stop_reason::refused, out);
    const bool isForLimits = m_book.progress[row].isLimited;
    remove(row, out);
    out.push_back(refuse_request { id, kind, retryAfter, isForLimits, false, std::nullopt });
}

void dispatcher::endWithFailure(std::size_t row, error_kind kind, instant now, command_list& out)
{
    if (returnToSilent(row, now))
        return;
    const auto& progress = m_book.progress[row];
    const auto& route = *m_book.request[row].route;
    if (progress.hasStarted)
        return refuse(row, error_kind::answer_cut, duration::zero(), out);
    if (progress.mayHaveRun && !route.isRepeatable)
        kind = error_kind::outcome_unknown;
    // The caller may safely repeat a request that has certainly not run, so the error says so.
    if (!progress.mayHaveRun && answerFor(kind).executed != ran::no)
        kind = error_kind::overloaded;
    const auto retryAfter = answerFor(kind).retryAfter;
    const bool mayReturn = retryAfter > duration::zero();
    refuse(row, kind, mayReturn ? std::max(retryAfter, restDelay(row, now)) : retryAfter, out);
}

bool dispatcher::mayRetry(std::size_t row, instant now)
{
    const auto& progress = m_book.progress[row];
    const auto& request = m_book.request[row];
    if (progress.sends > 0 && progress.sends >= request.route->maxAttempts)
        return false;
    return progress.arrivals == 0 || retryLimiterOf(request.service).maySend(m_knownNodes, now);
}

void dispatcher::wholeAnswerReceived(request_id request, attempt_id attempt, instant now)
{
    if (!isCurrent(request, attempt))
        return;
    const auto row = static_cast<std::size_t>(m_book.row(request));
    goOnWith(row, attempt, now);
    m_quarantine.answered(m_book.request[row].digest, now);
    // A stream without an event may be an answer that the target gave before it ran the request.
    if (!m_book.request[row].route->isStream || m_book.current[row].firstEventAt != instant())
        partsProvenHarmless(row, now);
}

void dispatcher::targetClosedConnection(request_id request, attempt_id attempt, instant now)
{
    if (!isCurrent(request, attempt))
        return;
    const auto row = static_cast<std::size_t>(m_book.row(request));
    auto& held = attemptOf(row, attempt);
    held.isClosedByTarget = true;
    const auto instance = m_fleet.instanceHash[held.target.value];
    forSuspects(row, held, [&](const request_trait& trait, const attempt_evidence& evidence) {
        m_quarantine.targetEnded(trait, instance, now, evidence);
    });
    blameAbandoned(held.target, now);
}

void dispatcher::targetUnreached(request_id request, attempt_id attempt, path_failure failure, instant now)
{
    if (!isCurrent(request, attempt))
        return;
    auto& held = attemptOf(static_cast<std::size_t>(m_book.row(request)), attempt);
    if (held.detour.empty())
        held.hasLostPath = m_paths.failed(held.target, failure, held.sentAt, now);
    else
        m_paths.detourFailed(held.target, held.detour, now);
}

std::vector<target_id> dispatcher::takeLostPaths()
{
    auto out = m_paths.takeLost();
    for (const auto target : out)
        m_connections.forget(target);
    return out;
}

void dispatcher::detourRefused(request_id request, attempt_id attempt, duration pause, instant now)
{
    if (!isCurrent(request, attempt))
        return;
    const auto& held = attemptOf(static_cast<std::size_t>(m_book.row(request)), attempt);
    if (pause > duration::zero())
        m_paths.peerFailed(held.detour, pause, now);
    else
        m_paths.detourFailed(held.target, held.detour, now);
}

void dispatcher::targetBrokeBehindPeer(request_id request, attempt_id attempt)
{
    if (isCurrent(request, attempt))
        attemptOf(static_cast<std::size_t>(m_book.row(request)), attempt).hasTargetFailed = true;
}

void dispatcher::pathChecked(
    const std::string& instance, std::optional<path_failure> failure, instant startedAt, instant now, command_list& out)
{
    const target_id target = m_fleet.find(instance);
    if (!target.isValid())
        return;
    if (failure)
        m_paths.failed(target, *failure, startedAt, now);
    else
        m_paths.reached(target, startedAt);
    dispatch(now, out);
}

// A node that can't connect to a target may have lost its path to a sound one. As long as a peer may reach the target,
// one failure counts here, so that a crashed target is still avoided, and the peers hear nothing of it.
void dispatcher::judgeUnreached(const current_attempt& attempt, instant now)
{
    const bool mayBeReached = m_paths.detourFor(attempt.target, now) != nullptr;
    if (attempt.detour.empty() && mayBeReached) {
        if (attempt.hasLostPath)
            m_health.recordUnreached(attempt.target, now);
        return;
    }
    if (mayBeReached)
        m_health.recordUnreached(attempt.target, now);
    else
        m_health.recordFailure(attempt.target, now);
    blameAbandoned(attempt.target, now);
}

void dispatcher::recordBroken(const current_attempt& attempt, instant now)
{
    if (attempt.isClosedByTarget)
        m_health.recordClosed(attempt.target, now);
    else
        m_health.recordFailure(attempt.target, now);
}

void dispatcher::attemptEnded(request_id request, attempt_id attempt, attempt_result result,
    const std::string& cacheName, instant now, command_list& out)
{
    if (!isCurrent(request, attempt))
        return;
    m_peers.refresh(now);
    const auto row = static_cast<std::size_t>(m_book.row(request));
    if (result == attempt_result::answered)
        goOnWith(row, attempt, now);
    if (m_book.silent[row].id == attempt)
        silentEnded(row, result, now);
    else
        handleAttemptResult(row, result, cacheName, now, out);
    dispatch(now, out); // a slot may have become free
}

void dispatcher::handleAttemptResult(
    std::size_t row, attempt_result result, const std::string& cacheName, instant now, command_list& out)
{
    auto& progress = m_book.progress[row];
    const auto attempt = m_book.current[row];
    const bool isRepeatable = m_book.request[row].route->isRepeatable;
    const bool couldRun = attempt.stage != attempt_stage::prefill;
    const bool isAnswer = result != attempt_result::unreached && result != attempt_result::not_passed_on
        && result != attempt_result::broken && result != attempt_result::cut;
    if (isAnswer && attempt.detour.empty())
        m_paths.reached(attempt.target, attempt.sentAt);
    if (result == attempt_result::answered)
        return succeeded(row, now);
    if (result == attempt_result::prefilled)
        return prefilled(row, cacheName, now, out);
    // A detour may also fail because of its peer.
    const bool isTargetAtFault = attempt.detour.empty() || attempt.hasTargetFailed;
    if (result != attempt_result::not_passed_on)
        progress.avoid = attempt.target;
    progress.hasFailed = true;
    if (result != attempt_result::unreached && result != attempt_result::not_passed_on)
        countTrial(row);
    releaseCurrent(row);
    switch (result) {
    case attempt_result::unreached:
    case attempt_result::not_passed_on:
        if (result == attempt_result::unreached)
            judgeUnreached(attempt, now);
        // The attempt never reached the target. If it was the first prefill of a prompt, the prompt may still be
        // prefilled separately, because prefilling it at an engine that decodes would interrupt about twenty streams.
        if (couldRun) {
            --progress.sends;
            --progress.arrivals;
        } else if (attempt.isFirstPrefill) {
            progress.hasTriedPrefill = false;
        }
        return retryOrEnd(row, false, error_kind::no_target, now, out);
    case attempt_result::rejected:
    case attempt_result::misdirected:
        if (result == attempt_result::rejected)
            m_health.recordRejection(attempt.target, now);
        else
            m_health.recordMisdirection(attempt.target, now);
        if (!couldRun && progress.sends == 0)
            countSend(row, now); // only an accepted prefill is not counted
        releaseCache(row, out); // gone, or kept by an engine whose importer has no room
        return retryOrEnd(row, true, error_kind::overloaded, now, out);
    case attempt_result::failure_answer:
        m_health.recordFailureAnswer(attempt.target, now);
        m_rests.answered(attempt.target, attempt.sentAt);
        progress.mayHaveRun |= couldRun;
        if (returnToSilent(row, now))
            return;
        progress.hasFailureAnswer = true;
        if (isRepeatable && mayRetry(row, now) && tryStart(row, now, out))
            return;
        out.push_back(forward_failure { m_book.idOf(row), attempt.id });
        return remove(row, out);
    case attempt_result::broken:
        if (isTargetAtFault)
            recordBroken(attempt, now);
        progress.mayHaveRun |= couldRun;
        if (attempt.isFirstPrefill)
            countArrival(row, now); // it is unknown whether the prefill was accepted, and only then it is not counted
        releaseCache(row, out);
        if (couldRun && !isRepeatable)
            return endWithFailure(row, error_kind::outcome_unknown, now, out);
        return retryOrEnd(row, true, error_kind::attempt_timeout, now, out);
    case attempt_result::cut:
        if (isTargetAtFault)
            recordBroken(attempt, now);
        progress.mayHaveRun = true;
        releaseCache(row, out);
        // Only events tell where another target has to go on.
        if (!isRepeatable || !m_book.request[row].route->isStream)
            return endWithFailure(row, error_kind::answer_cut, now, out);
        return retryOrEnd(row, true, error_kind::answer_cut, now, out);
    default:
        TAMARACK_ASSERT(false, "attempt result out of range");
    }
}

void dispatcher::succeeded(std::size_t row, instant now)
{
    m_health.recordSuccess(m_book.current[row].target, now);
    m_rests.answered(m_book.current[row].target, m_book.current[row].sentAt);
    recordAnswerTime(row, now);
    releaseCurrent(row);
    m_book.progress[row].cache = {}; // imported
    m_book.remove(m_book.idOf(row));
}

void dispatcher::prefilled(std::size_t row, const std::string& cacheName, instant now, command_list& out)
{
    const auto attempt = m_book.current[row];
    m_health.recordSuccess(attempt.target, now);
    m_rests.answered(attempt.target, attempt.sentAt);
    finishPrefill(row, now, true);
    releaseCurrent(row);
    m_book.progress[row].cache = { attempt.target, cacheName };
    if (refuseIfQuarantined(row, now, out))
        return;
    if (!startDecode(row, now, out))
        m_waiting.addFirst(m_book.idOf(row));
}

void dispatcher::retryOrEnd(std::size_t row, bool countsAsSend, error_kind kind, instant now, command_list& out)
{
    if (returnToSilent(row, now))
        return;
    if (countsAsSend && !mayRetry(row, now))
        return endWithFailure(row, kind, now, out);
    startOrWait(row, now, out);
}

}
