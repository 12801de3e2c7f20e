// Provides seeded workloads: the requests that arrive at a deployment over time, and the incidents of its engines.
#pragma once

#include "base/random_source.h"
#include "decide/traffic.h"
#include "settings/deployment.h"

#include <string>
#include <vector>

namespace tamarack::bench {

/// A request and the time of its arrival.
struct arrival {
    double at = 0; ///< seconds
    request_shape shape;
    std::int64_t outputTokens = 0; ///< actual length of the answer; shape.outputTokens is the limit of the request
    std::int64_t prefixTokens = 0; ///< length of the prefix that requests with the same hash share
};

/// From `from` to `until` (seconds), engines are unavailable, or the log is, without which no role changes.
struct incident {
    double from = 0;
    double until = 0;
    std::vector<int> engines; ///< rows of the target table; the engines fail without notice
    bool isGraceful = false; ///< the engines are marked as leaving instead of failing
    bool isLogDown = false;
};

/// A deployment, its requests and its incidents.
struct workload {
    std::string name;
    deployment config;
    int purePrefill = 0; ///< number of prefill engines in the best split without mixed engines
    double seconds = 0; ///< time during which requests arrive
    std::vector<arrival> arrivals; ///< in order of time
    std::vector<incident> incidents;
    double shiftFrom = 0; ///< start of the mix's shift; latencies inside and outside of it are reported apart
    double shiftUntil = 0; ///< end of the shift
};

/// Returns "vodoslet-flood", "ahnenhaus-evening", "engines-replaced", "zone-lost", "log-down".
std::vector<std::string> workloadNames();
/// Builds the workload of that name; the same seed gives the same arrivals.
workload makeWorkload(const std::string& name, std::uint64_t seed);

}
