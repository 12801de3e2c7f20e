// Has engines take the role that the split asks for: one node for all, under a lease on the store.
#pragma once

#include "gateway/keyed_log.h"
#include "gateway/target_protocol.h"

#include "http/http_client.h"
#include "observe/logger.h"
#include "observe/metrics.h"
#include "serving/dispatcher.h"
#include "serving/node_directory.h"
#include "serving/order_lease.h"
#include "serving/role_split.h"

#include <functional>
#include <string>
#include <vector>

namespace tamarack {

/// A change goes in steps: the lease; the peers are told, so that nothing new goes to the engine; the engine says how
/// many orders it has taken; the order, which it refuses if that number is another one by now. An order is sent once.
class role_orders {
public:
    struct dependencies {
        http_client& client;
        const target_protocol& protocol;
        keyed_log& store;
        serving::dispatcher& decisions;
        metrics& counters;
        const logger& log;
        std::function<void()> tellPeers; ///< sends a heartbeat now
        std::function<void()> onClaimFailed; ///< called when the store refuses or does not answer a claim
    };

    role_orders(dependencies parts, std::string vm, serving::order_lease_settings settings);

    void tick(const serving::node_state& self, const std::vector<serving::node_state>& alive, instant now);
    /// Engines that this node has change their role, for its heartbeats.
    std::vector<std::uint32_t> changing() const;
    /// Engines that a peer has change their role.
    void told(const std::vector<std::uint32_t>& engines, instant now);

private:
    enum class change_step : unsigned char { told, asked, ordered };

    struct role_change_under_way {
        std::string instance;
        serving::target_role role = serving::target_role::plain;
        change_step step = change_step::told;
        instant since; // of the step
    };

    static bool isOnDuty(const serving::node_state& self, const std::vector<serving::node_state>& alive);
    void claim(instant now);
    void claimAnswered(const store_result<placed_append>& result);
    void begin(const std::vector<serving::role_change>& changes, instant now);
    void proceed(instant now);
    bool isOver(const role_change_under_way& change, instant now) const;
    void ask(const std::string& instance);
    void reported(const std::string& instance, const http_response* response);
    void order(role_change_under_way& change, std::uint64_t ordersTaken, instant now);
    void answered(const std::string& instance, const http_response* response, const exchange_failure& failure);
    void giveUp(const std::string& instance, std::string_view reason);
    /// Whether this life of the engine began then, as far as it is known.
    bool isLife(target_id engine, std::uint64_t bornAt) const;
    role_change_under_way* find(const std::string& instance);
    void markAll(instant now);

    dependencies m_parts;
    std::string m_vm;
    serving::order_lease m_lease;
    serving::role_split m_split;
    std::vector<role_change_under_way> m_changes;
    instant m_lookAt; // not before
};

}
