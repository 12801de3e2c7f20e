// Provides a lease on sending orders to engines. One node at a time holds it, and nodes acquire it by appending to a
// topic of the store.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>

namespace tamarack::serving {

struct order_lease_settings {
    /// Validity of one claim. An order takes a few milliseconds, and one claim covers all orders that are due together.
    duration length = std::chrono::seconds(3);
    /// Minimum time that the platform requires between orders issued by two different nodes. The lease keeps it between
    /// any two nodes, whichever engines they address.
    duration orderSpacing = std::chrono::seconds(3);
    /// Allowance for clock drift between two VMs during the lease and for orders in transit.
    duration margin = std::chrono::milliseconds(700);
};

/// A claim is a conditional append that the store executes only if the topic ends at the offset that the claimant
/// expects. Of all nodes that expect the same end, one succeeds, and every node that knows this end learned it after
/// the previous claim. A holder uses the lease for `length` from *sending* its claim, measured by a clock that keeps
/// running while the VM is suspended. Any other node waits for `length`, `orderSpacing` and `margin` from *learning*
/// where the topic ends. Learning happens after sending, so two leases never overlap, and `orderSpacing` separates
/// their orders. The lease is not renewed while no order is due.
class order_lease {
public:
    explicit order_lease(order_lease_settings settings);

    /// Offset at which to append a claim now. Empty while a claim is in progress or while another node's claim may
    /// still be valid.
    std::optional<std::int64_t> claimAt(instant now) const;
    void claimSent(instant now);
    /// The claim was appended at this offset.
    void claimed(std::int64_t offset);
    /// The topic ends at `end`, with a claim of another node or of an earlier process of this one.
    void foundEnd(std::int64_t end, instant now);
    /// The topic ends at `end`, with a claim of this process. No other node has claimed since, so this one may claim
    /// again without waiting, but the claim that was found is not used.
    void foundOwnEnd(std::int64_t end);
    /// The claim was rejected. The end of the topic is not known until foundEnd() or foundOwnEnd().
    void claimRejected();
    /// The claim failed or its outcome is unknown. The store may still execute it, but the claim is not used.
    void claimFailed(instant now);

    /// Whether this node may send orders that arrive within `length` from now.
    bool holdsFor(duration length, instant now) const;
    /// Fencing token, which increases with each claim of any node. Valid only if holdsFor() is true.
    std::int64_t fencingNumber() const { return m_end; }

private:
    order_lease_settings m_settings;
    std::int64_t m_end = 0; // last known end offset of the topic
    bool m_isOwn = false; // the last record of the topic is this node's claim
    instant m_learnedAt; // when the end was learned from a rejected or failed claim
    bool m_hasLearned = false;
    instant m_sentAt; // send time of the claim in progress or of the valid one
    bool m_isPending = false;
    instant m_notBefore; // no claim before this time, set after a failure
};

}
