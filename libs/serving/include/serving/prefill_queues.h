// Provides the prefill queues of all engines, one for each row of the fleet, and the reports about them that nodes
// exchange.
#pragma once

#include "serving/engine_pace.h"
#include "serving/engine_queue.h"
#include "serving/fleet_table.h"

#include <unordered_map>
#include <vector>

namespace tamarack::serving {

/// Reports that a node has sent a prompt to an engine.
struct prefill_report {
    std::uint32_t target = 0; ///< shortHash() of the engine's instance
    std::uint32_t number = 0; ///< sequence number of the sending node
    prefill_rank rank = prefill_rank::tiny;
    std::uint32_t work = 0; ///< in tokens
    std::uint16_t ageMilliseconds = 0; ///< since the prompt was sent
    std::uint64_t part = 0; ///< a shared part that the engine will have cached after the prefill
    std::uint32_t partTokens = 0; ///< length of that part; 0: nothing new that other requests could use
};

class prefill_queues {
public:
    /// `owner` distinguishes this node's jobs from those of its peers.
    prefill_queues(const fleet_table& fleet, const engine_pace& pace, std::uint32_t owner);

    void setKnownNodes(int nodes) { m_knownNodes = nodes; }
    /// Adds a prompt that this node sends. Returns the key for finish() and cancel().
    std::uint64_t add(target_id engine, prefill_rank rank, double work, const prompt_part& newPart, instant now);
    /// Records the end of a prefill; the time between that and the answer is subtracted from `answeredAt`.
    void finish(target_id engine, std::uint64_t key, instant answeredAt);
    void cancel(target_id engine, std::uint64_t key);
    /// Applies a peer's reports. If `isAll` is set, the peer's jobs that are not in `jobs` are removed.
    void applyPeerReports(std::uint32_t peer, const std::vector<prefill_report>& jobs, bool isAll, instant now);
    /// Reports of this node's prompts that are not prefilled yet.
    std::vector<prefill_report> localReports(instant now) const;
    /// Reports of the prompts added since the last call.
    std::vector<prefill_report> takeNewReports(instant now);

    double waitSeconds(target_id engine, prefill_rank rank, instant now);
    /// Seconds of prefill that the engine has done since `since` or still has to do.
    double prefillSecondsSince(target_id engine, instant since, instant now);
    double longestLateSeconds(target_id engine) const;
    /// Seconds that the engine needs for the work itself.
    double prefillSeconds(target_id engine, double work, instant now) const;
    void forget(target_id engine);

private:
    struct local_job {
        std::uint64_t key = 0;
        target_id engine;
        prefill_rank rank = prefill_rank::tiny;
        double work = 0;
        prompt_part newPart;
        instant sentAt;
        bool isReported = false;
    };

    /// A prompt that a peer has reported.
    struct peer_job {
        target_id engine;
        std::uint32_t number = 0;
    };

    engine_queue& queueOf(target_id engine);
    void removeUnlisted(std::uint32_t peer, const std::vector<prefill_report>& listed);
    /// Whether the job is reported to peers.
    bool mustReport(const local_job& job) const;
    prefill_report makeReport(const local_job& job, instant now) const;
    void eraseLocal(std::uint64_t key);

    const fleet_table& m_fleet;
    const engine_pace& m_pace;
    std::uint32_t m_owner;
    std::uint32_t m_nextNumber = 1;
    int m_knownNodes = 1; // this one included
    std::vector<engine_queue> m_queues; // by row of the fleet
    std::vector<local_job> m_localJobs;
    std::unordered_map<std::uint32_t, std::vector<peer_job>> m_byPeer; // prompts not known to have ended
};

/// The rank of a prompt that can still meet its aim, by its work in tokens.
prefill_rank rankOf(double work);

}
