// Which nodes do what one or two of them can do for all: every node finds the same answer from the nodes that it hears,
// without a vote.
#pragma once

#include "serving/node_directory.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::serving {

/// Whether `self` is among the `count` nodes for a duty. Nodes that see different peers may both do it, which costs a
/// call and no more; so a duty must do no harm when it is done twice.
bool isOnDuty(std::string_view duty, const node_state& self, const std::vector<node_state>& alive, std::size_t count);

/// Whether `self` follows the target list closely, and tells the others of its zone: one node that reaches the store or
/// has not asked it yet, or one that goes on asking while none reaches it.
bool readsForZone(const node_state& self, const std::vector<node_state>& alive);

/// Of nodes that all know what is wanted, the one to ask; null if there is none. What goes wrong with any of them: all
/// ask the first one, whose link may be as narrow as theirs, and wait for seconds. So one with the widest link of them
/// is asked, in the own zone where there are such; the name spreads the rest.
const node_state* peerToAsk(
    const node_state& self, const std::vector<node_state>& alive, const std::function<bool(const node_state&)>& knows);

/// Shares many duties out among the nodes of each zone; made once for all of them, since with 300 nodes and 3,000
/// duties each look at a node counts.
class zone_roster {
public:
    zone_roster(const node_state& self, const std::vector<node_state>& alive);

    /// Whether `self` is among the `count` nodes of the zone for a duty; of all nodes, if there are none in the zone.
    bool isOnDuty(std::string_view duty, std::string_view zone, std::size_t count) const;

private:
    struct zone_nodes {
        std::vector<std::uint64_t> others; // seeds of the names
        bool hasSelf = false;
    };

    std::uint64_t m_self; // seed of the own name
    std::map<std::string, zone_nodes, std::less<>> m_zones;
    zone_nodes m_all;
};

}
