// Tracks how current a node's copy of a store topic is and decides when the node reads the store itself.
#pragma once

#include "base/clock.h"
#include "serving/node_directory.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace tamarack::serving {

/// Intervals as fractions of the bound within which a record must be in force. Detecting missing confirmations and the
/// staggered refresh that follows together take less than the bound, which leaves time for the store's answer.
namespace freshness_share {
    /// Long-poll wait, and pause between plain reads, of the node that confirms for the fleet. A poll that a new record
    /// ends early confirms only its start, so two polls may pass before the next confirmation.
    constexpr double confirmerWait = 0.25;
    constexpr double confirmerPause = 0.35;
    constexpr double staleAfter = 0.5;
    constexpr double refreshRound = 0.1;
}

/// The instant up to which this node has all records of a topic, from its own reads or those of a peer.
class freshness {
public:
    /// `bound`: the time within which a record must be in force. The age is counted from `startedAt` at first.
    freshness(duration bound, instant startedAt);

    /// This node has every record that the store held at `completeAt`. Earlier instants have no effect.
    void confirmed(instant completeAt);
    duration age(instant now) const { return now - m_completeAt; }
    bool isStale(instant now) const;
    /// Number of nodes that may read the store by now. It starts small, since one answer serves the fleet, and grows
    /// exponentially, since only one node may be able to reach the store.
    std::size_t refreshQuota(instant now) const;
    /// Whether the node with this rank is due to read the store. Returns true once per confirmation, so a
    /// store outage causes one refresh per node.
    bool claimRefresh(std::size_t rank, instant now);

private:
    duration m_bound;
    instant m_completeAt;
    std::optional<instant> m_claimedFor; // m_completeAt at the last claim
};

/// Position of `self` in the refresh order: readers, then nodes that reach the store, then those that have not tried,
/// then those that have lost it.
std::size_t refreshRank(const node_state& self, const std::vector<node_state>& alive);

/// Whether `self` is the reader that sends confirmations at short intervals for the whole fleet.
bool confirmsForFleet(const node_state& self, const std::vector<node_state>& alive);

}
