// Selects the nodes that relay messages for others. Each node computes the plan from the nodes it considers alive.
#pragma once

#include "serving/node_directory.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace tamarack::serving {

/// Address at which a node receives datagrams.
struct node_endpoint {
    std::string address; ///< IP address
    std::uint16_t port = 0;

    auto operator<=>(const node_endpoint&) const = default;
};

/// A node that may relay messages for others of its availability zone.
struct relay_candidate {
    node_endpoint endpoint;
    std::size_t capacity = 0; ///< number of nodes it can serve, including itself
    std::uint64_t weight
        = 0; ///< rendezvous weight for the planning node, which distributes the nodes over the relays of a zone
};

/// The relay candidates of an availability zone, without the planning node. The relays are the first available
/// candidates whose capacity covers all nodes of the zone.
struct zone_relays {
    std::vector<relay_candidate> ranked; ///< best first
    std::size_t nodeCount = 0; ///< number of nodes that the relays serve
    bool isOwnZone = false; ///< the zone of the planning node
};

struct relay_plan {
    bool isRelay = false; ///< this node is a relay
    bool hasRelays = false; ///< messages go through relays; otherwise all nodes form a full mesh
    std::vector<zone_relays> zones;
    std::vector<node_endpoint> allNodes; ///< all nodes that are alive
    std::uint32_t linkMegabits = 0; ///< megabits per second of this node's link; 0 if unknown
};

/// Computes the plan for `self`. A small fleet uses a full mesh, in which each node is its own relay. In a larger
/// fleet, about one of thirty nodes of an availability zone is a relay, preferably those with the widest links. Nodes
/// with different views of the fleet may compute different plans, and any combination of plans works.
relay_plan planRelays(const node_state& self, const std::vector<node_state>& alive);

}
