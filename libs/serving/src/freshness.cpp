// Staleness bounds, refresh quotas and node ranking.
#include "serving/freshness.h"

#include "base/hash.h"

#include <algorithm>
#include <tuple>

namespace tamarack::serving {

namespace {

    constexpr std::size_t initialQuota = 4;
    constexpr std::size_t quotaGrowth = 8; ///< growth factor per round

    duration share(double part, duration whole) { return fromSeconds(part * seconds(whole)); }

    int reachRank(const node_state& node)
    {
        if (node.storeReach == store_reach::lost)
            return 3;
        if (node.readsForOthers)
            return 0;
        return node.storeReach == store_reach::reached ? 1 : 2;
    }

}

freshness::freshness(duration bound, instant startedAt)
    : m_bound(bound)
    , m_completeAt(startedAt)
{
}

void freshness::confirmed(instant completeAt) { m_completeAt = std::max(m_completeAt, completeAt); }

bool freshness::isStale(instant now) const { return age(now) >= share(freshness_share::staleAfter, m_bound); }

std::size_t freshness::refreshQuota(instant now) const
{
    if (!isStale(now))
        return 0;
    const auto rounds
        = (age(now) - share(freshness_share::staleAfter, m_bound)) / share(freshness_share::refreshRound, m_bound);
    std::size_t out = initialQuota;
    constexpr std::size_t quotaLimit = std::size_t { 1 } << 32;
    for (auto i = rounds; i > 0 && out < quotaLimit; --i)
        out *= quotaGrowth;
    return out;
}

bool freshness::claimRefresh(std::size_t rank, instant now)
{
    if (rank >= refreshQuota(now) || m_claimedFor == m_completeAt)
        return false;
    m_claimedFor = m_completeAt;
    return true;
}

std::size_t refreshRank(const node_state& self, const std::vector<node_state>& alive)
{
    const auto rank
        = [](const node_state& node) { return std::tuple(reachRank(node), ~rendezvousWeight(node.vm, "asking")); };
    const auto own = rank(self);
    return static_cast<std::size_t>(std::count_if(
        alive.begin(), alive.end(), [&](const node_state& node) { return node.vm != self.vm && rank(node) < own; }));
}

bool confirmsForFleet(const node_state& self, const std::vector<node_state>& alive)
{
    const auto own = rendezvousWeight(self.vm, "confirming");
    return self.readsForOthers && std::none_of(alive.begin(), alive.end(), [&](const node_state& node) {
        const bool mayConfirm
            = node.readsForOthers && !node.isStopping && node.storeReach != store_reach::lost && node.vm != self.vm;
        return mayConfirm && rendezvousWeight(node.vm, "confirming") > own;
    });
}

}
