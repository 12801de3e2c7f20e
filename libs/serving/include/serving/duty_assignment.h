// Assigns duties that only one or two nodes perform for the whole fleet. Each node computes the assignment from the
// nodes it considers alive, without coordination.
#pragma once

#include "serving/node_directory.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::serving {

/// Whether `self` is one of the `count` nodes assigned to a duty. Nodes with different views of the fleet may both be
/// assigned, which costs a redundant call, so duties must be idempotent.
bool isOnDuty(std::string_view duty, const node_state& self, const std::vector<node_state>& alive, std::size_t count);

/// The nodes that may call the platform for the fleet, at most `count`, the one that is assigned first. Readers of the
/// store come before the others. Nodes with different views may assign different ones, so the calls need a lease.
std::vector<node_state> platformDutyNodes(
    const node_state& self, const std::vector<node_state>& alive, std::size_t count);

/// Whether `self` polls the target list at short intervals and distributes the changes within its availability zone.
/// The assigned node is one that reaches the store or has not tried yet. If no node reaches the store, one node keeps
/// trying.
bool readsForZone(const node_state& self, const std::vector<node_state>& alive);

/// Selects the node to query among those for which `knows` holds, or null if there is none. Prefers the nodes with the
/// widest link, then nodes of the own availability zone, and spreads the queries by a hash of the names. If all nodes
/// queried the first one, its link could be as narrow as theirs, and they would wait for seconds.
const node_state* peerToAsk(
    const node_state& self, const std::vector<node_state>& alive, const std::function<bool(const node_state&)>& knows);

/// Assigns many duties to the nodes of each availability zone. One object serves all duties, so that the nodes are
/// hashed and grouped by zone once and not again for each duty. With 300 nodes and 3,000 duties, repeating this work
/// would be expensive.
class zone_duties {
public:
    zone_duties(const node_state& self, const std::vector<node_state>& alive);

    /// Whether `self` is one of the `count` nodes of the availability zone assigned to a duty. If no node is known in
    /// the zone, the duty is assigned among all nodes.
    bool isOnDuty(std::string_view duty, std::string_view zone, std::size_t count) const;

private:
    struct zone_nodes {
        std::vector<std::uint64_t> others; // rendezvous seeds of the node names
        bool hasSelf = false;
    };

    std::uint64_t m_self; // rendezvous seed of the own name
    std::map<std::string, zone_nodes, std::less<>> m_zones;
    zone_nodes m_all;
};

}
