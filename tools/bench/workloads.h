// Seeded arrivals: what is asked of a deployment over time, and what happens to its engines meanwhile.
#pragma once

#include "base/random_source.h"
#include "decide/traffic.h"
#include "settings/deployment.h"

#include <string>
#include <vector>

namespace tamarack::bench {

struct arrival {
    double at = 0; ///< seconds
    request_shape shape;
    std::int64_t outputTokens = 0; ///< what it will really produce
    std::int64_t prefixTokens = 0;
};

/// From `from` to `until`, engines are away, or the log (and with it all role changes).
struct incident {
    double from = 0;
    double until = 0;
    std::vector<int> engines; ///< rows; they fail without a word
    bool isAnnounced = false; ///< the engines leave gracefully instead
    bool isLogDown = false;
};

struct workload {
    std::string name;
    deployment config;
    int purePrefill = 0; ///< prefill engines of the best split without mixed engines
    double seconds = 0;
    std::vector<arrival> arrivals; ///< in order of time
    std::vector<incident> incidents;
    double shiftFrom = 0; ///< the mix shifts in this window; for latency before and during
    double shiftUntil = 0;
};

/// "vodoslet-flood", "ahnenhaus-evening", "engines-replaced", "zone-lost", "log-down".
std::vector<std::string> workloadNames();
workload makeWorkload(const std::string& name, std::uint64_t seed);

}
