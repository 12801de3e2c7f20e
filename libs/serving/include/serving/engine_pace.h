// How fast engines read prompts, take over caches and write, learned from their own answers and from those of their
// like.
#pragma once

#include "serving/fleet_table.h"
#include "serving/serving_request.h"

#include <string>
#include <vector>

namespace tamarack::serving {

/// The work of reading `total` tokens of which `kept` are in the engine's cache, in tokens read at the usual pace. Each
/// token read looks at all before it, so long prompts cost more than their length.
double promptWork(std::int64_t kept, std::int64_t total);

/// Seconds to move the KV cache of so many tokens from one engine to another one, by what the configuration says.
double transferSeconds(const service_profile& service, std::int64_t tokens, bool isSameZone);

/// What goes wrong with each engine by itself: with many nodes before many engines, one node meets an engine that is
/// idle once or twice in half a minute and never learns its pace. Engines of one service and role are alike as far as
/// is known, so what one teaches counts for all; what an engine shows to take longer than its like is its slowness.
class engine_pace {
public:
    explicit engine_pace(const fleet_table& fleet);

    /// Seconds that the engine takes for one token of work.
    double secondsPerToken(target_id id, instant now) const { return usualSecondsPerToken(id) * slowness(id, now); }
    /// The same for its like.
    double usualSecondsPerToken(target_id id) const;
    /// Seconds from sending a prompt to the first event, or the exported cache, besides those for its work.
    double readBase(target_id id) const;
    /// Seconds from sending a request for a cache to import to the first event, besides those for the transfer.
    double importBase(target_id id) const;
    /// Seconds for a step in which an engine of this kind writes a token of each stream and reads nothing.
    double stepSeconds(target_id id) const;
    /// How many times as long as its like the engine takes.
    double slowness(target_id id, instant now) const;

    /// The prompt was read `elapsed` after it was sent, of which `other` seconds were thought to be for what was before
    /// it and for what it had to fetch.
    void read(target_id id, double work, double other, duration elapsed, instant now);
    /// The first event came `elapsed` after a cache was to be imported, whose transfer was thought to take `transfer`
    /// seconds.
    void imported(target_id id, double transfer, duration elapsed);
    /// A stream's next event, of so many tokens, came after `interval`.
    void wrote(target_id id, int tokens, duration interval);
    void forget(target_id id);

private:
    /// Engines of one service and role.
    struct engine_kind {
        std::string service;
        target_role role = target_role::prefill;
        double secondsPerToken = 0;
        double readBase = 0;
        double importBase = 0;
        double stepSeconds = 0;
        double baseReads = 0; // that taught, each by its part
        double paceReads = 0;
        double usualLateness = 0; // logarithm of how many times as long as expected reading takes at the mean
        int imports = 0;
    };
    struct engine_state {
        double usualSlowness = 1; // it is built so
        double slowness = 1; // of late
        instant at; // it was as slow then
    };

    static engine_kind unknownKind(target_role role);
    const engine_kind& kindOf(target_id id) const;
    engine_kind& learningKind(target_id id);
    static void followRead(engine_kind& kind, double work, double own);
    void followSlowness(target_id id, double work, double other, double own, instant now);

    const fleet_table& m_fleet;
    std::vector<engine_state> m_engines; // by row
    std::vector<engine_kind> m_kinds; // a few, so the one that fits is found by looking at each
    std::vector<engine_kind> m_unknown; // by role, for kinds that have not taught anything
};

}
