// Which nodes do what one or two of them can do for all: every node finds the same answer from the nodes that it hears,
// without a vote.
#pragma once

#include "serving/node_directory.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::serving {

/// Whether `self` is among the `count` nodes for a duty. Nodes that see different peers may both do it, which costs a
/// call and no more; so a duty must do no harm when it is done twice.
bool isOnDuty(std::string_view duty, const node_state& self, const std::vector<node_state>& alive, std::size_t count);

/// Whether `self` follows the target list closely, and tells the others of its zone: one node that reaches the store,
/// or one that goes on asking while none does.
bool readsForZone(const node_state& self, const std::vector<node_state>& alive);

/// Of nodes that all know what is wanted, the one to ask; null if there is none. What goes wrong with any of them: all
/// ask the first one, whose link may be as narrow as theirs, and wait for seconds. So only nodes with the widest link
/// of `alive` are asked, in the own zone where there are such; the name spreads the rest.
const node_state* peerToAsk(
    const node_state& self, const std::vector<node_state>& alive, const std::function<bool(const node_state&)>& knows);

/// The nodes of one availability zone; all, if there are none in it.
std::vector<node_state> nodesOfZone(const std::vector<node_state>& nodes, std::string_view zone);

}
