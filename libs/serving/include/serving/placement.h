// Chooses targets for requests: which one, and for prompts whether one engine does all or two share the work.
#pragma once

#include "base/random_source.h"
#include "serving/engine_pace.h"
#include "serving/fleet_table.h"
#include "serving/kept_connections.h"
#include "serving/prompt_cache_map.h"
#include "serving/read_queues.h"
#include "serving/stream_pauses.h"
#include "serving/target_health.h"

#include <vector>

namespace tamarack::serving {

/// What a choice has to know of a request.
struct placement_need {
    const serving_request& request;
    target_id avoid; ///< failed just now; taken only if there is no other
    double secondsToAim = 0; ///< left of the time in which an answer is fast
    bool mayReadApart = true; ///< else one engine has to do all
};

struct target_choice {
    target_id target; ///< invalid if no target takes the request now
    attempt_stage stage = attempt_stage::whole;
    read_rank rank = read_rank::tiny; ///< of its prompt in the engine's queue
    double work = 0; ///< tokens of prompt work that this puts on the target
    double waitSeconds = 0; ///< for what the engine reads before it
    double transferSeconds = 0; ///< for what the target fetches from another one before
    double seconds = 0; ///< predicted, until the stage's answer begins
    /// Where the target gets the prompt's beginning if it does not keep it; invalid: nowhere.
    target_id fetchFrom;
    bool isFetching = false; ///< it should not keep it
};

/// What placement reads; outlives it.
struct placement_inputs {
    const fleet_table& fleet;
    const engine_pace& pace;
    const prompt_cache_map& caches;
    const target_health& health;
    read_queues& queues;
    const kept_connections& connections;
};

class placement {
public:
    placement(placement_inputs inputs, std::uint64_t seed);

    /// Nodes that share each target's connections, this one included.
    void setKnownNodes(int nodes) { m_knownNodes = nodes < 1 ? 1 : nodes; }
    /// The first target of a request, or the next after a failure.
    target_choice chooseFirst(const placement_need& need, instant now);
    /// The engine that writes the answer of a prompt that `source` has read.
    target_choice chooseDecode(const placement_need& need, target_id source, instant now);
    /// Whether the service has any target that may take work soon.
    bool hasTargets(const std::string& service) const { return !m_inputs.fleet.rowsOf(service).empty(); }

private:
    /// What an engine has of a prompt's beginning.
    struct kept_beginning {
        target_id engine;
        std::int64_t tokens = 0;
    };

    /// Targets that take new work now; those to avoid only if there are no others.
    const std::vector<std::uint32_t>& candidates(const placement_need& need, instant now);
    /// Whether the target is of the kind that its service consists of.
    bool isOfKind(std::uint32_t row) const;
    bool hasRoom(target_id id) const;
    target_choice choosePlain(instant now);
    /// Requests of peers at a candidate, on average.
    double meanPeersRunning() const;
    target_choice chooseEngine(const placement_need& need, instant now);
    /// Seconds of waiting that are as bad as the slots taken at an engine.
    double crowdingSeconds(target_id id) const;
    /// Seconds of waiting that are as bad as making a new connection to the target, if it takes one.
    double connectingSeconds(target_id id, instant now) const;
    /// Share of the target's slots that would be taken with one more request.
    double takenShare(target_id id) const;
    /// Seconds of waiting that are as bad as the pauses of streams if an engine that writes reads so many tokens.
    double pauseSeconds(target_id id, double work, instant now);
    /// Fills m_keepers with the engines that have some of the prompt's beginning.
    void findKeepers(const placement_need& need);
    /// The one from which `id` had best fetch the beginning; no tokens if there is none.
    kept_beginning bestKeeperFor(target_id id) const;
    /// What it takes to read the prompt at an engine, its beginning fetched where that is better.
    target_choice reading(target_id id, const placement_need& need, instant now) const;
    double transferTime(std::int64_t tokens, target_id from, target_id to) const;
    /// Seconds from the end of reading at `reader` to the first event at another engine.
    double takeOver(target_id reader, const placement_need& need) const;
    /// Seconds for which a late request can hold up others, beyond those for which late ones do so there already.
    double newBlocking(const target_choice& choice, instant now) const;
    double lateTakesSlot(target_id id) const;
    /// Of the prompt, that the engine does not keep.
    double missingShare(target_id id, const serving_request& request) const;

    placement_inputs m_inputs;
    stream_pauses m_pauses;
    random_source m_random;
    int m_knownNodes = 1;
    const service_profile* m_profile = nullptr; // of the service that is chosen for; may be null
    // Kept between calls to avoid allocation.
    std::vector<std::uint32_t> m_candidates;
    std::vector<kept_beginning> m_keepers;
};

}
