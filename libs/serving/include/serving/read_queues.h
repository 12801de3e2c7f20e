// The engines' queues of prompts, one for each row of the fleet, and what nodes tell each other of them.
#pragma once

#include "serving/engine_pace.h"
#include "serving/engine_queue.h"
#include "serving/fleet_table.h"

#include <unordered_map>
#include <vector>

namespace tamarack::serving {

/// A prompt that a node has sent to an engine.
struct told_job {
    std::uint32_t target = 0; ///< shortHash() of the engine's instance
    std::uint32_t number = 0; ///< the node's own count
    read_rank rank = read_rank::tiny;
    std::uint32_t work = 0; ///< in tokens
    std::uint16_t ageMilliseconds = 0; ///< since it was sent
    std::uint64_t part = 0; ///< a shared part that the engine will keep when it has read the prompt
    std::uint32_t partTokens = 0; ///< of it; 0: it keeps nothing new that others could use
};

class read_queues {
public:
    /// `owner` tells this node's jobs from those of its peers.
    read_queues(const fleet_table& fleet, const engine_pace& pace, std::uint32_t owner);

    void setKnownNodes(int nodes) { m_nodes = nodes; }
    /// This node sends a prompt; the key is for the calls below.
    std::uint64_t add(target_id engine, read_rank rank, double work, const prompt_part& newPart, instant now);
    /// It was read; the model takes off what passes between that and the answer.
    void finished(target_id engine, std::uint64_t key, instant answeredAt);
    void removed(target_id engine, std::uint64_t key);
    /// A peer's prompts. `isAll`: those that it does not name are not there any more.
    void told(std::uint32_t peer, const std::vector<told_job>& jobs, bool isAll, instant now);
    /// This node's prompts that are not read yet.
    std::vector<told_job> own(instant now) const;
    /// Those added since the last call.
    std::vector<told_job> takeNew(instant now);

    double waitSeconds(target_id engine, read_rank rank, instant now);
    /// Seconds of reading that the engine has done since then, or is still to do.
    double readingSince(target_id engine, instant since, instant now);
    double longestLate(target_id engine) const;
    /// Seconds that the engine needs for the work itself.
    double readSeconds(target_id engine, double work, instant now) const;
    void forget(target_id engine);

private:
    struct own_job {
        std::uint64_t key = 0;
        target_id engine;
        read_rank rank = read_rank::tiny;
        double work = 0;
        prompt_part newPart;
        instant sentAt;
        bool wasTold = false;
    };

    /// A prompt that a peer has told of.
    struct peer_job {
        target_id engine;
        std::uint32_t number = 0;
    };

    engine_queue& queueOf(target_id engine);
    void dropAllBut(std::uint32_t peer, const std::vector<told_job>& named);
    /// Whether peers hear of it.
    bool isTold(const own_job& job) const;
    told_job describe(const own_job& job, instant now) const;
    void eraseOwn(std::uint64_t key);

    const fleet_table& m_fleet;
    const engine_pace& m_pace;
    std::uint32_t m_owner;
    std::uint32_t m_nextNumber = 1;
    int m_nodes = 1; // known, this one included
    std::vector<engine_queue> m_queues; // by row
    std::vector<own_job> m_own;
    std::unordered_map<std::uint32_t, std::vector<peer_job>> m_byPeer; // told and not known to be over
};

/// The rank of a prompt that can still be answered within its aim.
read_rank rankOf(double work);

}
