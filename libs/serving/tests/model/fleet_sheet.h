// What a day of a fleet is made of, and what comes of it, in the terms of the users' sheets.
#pragma once

#include "engine_model.h"

#include <functional>
#include <string>
#include <vector>

namespace tamarack::serving::tests {

/// A log-normal size, cut off at `max`.
struct size_spread {
    double mean = 0;
    double spread = 0; ///< standard deviation of its logarithm
    double max = 0;
};

/// One kind of requests, in the terms of the users' sheets.
struct request_sheet {
    std::string name;
    double perSecond = 0;
    double worth = 1;
    double lateWorth = 0;
    duration aim = duration::zero();
    duration gapAim = duration::zero();
    duration patience = duration::zero();
    int priority = 0;
    bool isRepeatable = false;
    int beginnings = 1; ///< that requests share
    double skew = 0.3; ///< of how often they are asked for
    int groups = 0; ///< of beginnings, which have a first part in common; 0: they have none
    size_spread common; ///< of a group
    size_spread shared;
    size_spread own;
    size_spread events; ///< of an answer
    duration sendTime = std::chrono::milliseconds(3); ///< to an engine
};

/// From `from` to `until` a share of the engines is gone; they come back with nothing in memory.
struct engine_loss {
    duration from = duration::zero();
    duration until = duration::zero();
    double share = 0;
};

/// From `from` to `until` a share of the engines takes so many times as long for every step.
struct engine_slowdown {
    duration from = duration::zero();
    duration until = duration::zero();
    double share = 0;
    double slowness = 1;
};

/// From `from` to `until` a share of the engines loses the answers to some of its requests, after it has run them.
struct engine_failing {
    duration from = duration::zero();
    duration until = duration::zero();
    double share = 0;
    double ofRequests = 0;
};

/// Nodes are started anew and know nothing of the engines' memories; what they held before goes on to its end.
struct node_restart {
    duration at = duration::zero();
    double share = 0;
    bool isTold = true; ///< by a peer that went on; without any, by lists of the engines
};

struct fleet_sheet {
    engine_sheet engine;
    int engines = 57;
    double prefillShare = 0.32; ///< of the engines only read at the start
    bool changesRoles = true; ///< the nodes' decisions on roles are carried out
    duration roleChangeTime = std::chrono::seconds(3);
    std::vector<double> slowness { 1 }; ///< of the engines, by turns
    int zones = 4;
    int nodes = 82;
    std::vector<request_sheet> kinds;
    /// Of a kind's usual rate at a time.
    std::function<double(std::size_t kind, duration since)> rate;
    std::vector<engine_loss> losses;
    std::vector<engine_slowdown> slowdowns;
    std::vector<engine_failing> failings;
    std::vector<node_restart> restarts;
    duration connectionLife = std::chrono::milliseconds(750); ///< for which an idle one is kept
};

/// What one request was worth, in full and as it went.
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
    std::int64_t left = 0; ///< the caller heard nothing for too long
    double owed = 0;
    double earned = 0;
    std::int64_t unreachable = 0; ///< could not have been on time even alone
    double owedUnreachable = 0; ///< what they were worth more on time than late
    request_outcome largest; ///< of the largest tenth
};

struct fleet_result {
    std::vector<kind_result> kinds;
    double owed = 0;
    double earned = 0;
    double tokensRead = 0;
    double beginningsReadAgain = 0; ///< tokens of shared parts that some engine had read before
    double transferredGigabytes = 0;
    int roleChanges = 0;
    std::int64_t connections = 0; ///< that the nodes made to engines
};

}
