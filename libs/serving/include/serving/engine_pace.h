// How fast each engine reads prompts, learned from its own answers.
#pragma once

#include "serving/fleet_table.h"
#include "serving/serving_request.h"

#include <vector>

namespace tamarack::serving {

/// The work of reading `total` tokens of which `kept` are in the engine's cache, in tokens read at the usual pace. Each
/// token read looks at all before it, so long prompts cost more than their length.
double promptWork(std::int64_t kept, std::int64_t total);

class engine_pace {
public:
    explicit engine_pace(const fleet_table& fleet);

    /// Seconds that the engine takes for one token of work.
    double secondsPerToken(target_id id) const;
    /// Seconds that pass for each request besides, during which the engine reads others.
    double baseSeconds(target_id id) const;
    /// The prompt was read `elapsed` after it was sent, of which it was thought to wait for others for `waitSeconds`.
    /// Only prompts that had an engine nearly to themselves teach.
    void learned(target_id id, double work, double waitSeconds, duration elapsed);
    void forget(target_id id);

private:
    struct engine {
        double secondsPerToken = 0; // 0: nothing learned yet
        double baseSeconds = 0;
    };

    engine known(target_id id) const;

    const fleet_table& m_fleet;
    std::vector<engine> m_engines; // by row
};

}
