// Passes the load of targets between nodes in heartbeats: nobody asks every target, everybody knows every load.
#pragma once

#include "decide/membership.h"
#include "decide/target_table.h"
#include "peer/peer_messages.h"

#include <string>
#include <vector>

namespace tamarack {

class load_exchange {
public:
    load_exchange(std::string vm, std::string availabilityZone, target_table& targets);

    /// Targets that this node asks itself: of those in the table, the ones for which it ranks first in its zone.
    std::vector<target_id> watched(const std::vector<const peer_state*>& alive) const;
    /// Entries for the next heartbeat, at most `count`, turn by turn over the whole table.
    std::vector<load_entry> entries(std::size_t count, instant now);
    void take(const std::vector<load_entry>& entries, instant now);

private:
    std::string m_vm;
    std::string m_zone;
    target_table& m_targets;
    std::size_t m_next = 0; // row at which the next heartbeat's entries begin
    std::unordered_map<std::uint32_t, std::uint32_t> m_rowByHash;
    std::size_t m_indexedRows = 0;
};

}
