// Which nodes pass on what the others tell, found by each node from the nodes that it hears.
#pragma once

#include "serving/node_directory.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace tamarack::serving {

/// Where a node takes datagrams.
struct node_place {
    std::string address; ///< IP number
    std::uint16_t port = 0;

    auto operator<=>(const node_place&) const = default;
};

/// Nodes of one zone other than the one that plans, the best relays first.
struct zone_relays {
    std::vector<node_place> ranked;
    std::size_t wanted = 0; ///< of them
};

struct relay_plan {
    bool isRelay = false; ///< this node is one
    bool hasRelays = false; ///< some pass on for the others; else everyone tells everyone
    std::vector<zone_relays> zones;
    std::vector<node_place> choices; ///< for this node, if it is none: the best first
    std::vector<node_place> everyone; ///< that lives
};

/// While there are few nodes each is a relay, and everyone tells everyone. With more, one of some thirty nodes of a
/// zone is: those with the widest links. Nodes may see others alive or not and come to different plans; each plan
/// works.
relay_plan planRelays(const node_state& self, const std::vector<node_state>& alive);

}
