// Decides which engines should read prompts and which should write answers, and when a change pays.
#pragma once

#include "base/clock.h"
#include "settings/deployment.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// One engine as the planner sees it.
struct planned_engine {
    std::string name;
    std::string availabilityZone;
    engine_role role = engine_role::mixed;
    bool isAvailable = true; ///< takes work, or would but for a change under way
    bool isChanging = false;
};

/// The load of one service: engine seconds asked for each second.
struct role_demand {
    double prefillEngines = 0; ///< engines needed to read the prompts that arrive
    double decodeEngines = 0; ///< engines needed to write the answers
    double refusedEngines = 0; ///< of both, what was refused for lack of capacity
};

/// How many engines have each role.
struct role_split {
    int prefill = 0;
    int decode = 0;
    int mixed = 0;
};

struct role_change {
    std::string target;
    engine_role role = engine_role::mixed;
};

/// How a baseline differs from the planner; the default is what ships. docs/POLICY.md has the measurements.
enum class planning_rule : unsigned char {
    gain_over_horizon,
    threshold, ///< follows the demand at once: no dwell, no weighing
    fixed
};

/// One service's plan. Changes a role only if the goodput gained over the horizon exceeds the engine seconds lost times
/// the deployment's weight; one change at a time; a minimum dwell; never below one engine of a role outside each zone.
class role_planner {
public:
    role_planner(policy_entry policy, planning_rule rule = {});

    void setPolicy(const policy_entry& policy) { m_policy = policy; }
    /// The change to make now, if any.
    std::optional<role_change> plan(const std::vector<planned_engine>& engines, const role_demand& demand, instant now);
    /// Work that a split serves per second, in engine seconds, for a demand; what planning maximises. Routing already
    /// absorbs much of a shift: mixed engines do both, and idle engines of one role help the other, if less
    /// efficiently.
    static double served(const role_split& split, const role_demand& demand);

private:
    struct smoothed {
        double level = 0;
        double trend = 0; // per second
        bool isSet = false;
    };

    void follow(smoothed& value, double sample, double elapsed) const;
    role_demand forecast() const;
    const planned_engine* choose(const std::vector<planned_engine>& engines, engine_role from, instant now) const;
    bool dwelled(const std::string& name, instant now) const;
    bool leavesZoneCover(const std::vector<planned_engine>& engines, const planned_engine& moved) const;

    policy_entry m_policy;
    planning_rule m_rule;
    smoothed m_prefill;
    smoothed m_decode;
    std::map<std::string, instant> m_changedAt;
    instant m_lastPlan;
    bool m_hasPlanned = false;
    instant m_pressureSince;
    int m_pressure = 0; // +1: more prefill has been wanted since m_pressureSince, -1: more decode
};

}
