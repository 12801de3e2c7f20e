// Registrations, heartbeats and liveness of nodes.
#include "serving/node_directory.h"

#include "serving/fleet_table.h"

#include <algorithm>
#include <utility>

namespace tamarack::serving {

node_directory::node_directory(std::string self, directory_settings settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
}

node_status nodeStatusOf(const node_state& state)
{
    return { shortHash(state.vm), state.incarnation, state.configurationVersion, state.lastTargetChange, state.isReady,
        state.isStopping, state.storeReach, state.readsForOthers, state.knownNodes, state.busyPercent };
}

node_directory::known_node& node_directory::known(const std::string& vm, instant now)
{
    auto [at, isNew] = m_nodes.try_emplace(vm);
    if (isNew) {
        at->second.knownSince = now;
        m_byHash[shortHash(vm)] = vm;
    }
    return at->second;
}

bool node_directory::isFormerIncarnation(const known_node& node, std::uint64_t incarnation)
{
    return node.hasHeartbeat && incarnation != 0 && incarnation < node.state.incarnation;
}

status_sender node_directory::applyStatus(const node_status& pulse, instant now)
{
    const auto name = m_byHash.find(pulse.node);
    const auto found = name == m_byHash.end() ? m_nodes.end() : m_nodes.find(name->second);
    if (found == m_nodes.end() || isFormerIncarnation(found->second, pulse.incarnation))
        return {};
    auto& known = found->second;
    const bool wasUnreachable = !isAlive(known, now);
    known.state.incarnation = pulse.incarnation;
    known.state.configurationVersion = pulse.configurationVersion;
    known.state.lastTargetChange = pulse.lastTargetChange;
    known.state.isReady = pulse.isReady;
    known.state.isStopping = pulse.isStopping;
    known.state.storeReach = pulse.storeReach;
    known.state.readsForOthers = pulse.readsForOthers;
    known.state.knownNodes = pulse.knownNodes;
    known.state.busyPercent = pulse.busyPercent;
    known.lastHeartbeatAt = now;
    known.hasHeartbeat = true;
    return { &known.state, wasUnreachable };
}

void node_directory::applyRegistration(const node_state& node, instant now)
{
    if (node.vm == m_self)
        return;
    auto& known = this->known(node.vm, now);
    // A node's own heartbeat takes precedence, since a registration may be executed late, after the node has moved.
    if (known.hasHeartbeat && isAlive(known, now))
        return;
    const auto reportedIncarnation = known.state.incarnation;
    known.state = node;
    known.state.incarnation = reportedIncarnation;
    known.state.isReady = known.state.isStopping = false;
}

bool node_directory::applyHeartbeat(const node_state& node, instant now)
{
    if (node.vm == m_self)
        return false;
    auto& known = this->known(node.vm, now);
    if (isFormerIncarnation(known, node.incarnation))
        return false;
    const bool wasUnreachable = !isAlive(known, now);
    known.state = node;
    known.lastHeartbeatAt = now;
    known.hasHeartbeat = true;
    return wasUnreachable;
}

std::vector<lost_node> node_directory::tick(instant now)
{
    std::vector<lost_node> lost;
    for (auto& [vm, known] : m_nodes) {
        const bool wasAlive = std::exchange(known.wasAlive, isAlive(known, now));
        if (wasAlive && !known.wasAlive)
            lost.push_back({ vm, now - known.lastHeartbeatAt });
    }
    std::erase_if(m_nodes, [&](const auto& item) {
        const auto& known = item.second;
        const auto last = known.hasHeartbeat ? known.lastHeartbeatAt : known.knownSince;
        return now >= last + m_settings.forgetAfter;
    });
    return lost;
}

bool node_directory::isAlive(const known_node& node, instant now) const
{
    return node.hasHeartbeat && now < node.lastHeartbeatAt + m_settings.peerTimeout;
}

bool node_directory::isAlive(const std::string& vm, instant now) const
{
    const auto found = m_nodes.find(vm);
    return found != m_nodes.end() && isAlive(found->second, now);
}

std::vector<node_state> node_directory::alive(instant now) const
{
    std::vector<node_state> out;
    for (const auto& [vm, known] : m_nodes) {
        if (isAlive(known, now))
            out.push_back(known.state);
    }
    return out;
}

// A node without any heartbeat is dated from when it became known. Otherwise nodes that are gone would be reported
// forever.
std::vector<node_report> node_directory::reports(instant now) const
{
    std::vector<node_report> out;
    for (const auto& [vm, known] : m_nodes) {
        const auto since = known.hasHeartbeat ? known.lastHeartbeatAt : known.knownSince;
        out.push_back({ known.state, isAlive(known, now) ? duration::zero() : now - since });
    }
    return out;
}

void node_directory::applyReport(const node_report& node, instant now)
{
    const auto& state = node.state;
    const auto found = m_nodes.find(state.vm);
    if (state.vm == m_self || (found != m_nodes.end() && isAlive(found->second, now)))
        return;
    if (node.silence == duration::zero()) {
        applyHeartbeat(state, now);
        return;
    }
    if (found != m_nodes.end() || node.silence >= m_settings.forgetAfter)
        return;
    applyRegistration(state, now);
    m_nodes.at(state.vm).knownSince = now - node.silence;
}

std::vector<node_state> node_directory::takeNodesToProbe(instant now)
{
    std::vector<node_state> out;
    for (auto& [vm, known] : m_nodes) {
        if (isAlive(known, now) || now < known.lastProbeAt + m_settings.probeInterval)
            continue;
        known.lastProbeAt = now;
        out.push_back(known.state);
    }
    return out;
}

std::uint64_t node_directory::newestVersion(instant now) const
{
    std::uint64_t newest = 0;
    for (const auto& [vm, known] : m_nodes) {
        if (isAlive(known, now))
            newest = std::max(newest, known.state.configurationVersion);
    }
    return newest;
}

void node_directory::applyListPosition(std::uint32_t node, instant sentAt)
{
    const auto name = m_byHash.find(node);
    const auto found = name == m_byHash.end() ? m_nodes.end() : m_nodes.find(name->second);
    if (found != m_nodes.end())
        found->second.listPositionAt = std::max(sentAt, found->second.listPositionAt.value_or(sentAt));
}

std::optional<instant> node_directory::oldestListPosition(instant now) const
{
    auto out = now;
    for (const auto& [vm, node] : m_nodes) {
        if (!isAlive(node, now) || !node.listPositionAt)
            return std::nullopt;
        out = std::min(out, *node.listPositionAt);
    }
    return out;
}

bool node_directory::haveAllStartedOnce(std::uint64_t own) const
{
    const auto registrations = static_cast<std::uint64_t>(knownCount());
    const auto isFirst = [registrations](std::uint64_t number) { return number > 0 && number <= registrations; };
    return isFirst(own) && std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto& item) {
        return isFirst(item.second.state.incarnation);
    });
}

int node_directory::maxKnownNodes(instant now) const
{
    int most = 0;
    for (const auto& [vm, known] : m_nodes) {
        if (isAlive(known, now))
            most = std::max(most, static_cast<int>(known.state.knownNodes));
    }
    return most;
}

std::vector<std::string> entryAddresses(const std::vector<node_state>& ready, std::size_t most, std::size_t turn)
{
    std::vector<std::string> out;
    const auto count = std::min(most, ready.size());
    for (std::size_t i = 0; i < count; ++i) {
        const auto& node = ready[(turn + i) % ready.size()];
        out.push_back(node.address + ":" + std::to_string(node.callerPort));
    }
    return out;
}

}
