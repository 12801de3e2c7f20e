// Which targets this node has idle connections to, that a request may use.
#pragma once

#include "serving/fleet_table.h"

#include <vector>

namespace tamarack::serving {

/// A new connection costs a round trip, and time at the target. With many nodes before many targets, a node meets each
/// target seldom, and connections lapse unused; so what is kept counts in the choice among targets.
class kept_connections {
public:
    /// A connection to the target is idle and may be used until then.
    void kept(target_id target, instant until);
    bool has(target_id target, instant now) const;
    /// The one that was used last, if there is any, is used again.
    void taken(target_id target, instant now);
    /// None of them is trusted any more.
    void forget(target_id target);

private:
    std::vector<std::vector<instant>> m_until; // by row of the fleet, in order of time
};

}
