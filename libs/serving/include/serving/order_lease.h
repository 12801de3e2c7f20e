// The right to give engines orders, for one node at a time, taken by appends to a topic of the store.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>

namespace tamarack::serving {

struct order_lease_settings {
    /// For which one claim is good. An order takes some milliseconds; a claim covers what is wanted together.
    duration length = std::chrono::seconds(3);
    /// Between orders of two nodes, as the platform bounds it.
    duration turn = std::chrono::seconds(3);
    /// Clocks of two VMs may run apart by this much meanwhile, and an order may be on its way.
    duration margin = std::chrono::milliseconds(700);
};

/// A claim is an append that the store carries out only if the topic ends where the claimant thinks. So of all who know
/// the same end one succeeds, and whoever knows it learned it after the claim before. A holder trusts itself for
/// `length` from *sending* its claim, on a clock that runs while the VM is suspended; anybody else waits for `length`,
/// `turn` and `margin` from *learning* where the topic ends. Learning comes after sending, so the two never overlap,
/// and `turn` lies between their orders. Nothing is renewed while no order is due.
class order_lease {
public:
    explicit order_lease(order_lease_settings settings);

    /// The offset at which to append a claim now; nothing while one is under way, or another node's may still be good.
    std::optional<std::int64_t> claimAt(instant now) const;
    void claimSent(instant now);
    /// The claim was appended there.
    void claimed(std::int64_t offset);
    /// It was not, since the topic ends at `end`.
    void foundEnd(std::int64_t end, instant now);
    /// The store did nothing, or nobody knows what it did: the claim may still be carried out, and is not trusted.
    void claimFailed(instant now);

    /// Whether this node may give orders that arrive within `length` from now.
    bool holdsFor(duration length, instant now) const;
    /// Rises with each claim of any node; valid only with holdsFor().
    std::int64_t fencingNumber() const { return m_end; }

private:
    order_lease_settings m_settings;
    std::int64_t m_end = 0; // of the topic, as far as is known
    bool m_isOwn = false; // the topic's last record is this node's own claim
    instant m_learnedAt; // when another end than that of an own claim was learned
    bool m_hasLearned = false;
    instant m_sentAt; // of the claim under way, or of the own one
    bool m_isPending = false;
    instant m_notBefore; // after a failure
};

}
