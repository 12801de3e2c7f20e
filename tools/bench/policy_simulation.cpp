// Implements the simulation: its event loop, the engine steps, load reports, role changes and incidents.
#include "policy_simulation.h"

#include <algorithm>
#include <cmath>

namespace tamarack::bench {

namespace {

    constexpr double tickIntervalSeconds = 0.02;
    constexpr double planIntervalSeconds = 0.5;
    constexpr double reportIntervalSeconds = 0.5;
    constexpr double reportDelaySeconds = 0.3;
    constexpr double cacheTransferSetupSeconds = 0.005;
    constexpr double cacheTransferSecondsPerToken = 4e-6;
    constexpr double connectFailureSeconds = 1.0; // until a connection attempt to a failed engine times out

    planning_rule ruleOf(split_rule split)
    {
        if (split == split_rule::planner)
            return planning_rule::gain_over_horizon;
        return split == split_rule::threshold ? planning_rule::threshold : planning_rule::fixed;
    }

    standins::engine_timing timingOf(const service_entry& service)
    {
        return { service.slots, service.pieceTokens, service.prefillTokensPerSecond, service.tokenInterval, 8 };
    }

}

policy_simulation::policy_simulation(const workload& load, const policy_variant& variant, std::uint64_t seed)
    : m_load(load)
    , m_variant(variant)
    , m_config(std::make_shared<deployment>(load.config))
    , m_traffic("vm", "za", seed, variant.routing)
    , m_planner(load.config.policy, ruleOf(variant.split))
{
    traffic_commands none;
    m_traffic.configure(m_config, now(), none);
    const auto& service = m_config->services[0];
    for (std::size_t i = 0; i < service.targets.size(); ++i) {
        m_engines.push_back({ standins::engine_model(timingOf(service)) });
        if (variant.split == split_rule::mixed)
            continue;
        // Spreads every role over the availability zones, as operators would; consecutive rows are in different zones.
        const auto row = static_cast<int>(i);
        const int prefill = variant.isPure ? load.purePrefill : service.prefillTargets;
        const int decode = variant.isPure ? static_cast<int>(service.targets.size()) : prefill + service.decodeTargets;
        if (row < decode)
            setRole(i, row < prefill ? engine_role::prefill : engine_role::decode);
    }
}

void policy_simulation::schedule(double at, std::function<void()> action)
{
    m_events.push({ at, m_order++, std::move(action) });
}

void policy_simulation::setRole(std::size_t index, engine_role role)
{
    m_engines[index].model.setRole(role);
    m_traffic.targets().role[index] = role;
}

run_result policy_simulation::run()
{
    for (const auto& item : m_load.arrivals) {
        schedule(item.at, [this, &item] {
            traffic_commands commands;
            const auto id = m_traffic.admit(item.shape, now(), commands);
            m_requests[id.value] = { &item, -1 };
            ++m_result.offered;
            ++m_accounts[item.shape.account].first;
            executeCommands(commands);
        });
    }
    for (double t = 0; t < m_load.seconds + 30; t += tickIntervalSeconds) {
        schedule(t, [this] {
            traffic_commands commands;
            m_traffic.tick(now(), commands);
            executeCommands(commands);
        });
    }
    for (double t = 0; t < m_load.seconds; t += planIntervalSeconds)
        schedule(t, [this] { planRoles(); });
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        for (double t = 0; t < m_load.seconds + 30; t += reportIntervalSeconds)
            schedule(t + 0.01 * static_cast<double>(i), [this, i] { reportLoad(i); });
    }
    for (const auto& item : m_load.incidents) {
        schedule(item.from, [this, &item] { beginIncident(item); });
        schedule(item.until, [this, &item] { endIncident(item); });
    }
    while (!m_events.empty()) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.action();
    }
    double sum = 0;
    double squares = 0;
    for (const auto& [account, counts] : m_accounts) {
        const double share = static_cast<double>(counts.second) / counts.first;
        sum += share;
        squares += share * share;
    }
    m_result.fairness = squares > 0 ? sum * sum / (static_cast<double>(m_accounts.size()) * squares) : 0;
    m_result.retried = static_cast<int>(m_traffic.counts().retried);
    return m_result;
}

void policy_simulation::executeCommands(traffic_commands& commands)
{
    for (const auto& command : commands) {
        if (const auto* start = std::get_if<start_attempt>(&command)) {
            startAttempt(*start);
            continue;
        }
        ++m_result.refused;
        m_requests.erase(std::get<refuse_request>(command).request.value);
    }
    commands.clear();
}

void policy_simulation::startAttempt(const start_attempt& command)
{
    const auto index = command.target.value;
    const auto request = command.request;
    const auto attempt = command.attempt;
    if (!m_engines[index].isUp) {
        schedule(m_now + connectFailureSeconds, [this, request, attempt] {
            traffic_commands commands;
            m_traffic.attemptEnded(request, attempt, attempt_result::not_sent, now(), commands);
            executeCommands(commands);
        });
        return;
    }
    const arrival& source = *m_requests.at(request.value).source;
    standins::engine_job job;
    job.id = attempt.value;
    job.priority = command.priority;
    job.promptTokens = command.stage == request_stage::decode ? 0 : source.shape.promptTokens;
    job.outputTokens = command.stage == request_stage::prefill ? 0 : source.outputTokens;
    job.prefixKey = source.shape.prefixHash;
    job.prefixTokens = command.stage == request_stage::decode ? 0 : source.prefixTokens;
    m_attempts[attempt.value] = { request, index, command.stage };
    const double transferSeconds = command.stage == request_stage::decode
        ? cacheTransferSetupSeconds + cacheTransferSecondsPerToken * static_cast<double>(source.shape.promptTokens)
        : 0;
    schedule(m_now + transferSeconds, [this, index, job] {
        if (!m_attempts.contains(job.id))
            return;
        m_engines[index].model.add(job);
        step(index);
    });
}

void policy_simulation::step(std::size_t index)
{
    engine& item = m_engines[index];
    if (item.isStepping || !item.isUp || item.model.isIdle())
        return;
    item.isStepping = true;
    const auto incarnation = item.incarnation;
    schedule(m_now + item.model.beginStep(), [this, index, incarnation] { endStep(index, incarnation); });
}

void policy_simulation::endStep(std::size_t index, std::uint64_t incarnation)
{
    if (m_engines[index].incarnation != incarnation)
        return;
    m_engines[index].isStepping = false;
    for (const auto& event : m_engines[index].model.endStep())
        onEngineEvent(index, event);
    changeRoleIfIdle(index);
    step(index);
}

void policy_simulation::onEngineEvent(std::size_t, const standins::engine_event& event)
{
    const auto found = m_attempts.find(event.job);
    if (found == m_attempts.end())
        return;
    const running_attempt attempt = found->second;
    const attempt_id id { event.job };
    auto& request = m_requests.at(attempt.request.value);
    if (event.kind == standins::engine_event_kind::prefilled && attempt.stage == request_stage::whole)
        m_traffic.prefillCompleted(attempt.request, id);
    if (event.kind == standins::engine_event_kind::token) {
        if (request.firstAt < 0) {
            request.firstAt = m_now;
            m_traffic.prefillCompleted(attempt.request, id);
        }
        m_traffic.tokensReceived(attempt.request, id, 1);
    }
    if (event.kind != standins::engine_event_kind::done)
        return;
    m_attempts.erase(found);
    traffic_commands commands;
    m_traffic.attemptEnded(attempt.request, id, attempt_result::answered, now(), commands);
    if (attempt.stage != request_stage::prefill)
        requestFinished(attempt.request);
    executeCommands(commands);
}

void policy_simulation::requestFinished(request_id id)
{
    const open_request request = m_requests.at(id.value);
    m_requests.erase(id.value);
    const arrival& source = *request.source;
    const double latencySeconds = m_now - source.at;
    const auto& policy = m_config->policy;
    const double deadline = source.shape.isUrgent ? policy.urgentDeadline : policy.defaultDeadline;
    const bool isInTime = latencySeconds <= deadline;
    m_result.inTime += isInTime;
    m_result.late += !isInTime;
    m_accounts[source.shape.account].second += isInTime;
    if (source.shape.isUrgent) {
        const bool isInShift = source.at >= m_load.shiftFrom && source.at < m_load.shiftUntil;
        m_result.urgent.push_back(latencySeconds);
        (isInShift ? m_result.urgentInShift : m_result.urgentOutside).push_back(latencySeconds);
    } else {
        m_result.first.push_back(request.firstAt - source.at);
        if (source.outputTokens > 1)
            m_result.gap.push_back((m_now - request.firstAt) / static_cast<double>(source.outputTokens - 1));
    }
}

void policy_simulation::reportLoad(std::size_t index)
{
    if (!m_engines[index].isUp)
        return;
    const load_report load { now(), m_engines[index].model.held(), m_engines[index].model.prefillTokens() };
    schedule(m_now + reportDelaySeconds,
        [this, index, load] { m_traffic.targets().report({ static_cast<std::uint32_t>(index) }, load); });
}

role_demand policy_simulation::demandAhead(double length) const
{
    const auto& service = m_config->services[0];
    role_demand demand;
    for (const auto& item : m_load.arrivals) {
        if (item.at < m_now || item.at >= m_now + length)
            continue;
        demand.prefillEngines += static_cast<double>(item.shape.promptTokens) / service.prefillTokensPerSecond / length;
        demand.decodeEngines += static_cast<double>(item.outputTokens) / service.decodeTokensPerSecond / length;
    }
    return demand;
}

void policy_simulation::planWithForesight()
{
    constexpr double horizon = 10;
    const auto demand = demandAhead(horizon);
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        if (m_engines[i].isUp && !m_traffic.targets().isLeaving[i])
            up.push_back(i);
    }
    const int count = static_cast<int>(up.size());
    const double share = demand.prefillEngines / std::max(0.01, demand.prefillEngines + demand.decodeEngines);
    const int prefill = std::clamp(static_cast<int>(std::lround(share * count)), 1, count - 1);
    int current = 0;
    for (const auto i : up)
        current += m_traffic.targets().role[i] == engine_role::prefill;
    for (const auto i : up) {
        const bool isPrefill = m_traffic.targets().role[i] == engine_role::prefill;
        if (current < prefill && !isPrefill) {
            setRole(i, engine_role::prefill);
            ++current;
            ++m_result.roleChanges;
        } else if (current > prefill && isPrefill) {
            setRole(i, engine_role::decode);
            --current;
            ++m_result.roleChanges;
        }
    }
}

void policy_simulation::planRoles()
{
    if (m_variant.split == split_rule::foresight)
        return planWithForesight();
    if (m_variant.split == split_rule::mixed || m_isLogDown)
        return;
    const auto& service = m_config->services[0];
    const auto requested = m_traffic.demand({ 0 }, now());
    role_demand demand { requested.promptTokens / service.prefillTokensPerSecond,
        requested.outputTokens / service.decodeTokensPerSecond, 0 };
    demand.refusedEngines = requested.refusedShare * (demand.prefillEngines + demand.decodeEngines);
    std::vector<planned_engine> engines;
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        const bool isChanging = m_engines[i].pendingRole >= 0 || m_traffic.targets().isChanging[i] != 0;
        const bool isAvailable = m_engines[i].isUp && !m_traffic.targets().isLeaving[i];
        engines.push_back({ service.targets[i].name, service.targets[i].availabilityZone, m_traffic.targets().role[i],
            isAvailable, isChanging });
    }
    const auto change = m_planner.plan(engines, demand, now());
    if (!change)
        return;
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        if (service.targets[i].name == change->target)
            changeRole(i, change->role);
    }
}

void policy_simulation::changeRole(std::size_t index, engine_role role)
{
    ++m_result.roleChanges;
    m_engines[index].pendingRole = static_cast<std::int64_t>(role);
    m_traffic.targets().isDraining[index] = 1;
    changeRoleIfIdle(index);
}

void policy_simulation::changeRoleIfIdle(std::size_t index)
{
    engine& item = m_engines[index];
    if (item.pendingRole < 0 || m_traffic.targets().isChanging[index] || m_traffic.targets().ownRunning[index] > 0)
        return;
    m_traffic.targets().isChanging[index] = 1;
    schedule(m_now + m_config->policy.roleChangeSeconds, [this, index] {
        setRole(index, static_cast<engine_role>(m_engines[index].pendingRole));
        m_engines[index].pendingRole = -1;
        m_traffic.targets().isChanging[index] = 0;
        m_traffic.targets().isDraining[index] = 0;
        m_traffic.targets().slowStartUntil[index] = now() + std::chrono::seconds(2);
    });
}

void policy_simulation::beginIncident(const incident& details)
{
    m_isLogDown |= details.isLogDown;
    for (const int row : details.engines) {
        const auto index = static_cast<std::size_t>(row);
        if (details.isGraceful) {
            m_traffic.targets().isLeaving[index] = 1;
            continue;
        }
        m_engines[index].isUp = false;
        m_engines[index].isStepping = false;
        ++m_engines[index].incarnation;
        m_engines[index].model.clear();
        std::vector<std::pair<std::uint64_t, running_attempt>> cut;
        for (const auto& item : m_attempts) {
            if (item.second.engine == index)
                cut.push_back(item);
        }
        for (const auto& [id, attempt] : cut) {
            m_attempts.erase(id);
            schedule(m_now + connectFailureSeconds, [this, id = id, request = attempt.request] {
                traffic_commands commands;
                m_traffic.attemptEnded(request, { id }, attempt_result::cut, now(), commands);
                executeCommands(commands);
            });
        }
    }
}

void policy_simulation::endIncident(const incident& details)
{
    if (details.isLogDown)
        m_isLogDown = false;
    for (const int row : details.engines) {
        const auto index = static_cast<std::size_t>(row);
        m_engines[index].isUp = true;
        m_traffic.targets().isLeaving[index] = 0;
        m_traffic.targets().slowStartUntil[index] = now() + std::chrono::seconds(2);
    }
}

}
