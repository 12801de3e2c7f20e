// Chooses targets for requests, and decides for prompts whether one engine does prefill and decode or two engines share
// them.
#pragma once

#include "base/random_source.h"
#include "serving/engine_pace.h"
#include "serving/fleet_table.h"
#include "serving/idle_connections.h"
#include "serving/prefill_queues.h"
#include "serving/prompt_cache_map.h"
#include "serving/stream_pauses.h"
#include "serving/target_health.h"
#include "serving/target_room.h"

#include <optional>
#include <vector>

namespace tamarack::serving {

/// What a choice needs to know about a request.
struct placement_query {
    const serving_request& request;
    target_id avoid; ///< the target that has just failed; used only if there is no other
    double secondsUntilAim = 0; ///< time left in which the answer counts as fast
    bool maySplitPrefill = true; ///< whether prefill and decode may run at different engines
    build_id build; ///< the only build whose targets may answer; invalid: any
};

struct target_choice {
    target_id target; ///< invalid if no target accepts the request now
    attempt_stage stage = attempt_stage::whole;
    prefill_rank rank = prefill_rank::tiny; ///< of the prompt in the engine's queue
    double work = 0; ///< prefill work that this adds to the target, in tokens
    double waitSeconds = 0; ///< predicted wait for the jobs ahead in the engine's queue
    double transferSeconds = 0; ///< predicted time to fetch the prefix or the KV cache from another engine
    double seconds = 0; ///< predicted time until the stage's answer begins
    /// The engine from which the target fetches the prompt's prefix if it does not have it cached; invalid if there is
    /// none.
    target_id fetchFrom;
    bool isFetching = false; ///< whether the target is expected to need the fetch
    bool isRescuing = false; ///< the prefix is fetched from an engine that leaves, and no other has it
};

/// The state that placement reads; must outlive it.
struct placement_inputs {
    const fleet_table& fleet;
    const engine_pace& pace;
    const prompt_cache_map& caches;
    const target_health& health;
    prefill_queues& queues;
    const idle_connections& connections;
    const target_room& room;
};

class placement {
public:
    placement(placement_inputs inputs, std::uint64_t seed);

    /// Chooses the first target of a request, or the next one after a failure.
    target_choice chooseFirst(const placement_query& query, instant now);
    /// Chooses the engine that decodes the answer to a prompt that `source` has prefilled.
    target_choice chooseDecode(const placement_query& query, target_id source, instant now);
    /// If all targets that could answer the request rest, the earliest end of their rests; otherwise nothing.
    std::optional<instant> allRestUntil(const placement_query& query, instant now);
    /// The targets that could serve the request and have a limit, in ascending order. Leaving ones are left out.
    std::vector<std::uint32_t> limitedTargets(const placement_query& query, instant now);
    /// Whether all targets that could answer the request have limits and none of them a permit.
    bool isLimited(const placement_query& query, instant now);
    /// Whether the service has any listed targets.
    bool hasTargets(const std::string& service) const { return !m_inputs.fleet.rowsOf(service).empty(); }

private:
    /// The part of a prompt's prefix that an engine has cached.
    struct cached_prefix {
        target_id engine;
        std::int64_t tokens = 0;
        bool isLeaving = false;
    };

    /// Whether the target may write the answer, as far as its role and its build go.
    bool mayAnswer(std::uint32_t row, const placement_query& query) const;
    /// The targets that accept new requests now, either to answer or only to prefill. Contains the target to avoid only
    /// if no other may answer.
    const std::vector<std::uint32_t>& candidates(const placement_query& query, instant now);
    /// Whether the target's role fits its service: engines for a service of engines, plain targets for others.
    bool matchesServiceKind(std::uint32_t row) const;
    target_choice choosePlain(instant now);
    /// The mean number of peers' requests at a candidate.
    double meanPeersRunning() const;
    target_choice chooseEngine(const placement_query& query, instant now);
    /// The cost of the slots in use at an engine, in equivalent seconds of waiting.
    double occupancyPenaltySeconds(target_id id) const;
    /// The cost of a new connection to the target, in equivalent seconds of waiting; 0 if an idle one exists.
    double connectionPenaltySeconds(target_id id, instant now) const;
    /// The share of the target's slots in use with one more request.
    double occupancyShare(target_id id) const;
    /// The cost of the pauses in the streams of a decoding engine if it prefills `work` tokens, in equivalent seconds
    /// of waiting.
    double pausePenaltySeconds(target_id id, double work, instant now);
    /// Fills m_prefixHolders with the engines that have some of the prompt's prefix cached.
    void findPrefixHolders(const placement_query& query, instant now);
    /// The engine from which `id` should fetch the prefix; 0 tokens if there is none.
    cached_prefix bestHolderFor(target_id id) const;
    /// Predicts the prefill of the prompt at an engine, with its prefix fetched from another engine where that saves
    /// work.
    target_choice estimatePrefill(target_id id, const placement_query& query, instant now) const;
    double transferTime(std::int64_t tokens, target_id from, target_id to) const;
    /// Seconds from the end of the prefill to the first event at another engine.
    double handoverSeconds(target_id prefillEngine, const placement_query& query) const;
    /// Seconds for which a late request can delay others at the target, beyond those for which late requests there do
    /// so already.
    double addedBlockingSeconds(const target_choice& choice, instant now) const;
    double lateSlotPenaltySeconds(target_id id) const;
    /// Whether the prompt's shared prefix is long, the instances of a whole zone may leave at once, and no engine of
    /// another zone has the prefix cached.
    bool isOnlyCopyIn(const std::string& zone, const serving_request& request) const;
    /// The share of the prompt that the engine has not cached.
    double uncachedShare(target_id id, const serving_request& request) const;

    placement_inputs m_inputs;
    stream_pauses m_pauses;
    random_source m_random;
    const service_profile* m_profile = nullptr; // of the service to choose for; may be null
    // Buffers reused between calls to avoid allocation.
    std::vector<std::uint32_t> m_candidates;
    std::vector<cached_prefix> m_prefixHolders;
};

}
