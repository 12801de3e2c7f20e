// Drives one node's real decisions against table-driven engines in virtual time. No network, no other nodes.
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

enum class split_rule : unsigned char {
    planner, ///< what ships
    threshold, ///< follows the demand without hysteresis
    fixed, ///< the split of the text, for ever
    mixed, ///< no roles at all
    foresight ///< knows the demand that comes, and changes roles in no time
};

struct contender {
    std::string name;
    split_rule split = split_rule::planner;
    routing_rule routing = {};
    bool isPure = false; ///< no mixed engines: the text's first split without them
};

struct run_result {
    int offered = 0;
    int inTime = 0;
    int refused = 0;
    int late = 0;
    int roleChanges = 0;
    int retried = 0;
    double fairness = 1; ///< Jain's index over the accounts' shares of answers in time
    std::vector<double> urgent; ///< seconds to the whole answer
    std::vector<double> urgentInShift;
    std::vector<double> urgentOutside;
    std::vector<double> first; ///< seconds to the first token, ordinary requests
    std::vector<double> gap; ///< mean seconds between two tokens of an ordinary answer
};

class policy_world {
public:
    policy_world(const workload& load, const contender& who, std::uint64_t seed);
    run_result run();

private:
    struct engine {
        standins::engine_model model;
        bool isUp = true;
        bool isStepping = false;
        std::uint64_t life = 0; // steps of a former life are void
        std::int64_t pendingRole = -1; // a change that waits for the engine to be idle
    };
    struct open_request {
        const arrival* what;
        double firstAt = -1;
    };
    struct running_attempt {
        request_id request;
        std::size_t engine;
        request_stage stage;
    };
    struct event {
        double at;
        std::uint64_t order;
        std::function<void()> what;
        bool operator<(const event& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    void schedule(double at, std::function<void()> what);
    void carryOut(traffic_commands& commands);
    void startAttempt(const start_attempt& command);
    void step(std::size_t index);
    void endStep(std::size_t index, std::uint64_t life);
    void onEngineEvent(std::size_t index, const standins::engine_event& event);
    void finished(request_id request);
    void report(std::size_t index);
    void plan();
    void planWithForesight();
    void changeRole(std::size_t index, engine_role role);
    void tryChange(std::size_t index);
    void setRole(std::size_t index, engine_role role);
    void begin(const incident& what);
    void end(const incident& what);
    role_demand demandAhead(double length) const;
    instant now() const { return instant(fromSeconds(1000 + m_now)); }

    const workload& m_load;
    contender m_who;
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
    std::map<std::uint64_t, std::pair<int, int>> m_accounts; // offered, in time
    std::uint64_t m_firstAttempt = 0;
};

}
