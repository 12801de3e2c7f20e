// Chooses targets for requests: which one, and for prompts whether one engine does all or two share the work.
#pragma once

#include "base/random_source.h"
#include "serving/engine_pace.h"
#include "serving/fleet_table.h"
#include "serving/prompt_cache_map.h"
#include "serving/target_health.h"

#include <vector>

namespace tamarack::serving {

/// What a choice has to know of a request.
struct placement_need {
    const serving_request& request;
    target_id avoid; ///< failed just now; taken only if there is no other
    double secondsToAim = 0; ///< left of the time in which an answer is fast
};

struct target_choice {
    target_id target; ///< invalid if no target takes the request now
    attempt_stage stage = attempt_stage::whole;
    work_lane lane = work_lane::fast;
    double work = 0; ///< tokens of prompt work that this puts on the target
    double workBefore = 0; ///< that goes before it there
    double seconds = 0; ///< predicted, until the stage's answer begins
    target_id fetchFrom; ///< where the target gets the prompt's beginning; invalid: it keeps it, or reads it
};

/// What placement reads; outlives it.
struct placement_inputs {
    const fleet_table& fleet;
    const engine_pace& pace;
    const prompt_cache_map& caches;
    const target_health& health;
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
    /// Targets that take new work now; those to avoid only if there are no others.
    const std::vector<std::uint32_t>& candidates(const placement_need& need, instant now);
    bool hasRoom(target_id id, const placement_need& need) const;
    target_choice choosePlain(const placement_need& need, instant now);
    target_choice chooseEngine(const placement_need& need, instant now);
    /// The engine that keeps most of the prompt's beginning; invalid if none keeps any of it.
    target_id bestKeeper(const placement_need& need) const;
    /// What it takes to read the prompt at an engine, its beginning fetched from `keeper` where that is better.
    target_choice reading(target_id id, target_id keeper, const placement_need& need) const;

    placement_inputs m_inputs;
    random_source m_random;
    int m_knownNodes = 1;
    std::vector<std::uint32_t> m_candidates; // kept between calls to avoid allocation
};

}
