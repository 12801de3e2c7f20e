// How many requests other nodes have at each target, as their heartbeats told it.
#pragma once

#include "serving/fleet_table.h"

#include <map>
#include <string>
#include <vector>

namespace tamarack::serving {

/// One peer's requests at one target.
struct load_entry {
    std::uint32_t target = 0; ///< shortHash() of its instance
    std::uint16_t running = 0;
};

/// Sums the peers' requests into the fleet's columns, by what each heartbeat changes. A peer that fell silent is
/// forgotten: what it had under way ends soon, and a node that is gone must not keep a target looking busy.
class peer_load {
public:
    peer_load(fleet_table& fleet, duration life);

    void heard(const std::string& peer, const std::vector<load_entry>& entries, instant now);
    void setLife(duration life) { m_life = life; }
    /// Forgets peers that are silent; looks seldom.
    void refresh(instant now);
    /// What this node has under way, for its own heartbeat.
    std::vector<load_entry> own() const;

private:
    /// What a peer's entry has added to a row; it is taken off again only while the row is the same target's.
    struct added_load {
        target_id row;
        load_entry entry;
    };
    struct told_load_of_peer {
        instant at;
        std::vector<added_load> added;
    };

    void takeOff(const told_load_of_peer& told);

    fleet_table& m_fleet;
    duration m_life;
    std::map<std::string, told_load_of_peer> m_byPeer;
    instant m_nextLook; // not before: it goes over all peers
};

}
