// Chooses the entry addresses that a caller is given, where nodes differ in what their VMs can carry.
#pragma once

#include "serving/node_directory.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::serving {

/// Resources of a VM, as its settings name them. A member that is zero is not known.
struct vm_resources {
    double processorShare = 0; ///< cores
    double linkMegabits = 0; ///< megabits per second
    int descriptors = 0;
};

/// Requests per second that a VM can carry, by the resource that runs out first. Zero if no resource is known.
std::uint32_t requestCapacity(const vm_resources& resources);

/// Whether the nodes name capacities that differ. Only then do callers go to nodes by capacity and zone.
bool haveUnevenCapacity(const std::vector<node_state>& nodes);

/// The weight of a node in answers to callers: its capacity, and less once it is busy.
double entryWeight(const node_state& node);

/// Chooses entry addresses for callers of one availability zone. Callers pick one of the addresses at random, so the
/// share of the answers that contain a node is the share of the callers that it gets.
///
/// An answer consists of nodes of the caller's zone, each as often as its weight says, and of at least one node of each
/// other zone, so that callers still have an address when their zone is lost: of the callers of an idle zone of 12
/// nodes or more, one in seven goes to other zones with two of these, one in five with three. The busier the zone is
/// compared with the others, the more nodes of other zones it contains.
class entry_choice {
public:
    /// `seed` differs from node to node, so that nodes that start together do not name the same nodes.
    explicit entry_choice(std::uint64_t seed);

    /// At most `most` addresses. Without uneven capacities, the result is that of entryAddresses().
    std::vector<std::string> choose(const std::vector<node_state>& ready, std::string_view zone, std::size_t most);

private:
    std::uint64_t m_seed;
    std::size_t m_answers = 0; // given so far
};

}
