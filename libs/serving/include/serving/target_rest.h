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

/// A rest belongs to one instance and to the node that was told. Of several rests the latest end holds: answers come
/// over several connections, so one that asks for less may have been given before one that asks for more.
class target_rests {
public:
    /// A longer rest is cut to this; an instance that wants nothing for so long leaves the target list first.
    static constexpr duration maxRest = std::chrono::hours(1);

    explicit target_rests(fleet_table& fleet);

    /// The target has asked for a rest. A rest of no length is ignored.
    void told(target_id id, duration rest, instant now);
    /// What targets have said since the last call, for the log.
    std::vector<rest_change> takeChanges();

private:
    fleet_table& m_fleet;
    std::vector<rest_change> m_changes;
};

}
