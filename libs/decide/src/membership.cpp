// Tracks nodes by heartbeats and by the VM list.
#include "decide/membership.h"

#include <algorithm>

namespace tamarack {

membership::membership(std::string self, membership_settings settings, std::uint64_t seed)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_random(seed)
{
}

void membership::applyHeartbeat(const peer_state& state, instant now)
{
    if (state.instance.node == m_self || !state.instance.isValid())
        return;
    peer& known = m_peers[state.instance.node];
    if (known.hasHeartbeat && state.instance.incarnation < known.state.instance.incarnation)
        return;
    known.state = state;
    known.receivedAt = now;
    known.hasHeartbeat = true;
    m_lastHeartbeatAt = now;
}

void membership::updateVmList(const std::vector<listed_vm>& vms, instant now)
{
    for (auto& [name, known] : m_peers)
        known.isListed = known.isListedLeaving = false;
    for (const auto& vm : vms) {
        if (vm.kind != "entry" || vm.name == m_self)
            continue;
        peer& known = m_peers[vm.name];
        known.isListed = true;
        known.isListedLeaving = vm.isLeaving;
        if (known.hasHeartbeat)
            continue;
        known.state.instance.node = vm.name;
        known.state.address = vm.address;
        known.state.peerPort = vm.peerPort;
        known.state.callerPort = vm.callerPort;
        known.state.availabilityZone = vm.availabilityZone;
    }
    std::erase_if(m_peers, [&](const auto& item) {
        const peer& known = item.second;
        const bool isSilent = !known.hasHeartbeat || now >= known.receivedAt + m_settings.forgetAfter;
        return !known.isListed && isSilent;
    });
}

std::vector<const peer_state*> membership::alive(instant now) const
{
    std::vector<const peer_state*> found;
    for (const auto& [name, known] : m_peers) {
        if (known.hasHeartbeat && now < known.receivedAt + m_settings.peerTimeout)
            found.push_back(&known.state);
    }
    return found;
}

bool membership::isAlive(const std::string& vm, instant now) const
{
    const auto found = m_peers.find(vm);
    return found != m_peers.end() && found->second.hasHeartbeat
        && now < found->second.receivedAt + m_settings.peerTimeout;
}

bool membership::isLeaving(const std::string& vm) const
{
    const auto found = m_peers.find(vm);
    return found != m_peers.end() && found->second.isListedLeaving;
}

instance_id membership::newestInstance(const std::string& vm) const
{
    const auto found = m_peers.find(vm);
    if (found == m_peers.end() || !found->second.hasHeartbeat)
        return {};
    return found->second.state.instance;
}

const peer_state* membership::find(const std::string& vm) const
{
    const auto found = m_peers.find(vm);
    return found == m_peers.end() ? nullptr : &found->second.state;
}

std::vector<peer_address> membership::heartbeatRecipients(instant)
{
    std::vector<const peer*> all;
    for (const auto& [name, known] : m_peers) {
        if (known.state.peerPort != 0)
            all.push_back(&known);
    }
    // Silent nodes are included: a node that was partitioned rejoins only if another node sends it a heartbeat.
    std::vector<peer_address> chosen;
    const std::size_t count = std::min(all.size(), m_settings.heartbeatsPerRound);
    for (std::size_t i = 0; i < count; ++i) {
        const auto index = i + m_random.below(all.size() - i);
        std::swap(all[i], all[index]);
        const auto& state = all[i]->state;
        chosen.push_back({ state.instance.node, state.address, state.peerPort });
    }
    return chosen;
}

}
