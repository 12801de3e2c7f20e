// Simulates one node in virtual time: its production routing and role planning decide on requests to modelled engines.
// There is no network and no other node.
#pragma once

#include "workloads.h"

#include "decide/role_planner.h"
#include "decide/traffic_system.h"
#include "standins/engine_model.h"

#include <functional>
#include <map>
#include <queue>
#include <vector>

namespace tamarack::bench {

/// How engines are split into the prefill, decode and mixed roles.
enum class split_rule : unsigned char {
    planner, ///< the production planner, with hysteresis
    threshold, ///< follows the demand without hysteresis
    fixed, ///< keeps the split of the deployment text
    mixed, ///< all engines prefill and decode
    foresight ///< knows the future demand, and changes roles instantly
};

/// A combination of rules to compare.
struct policy_variant {
    std::string name;
    split_rule split = split_rule::planner;
    routing_rule routing = {};
    bool isPure = false; ///< starts without mixed engines, with workload::purePrefill prefill engines
};

/// Outcomes and latencies of all requests of a simulated run.
struct run_result {
    int offered = 0;
    int inTime = 0; ///< answered before their deadline
    int refused = 0;
    int late = 0; ///< answered after their deadline
    int roleChanges = 0;
    int retried = 0;
    double fairness = 1; ///< Jain's fairness index over the accounts' shares of answers in time
    std::vector<double> urgent; ///< seconds to the complete answer, urgent requests
    std::vector<double> urgentInShift; ///< those that arrived while the mix shifted
    std::vector<double> urgentOutside; ///< all others
    std::vector<double> first; ///< seconds to the first token, ordinary requests
    std::vector<double> gap; ///< mean seconds between two tokens of an ordinary answer
};

/// Runs one workload with one policy variant; the seed makes the decisions reproducible.
class policy_simulation {
public:
    policy_simulation(const workload& load, const policy_variant& variant, std::uint64_t seed);
    /// Runs the workload to its end; call it once.
    run_result run();

private:
    struct engine {
        standins::engine_model model;
        bool isUp = true;
        bool isStepping = false;
        std::uint64_t incarnation = 0; // events of steps from an earlier incarnation are ignored
        std::int64_t pendingRole = -1; // the role to change to once the engine is idle; below 0: none
    };
    struct open_request {
        const arrival* source;
        double firstAt = -1; // time of the first token; below 0: none yet
    };
    struct running_attempt {
        request_id request;
        std::size_t engine;
        request_stage stage;
    };
    struct event {
        double at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const event& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    void schedule(double at, std::function<void()> action);
    void executeCommands(traffic_commands& commands);
    void startAttempt(const start_attempt& command);
    void step(std::size_t index);
    void endStep(std::size_t index, std::uint64_t incarnation);
    void onEngineEvent(std::size_t index, const standins::engine_event& event);
    void requestFinished(request_id request);
    void reportLoad(std::size_t index);
    void planRoles();
    void planWithForesight();
    void changeRole(std::size_t index, engine_role role);
    void changeRoleIfIdle(std::size_t index);
    void setRole(std::size_t index, engine_role role);
    void beginIncident(const incident& details);
    void endIncident(const incident& details);
    role_demand demandAhead(double length) const;
    instant now() const { return instant(fromSeconds(1000 + m_now)); }

    const workload& m_load;
    policy_variant m_variant;
    std::shared_ptr<deployment> m_config;
    traffic_system m_traffic;
    role_planner m_planner;
    std::vector<engine> m_engines;
    std::map<std::uint64_t, open_request> m_requests;
    std::map<std::uint64_t, running_attempt> m_attempts;
    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0;
    double m_now = 0;
    bool m_isLogDown = false;
    run_result m_result;
    std::map<std::uint64_t, std::pair<int, int>> m_accounts; // by account: requests offered and answered in time
    std::uint64_t m_firstAttempt = 0;
};

}
