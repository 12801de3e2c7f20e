// The world of one policy run.
#include "policy_world.h"

#include <algorithm>
#include <cmath>

namespace tamarack::bench {

namespace {

    constexpr double tickSeconds = 0.02;
    constexpr double planSeconds = 0.5;
    constexpr double reportSeconds = 0.5;
    constexpr double reportLag = 0.3;
    constexpr double cacheTransferSeconds = 0.005;
    constexpr double cacheTransferPerToken = 4e-6;
    constexpr double deadConnectionSeconds = 1.0; // until a connect to a lost engine fails

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

policy_world::policy_world(const workload& load, const contender& who, std::uint64_t seed)
    : m_load(load)
    , m_who(who)
    , m_config(std::make_shared<deployment>(load.config))
    , m_traffic("vm", "za", seed, who.routing)
    , m_planner(load.config.policy, ruleOf(who.split))
{
    traffic_commands none;
    m_traffic.configure(m_config, now(), none);
    const auto& service = m_config->services[0];
    for (std::size_t i = 0; i < service.targets.size(); ++i) {
        m_engines.push_back({ standins::engine_model(timingOf(service)) });
        if (who.split == split_rule::mixed)
            continue;
        // Roles are spread over the zones, as operators would.
        const auto row = static_cast<int>(i);
        const int prefill = who.isPure ? load.purePrefill : service.prefillTargets;
        const int decode = who.isPure ? static_cast<int>(service.targets.size()) : prefill + service.decodeTargets;
        if (row < decode)
            setRole(i, row < prefill ? engine_role::prefill : engine_role::decode);
    }
}

void policy_world::schedule(double at, std::function<void()> what)
{
    m_events.push({ at, m_order++, std::move(what) });
}

void policy_world::setRole(std::size_t index, engine_role role)
{
    m_engines[index].model.setRole(role);
    m_traffic.targets().role[index] = role;
}

run_result policy_world::run()
{
    for (const auto& item : m_load.arrivals) {
        schedule(item.at, [this, &item] {
            traffic_commands commands;
            const auto id = m_traffic.admit(item.shape, now(), commands);
            m_requests[id.value] = { &item, -1 };
            ++m_result.offered;
            ++m_accounts[item.shape.account].first;
            carryOut(commands);
        });
    }
    for (double t = 0; t < m_load.seconds + 30; t += tickSeconds) {
        schedule(t, [this] {
            traffic_commands commands;
            m_traffic.tick(now(), commands);
            carryOut(commands);
        });
    }
    for (double t = 0; t < m_load.seconds; t += planSeconds)
        schedule(t, [this] { plan(); });
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        for (double t = 0; t < m_load.seconds + 30; t += reportSeconds)
            schedule(t + 0.01 * static_cast<double>(i), [this, i] { report(i); });
    }
    for (const auto& item : m_load.incidents) {
        schedule(item.from, [this, &item] { begin(item); });
        schedule(item.until, [this, &item] { end(item); });
    }
    while (!m_events.empty()) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.what();
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

void policy_world::carryOut(traffic_commands& commands)
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

void policy_world::startAttempt(const start_attempt& command)
{
    const auto index = command.target.value;
    const auto request = command.request;
    const auto attempt = command.attempt;
    if (!m_engines[index].isUp) {
        schedule(m_now + deadConnectionSeconds, [this, request, attempt] {
            traffic_commands commands;
            m_traffic.attemptEnded(request, attempt, attempt_result::not_sent, now(), commands);
            carryOut(commands);
        });
        return;
    }
    const arrival& what = *m_requests.at(request.value).what;
    standins::engine_job job;
    job.id = attempt.value;
    job.priority = command.priority;
    job.promptTokens = command.stage == request_stage::decode ? 0 : what.shape.promptTokens;
    job.outputTokens = command.stage == request_stage::prefill ? 0 : what.outputTokens;
    job.prefixKey = what.shape.prefixHash;
    job.prefixTokens = command.stage == request_stage::decode ? 0 : what.prefixTokens;
    m_attempts[attempt.value] = { request, index, command.stage };
    const double transfer = command.stage == request_stage::decode
        ? cacheTransferSeconds + cacheTransferPerToken * static_cast<double>(what.shape.promptTokens)
        : 0;
    schedule(m_now + transfer, [this, index, job] {
        if (!m_attempts.contains(job.id))
            return;
        m_engines[index].model.add(job);
        step(index);
    });
}

void policy_world::step(std::size_t index)
{
    engine& item = m_engines[index];
    if (item.isStepping || !item.isUp || item.model.isIdle())
        return;
    item.isStepping = true;
    const auto life = item.life;
    schedule(m_now + item.model.beginStep(), [this, index, life] { endStep(index, life); });
}

void policy_world::endStep(std::size_t index, std::uint64_t life)
{
    if (m_engines[index].life != life)
        return;
    m_engines[index].isStepping = false;
    for (const auto& event : m_engines[index].model.endStep())
        onEngineEvent(index, event);
    tryChange(index);
    step(index);
}

void policy_world::onEngineEvent(std::size_t, const standins::engine_event& event)
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
        finished(attempt.request);
    carryOut(commands);
}

void policy_world::finished(request_id id)
{
    const open_request request = m_requests.at(id.value);
    m_requests.erase(id.value);
    const arrival& what = *request.what;
    const double took = m_now - what.at;
    const auto& policy = m_config->policy;
    const double deadline = what.shape.isUrgent ? policy.urgentDeadline : policy.defaultDeadline;
    const bool isInTime = took <= deadline;
    m_result.inTime += isInTime;
    m_result.late += !isInTime;
    m_accounts[what.shape.account].second += isInTime;
    if (what.shape.isUrgent) {
        const bool isInShift = what.at >= m_load.shiftFrom && what.at < m_load.shiftUntil;
        m_result.urgent.push_back(took);
        (isInShift ? m_result.urgentInShift : m_result.urgentOutside).push_back(took);
    } else {
        m_result.first.push_back(request.firstAt - what.at);
        if (what.outputTokens > 1)
            m_result.gap.push_back((m_now - request.firstAt) / static_cast<double>(what.outputTokens - 1));
    }
}

void policy_world::report(std::size_t index)
{
    if (!m_engines[index].isUp)
        return;
    const load_report load { now(), m_engines[index].model.held(), m_engines[index].model.prefillTokens() };
    schedule(m_now + reportLag,
        [this, index, load] { m_traffic.targets().report({ static_cast<std::uint32_t>(index) }, load); });
}

role_demand policy_world::demandAhead(double length) const
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

void policy_world::planWithForesight()
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
    int present = 0;
    for (const auto i : up)
        present += m_traffic.targets().role[i] == engine_role::prefill;
    for (const auto i : up) {
        const bool isPrefill = m_traffic.targets().role[i] == engine_role::prefill;
        if (present < prefill && !isPrefill) {
            setRole(i, engine_role::prefill);
            ++present;
            ++m_result.roleChanges;
        } else if (present > prefill && isPrefill) {
            setRole(i, engine_role::decode);
            --present;
            ++m_result.roleChanges;
        }
    }
}

void policy_world::plan()
{
    if (m_who.split == split_rule::foresight)
        return planWithForesight();
    if (m_who.split == split_rule::mixed || m_isLogDown)
        return;
    const auto& service = m_config->services[0];
    const auto asked = m_traffic.demand({ 0 }, now());
    role_demand demand { asked.promptTokens / service.prefillTokensPerSecond,
        asked.outputTokens / service.decodeTokensPerSecond, 0 };
    demand.refusedEngines = asked.refusedShare * (demand.prefillEngines + demand.decodeEngines);
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

void policy_world::changeRole(std::size_t index, engine_role role)
{
    ++m_result.roleChanges;
    m_engines[index].pendingRole = static_cast<std::int64_t>(role);
    m_traffic.targets().isDraining[index] = 1;
    tryChange(index);
}

void policy_world::tryChange(std::size_t index)
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

void policy_world::begin(const incident& what)
{
    m_isLogDown |= what.isLogDown;
    for (const int row : what.engines) {
        const auto index = static_cast<std::size_t>(row);
        if (what.isAnnounced) {
            m_traffic.targets().isLeaving[index] = 1;
            continue;
        }
        m_engines[index].isUp = false;
        m_engines[index].isStepping = false;
        ++m_engines[index].life;
        m_engines[index].model.clear();
        std::vector<std::pair<std::uint64_t, running_attempt>> cut;
        for (const auto& item : m_attempts) {
            if (item.second.engine == index)
                cut.push_back(item);
        }
        for (const auto& [id, attempt] : cut) {
            m_attempts.erase(id);
            schedule(m_now + deadConnectionSeconds, [this, id = id, request = attempt.request] {
                traffic_commands commands;
                m_traffic.attemptEnded(request, { id }, attempt_result::cut, now(), commands);
                carryOut(commands);
            });
        }
    }
}

void policy_world::end(const incident& what)
{
    if (what.isLogDown)
        m_isLogDown = false;
    for (const int row : what.engines) {
        const auto index = static_cast<std::size_t>(row);
        m_engines[index].isUp = true;
        m_traffic.targets().isLeaving[index] = 0;
        m_traffic.targets().slowStartUntil[index] = now() + std::chrono::seconds(2);
    }
}

}
