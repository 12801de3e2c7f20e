// Says whether a target may be given a request, for the decisions that place, order and refuse requests.
#pragma once

#include "serving/fleet_table.h"
#include "serving/serving_configuration.h"

namespace tamarack::serving {

/// The one picture of what targets can take now. All nodes together count.
class target_room {
public:
    explicit target_room(const fleet_table& fleet);

    /// Sets the number of nodes, this one included, that share the connections of each target.
    void setKnownNodes(int nodes) { m_knownNodes = nodes < 1 ? 1 : nodes; }
    /// The number of requests that all nodes together may have at the target.
    int capacity(target_id id) const;
    /// Whether this node may send the target one more request. `profile` is that of the target's service; null if the
    /// service is not configured.
    bool accepts(target_id id, const service_profile* profile) const;

private:
    const fleet_table& m_fleet;
    int m_knownNodes = 1;
};

}
