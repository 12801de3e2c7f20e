// Acquires, renews and releases leases through the log. Does no I/O: time and records are passed in, and the records to
// append are returned.
#pragma once

#include "base/clock.h"
#include "decide/replicated_state.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

struct lease_settings {
    /// Time from sending a claim or renewal until the lease expires for its holder.
    duration length = std::chrono::seconds(6);
    /// Added by a challenger to the lease length: the largest drift between the clocks of two VMs over that time.
    duration margin = std::chrono::milliseconds(600);
    /// Delay before an append whose outcome is unknown is repeated.
    duration appendRetry = std::chrono::seconds(1);
};

/// A record to append; the caller assigns its sequence number and sends it.
struct append_request {
    record_body body;
};

/// The leases of one node. A holder considers its lease valid until the *sending* time of its last confirmed claim or
/// renewal plus the lease length, on a clock that also runs while the VM is suspended. A challenger waits for the lease
/// length plus a margin from the time at which it saw the lease's last record. A record is never seen before it is
/// sent, so the two periods never overlap.
class lease_system {
public:
    lease_system(instance_id self, lease_settings settings);

    /// Sets the leases that this node may claim, with its rank as a challenger: a higher rank claims later, so that
    /// challengers do not claim all at once.
    void setLeases(const std::map<std::string, int>& rankByLease);
    /// Must be called for every record read, with the verdict of the replicated state.
    void onLogRecord(const log_record& record, verdict v, instant now);
    /// The replicated state was replaced by that of a snapshot or a peer at `now`: each lease record that is new in it
    /// counts as seen at `now`.
    void onStateRestored(const replicated_state& state, instant now);
    /// Returns the claims, renewals and releases that are due. `mayClaim` is false while this node is stopping or not
    /// ready.
    std::vector<append_request> step(const replicated_state& state, instant now, bool mayClaim);
    /// Must be called when a returned record is sent at `now` with the sequence number `sequence`.
    void onAppendSent(const record_body& body, std::uint64_t sequence, instant now);

    /// Whether this node may act under the lease at `now`.
    bool holds(const std::string& lease, const replicated_state& state, instant now) const;
    /// The lease's present term; it is this node's own only while holds() is true.
    log_offset term(const std::string& lease, const replicated_state& state) const;
    /// Releases every held lease at the next step.
    void releaseAll() { m_isReleasing = true; }

private:
    struct entry {
        int rank = 0;
        log_offset lastSeenOffset; // last valid record of the lease, read from the log or contained in a snapshot or a
                                   // peer's state
        instant lastSeenAt; // when this node first saw that record
        bool hasSeenRecord = false;
        instant validUntil; // sending time of the last confirmed claim or renewal, plus the lease length
        bool isConfirmed = false; // this node's last claim or renewal was read back, and validUntil applies
        bool isPending = false; // an append is in flight
        instant pendingSince;
        instant nextRenewal;
        instant firstConsideredAt; // when step() first considered the lease
        std::map<std::uint64_t, instant> sentAt; // by sequence number; at most maxPendingSends entries
    };

    void stepLease(const std::string& name, entry& item, const replicated_state& state, instant now, bool mayClaim,
        std::vector<append_request>& out);
    bool isClaimable(const entry& item, const lease_state& held, instant now) const;

    instance_id m_self;
    lease_settings m_settings;
    std::map<std::string, entry> m_entries;
    bool m_isReleasing = false;
};

}
