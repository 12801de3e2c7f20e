// Judges the health of targets by the outcomes of attempts, this node's own and its peers', because what a target
// reports about its own health can be wrong in both directions.
#pragma once

#include "serving/fleet_table.h"

#include <vector>

namespace tamarack::serving {

/// A target is blocked for a while, or is in use again.
struct health_change {
    target_id target;
    std::string_view reason;
    int failuresInARow = 0;
    duration blockedFor = duration::zero(); ///< zero: it is in use again
};

/// The outcomes of a node's attempts at a target since its last report.
struct health_report {
    std::uint32_t target = 0; ///< shortHash() of the target's instance
    std::uint16_t answers = 0; ///< outcomes of any kind
    std::uint16_t failures = 0; ///< the failures among them, in tenths
};

/// Blocks a target for a while after several failures in a row; the time doubles as long as the first attempt after it
/// fails again. It also keeps the share of recent attempts that failed, which placement uses to prefer other targets.
class target_health {
public:
    explicit target_health(fleet_table& fleet);

    void recordSuccess(target_id id, instant now);
    /// Records that the connection to the target failed or broke off.
    void recordFailure(target_id id, instant now);
    /// Records that the target has closed a connection without a whole answer. A request can cause that, so it does not
    /// block the last target of its service and role that accepts work.
    void recordClosed(target_id id, instant now);
    /// Records the same for this node only: its path to the target may be at fault, so the peers get no report.
    void recordUnreached(target_id id, instant now);
    /// Records that the target has no capacity; it is blocked only briefly.
    void recordRejection(target_id id, instant now);
    /// Records that another instance answers at the target's address. The target list will report the new instance.
    void recordMisdirection(target_id id, instant now);
    /// Records that the target answered with a failure of its own. This does not block it, but placement prefers
    /// others.
    void recordFailureAnswer(target_id id, instant now);
    /// Adds the outcomes that a peer reports.
    void applyPeerReport(target_id id, const health_report& report, instant now);
    /// Returns reports for the peers: the outcomes since the last call at targets that have failed recently.
    std::vector<health_report> takeReports(instant now);
    /// The share of recent attempts at the target that failed, those of peers included. After one failure in one
    /// attempt it is 0.2.
    double failureShare(target_id id, instant now) const;
    /// Clears the row, because it now belongs to another target.
    void forget(target_id id);
    /// Changes since the last call, for the log.
    std::vector<health_change> takeChanges();

private:
    /// Numbers of attempts and failures, which decay with the half-life `evidenceHalfLife`.
    struct evidence {
        double answers = 0;
        double failures = 0;
        instant at;
    };
    /// Outcomes that are not reported to peers yet.
    struct unreported_counts {
        int answers = 0;
        double failures = 0;
    };

    void reserveRow(std::size_t row);
    static evidence decayedTo(const evidence& item, instant now);
    void recordOutcome(target_id id, double failure, instant now);
    void blockIfFailedInARow(target_id id, instant now);
    bool isLastOfService(target_id id, instant now) const;
    void add(target_id id, double answers, double failures, instant now);
    void block(target_id id, instant now, duration length, std::string_view reason);

    fleet_table& m_fleet;
    // Columns, by row of the fleet.
    std::vector<int> m_failuresInARow;
    std::vector<evidence> m_evidence;
    std::vector<unreported_counts> m_unreported;
    std::vector<std::uint8_t> m_isAvoided; // blocked, and no success since
    std::vector<health_change> m_changes;
};

}
