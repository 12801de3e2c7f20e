// Estimates how fast engines prefill prompts, import KV caches and decode, from the durations that this node observes
// at them and at engines of the same kind.
#pragma once

#include "serving/fleet_table.h"
#include "serving/serving_request.h"

#include <string>
#include <vector>

namespace tamarack::serving {

/// The cost of prefilling `totalTokens` tokens of which `cachedTokens` are in the engine's KV cache, in tokens that
/// take the usual time each. Every token attends to all tokens before it, so the cost grows faster than the length of
/// the prompt.
double prefillWork(std::int64_t cachedTokens, std::int64_t totalTokens);

/// Seconds to transfer the KV cache of `tokens` tokens from one engine to another, from the link speed in the
/// configuration.
double transferSeconds(const service_profile& service, std::int64_t tokens, bool isSameZone);

/// Estimates are kept by service and role, because with many nodes and many engines a node finds a given engine idle
/// only once or twice in half a minute and would never learn the pace of each engine by itself. Engines of one service
/// and role are assumed to be alike, so an observation at one of them counts for all; how much longer one engine takes
/// than the others is kept by engine, as its slowness.
class engine_pace {
public:
    explicit engine_pace(const fleet_table& fleet);

    /// Seconds that this engine takes for one token of prefill work.
    double secondsPerToken(target_id id, instant now) const { return typicalSecondsPerToken(id) * slowness(id, now); }
    /// Seconds that engines of the same kind typically take for one token of prefill work.
    double typicalSecondsPerToken(target_id id) const;
    /// Seconds from sending a prompt to its first event, or to the exported KV cache, beyond those for the prefill
    /// work.
    double prefillOverheadSeconds(target_id id) const;
    /// Seconds from sending a request that imports a KV cache to its first event, beyond those for the transfer.
    double importOverheadSeconds(target_id id) const;
    /// Seconds of a step in which an engine of this kind decodes one token of each stream and prefills nothing.
    double stepSeconds(target_id id) const;
    /// The factor by which the engine's durations exceed those of its kind; 1 for a typical engine.
    double slowness(target_id id, instant now) const;

    /// Records that a prompt was prefilled `elapsed` after it was sent. `otherSeconds` is the predicted part of that
    /// time, in seconds, for jobs ahead of it and for fetching its prefix.
    void recordPrefill(target_id id, double work, double otherSeconds, duration elapsed, instant now);
    /// Records that the first event came `elapsed` after the request for a KV cache import was sent; `transfer` is the
    /// predicted part for the transfer, in seconds.
    void recordImport(target_id id, double transfer, duration elapsed);
    /// Records that the next event of a stream, with `tokens` tokens, came after `interval`.
    void recordStreamEvent(target_id id, int tokens, duration interval);
    void forget(target_id id);

private:
    /// Estimates for the engines of one service and role.
    struct engine_kind {
        std::string service;
        target_role role = target_role::prefill;
        double secondsPerToken = 0;
        double prefillOverheadSeconds = 0;
        double importOverheadSeconds = 0;
        double stepSeconds = 0;
        // Numbers of samples; each prefill counts for both estimates, in shares that add up to 1.
        double overheadSamples = 0;
        double paceSamples = 0;
        double typicalLateness = 0; // logarithm of actual by expected prefill time, on average
        int importSamples = 0;
    };
    struct engine_state {
        double typicalSlowness = 1; // lasting, from differences between engines of one kind
        double slowness = 1; // current, as of updatedAt
        instant updatedAt;
    };

    static engine_kind defaultKind(target_role role);
    const engine_kind& kindOf(target_id id) const;
    engine_kind& findOrAddKind(target_id id);
    static void updatePrefillEstimates(engine_kind& kind, double work, double ownSeconds);
    void updateSlowness(target_id id, double work, double otherSeconds, double ownSeconds, instant now);

    const fleet_table& m_fleet;
    std::vector<engine_state> m_engines; // by row of the fleet
    std::vector<engine_kind> m_kinds; // few enough for a linear search
    std::vector<engine_kind> m_defaultKinds; // by role, for kinds without any samples
};

}
