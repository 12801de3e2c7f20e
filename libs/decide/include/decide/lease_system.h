// Takes and keeps leases through the log. Pure: time and records come in, appends go out.
#pragma once

#include "base/clock.h"
#include "decide/agreed_state.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

struct lease_settings {
    duration length = std::chrono::seconds(6);
    /// Added by a challenger: clocks of two VMs may run apart by this much over a lease length.
    duration margin = std::chrono::milliseconds(600);
    /// Pause before an append without an outcome is written again.
    duration appendRetry = std::chrono::seconds(1);
};

/// An append that a system wants; the caller numbers and sends it.
struct wanted_append {
    record_body body;
};

/// One node's part in every lease. A holder trusts itself until the *sending* time of its last confirmed renewal plus
/// the length, on a clock that runs while the VM is suspended; a challenger waits the length plus a margin from its own
/// sight of the lease's last record. Sight is never before sending, so the two never overlap.
class lease_system {
public:
    lease_system(instance_id self, lease_settings settings);

    /// The leases this node may take part in; `rank` spreads challengers, 0 goes first.
    void setLeases(const std::map<std::string, int>& rankByLease);
    /// Call for every record read, after the fold has judged it.
    void recordSeen(const log_record& record, verdict v, instant now);
    /// The agreed state was taken over from a restatement at `now`: each lease record that is new in it counts as seen
    /// now.
    void restored(const agreed_state& state, instant now);
    /// Claims, renewals and releases that are due. `mayClaim` is false while this node is stopping or not ready.
    std::vector<wanted_append> step(const agreed_state& state, instant now, bool mayClaim);
    /// The append was given `sequence` and is being sent at `now`.
    void appendSent(const record_body& body, std::uint64_t sequence, instant now);

    /// Whether this node may act under the lease at `now`.
    bool holds(const std::string& lease, const agreed_state& state, instant now) const;
    /// The term under which it may act; valid only with holds().
    log_offset term(const std::string& lease, const agreed_state& state) const;
    /// Orders to release every held lease at the next step.
    void releaseAll() { m_releasing = true; }

private:
    struct entry {
        int rank = 0;
        log_offset lastSeen; // the lease's last valid record that this node saw, itself or in a peer's state
        instant sightOfLast; // when this node saw it
        bool everSeen = false;
        instant trustedUntil; // from the sending time of the last confirmed claim or renewal
        bool isTrusted = false;
        bool isPending = false; // an append is under way
        instant pendingSince;
        instant nextRenewal;
        instant firstWanted; // when this node first looked at the lease
        std::map<std::uint64_t, instant> sentAt; // by sequence; bounded by maxPendingSends
    };

    void stepOne(const std::string& name, entry& item, const agreed_state& state, instant now, bool mayClaim,
        std::vector<wanted_append>& out);
    bool isVacant(const entry& item, const lease_state& held, instant now) const;

    instance_id m_self;
    lease_settings m_settings;
    std::map<std::string, entry> m_entries;
    bool m_releasing = false;
};

}
