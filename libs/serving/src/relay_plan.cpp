// Ranks of nodes.
#include "serving/relay_plan.h"

#include "base/hash.h"

#include <algorithm>
#include <map>

namespace tamarack::serving {

namespace {

    /// With more nodes in all, some of them pass on for the others.
    constexpr std::size_t mostThatTellAll = 20;
    /// That a relay passes on to: 300 nodes tell some 40 KB a second in all, and each of its nodes gets that from it.
    constexpr std::size_t mostNodesOfRelay = 32;
    constexpr std::size_t fewestNodesOfRelay = 6;
    constexpr std::size_t megabitsPerNode = 2; ///< of its link

    node_place placeOf(const node_state& node) { return { node.address, node.peerPort }; }

    /// The best first: a relay sends each of its nodes what all nodes tell.
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

    std::size_t nodesOf(const node_state& relay)
    {
        if (relay.linkMegabits == 0)
            return mostNodesOfRelay;
        return std::clamp<std::size_t>(relay.linkMegabits / megabitsPerNode, fewestNodesOfRelay, mostNodesOfRelay);
    }

    /// Whether `self` is among the first that serve all of their zone.
    bool isAmongFirst(const node_state& self, const zone_members& ranked)
    {
        std::size_t served = 0;
        for (const auto* node : ranked) {
            if (served >= ranked.size())
                return false;
            if (node == &self)
                return true;
            served += nodesOf(*node);
        }
        return false;
    }

    zone_relays relaysOf(const node_state& self, const zone_members& ranked)
    {
        zone_relays out;
        out.nodes = ranked.size();
        for (const auto* node : ranked) {
            if (node == &self)
                out.isOwn = true;
            else
                out.ranked.push_back({ placeOf(*node), nodesOf(*node), rendezvousWeight(self.vm, node->vm) });
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
        plan.everyone.push_back(placeOf(node));
        if (!node.isStopping)
            zones[node.availabilityZone].push_back(&node);
    }
    plan.hasRelays = alive.size() >= mostThatTellAll;
    plan.isRelay = !plan.hasRelays;
    if (!plan.hasRelays)
        return plan;
    for (auto& [name, zone] : zones) {
        std::sort(
            zone.begin(), zone.end(), [](const node_state* a, const node_state* b) { return ranksBefore(*a, *b); });
        auto relays = relaysOf(self, zone);
        if (!self.isStopping && isAmongFirst(self, zone)) {
            plan.isRelay = true;
            relays.nodes -= std::min(relays.nodes, nodesOf(self));
        }
        plan.zones.push_back(std::move(relays));
    }
    return plan;
}

}
