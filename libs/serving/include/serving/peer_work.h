// What other nodes have under way at each target, as their heartbeats told it.
#pragma once

#include "serving/fleet_table.h"

#include <map>
#include <string>
#include <vector>

namespace tamarack::serving {

/// One peer's work at one target.
struct work_entry {
    std::uint32_t target = 0; ///< shortHash() of its instance
    std::uint16_t running = 0;
    std::uint32_t fastTokens = 0; ///< prompt work not done yet, by lane
    std::uint32_t lateTokens = 0;
};

/// Sums the peers' work into the fleet's columns. A peer that fell silent is forgotten: what it had under way ends
/// soon, and a node that is gone must not keep a target looking busy.
class peer_work {
public:
    peer_work(fleet_table& fleet, duration life);

    void heard(const std::string& peer, std::vector<work_entry> entries, instant now);
    /// Brings the columns up to date; cheap when nothing has changed.
    void refresh(instant now);
    /// What this node has under way, for its own heartbeat.
    std::vector<work_entry> own() const;

private:
    struct told_work {
        instant at;
        std::vector<work_entry> entries;
    };

    fleet_table& m_fleet;
    duration m_life;
    std::map<std::string, told_work> m_byPeer;
    instant m_nextSum; // not before: the sum goes over all peers
    bool m_isChanged = false;
};

}
