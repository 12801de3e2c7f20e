// Tracks how many requests other nodes have at each target, from their heartbeats.
#pragma once

#include "serving/fleet_table.h"

#include <map>
#include <string>
#include <vector>

namespace tamarack::serving {

/// The requests of one node at one target.
struct load_entry {
    std::uint32_t target = 0; ///< shortHash() of the target's instance
    std::uint16_t running = 0;
};

/// Adds the peers' requests to the fleet table, as differences between successive heartbeats. Entries of a peer that
/// has been silent for the time-to-live are removed: its requests end soon, and a node that is gone must not keep a
/// target looking busy.
class peer_load {
public:
    peer_load(fleet_table& fleet, duration timeToLive);

    void update(const std::string& peer, const std::vector<load_entry>& entries, instant now);
    void setTimeToLive(duration timeToLive) { m_timeToLive = timeToLive; }
    /// Removes peers whose time-to-live has passed; rate-limited.
    void refresh(instant now);
    /// The in-flight requests of this node, for its own heartbeat.
    std::vector<load_entry> localLoad() const;

private:
    /// What an entry of a peer has added to a row. It is subtracted again only if the row still belongs to the same
    /// target.
    struct added_load {
        target_id row;
        load_entry entry;
    };
    struct peer_report {
        instant at;
        std::vector<added_load> added;
    };

    void subtract(const peer_report& report);

    fleet_table& m_fleet;
    duration m_timeToLive;
    std::map<std::string, peer_report> m_byPeer;
    instant m_nextRefresh; // rate limit, as a refresh scans all peers
};

}
