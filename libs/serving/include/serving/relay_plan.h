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

/// A node that may pass on for others of its zone.
struct relay_candidate {
    node_place place;
    std::size_t serves = 0; ///< so many nodes, itself included
    std::uint64_t weight = 0; ///< among relays of its zone, for the node that plans; spreads the nodes over them
};

/// The nodes of a zone but for the one that plans. Of the candidates that are not silent the first ones are its relays,
/// as many as it takes to serve all.
struct zone_relays {
    std::vector<relay_candidate> ranked; ///< the best first
    std::size_t nodes = 0; ///< to be served by them
    bool isOwn = false; ///< the zone of the node that plans
};

struct relay_plan {
    bool isRelay = false; ///< this node is one
    bool hasRelays = false; ///< some pass on for the others; else everyone tells everyone
    std::vector<zone_relays> zones;
    std::vector<node_place> everyone; ///< that lives
    std::uint32_t linkMegabits = 0; ///< a second, of this node's link; 0: not known
};

/// While there are few nodes each is a relay, and everyone tells everyone. With more, one of some thirty nodes of a
/// zone is: those with the widest links. Nodes may see others alive or not and come to different plans; each plan
/// works.
relay_plan planRelays(const node_state& self, const std::vector<node_state>& alive);

}
