// Assigns duties to nodes by rendezvous hashing.
#include "serving/duty_assignment.h"

#include "base/hash.h"

#include <algorithm>
#include <tuple>

namespace tamarack::serving {

namespace {

    constexpr std::string_view platformDuties = "platform-duties";

}

bool isOnDuty(std::string_view duty, const node_state& self, const std::vector<node_state>& alive, std::size_t count)
{
    const auto own = rendezvousWeight(self.vm, duty);
    const auto heavier = std::count_if(alive.begin(), alive.end(),
        [&](const node_state& node) { return node.vm != self.vm && rendezvousWeight(node.vm, duty) > own; });
    return static_cast<std::size_t>(heavier) < count;
}

std::vector<node_state> platformDutyNodes(
    const node_state& self, const std::vector<node_state>& alive, std::size_t count)
{
    // After an outage of the store the other nodes find out one after the other that it is back. Each of them would
    // take the duties over, and each change costs a lease.
    std::vector<std::tuple<bool, std::uint64_t, const node_state*>> ranked;
    const auto rank = [&](const node_state& node) {
        if (node.isReady && !node.isStopping && node.storeReach == store_reach::reached)
            ranked.emplace_back(node.readsForOthers, rendezvousWeight(node.vm, platformDuties), &node);
    };
    rank(self);
    for (const auto& node : alive) {
        if (node.vm != self.vm)
            rank(node);
    }
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
    std::partial_sort(ranked.begin(), end, ranked.end(), std::greater<>());
    std::vector<node_state> out;
    for (auto item = ranked.begin(); item != end; ++item)
        out.push_back(*std::get<const node_state*>(*item));
    return out;
}

namespace {

    /// A reader needs a wide link: sending 20 changes at once to 80 peers takes 0.3 s on a link of 10 Mbit/s. Its send
    /// queue drops what does not fit, and every node that missed a part reads the store.
    bool hasWidestLink(const node_state& self, const std::vector<node_state>& others)
    {
        return std::none_of(others.begin(), others.end(),
            [&](const node_state& node) { return node.linkMegabits > self.linkMegabits; });
    }

    /// A node that has not tried counts as able to reach the store. Otherwise nobody would follow the store in place of
    /// the readers when only the readers are cut off from it.
    bool mayReachStore(const node_state& node) { return node.storeReach != store_reach::lost; }

    std::vector<node_state> withLink(const std::vector<node_state>& nodes, std::uint32_t megabits)
    {
        std::vector<node_state> out;
        std::copy_if(nodes.begin(), nodes.end(), std::back_inserter(out),
            [&](const node_state& node) { return node.linkMegabits >= megabits; });
        return out;
    }

}

bool readsForZone(const node_state& self, const std::vector<node_state>& alive)
{
    std::vector<node_state> candidates;
    std::copy_if(alive.begin(), alive.end(), std::back_inserter(candidates), [&](const node_state& node) {
        return node.availabilityZone == self.availabilityZone && node.vm != self.vm && !node.isStopping;
    });
    // If no node of the availability zone reaches the store, one of them keeps trying for the others.
    const bool isAway = !mayReachStore(self) && std::none_of(candidates.begin(), candidates.end(), mayReachStore);
    if (!isAway) {
        if (!mayReachStore(self))
            return false;
        std::erase_if(candidates, [](const node_state& node) { return !mayReachStore(node); });
    }
    // A current reader steps down only for another active reader. A node that has just started may be the assigned one
    // but collects state first; if the previous reader stepped down immediately, nobody would distribute a change
    // recorded in between.
    if (self.readsForOthers)
        std::erase_if(candidates, [](const node_state& node) { return !node.readsForOthers; });
    return hasWidestLink(self, candidates) && isOnDuty("targets", self, withLink(candidates, self.linkMegabits), 1);
}

const node_state* peerToAsk(
    const node_state& self, const std::vector<node_state>& alive, const std::function<bool(const node_state&)>& knows)
{
    const auto rank = [&](const node_state& node) {
        return std::tuple(
            node.linkMegabits, node.availabilityZone == self.availabilityZone, rendezvousWeight(self.vm, node.vm));
    };
    const node_state* best = nullptr;
    for (const auto& node : alive) {
        const bool isUseful = node.adminPort != 0 && knows(node);
        if (isUseful && (!best || rank(node) > rank(*best)))
            best = &node;
    }
    return best;
}

zone_duties::zone_duties(const node_state& self, const std::vector<node_state>& alive)
    : m_self(rendezvousSeed(self.vm))
{
    m_zones[self.availabilityZone].hasSelf = true;
    m_all.hasSelf = true;
    for (const auto& node : alive) {
        const auto seed = rendezvousSeed(node.vm);
        m_zones[node.availabilityZone].others.push_back(seed);
        m_all.others.push_back(seed);
    }
}

bool zone_duties::isOnDuty(std::string_view duty, std::string_view zone, std::size_t count) const
{
    const auto found = m_zones.find(zone);
    const auto& nodes = found == m_zones.end() ? m_all : found->second;
    if (!nodes.hasSelf)
        return false;
    const auto own = rendezvousWeight(m_self, duty);
    std::size_t heavier = 0;
    for (const auto other : nodes.others) {
        heavier += rendezvousWeight(other, duty) > own;
        if (heavier >= count)
            return false;
    }
    return true;
}

}
