// Ranks of nodes.
#include "serving/relay_plan.h"

#include "base/hash.h"

#include <algorithm>
#include <map>

namespace tamarack::serving {

namespace {

    /// With more nodes in all, some of them pass on for the others.
    constexpr std::size_t mostThatTellAll = 20;
    constexpr std::size_t nodesOfRelay = 32;

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

    std::size_t relaysOf(const zone_members& zone) { return (zone.size() + nodesOfRelay - 1) / nodesOfRelay; }

    /// The relays of the own zone, spread over its nodes; then its other nodes, in case that all of those are silent.
    std::vector<node_place> choicesOf(const node_state& self, const zone_members& zone)
    {
        auto ranked = zone;
        std::erase(ranked, &self);
        const auto relays = static_cast<std::ptrdiff_t>(std::min(relaysOf(zone), ranked.size()));
        std::sort(ranked.begin(), ranked.begin() + relays, [&](const node_state* a, const node_state* b) {
            return rendezvousWeight(self.vm, a->vm) > rendezvousWeight(self.vm, b->vm);
        });
        std::vector<node_place> out;
        for (const auto* node : ranked)
            out.push_back(placeOf(*node));
        return out;
    }

}

relay_plan planRelays(const node_state& self, const std::vector<node_state>& alive)
{
    relay_plan plan;
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
        zone_relays relays;
        relays.wanted = relaysOf(zone);
        const auto own = std::find(zone.begin(), zone.end(), &self);
        if (own - zone.begin() < static_cast<std::ptrdiff_t>(relays.wanted) && !self.isStopping) {
            plan.isRelay = true;
            --relays.wanted;
        }
        for (const auto* node : zone) {
            if (node != &self)
                relays.ranked.push_back(placeOf(*node));
        }
        plan.zones.push_back(std::move(relays));
    }
    if (!plan.isRelay)
        plan.choices = choicesOf(self, zones[self.availabilityZone]);
    return plan;
}

}
