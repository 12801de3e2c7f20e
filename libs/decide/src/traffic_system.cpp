// The request path's decisions.
#include "decide/traffic_system.h"

#include "base/contract.h"

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
    constexpr duration firstBlock = 500ms;
    constexpr duration longestBlock = 8s;
    constexpr double demandSeconds = 10; // averaging time of the demand meter
    constexpr double outputShareWeight = 0.02;
    constexpr double firstOutputShare = 0.6;
    constexpr double transferSeconds = 0.03; // to move a KV cache between engines
    constexpr double noDecodeSlotSeconds = 2; // usual wait when no decode engine has a slot
    constexpr std::int64_t smallPromptParts = 8; // of a piece
    constexpr double agedShare = 0.5; // of the deadline spent waiting

    int priorityOf(const request_shape& shape)
    {
        constexpr int urgentPriority = 1;
        constexpr int nestedPriority = 2;
        if (shape.depth > 0)
            return nestedPriority + shape.depth;
        return shape.isUrgent ? urgentPriority : 0;
    }

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
    const auto formerPace = std::exchange(m_pace, std::vector<double>(count, 1.0));
    const auto formerDemand = std::exchange(m_demand, std::vector<demand_meter>(count));
    for (std::size_t s = 0; s < count; ++s) {
        const int kept = former->serviceIndex(m_config->services[s].name);
        if (kept < 0)
            continue;
        m_outputShare[s] = formerShare[static_cast<std::size_t>(kept)];
        m_pace[s] = formerPace[static_cast<std::size_t>(kept)];
        m_demand[s] = formerDemand[static_cast<std::size_t>(kept)];
    }
    m_slotsNow.assign(count, 0);
    for (std::size_t row = 0; row < m_requests.rows(); ++row) {
        if (m_requests.phase[row] == request_phase::free)
            continue;
        const auto& name = former->services[m_requests.shape[row].service.value].name;
        const int moved = m_config->serviceIndex(name);
        const bool isWaiting = m_requests.phase[row] == request_phase::waiting;
        if (moved >= 0)
            m_requests.shape[row].service = { static_cast<std::uint32_t>(moved) };
        if (moved >= 0 && isWaiting)
            enqueue(row, false);
        // A running request of a removed service ends as it would have; only its row's service is unknown from now on.
        if (moved < 0 && isWaiting)
            refuse(row, error_kind::unknown_service, duration::zero(), out);
        if (moved < 0 && !isWaiting)
            m_requests.shape[row].service = {};
    }
    tick(now, out);
}

std::size_t traffic_system::levelOf(const request_shape& shape)
{
    if (shape.depth > 0)
        return 0;
    return shape.isUrgent ? 1 : 2;
}

duration traffic_system::serviceTime(const request_shape& shape) const
{
    const auto& service = m_config->services[shape.service.value];
    if (!service.isEngine())
        return fromSeconds(service.requestSeconds);
    const double prefill = static_cast<double>(shape.promptTokens) / service.prefillTokensPerSecond;
    const double output = static_cast<double>(shape.outputTokens) * m_outputShare[shape.service.value];
    return fromSeconds((prefill + output * service.tokenInterval) * m_pace[shape.service.value]);
}

duration traffic_system::expectedWait(service_id service, std::size_t level) const
{
    const auto& queue = m_queues[service.value];
    double ahead = 0;
    for (std::size_t i = 0; i <= level; ++i) {
        for (const auto id : queue.first[i]) {
            const auto row = m_requests.row(id); // below 0 for a request abandoned while it waited
            if (row >= 0)
                ahead += seconds(serviceTime(m_requests.shape[static_cast<std::size_t>(row)]));
        }
    }
    const double slots = std::max(1.0, static_cast<double>(m_slotsNow[service.value]) / m_nodeCount);
    return fromSeconds(ahead / slots);
}

int traffic_system::usableSlots(service_id service, instant now, bool& comesBackSoon) const
{
    const auto& entry = m_config->services[service.value];
    int slots = 0;
    comesBackSoon = false;
    for (const auto row : m_router.subset(service)) {
        if (m_targets.takesWork({ row }, now)) {
            const bool holdsDecodes = m_targets.role[row] != engine_role::prefill;
            slots += holdsDecodes ? entry.slots : 1;
        } else if (!m_targets.isLeaving[row]) {
            comesBackSoon = true; // changing, draining, or blocked after a failure
        }
    }
    return slots;
}

void traffic_system::meter(const request_shape& shape, instant now)
{
    auto& meter = m_demand[shape.service.value];
    const double kept = std::exp(-seconds(now - meter.at) / demandSeconds);
    meter.promptTokens = meter.promptTokens * kept + static_cast<double>(shape.promptTokens);
    meter.outputTokens
        = meter.outputTokens * kept + static_cast<double>(shape.outputTokens) * m_outputShare[shape.service.value];
    meter.asked = meter.asked * kept + seconds(serviceTime(shape));
    meter.refused *= kept;
    meter.at = now;
}

service_demand traffic_system::demand(service_id service, instant now) const
{
    if (service.value >= m_demand.size())
        return {};
    const auto& meter = m_demand[service.value];
    const double kept = std::exp(-seconds(now - meter.at) / demandSeconds) / demandSeconds;
    const double refusedShare = meter.asked > 0 ? std::min(1.0, meter.refused / meter.asked) : 0;
    return { meter.promptTokens * kept, meter.outputTokens * kept, refusedShare };
}

request_id traffic_system::arrive(const request_shape& given, instant now, traffic_commands& out)
{
    request_shape shape = given;
    TAMARACK_ASSERT(shape.service.value < m_queues.size(), "the service is in the configuration in force");
    if (shape.deadline == duration::zero())
        shape.deadline
            = fromSeconds(shape.isUrgent ? m_config->policy.urgentDeadline : m_config->policy.defaultDeadline);
    const request_id id = m_requests.add(shape, now);
    const auto row = static_cast<std::size_t>(m_requests.row(id));
    if (shape.depth > m_config->policy.maxDepth) {
        refuse(row, error_kind::overloaded, shortestRetryAfter, out);
        return id;
    }
    // A nested call belongs to an outer one that was let through already; refusing it would waste the outer's work.
    const duration wait = shape.depth > 0 ? duration::zero() : m_accounts.take(shape.account, now);
    if (wait > duration::zero()) {
        refuse(row, error_kind::account_limit, wait, out);
        return id;
    }
    meter(shape, now);
    const std::size_t level = levelOf(shape);
    auto& queue = m_queues[shape.service.value];
    bool othersWait = false;
    for (std::size_t i = 0; i <= level; ++i)
        othersWait |= !queue.first[i].empty();
    if (!othersWait && tryStart(row, now, out)) {
        ++m_counts.accepted;
        return id;
    }
    bool comesBackSoon = false;
    const int slots = usableSlots(shape.service, now, comesBackSoon);
    m_slotsNow[shape.service.value] = slots;
    if (slots == 0 && !comesBackSoon) {
        refuse(row, error_kind::no_target, answerFor(error_kind::no_target).retryAfter, out);
        return id;
    }
    const duration expected = expectedWait(shape.service, level);
    if (expected + serviceTime(shape) > shape.deadline) {
        refuse(row, error_kind::deadline_unreachable, expected, out);
        return id;
    }
    ++m_counts.accepted;
    enqueue(row, false);
    return id;
}

routing_need traffic_system::needOf(std::size_t row, instant now) const
{
    const auto& shape = m_requests.shape[row];
    const double waited = seconds(now - m_requests.arrivedAt[row]);
    return { shape, m_requests.stage[row], m_requests.avoid[row], waited > agedShare * seconds(shape.deadline) };
}

routing_choice traffic_system::route(std::size_t row, request_stage stage, role_set roles, instant now)
{
    routing_need need = needOf(row, now);
    need.stage = stage;
    return m_router.pick(need, roles, *m_config, m_targets, now);
}

bool traffic_system::tryStart(std::size_t row, instant now, traffic_commands& out)
{
    const auto& entry = m_config->services[m_requests.shape[row].service.value];
    if (!entry.isEngine())
        return startAt(row, request_stage::whole, route(row, request_stage::whole, role_set::all(), now), now, out);
    if (m_requests.stage[row] == request_stage::decode)
        return startDecode(row, now, out);
    // Two engines and a transfer are not worth it for a prompt that is read in a part of one step.
    const bool isSmall = m_requests.shape[row].promptTokens * smallPromptParts <= entry.pieceTokens;
    if (isSmall) {
        const role_set smooth { engine_role::decode, engine_role::mixed };
        if (startAt(row, request_stage::whole, route(row, request_stage::whole, smooth, now), now, out))
            return true;
    } else if (startLong(row, now, out)) {
        return true;
    }
    // Any engine can run the whole request, if less evenly. Without this a shift of the mix leaves a part of the fleet
    // idle until roles have changed.
    return startAt(row, request_stage::whole, route(row, request_stage::whole, role_set::all(), now), now, out);
}

// A long prompt goes through a prefill and a decode engine, or whole to a mixed one, whichever is expected to end
// sooner.
bool traffic_system::startLong(std::size_t row, instant now, traffic_commands& out)
{
    const auto prefill = route(row, request_stage::prefill, { engine_role::prefill }, now);
    const auto whole = route(row, request_stage::whole, { engine_role::mixed }, now);
    if (!prefill.target.isValid())
        return startAt(row, request_stage::whole, whole, now, out);
    const auto decode = route(row, request_stage::decode, { engine_role::decode, engine_role::mixed }, now);
    const double decodeSeconds = decode.target.isValid() ? decode.seconds : noDecodeSlotSeconds;
    if (whole.target.isValid() && whole.seconds < prefill.seconds + decodeSeconds + transferSeconds)
        return startAt(row, request_stage::whole, whole, now, out);
    return startAt(row, request_stage::prefill, prefill, now, out);
}

bool traffic_system::startDecode(std::size_t row, instant now, traffic_commands& out)
{
    const role_set smooth { engine_role::decode, engine_role::mixed };
    const auto choice = route(row, request_stage::decode, smooth, now);
    if (choice.target.isValid())
        return startAt(row, request_stage::decode, choice, now, out);
    return startAt(row, request_stage::decode, route(row, request_stage::decode, role_set::all(), now), now, out);
}

bool traffic_system::startAt(
    std::size_t row, request_stage stage, const routing_choice& choice, instant now, traffic_commands& out)
{
    const target_id target = choice.target;
    if (!target.isValid())
        return false;
    const auto& shape = m_requests.shape[row];
    const attempt_id attempt { m_nextAttempt++ };
    m_requests.phase[row] = request_phase::running;
    m_requests.stage[row] = stage;
    m_requests.target[row] = target;
    m_requests.attempt[row] = attempt;
    if (m_requests.attempts[row] == 0)
        m_requests.startedAt[row] = now;
    ++m_requests.attempts[row];
    m_requests.prefillCharged[row] = stage == request_stage::decode ? 0 : shape.promptTokens;
    m_targets.ownRunning[target.value] += 1;
    m_targets.ownPrefillTokens[target.value] += m_requests.prefillCharged[row];
    const target_id kvSource = stage == request_stage::decode ? m_requests.kvSource[row] : target_id();
    out.push_back(start_attempt { m_requests.idOf(row), attempt, target, stage, kvSource, priorityOf(shape) });
    return true;
}

void traffic_system::enqueue(std::size_t row, bool atFront)
{
    m_requests.phase[row] = request_phase::waiting;
    const auto& shape = m_requests.shape[row];
    auto& queues = m_queues[shape.service.value];
    const bool isDecode = m_requests.stage[row] == request_stage::decode;
    auto& queue = (isDecode ? queues.decode : queues.first)[levelOf(shape)];
    if (atFront)
        queue.push_front(m_requests.idOf(row));
    else
        queue.push_back(m_requests.idOf(row));
}

void traffic_system::uncharge(std::size_t row)
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

void traffic_system::prefilled(request_id request, attempt_id attempt)
{
    if (!isCurrent(request, attempt))
        return;
    const auto row = static_cast<std::size_t>(m_requests.row(request));
    m_targets.ownPrefillTokens[m_requests.target[row].value] -= m_requests.prefillCharged[row];
    m_requests.prefillCharged[row] = 0;
}

void traffic_system::progressed(request_id request, attempt_id attempt, std::int64_t tokens)
{
    if (!isCurrent(request, attempt))
        return;
    m_requests.tokensDone[static_cast<std::size_t>(m_requests.row(request))] += tokens;
}

void traffic_system::answeredWhole(request_id request, attempt_id attempt)
{
    if (isCurrent(request, attempt))
        m_requests.stage[static_cast<std::size_t>(m_requests.row(request))] = request_stage::whole;
}

void traffic_system::learnPace(std::size_t row, instant now)
{
    constexpr double weight = 0.05;
    constexpr double highest = 20;
    const auto& shape = m_requests.shape[row];
    const auto& service = m_config->services[shape.service.value];
    const double ideal = static_cast<double>(shape.promptTokens) / service.prefillTokensPerSecond
        + static_cast<double>(m_requests.tokensDone[row]) * service.tokenInterval;
    if (ideal <= 0 || shape.isUrgent || shape.depth > 0)
        return; // these overtake others and say little about them
    const double ratio = std::clamp(seconds(now - m_requests.startedAt[row]) / ideal, 1.0, highest);
    double& pace = m_pace[shape.service.value];
    pace += weight * (ratio - pace);
}

bool traffic_system::isCurrent(request_id request, attempt_id attempt) const
{
    const auto row = m_requests.row(request);
    return row >= 0 && attempt.isValid() && m_requests.attempt[static_cast<std::size_t>(row)] == attempt;
}

void traffic_system::refuse(std::size_t row, error_kind kind, duration retryAfter, traffic_commands& out)
{
    uncharge(row);
    ++m_counts.refused;
    // A target may have worked on it, so an answer that promises "not run" would not be true any more.
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
    const duration block = std::min<duration>(firstBlock * (1 << shift), longestBlock);
    m_targets.blockedUntil[row] = now + block;
    ++m_targets.failures[row];
}

void traffic_system::retryOrRefuse(
    std::size_t row, error_kind kind, bool countsAgainstBudget, instant now, traffic_commands& out)
{
    const auto service = m_requests.shape[row].service;
    m_requests.avoid[row] = m_requests.target[row];
    uncharge(row);
    m_requests.phase[row] = request_phase::waiting;
    const bool isGone = !service.isValid();
    const bool isLate = now >= m_requests.deadlineAt[row];
    const bool isWorn = m_requests.attempts[row] >= maxAttempts;
    if (isGone || isLate || isWorn || (countsAgainstBudget && !m_budgets[service.value].spend()))
        return refuse(row, kind, duration::zero(), out);
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
        uncharge(row);
        m_requests.kvSource[row] = target;
        m_requests.mayHaveRun[row] = 1;
        m_requests.stage[row] = request_stage::decode;
        m_requests.phase[row] = request_phase::waiting;
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
            learnPace(row, now);
            const double share
                = static_cast<double>(m_requests.tokensDone[row]) / static_cast<double>(shape.outputTokens);
            auto& average = m_outputShare[shape.service.value];
            average += outputShareWeight * (std::clamp(share, 0.05, 1.0) - average);
        }
    }
    uncharge(row);
    ++m_counts.answered;
    m_requests.remove(m_requests.idOf(row));
}

void traffic_system::ended(
    request_id request, attempt_id attempt, attempt_result result, instant now, traffic_commands& out)
{
    if (!isCurrent(request, attempt)) {
        ++m_counts.lateEvents;
        return;
    }
    const auto row = static_cast<std::size_t>(m_requests.row(request));
    const auto service = m_requests.shape[row].service;
    settle(row, result, now, out);
    if (service.isValid())
        dispatch(service, now, out); // a place may have become free
}

void traffic_system::settle(std::size_t row, attempt_result result, instant now, traffic_commands& out)
{
    const bool isIdempotent = m_requests.shape[row].isIdempotent;
    switch (result) {
    case attempt_result::answered:
        return succeeded(row, now, out);
    case attempt_result::not_sent:
        targetFailed(m_requests.target[row], now);
        return retryOrRefuse(row, error_kind::target_unreachable, true, now, out);
    case attempt_result::refused:
        // Full, draining or stopping: no failure of the target, but it should not be asked again at once.
        m_targets.blockedUntil[m_requests.target[row].value] = now + firstBlock;
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

void traffic_system::abandoned(request_id request, instant now, traffic_commands& out)
{
    const auto row = m_requests.row(request);
    if (row < 0)
        return;
    const auto service = m_requests.shape[static_cast<std::size_t>(row)].service;
    uncharge(static_cast<std::size_t>(row));
    m_requests.remove(request);
    if (service.isValid())
        dispatch(service, now, out);
}

bool traffic_system::isWaiting(request_id id) const
{
    const auto row = m_requests.row(id); // below 0 for a request abandoned while it waited
    return row >= 0 && m_requests.phase[static_cast<std::size_t>(row)] == request_phase::waiting;
}

bool traffic_system::isHopeless(std::size_t row, instant now) const
{
    return now + serviceTime(m_requests.shape[row]) > m_requests.deadlineAt[row];
}

// Starting what cannot be in time any more would take the place of what still can.
bool traffic_system::startOrRefuse(std::size_t row, instant now, traffic_commands& out)
{
    if (!isHopeless(row, now))
        return tryStart(row, now, out);
    const auto& shape = m_requests.shape[row];
    refuse(row, error_kind::deadline_unreachable, expectedWait(shape.service, levelOf(shape)), out);
    return true;
}

void traffic_system::dispatch(service_id service, instant now, traffic_commands& out)
{
    auto& queues = m_queues[service.value];
    for (auto* queue : { &queues.decode, &queues.first }) {
        for (auto& level : *queue) {
            while (!level.empty()) {
                const request_id id = level.front();
                if (isWaiting(id) && !startOrRefuse(static_cast<std::size_t>(m_requests.row(id)), now, out))
                    break;
                level.pop_front();
            }
        }
    }
}

void traffic_system::sweep(std::deque<request_id>& level, instant now, traffic_commands& out)
{
    std::deque<request_id> kept;
    for (const auto id : level) {
        if (!isWaiting(id))
            continue;
        const auto row = static_cast<std::size_t>(m_requests.row(id));
        const auto& shape = m_requests.shape[row];
        if (isHopeless(row, now))
            refuse(row, error_kind::deadline_unreachable, expectedWait(shape.service, levelOf(shape)), out);
        else
            kept.push_back(id);
    }
    level.swap(kept);
}

void traffic_system::tick(instant now, traffic_commands& out)
{
    for (std::uint32_t s = 0; s < m_queues.size(); ++s) {
        bool comesBackSoon = false;
        m_slotsNow[s] = usableSlots({ s }, now, comesBackSoon);
        for (auto* queue : { &m_queues[s].decode, &m_queues[s].first }) {
            for (auto& level : *queue)
                sweep(level, now, out);
        }
        dispatch({ s }, now, out);
    }
}

std::size_t traffic_system::waiting() const
{
    std::size_t total = 0;
    for (const auto& queue : m_queues) {
        for (std::size_t i = 0; i < levels; ++i)
            total += queue.first[i].size() + queue.decode[i].size();
    }
    return total;
}

}
