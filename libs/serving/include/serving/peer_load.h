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

/// Sums the peers' requests into the fleet's columns. A peer that fell silent is forgotten: what it had under way ends
/// soon, and a node that is gone must not keep a target looking busy.
class peer_load {
public:
    peer_load(fleet_table& fleet, duration life);

    void heard(const std::string& peer, std::vector<load_entry> entries, instant now);
    void setLife(duration life) { m_life = life; }
    /// Brings the columns up to date; cheap when nothing has changed.
    void refresh(instant now);
    /// What this node has under way, for its own heartbeat.
    std::vector<load_entry> own() const;

private:
    struct told_load_of_peer {
        instant at;
        std::vector<load_entry> entries;
    };

    fleet_table& m_fleet;
    duration m_life;
    std::map<std::string, told_load_of_peer> m_byPeer;
    instant m_nextSum; // not before: the sum goes over all peers
    bool m_isChanged = false;
};

}
