// Provides the exchange of target loads in heartbeats, by which each node learns the load of every target although it
// polls only some of them.
#pragma once

#include "decide/membership.h"
#include "decide/target_table.h"
#include "peer/peer_messages.h"

#include <string>
#include <vector>

namespace tamarack {

/// Encodes and applies load entries for a target table, which must outlive it.
class load_exchange {
public:
    load_exchange(std::string vm, std::string availabilityZone, target_table& targets);

    /// Returns the targets that this node polls: those for which it has the highest rendezvous weight among the alive
    /// nodes of its availability zone.
    std::vector<target_id> targetsToPoll(const std::vector<const peer_state*>& alive) const;
    /// Returns up to `count` entries for the next heartbeat. Successive calls go round-robin over the whole table.
    std::vector<load_entry> entries(std::size_t count, instant now);
    /// Applies entries received from a peer. Entries that are not newer than the known report are ignored.
    void applyEntries(const std::vector<load_entry>& entries, instant now);

private:
    std::string m_vm;
    std::string m_zone;
    target_table& m_targets;
    std::size_t m_nextRow = 0; // row, modulo the table size, at which the next heartbeat's entries begin
    std::unordered_map<std::uint32_t, std::uint32_t> m_rowByHash;
    std::size_t m_indexedRows = 0;
};

}
