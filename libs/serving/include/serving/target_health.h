// Judges targets by what this node's own attempts saw, since a target's word on its health can be false either way.
#pragma once

#include "serving/fleet_table.h"

#include <vector>

namespace tamarack::serving {

/// A target is left for a while, or used again.
struct health_change {
    target_id target;
    std::string_view reason;
    int failuresInARow = 0;
    duration blockedFor = duration::zero(); ///< zero: it is used again
};

/// Blocks a target for a while after failures in a row; the time doubles while the first attempt after it fails again.
class target_health {
public:
    explicit target_health(fleet_table& fleet);

    void succeeded(target_id id);
    /// It could not be connected to, or broke off.
    void failed(target_id id, instant now);
    /// It has no room; asked again soon.
    void rejected(target_id id, instant now);
    /// Another target answers at its address; the list will tell.
    void misdirected(target_id id, instant now);
    /// It answered with a failure of its own. No reason to leave it, but one to prefer others.
    void answeredFailure(target_id id);
    /// Share of its answers that were failures lately.
    double failureShare(target_id id) const;
    /// The row is another target's now.
    void forget(target_id id);
    /// Changes since the last call, for the log.
    std::vector<health_change> takeChanges();

private:
    void reserveRow(std::size_t row);
    void countAnswer(target_id id, double failure);
    void block(target_id id, instant now, duration length, std::string_view reason);

    fleet_table& m_fleet;
    // Columns by row of the fleet.
    std::vector<int> m_failuresInARow;
    std::vector<double> m_failureShare;
    std::vector<std::uint8_t> m_isLeft; // a block was told, and no success since
    std::vector<health_change> m_changes;
};

}
