// Admission, retries and completion of requests.
#include "decide/traffic_system.h"

#include "base/contract.h"
#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t accountCapacity = 16'384;
    constexpr double retryReserve = 20;
    constexpr std::int32_t maxAttempts = 4;
    constexpr duration shortestRetryAfter = 200ms;
    constexpr duration longestRetryAfter = 30s;
    constexpr duration answerTransitTime = 250ms; // an error that is sent later reaches the caller after its deadline
    constexpr duration longestRest = 1h; // bounds what a mistaken answer of a target can do
    constexpr duration initialBlock = 500ms;
    constexpr duration longestBlock = 8s;
    constexpr double outputShareWeight = 0.02;
    constexpr double firstOutputShare = 0.6;

}

traffic_system::traffic_system(const std::string& vm, const std::string& zone, std::uint64_t seed, routing_rule rule)
    : m_config(std::make_shared<deployment>())
    , m_router(vm, zone, seed, rule)
    , m_accounts(accountCapacity)
{
}

void traffic_system::configure(std::shared_ptr<const deployment> config, instant now, traffic_commands& out)
{
    const auto former = m_config;
    m_config = std::move(config);
    const auto count = m_config->services.size();
    m_targets.assign(*m_config);
    m_router.assign(*m_config, m_targets);
    m_accounts.setLimit(m_config->policy.accountRequestsPerSecond, m_config->policy.accountBurst);
    m_queues.assign(count, {});
    m_budgets.assign(count, retry_budget(m_config->policy.retryBudget, retryReserve));
    const auto formerShare = std::exchange(m_outputShare, std::vector<double>(count, firstOutputShare));
    const auto formerSlowdown = std::exchange(m_slowdown, std::vector<double>(count, 1.0));
    const auto formerDemand = std::exchange(m_demand, std::vector<demand_meter>(count));
    for (std::size_t s = 0; s < count; ++s) {
        const int formerIndex = former->serviceIndex(m_config->services[s].name);
        if (formerIndex < 0)
            continue;
        m_outputShare[s] = formerShare[static_cast<std::size_t>(formerIndex)];
        m_slowdown[s] = formerSlowdown[static_cast<std::size_t>(formerIndex)];
        m_demand[s] = formerDemand[static_cast<std::size_t>(formerIndex)];
    }
    m_slotsNow.assign(count, 0);
    m_restUntil.assign(count, {});
    for (std::size_t row = 0; row < m_requests.rows(); ++row) {
        // A request whose service was removed by an earlier change has no service to carry over.
        if (m_requests.phase[row] == request_phase::free || !m_requests.shape[row].service.isValid())
            continue;
        const auto& name = former->services[m_requests.shape[row].service.value].name;
        const int newIndex = m_config->serviceIndex(name);
        const bool isWaiting = m_requests.phase[row] == request_phase::waiting;
        if (newIndex >= 0)
            m_requests.shape[row].service = { static_cast<std::uint32_t>(newIndex) };
        if (newIndex >= 0 && isWaiting)
            enqueue(row, false);
        // A running request of a removed service continues; only the service in its row becomes invalid.
        if (newIndex < 0 && isWaiting)
            refuse(row, error_kind::unknown_service, duration::zero(), out);
        if (newIndex < 0 && !isWaiting)
            m_requests.shape[row].service = {};
    }
    tick(now, out);
}

duration traffic_system::deadlineOf(const request_shape& shape) const
{
    if (shape.deadline > duration::zero())
        return shape.deadline;
    return fromSeconds(shape.isUrgent ? m_config->policy.urgentDeadline : m_config->policy.defaultDeadline);
}

request_id traffic_system::admit(const request_shape& given, instant now, traffic_commands& out)
{
    request_shape shape = given;
    TAMARACK_ASSERT(shape.service.value < m_queues.size(), "the service is in the configuration in force");
    shape.deadline = deadlineOf(given);
    const request_id id = m_requests.add(shape, now);
    const auto row = static_cast<std::size_t>(m_requests.row(id));
    if (refuseIfQuarantined(row, out))
        return id;
    if (shape.depth > m_config->policy.maxDepth) {
        refuse(row, error_kind::overloaded, shortestRetryAfter, out);
        return id;
    }
    // A nested call belongs to an outer call that was admitted already; refusing it would waste the work of the outer
    // call.
    const duration wait = shape.depth > 0 ? duration::zero() : m_accounts.take(shape.account, now);
    if (wait > duration::zero()) {
        refuse(row, error_kind::account_limit, wait, out);
        return id;
    }
    recordDemand(shape, now);
    const std::size_t level = queueLevel(shape);
    auto& queue = m_queues[shape.service.value];
    bool hasWaitingAhead = false;
    for (std::size_t i = 0; i <= level; ++i)
        hasWaitingAhead |= !queue.first[i].empty();
    if (!hasWaitingAhead && tryStart(row, now, out)) {
        ++m_counts.accepted;
        return id;
    }
    bool recoversSoon = false;
    updateSlots(shape.service, now, recoversSoon);
    if (m_slotsNow[shape.service.value] == 0 && !recoversSoon) {
        refuse(row, error_kind::no_target, answerFor(error_kind::no_target).retryAfter, out);
        return id;
    }
    const duration expected = expectedWait(shape.service, level, now);
    if (expected + serviceTime(shape) > shape.deadline) {
        refuse(row, error_kind::deadline_unreachable, expected, out);
        return id;
    }
    ++m_counts.accepted;
    enqueue(row, false);
    return id;
}

void traffic_system::releaseTargetLoad(std::size_t row)
{
    if (m_requests.phase[row] != request_phase::running)
        return;
    const auto target = m_requests.target[row].value;
    m_targets.ownRunning[target] -= 1;
    m_targets.ownPrefillTokens[target] -= m_requests.prefillCharged[row];
    m_requests.prefillCharged[row] = 0;
    m_requests.attempt[row] = {};
    TAMARACK_ASSERT(m_targets.ownRunning[target] >= 0, "own work is counted once up and once down");
}

void traffic_system::prefillCompleted(request_id request, attempt_id attempt)
{
    if (!isCurrent(request, attempt))
        return;
    const auto row = static_cast<std::size_t>(m_requests.row(request));
    m_targets.ownPrefillTokens[m_requests.target[row].value] -= m_requests.prefillCharged[row];
    m_requests.prefillCharged[row] = 0;
}

void traffic_system::tokensReceived(request_id request, attempt_id attempt, std::int64_t tokens)
{
    if (!isCurrent(request, attempt))
        return;
    m_requests.tokensDone[static_cast<std::size_t>(m_requests.row(request))] += tokens;
}

void traffic_system::wholeAnswerReceived(request_id request, attempt_id attempt)
{
    if (isCurrent(request, attempt))
        m_requests.stage[static_cast<std::size_t>(m_requests.row(request))] = request_stage::whole;
}

bool traffic_system::isCurrent(request_id request, attempt_id attempt) const
{
    const auto row = m_requests.row(request);
    return row >= 0 && attempt.isValid() && m_requests.attempt[static_cast<std::size_t>(row)] == attempt;
}

void traffic_system::refuse(std::size_t row, error_kind kind, duration retryAfter, traffic_commands& out)
{
    releaseTargetLoad(row);
    ++m_counts.refused;
    // If a target may have executed the request, an error kind that promises "not run" would be false.
    if (m_requests.mayHaveRun[row] && kind == error_kind::harmful_request)
        kind = error_kind::outcome_unknown;
    if (m_requests.mayHaveRun[row] && answerFor(kind).executed == ran::no)
        kind = m_requests.tokensDone[row] > 0 ? error_kind::answer_cut : error_kind::attempt_timeout;
    const auto service = m_requests.shape[row].service;
    if (service.isValid() && (kind == error_kind::deadline_unreachable || kind == error_kind::no_target))
        m_demand[service.value].refused += seconds(serviceTime(m_requests.shape[row]));
    duration wait = answerFor(kind).retryAfter;
    if (wait > duration::zero() && retryAfter > duration::zero())
        wait = std::clamp(retryAfter, shortestRetryAfter, longestRetryAfter);
    const request_id id = m_requests.idOf(row);
    m_requests.remove(id);
    out.push_back(refuse_request { id, kind, wait });
}

void traffic_system::targetFailed(target_id id, instant now)
{
    const auto row = id.value;
    const int shift = std::min(m_targets.failures[row], 4);
    const duration block = std::min<duration>(initialBlock * (1 << shift), longestBlock);
    m_targets.blockedUntil[row] = now + block;
    ++m_targets.failures[row];
}

bool traffic_system::mayRetry(std::size_t row, instant now) const
{
    return m_requests.shape[row].service.isValid() && now + answerTransitTime < m_requests.deadlineAt[row]
        && m_requests.attempts[row] < maxAttempts;
}

bool traffic_system::shouldStopSilent(request_id request, attempt_id attempt, bool mayHaveFailed, instant now)
{
    if (!isCurrent(request, attempt))
        return false;
    const auto row = static_cast<std::size_t>(m_requests.row(request));
    if (now + answerTransitTime >= m_requests.deadlineAt[row])
        return true;
    const auto& shape = m_requests.shape[row];
    if (!mayHaveFailed || !shape.isIdempotent || !mayRetry(row, now) || willMissDeadline(row, now)
        || !m_budgets[shape.service.value].canSpend())
        return false;
    const auto silent = m_requests.target[row];
    const auto former = std::exchange(m_requests.avoid[row], silent);
    const auto other = route(row, request_stage::whole, role_set::all(), now).target;
    m_requests.avoid[row] = former;
    return other.isValid() && other != silent;
}

void traffic_system::retryOrRefuse(
    std::size_t row, error_kind kind, bool countsAgainstBudget, instant now, traffic_commands& out)
{
    const auto service = m_requests.shape[row].service;
    m_requests.avoid[row] = m_requests.target[row];
    releaseTargetLoad(row);
    m_requests.phase[row] = request_phase::waiting;
    if (!mayRetry(row, now) || (countsAgainstBudget && !m_budgets[service.value].spend()))
        return refuse(row, kind, duration::zero(), out);
    if (refuseIfQuarantined(row, out))
        return;
    ++m_counts.retried;
    if (!tryStart(row, now, out))
        enqueue(row, true);
}

void traffic_system::succeeded(std::size_t row, instant now, traffic_commands& out)
{
    const auto& shape = m_requests.shape[row];
    const auto target = m_requests.target[row];
    m_targets.failures[target.value] = 0;
    if (m_requests.stage[row] == request_stage::prefill) {
        releaseTargetLoad(row);
        m_requests.kvSource[row] = target;
        m_requests.mayHaveRun[row] = 1;
        m_requests.stage[row] = request_stage::decode;
        m_requests.phase[row] = request_phase::waiting;
        if (refuseIfQuarantined(row, out))
            return;
        if (!shape.service.isValid() || !startDecode(row, now, out)) {
            if (!shape.service.isValid())
                return refuse(row, error_kind::unknown_service, duration::zero(), out);
            enqueue(row, false);
        }
        return;
    }
    if (shape.service.isValid()) {
        m_budgets[shape.service.value].succeeded();
        if (shape.outputTokens > 0) {
            updateSlowdown(row, now);
            const double share
                = static_cast<double>(m_requests.tokensDone[row]) / static_cast<double>(shape.outputTokens);
            auto& average = m_outputShare[shape.service.value];
            average += outputShareWeight * (std::clamp(share, 0.05, 1.0) - average);
        }
    }
    releaseTargetLoad(row);
    ++m_counts.answered;
    m_requests.remove(m_requests.idOf(row));
}

bool traffic_system::refuseIfQuarantined(std::size_t row, traffic_commands& out)
{
    if (!m_quarantine.isQuarantined(m_requests.shape[row].digest))
        return false;
    if (m_requests.phase[row] == request_phase::running)
        m_requests.mayHaveRun[row] |= m_requests.stage[row] != request_stage::prefill;
    refuse(row, error_kind::harmful_request, duration::zero(), out);
    return true;
}

void traffic_system::applyQuarantine(const std::vector<quarantine_record>& records, instant now, traffic_commands& out)
{
    for (const auto& record : records)
        m_quarantine.apply(record, now);
    endQuarantined(out);
}

void traffic_system::endQuarantined(traffic_commands& out)
{
    if (std::exchange(m_quarantinesSeen, m_quarantine.begun()) == m_quarantine.begun())
        return;
    for (std::size_t row = 0; row < m_requests.rows(); ++row) {
        // An attempt that has begun to answer may complete, which would show that the request is harmless.
        if (m_requests.phase[row] != request_phase::free && m_requests.tokensDone[row] == 0)
            refuseIfQuarantined(row, out);
    }
}

void traffic_system::completeAnswerReceived(request_id request, attempt_id attempt, instant now)
{
    if (isCurrent(request, attempt))
        m_quarantine.answered(m_requests.shape[static_cast<std::size_t>(m_requests.row(request))].digest, now);
}

void traffic_system::targetClosedConnection(request_id request, attempt_id attempt, instant now)
{
    if (!isCurrent(request, attempt))
        return;
    const auto row = static_cast<std::size_t>(m_requests.row(request));
    const auto target = m_requests.target[row];
    m_targetsToCheck.push_back(target);
    // A prefill does not run the request.
    if (m_requests.stage[row] != request_stage::prefill)
        m_cutOff.add(m_requests.shape[row].digest, {}, instanceHash(target), now);
}

void traffic_system::targetAskedForRest(request_id request, attempt_id attempt, duration rest, instant now)
{
    if (!isCurrent(request, attempt))
        return;
    auto& until = m_targets.restUntil[m_requests.target[static_cast<std::size_t>(m_requests.row(request))].value];
    until = std::max(until, now + std::min(rest, longestRest));
}

std::vector<target_id> traffic_system::takeTargetsToCheck() { return std::exchange(m_targetsToCheck, {}); }

void traffic_system::targetAnswered(target_id target, std::uint64_t incarnation, instant now)
{
    const auto known = m_targets.incarnation[target.value];
    if (known != 0 && known != incarnation)
        return blameAttemptsAt(target, now);
    m_cutOff.forget(instanceHash(target)); // the target has closed connections, but has not ended
}

std::uint32_t traffic_system::instanceHash(target_id target) const
{
    return static_cast<std::uint32_t>(stableHash(m_targets.name[target.value], m_targets.incarnation[target.value]));
}

void traffic_system::blameAttemptsAt(target_id target, instant now)
{
    const auto instance = instanceHash(target);
    for (auto* attempts : { &m_abandoned, &m_cutOff })
        attempts->targetEnded(instance, m_quarantine, now);
}

void traffic_system::attemptEnded(
    request_id request, attempt_id attempt, attempt_result result, instant now, traffic_commands& out)
{
    if (!isCurrent(request, attempt)) {
        ++m_counts.staleEvents;
        return;
    }
    const auto row = static_cast<std::size_t>(m_requests.row(request));
    const auto service = m_requests.shape[row].service;
    handleAttemptResult(row, result, now, out);
    if (service.isValid())
        dispatch(service, now, out); // a slot may have become free for a waiting request
}

void traffic_system::handleAttemptResult(std::size_t row, attempt_result result, instant now, traffic_commands& out)
{
    const bool isIdempotent = m_requests.shape[row].isIdempotent;
    switch (result) {
    case attempt_result::answered:
        return succeeded(row, now, out);
    case attempt_result::not_sent:
        targetFailed(m_requests.target[row], now);
        blameAttemptsAt(m_requests.target[row], now);
        return retryOrRefuse(row, error_kind::target_unreachable, true, now, out);
    case attempt_result::refused:
        // The target is full, draining or stopping. That is no failure, but it should not be retried immediately.
        m_targets.blockedUntil[m_requests.target[row].value] = now + initialBlock;
        return retryOrRefuse(row, error_kind::overloaded, true, now, out);
    case attempt_result::cut:
        targetFailed(m_requests.target[row], now);
        m_requests.mayHaveRun[row] = 1;
        if (!isIdempotent)
            return refuse(row, error_kind::outcome_unknown, duration::zero(), out);
        ++m_counts.resumed;
        m_requests.stage[row] = request_stage::whole;
        return retryOrRefuse(row, error_kind::answer_cut, true, now, out);
    case attempt_result::maybe_run:
        targetFailed(m_requests.target[row], now);
        m_requests.mayHaveRun[row] = 1;
        if (!isIdempotent)
            return refuse(row, error_kind::outcome_unknown, duration::zero(), out);
        m_requests.stage[row] = request_stage::whole;
        return retryOrRefuse(row, error_kind::attempt_timeout, true, now, out);
    case attempt_result::kv_missing:
        m_requests.stage[row] = request_stage::whole;
        return retryOrRefuse(row, error_kind::target_unreachable, true, now, out);
    case attempt_result::count:
        break;
    }
    TAMARACK_ASSERT(false, "attempt result out of range");
}

void traffic_system::callerDisconnected(request_id request, instant now, traffic_commands& out)
{
    const auto row = m_requests.row(request);
    if (row < 0)
        return;
    const auto index = static_cast<std::size_t>(row);
    const auto service = m_requests.shape[index].service;
    const bool mayRun
        = m_requests.phase[index] == request_phase::running && m_requests.stage[index] != request_stage::prefill;
    if (mayRun)
        m_abandoned.add(m_requests.shape[index].digest, {}, instanceHash(m_requests.target[index]), now);
    releaseTargetLoad(index);
    m_requests.remove(request);
    if (service.isValid())
        dispatch(service, now, out);
}

}
