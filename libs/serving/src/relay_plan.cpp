// Ranks nodes and selects the relays of each availability zone.
#include "serving/relay_plan.h"

#include "base/hash.h"

#include <algorithm>
#include <map>

namespace tamarack::serving {

namespace {

    /// With this many peers or more, messages go through relays.
    constexpr std::size_t minPeersForRelays = 20;
    /// Maximum number of nodes per relay. A fleet of 300 nodes sends about 40 KB a second in total, and each node of a
    /// relay receives all of it from the relay.
    constexpr std::size_t maxNodesPerRelay = 32;
    constexpr std::size_t minNodesPerRelay = 6;
    constexpr std::size_t megabitsPerNode = 2; ///< megabits per second of the relay's link for each node it serves

    node_endpoint endpointOf(const node_state& node) { return { node.address, node.peerPort }; }

    /// Orders candidates by preference. Wide links come first, since a relay sends the messages of all nodes to each of
    /// its nodes.
    bool ranksBefore(const node_state& a, const node_state& b)
    {
        if (a.linkMegabits != b.linkMegabits)
            return a.linkMegabits > b.linkMegabits;
        constexpr std::string_view duty = "relay";
        const auto weightA = rendezvousWeight(a.vm, duty);
        const auto weightB = rendezvousWeight(b.vm, duty);
        return weightA != weightB ? weightA > weightB : a.vm < b.vm;
    }

    using zone_members = std::vector<const node_state*>;

    std::size_t relayCapacity(const node_state& relay)
    {
        if (relay.linkMegabits == 0)
            return maxNodesPerRelay;
        return std::clamp<std::size_t>(relay.linkMegabits / megabitsPerNode, minNodesPerRelay, maxNodesPerRelay);
    }

    /// Whether `self` is one of the first candidates whose capacity covers all nodes of their zone.
    bool isSelectedAsRelay(const node_state& self, const zone_members& ranked)
    {
        std::size_t served = 0;
        for (const auto* node : ranked) {
            if (served >= ranked.size())
                return false;
            if (node == &self)
                return true;
            served += relayCapacity(*node);
        }
        return false;
    }

    zone_relays candidatesOf(const node_state& self, const zone_members& ranked)
    {
        zone_relays out;
        out.nodeCount = ranked.size();
        for (const auto* node : ranked) {
            if (node == &self)
                out.isOwnZone = true;
            else
                out.ranked.push_back({ endpointOf(*node), relayCapacity(*node), rendezvousWeight(self.vm, node->vm) });
        }
        return out;
    }

}

relay_plan planRelays(const node_state& self, const std::vector<node_state>& alive)
{
    relay_plan plan;
    plan.linkMegabits = self.linkMegabits;
    std::map<std::string_view, zone_members> zones;
    zones[self.availabilityZone].push_back(&self);
    for (const auto& node : alive) {
        plan.allNodes.push_back(endpointOf(node));
        if (!node.isStopping)
            zones[node.availabilityZone].push_back(&node);
    }
    plan.hasRelays = alive.size() >= minPeersForRelays;
    plan.isRelay = !plan.hasRelays;
    if (!plan.hasRelays)
        return plan;
    for (auto& [name, zone] : zones) {
        std::sort(
            zone.begin(), zone.end(), [](const node_state* a, const node_state* b) { return ranksBefore(*a, *b); });
        auto relays = candidatesOf(self, zone);
        if (!self.isStopping && isSelectedAsRelay(self, zone)) {
            plan.isRelay = true;
            relays.nodeCount -= std::min(relays.nodeCount, relayCapacity(self));
        }
        plan.zones.push_back(std::move(relays));
    }
    return plan;
}

}
