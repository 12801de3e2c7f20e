// Tracks the targets to which this node has idle connections that a request can use.
#pragma once

#include "serving/fleet_table.h"

#include <vector>

namespace tamarack::serving {

/// A new connection costs a round trip and work at the target. With many nodes before many targets a node uses each
/// target seldom, and idle connections expire unused; so placement takes open connections into account.
class idle_connections {
public:
    /// Records that a connection to the target is idle and may be used until `until`.
    void add(target_id target, instant until);
    bool has(target_id target, instant now) const;
    /// Removes the most recently used connection, if there is one, because a request uses it.
    void take(target_id target, instant now);
    /// Removes all connections to the target.
    void forget(target_id target);

private:
    std::vector<std::vector<instant>> m_expiries; // by row of the fleet, in ascending order
};

}
