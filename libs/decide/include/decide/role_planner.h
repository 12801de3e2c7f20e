// Plans the roles of engines (prefill, decode or mixed) and decides when a role change is worth its cost.
#pragma once

#include "base/clock.h"
#include "settings/deployment.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// Planner input: the state of one engine.
struct planned_engine {
    std::string name;
    std::string availabilityZone;
    engine_role role = engine_role::mixed;
    bool isAvailable = true; ///< accepts requests, or would do so if no change were in progress
    bool isChanging = false;
};

/// Load of one service, in engine seconds per second.
struct role_demand {
    double prefillEngines = 0; ///< engines needed for the prefill of arriving prompts
    double decodeEngines = 0; ///< engines needed for the decode of the answers
    double refusedEngines = 0; ///< part of the above that was refused for lack of capacity
};

/// Number of engines of each role.
struct role_split {
    int prefill = 0;
    int decode = 0;
    int mixed = 0;
};

struct role_change {
    std::string target;
    engine_role role = engine_role::mixed;
};

/// Planning policy. The default is the one used in production; the others are baselines, compared in docs/POLICY.md.
enum class planning_rule : unsigned char {
    gain_over_horizon,
    threshold, ///< follows the demand at once, without dwell time and without weighing gain against cost
    fixed ///< never changes a role
};

/// Planner of one service. Changes a role only if the goodput gained over the horizon exceeds the engine seconds lost
/// by the change times the weight set in the deployment. Makes one change at a time, keeps each engine in its role for
/// a minimum dwell time, and after the loss of any one zone leaves the reduced role at least one engine.
class role_planner {
public:
    role_planner(policy_entry policy, planning_rule rule = {});

    void setPolicy(const policy_entry& policy) { m_policy = policy; }
    /// Returns the change to make now, if any. Expects to be called at regular intervals.
    std::optional<role_change> plan(const std::vector<planned_engine>& engines, const role_demand& demand, instant now);
    /// Demand that a split can serve, in engine seconds per second; this is the objective that planning maximises. It
    /// includes what routing absorbs without a role change: mixed engines do both kinds of work, and idle engines of
    /// one role take work of the other, though less efficiently.
    static double servedDemand(const role_split& split, const role_demand& demand);

private:
    /// Double exponential smoothing (level and trend).
    struct smoothed {
        double level = 0;
        double trend = 0; // per second
        bool isSet = false;
    };

    void updateSmoothed(smoothed& value, double sample, double elapsed) const;
    role_demand forecast() const;
    const planned_engine* chooseEngine(const std::vector<planned_engine>& engines, engine_role from, instant now) const;
    bool hasDwelled(const std::string& name, instant now) const;
    /// Whether the role that `moved` gives up keeps an engine after the loss of any one zone.
    bool keepsZoneRedundancy(const std::vector<planned_engine>& engines, const planned_engine& moved) const;

    policy_entry m_policy;
    planning_rule m_rule;
    smoothed m_prefill;
    smoothed m_decode;
    std::map<std::string, instant> m_changedAt;
    instant m_lastPlan;
    bool m_hasPlanned = false;
    instant m_directionSince;
    int m_desiredDirection = 0; // +1 for more prefill, -1 for more decode, 0 for no change; since m_directionSince
};

}
