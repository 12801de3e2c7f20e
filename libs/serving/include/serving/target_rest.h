// Keeps for how long targets have asked this node to send them nothing.
#pragma once

#include "serving/fleet_table.h"

#include <vector>

namespace tamarack::serving {

/// What a target has said about the rest that it wants from this node.
struct rest_change {
    target_id target;
    duration rest = duration::zero();
};

/// A rest belongs to one instance and to the node that was told: a target that can't serve one node may serve another.
/// Of several rests the latest end holds: answers come over several connections, so one that asks for less may have
/// been given before one that asks for more. After a rest one request is sent first, and the others once it is
/// answered, since a target often turns away what comes after the rest, too.
class target_rests {
public:
    /// A longer rest is cut to this; an instance that wants nothing for so long leaves the target list first.
    static constexpr duration maxRest = std::chrono::hours(1);
    /// The time after which a further request is sent although the first one after a rest has no answer yet.
    static constexpr duration trialTime = std::chrono::milliseconds(200);

    explicit target_rests(fleet_table& fleet);

    /// The target has asked for a rest. A rest of no length is ignored.
    void told(target_id id, duration rest, instant now);
    /// A request has been sent to the target.
    void sent(target_id id, instant now);
    /// The target works on a request that was sent at `sentAt`, or has answered it.
    void answered(target_id id, instant sentAt);
    /// Clears the row, because it now belongs to another target.
    void forget(target_id id);
    /// What targets have said since the last call, for the log.
    std::vector<rest_change> takeChanges();

private:
    void reserveRow(std::size_t row);

    fleet_table& m_fleet;
    std::vector<std::uint8_t> m_isReturning; // by row of the fleet: no request has been answered since the last rest
    std::vector<rest_change> m_changes;
};

}
