// Simulation of the leases and orders of several nodes with one log and some engines, in virtual time and under fault
// injection: frozen and killed nodes, lost answers, late appends, log outages, delayed bytes and engine crashes.
#pragma once

#include "base/random_source.h"
#include "decide/log_follower.h"
#include "decide/order_system.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace tamarack::test {

struct simulation_settings {
    std::uint64_t seed = 1;
    bool checksFencing = true;
    order_safeguards safeguards;
    duration margin = std::chrono::milliseconds(200);
    double seconds = 60;
    bool peerStateCountsAsSeen = true; ///< the lease system is notified when a peer's state is adopted
};

struct simulation_result {
    int conflicts = 0; ///< times an engine accepted an older order after a newer one
    int staleEffects = 0; ///< times an engine accepted an order that the log had closed or replaced by a different one
    int concurrentHolders = 0; ///< steps at which two nodes considered themselves holder of the lease
    int orders = 0; ///< orders accepted by engines
    int takeOvers = 0; ///< lease terms
    int events = 0; ///< decisions and faults, as a measure of coverage
    int closed = 0; ///< orders closed because their effect was seen
};

class control_simulation {
public:
    explicit control_simulation(simulation_settings settings);
    simulation_result run();

private:
    struct appended {
        instant appendedAt;
        record_origin origin;
        record_body body;
    };
    struct sending {
        std::size_t node;
        std::uint64_t incarnation;
        deliver_order order;
        instant leavesAt; // when the node writes it to the connection
        bool hasLeft = false;
        instant arrivesAt;
    };
    struct answer {
        std::size_t node;
        std::uint64_t incarnation;
        instant at;
        log_offset order;
        delivery_result result;
    };
    struct view_in_transit {
        std::size_t node;
        std::uint64_t incarnation;
        instant at;
        std::string engine;
        target_view view;
    };
    struct engine {
        std::string name;
        std::uint64_t incarnation = 1;
        std::string role = "mixed";
        std::int64_t highestFence = -1;
        std::int64_t lastOrder = -1;
        std::string nextRole;
        instant changesUntil;
        bool isChanging = false;
    };
    struct simulated_node {
        std::string name;
        std::uint64_t incarnation = 1;
        bool isAlive = true;
        bool isCutFromLog = false;
        instant frozenUntil;
        instant nextRead;
        instant nextView;
        instant restartAt;
        double clockRate = 1;
        std::uint64_t sequence = 0;
        std::unique_ptr<lease_system> leases;
        std::unique_ptr<order_system> orders;
        std::unique_ptr<log_follower> follower;
    };

    void startNode(simulated_node& node);
    void stepFaults();
    void stepNode(std::size_t index);
    void stepNetwork();
    void stepEngines();
    void readLog(simulated_node& node);
    void adoptFromPeer(simulated_node& node);
    void append(simulated_node& node, const record_body& body);
    void executeOrder(engine& target, const deliver_order& order, std::size_t node, std::uint64_t incarnation);
    void checkHolders();
    bool chance(double perSecond);
    instant localNow(const simulated_node& node) const;
    duration randomDelay(double longest);

    simulation_settings m_settings;
    random_source m_random;
    simulation_result m_result;
    instant m_now;
    std::vector<simulated_node> m_nodes;
    std::vector<engine> m_engines;
    std::vector<log_record> m_log;
    replicated_state m_truth; // state after all records of the log
    std::vector<appended> m_pendingAppends;
    std::vector<sending> m_sendings;
    std::vector<answer> m_answers;
    std::vector<view_in_transit> m_viewsInTransit;
    instant m_logDownUntil;
    log_offset m_lastTerm;
};

}
