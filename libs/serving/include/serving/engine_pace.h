// How fast each engine reads prompts, learned from its own answers and from those of its like.
#pragma once

#include "serving/fleet_table.h"
#include "serving/serving_request.h"

#include <string>
#include <vector>

namespace tamarack::serving {

/// The work of reading `total` tokens of which `kept` are in the engine's cache, in tokens read at the usual pace. Each
/// token read looks at all before it, so long prompts cost more than their length.
double promptWork(std::int64_t kept, std::int64_t total);

/// What goes wrong with each engine by itself: with many nodes before many engines, one node meets an engine that is
/// idle once or twice in half a minute and never learns its pace. Engines of one service and role are alike as far as
/// is known, so what one teaches counts for all that have not taught anything yet.
class engine_pace {
public:
    explicit engine_pace(const fleet_table& fleet);

    /// Seconds that the engine takes for one token of work.
    double secondsPerToken(target_id id) const { return known(id).secondsPerToken; }
    /// Seconds that pass for each request besides, during which the engine reads others.
    double baseSeconds(target_id id) const { return known(id).baseSeconds; }
    /// Seconds for which each prompt takes the engine from others, whatever its length.
    double overheadSeconds(target_id id) const;
    /// The prompt was read `elapsed` after it was sent, of which it was thought to wait for others for `waitSeconds`.
    /// Only prompts that had an engine nearly to themselves teach.
    void learned(target_id id, double work, double waitSeconds, duration elapsed);
    /// The engine ended a prompt `seconds` later than was thought; below 0 if it was earlier.
    void lagged(target_id id, double seconds);
    /// Seconds for a step in which an engine of this kind writes a token of each stream and reads nothing.
    double stepSeconds(target_id id) const;
    /// A stream's next event, of so many tokens, came after `interval`.
    void wrote(target_id id, int tokens, duration interval);
    void forget(target_id id);

private:
    struct pace {
        double secondsPerToken = 0; // 0: nothing learned yet
        double baseSeconds = 0;
    };
    /// Engines of one service and role.
    struct engine_kind {
        std::string service;
        target_role role = target_role::prefill;
        pace learned;
        double overheadSeconds = 0;
        double stepSeconds = 0;
    };

    static void follow(pace& item, double work, double own);
    pace known(target_id id) const;
    const engine_kind* findKind(target_id id) const;
    engine_kind& kindOf(target_id id);

    const fleet_table& m_fleet;
    std::vector<pace> m_engines; // by row
    std::vector<engine_kind> m_kinds; // a few, so the one that fits is found by looking at each
};

}
