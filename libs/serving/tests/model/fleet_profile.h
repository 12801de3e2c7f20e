// Defines the load profile of a model fleet and the results of a run.
#pragma once

#include "engine_model.h"

#include <functional>
#include <string>
#include <vector>

namespace tamarack::serving::tests {

/// A log-normal size, limited to `max`.
struct size_spread {
    double mean = 0;
    double spread = 0; ///< standard deviation of its logarithm
    double max = 0;
};

/// One kind of requests in a load profile.
struct request_profile {
    std::string name;
    double perSecond = 0;
    double value = 1;
    double lateValue = 0;
    duration aim = duration::zero();
    duration gapAim = duration::zero();
    duration timeout = duration::zero();
    int priority = 0;
    bool isRepeatable = false;
    int prefixes = 1; ///< number of prefixes that requests share
    double skew = 0.3; ///< exponent of the popularity of prefixes
    int groups = 0; ///< groups of prefixes with a common first part; 0: none
    size_spread common; ///< size of a group's first part
    size_spread shared;
    size_spread own;
    size_spread events; ///< of an answer
    duration sendTime = std::chrono::milliseconds(3); ///< to an engine
};

/// From `from` to `until` a share of the engines is gone; they come back with an empty cache.
struct engine_loss {
    duration from = duration::zero();
    duration until = duration::zero();
    double share = 0;
};

/// From `from` to `until` a share of the engines takes longer for every step, by the factor `slowness`.
struct engine_slowdown {
    duration from = duration::zero();
    duration until = duration::zero();
    double share = 0;
    double slowness = 1;
};

/// From `from` to `until` a share of the engines loses the answers to some of its requests, after it has run them.
struct engine_failure {
    duration from = duration::zero();
    duration until = duration::zero();
    double share = 0;
    double ofRequests = 0;
};

/// Nodes restart without any knowledge of the engines' caches; the requests that they held before run to their end.
struct node_restart {
    duration at = duration::zero();
    double share = 0;
    bool hasSnapshot = true; ///< from a peer that has not restarted, or from the engines' lists if there is none
};

struct fleet_profile {
    engine_parameters engine;
    int engines = 57;
    double prefillShare = 0.32; ///< of the engines that only prefill at the start
    bool changesRoles = true; ///< whether the nodes' decisions on roles are carried out
    duration roleChangeTime = std::chrono::seconds(3);
    std::vector<double> slowness { 1 }; ///< of the engines, in rotation
    int zones = 4;
    int nodes = 82;
    std::vector<request_profile> kinds;
    /// The factor on a kind's usual rate at a time.
    std::function<double(std::size_t kind, duration since)> rate;
    std::vector<engine_loss> losses;
    std::vector<engine_slowdown> slowdowns;
    std::vector<engine_failure> failures;
    std::vector<node_restart> restarts;
    duration connectionTimeToLive = std::chrono::milliseconds(750); ///< for which an idle connection is kept
};

/// The value of one request in time, and the value that was earned.
struct request_outcome {
    double owed = 0;
    double earned = 0;
};

struct kind_result {
    std::int64_t asked = 0;
    std::int64_t onTime = 0;
    std::int64_t lateFirst = 0;
    std::int64_t lateForPause = 0;
    std::int64_t refused = 0;
    std::int64_t failed = 0;
    std::int64_t left = 0; ///< the caller got nothing for too long and left
    double owed = 0;
    double earned = 0;
    std::int64_t unreachable = 0; ///< could not have been in time even without other requests
    double owedUnreachable = 0; ///< the difference in value between in time and late for those
    request_outcome largest; ///< the largest tenth of the requests
};

struct fleet_result {
    std::vector<kind_result> kinds;
    double owed = 0;
    double earned = 0;
    double prefilledTokens = 0;
    double recomputedTokens = 0; ///< of shared parts that some engine had prefilled before
    double transferredGigabytes = 0;
    int roleChanges = 0;
    std::int64_t connections = 0; ///< new connections from nodes to engines
};

}
