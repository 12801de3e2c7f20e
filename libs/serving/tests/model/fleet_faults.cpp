// Implements the faults of a run, which are lost, slow and failing engines, and the changes of role that the nodes
// order.
#include "fleet_model.h"

#include <algorithm>
#include <cmath>

namespace tamarack::serving::tests {

namespace {

    using namespace std::chrono_literals;

    constexpr duration answerTime = 2ms; ///< from an engine to a node
    constexpr duration relistTime = 800ms; ///< until a new engine, or a new role, is listed
    constexpr duration roleCheckInterval = 250ms; ///< as in the gateway
    constexpr duration orderTime = 150ms; ///< from a decision to the order
    constexpr duration drainCheckInterval = 10ms;
    constexpr duration maxRoleChangeTime = 8s; ///< for which an engine that has an order gets no new requests

}

std::vector<int> fleet_model::drawEngines(double share)
{
    std::vector<int> out;
    const auto count = static_cast<std::size_t>(std::lround(share * m_profile.engines));
    while (out.size() < count) {
        const auto index = static_cast<int>(m_random.below(m_engines.size()));
        const bool isTaken = std::find(out.begin(), out.end(), index) != out.end();
        if (!isTaken && !m_isLost[static_cast<std::size_t>(index)])
            out.push_back(index);
    }
    return out;
}

void fleet_model::loseEngines(const engine_loss& loss)
{
    const auto lost = drawEngines(loss.share);
    for (const int engine : lost) {
        m_isLost[static_cast<std::size_t>(engine)] = 1;
        m_engines[static_cast<std::size_t>(engine)].crash();
    }
    std::vector<std::uint64_t> broken;
    for (const auto& [key, sent] : m_sent) {
        if (std::find(lost.begin(), lost.end(), sent.engine) != lost.end())
            broken.push_back(key);
    }
    std::sort(broken.begin(), broken.end());
    for (const auto key : broken) {
        const auto& sent = m_sent.at(key);
        const bool hasStarted = requestOf(sent).events > 0 && sent.stage != attempt_stage::prefill;
        schedule(answerTime, [this, key, hasStarted] {
            endAttempt(key, hasStarted ? attempt_result::cut : attempt_result::broken, {});
        });
    }
    schedule(loss.until - loss.from, [this, lost] { restoreEngines(lost); });
}

void fleet_model::restoreEngines(const std::vector<int>& engines)
{
    for (const int engine : engines) {
        const auto index = static_cast<std::size_t>(engine);
        m_isLost[index] = 0;
        m_engines[index].finishRoleChange(engine >= m_initialPrefillEngines); // its role at the start
        const auto former = m_instances[index];
        m_instances[index] += "'";
        m_engineOf.erase(former);
        m_engineOf[m_instances[index]] = engine;
        schedule(relistTime, [this, engine, former] {
            for (auto& node : m_nodes)
                node.decisions->targetGone(former, m_now);
            relist(engine);
        });
    }
}

void fleet_model::relist(int engine)
{
    ++m_sequences[static_cast<std::size_t>(engine)];
    for (auto& node : m_nodes)
        node.decisions->targetListed(recordOf(engine));
}

void fleet_model::slowEngines(const engine_slowdown& slowdown)
{
    const auto slow = drawEngines(slowdown.share);
    for (const int engine : slow)
        m_engines[static_cast<std::size_t>(engine)].setSlowness(typicalSlowness(engine) * slowdown.slowness);
    schedule(slowdown.until - slowdown.from, [this, slow] {
        for (const int engine : slow)
            m_engines[static_cast<std::size_t>(engine)].setSlowness(typicalSlowness(engine));
    });
}

void fleet_model::startFailures(const engine_failure& failing)
{
    const auto engines = drawEngines(failing.share);
    for (const int engine : engines)
        m_lossShare[static_cast<std::size_t>(engine)] = failing.ofRequests;
    schedule(failing.until - failing.from, [this, engines] {
        for (const int engine : engines)
            m_lossShare[static_cast<std::size_t>(engine)] = 0;
    });
}

bool fleet_model::losesAnswer(int engine)
{
    const double share = engine < 0 ? 0 : m_lossShare[static_cast<std::size_t>(engine)];
    return share > 0 && m_random.unit() < share;
}

void fleet_model::checkRoles()
{
    const auto& decisions = *m_nodes.front().decisions;
    for (const auto& change : m_split->dueChanges(m_now, decisions.prefillWaitSeconds())) {
        m_split->recordOrder(change.engine, change.role, m_now);
        orderRole(change);
    }
    schedule(roleCheckInterval, [this] { checkRoles(); });
}

// The nodes stop sending requests to the engine before the order reaches it.
void fleet_model::orderRole(const role_change& change)
{
    const auto instance = m_nodes.front().decisions->fleet().instance[change.engine.value];
    const auto found = m_engineOf.find(instance);
    if (found == m_engineOf.end())
        return;
    ++m_result.roleChanges;
    for (auto& node : m_nodes) {
        if (const auto row = node.decisions->fleet().find(instance); row.isValid())
            node.decisions->roleChanging(row, m_now + maxRoleChangeTime);
    }
    schedule(orderTime, [this, engine = found->second, alsoDecodes = change.role == target_role::decode, instance] {
        const auto index = static_cast<std::size_t>(engine);
        if (m_isLost[index] || m_instances[index] != instance)
            return;
        for (const auto key : m_engines[index].startRoleChange())
            schedule(answerTime, [this, key] { endAttempt(key, attempt_result::rejected, {}); });
        changeRole(engine, alsoDecodes, instance);
    });
}

void fleet_model::changeRole(int engine, bool alsoDecodes, const std::string& instance)
{
    const auto index = static_cast<std::size_t>(engine);
    if (m_isLost[index] || m_instances[index] != instance)
        return; // crashed meanwhile: it comes back in its former role
    if (m_engines[index].held() > 0)
        return schedule(drainCheckInterval, [=, this] { changeRole(engine, alsoDecodes, instance); });
    schedule(m_profile.roleChangeTime, [=, this] {
        if (m_isLost[index] || m_instances[index] != instance)
            return;
        m_engines[index].finishRoleChange(alsoDecodes);
        schedule(relistTime, [this, engine] { relist(engine); });
    });
}

}
