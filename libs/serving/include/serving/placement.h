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
    const shared_beginning& beginning;
    target_id avoid; ///< failed just now; taken only if there is no other
};

struct target_choice {
    target_id target; ///< invalid if no target takes the request now
    attempt_stage stage = attempt_stage::whole;
    double work = 0; ///< tokens of prompt work that this puts on the target
    double seconds = 0; ///< predicted, until the stage's answer begins
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
    target_choice wholeAt(target_id id, const placement_need& need) const;
    target_choice prefillAt(target_id id, const placement_need& need) const;
    std::int64_t keptTokens(target_id id, const placement_need& need, target_id home) const;
    /// The engine of the role on which all nodes look first for a beginning.
    target_id homeOf(const shared_beginning& beginning, std::initializer_list<target_role> roles) const;

    placement_inputs m_inputs;
    random_source m_random;
    int m_knownNodes = 1;
    std::vector<std::uint32_t> m_candidates; // kept between calls to avoid allocation
};

}
