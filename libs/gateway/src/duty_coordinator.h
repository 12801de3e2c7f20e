// Makes the calls to the platform that one node makes for the fleet: usage reports and orders for instances.
#pragma once

#include "gateway/duty_protocol.h"
#include "gateway/gateway_settings.h"
#include "gateway/keyed_log.h"
#include "usage_collection.h"

#include "duties/duty_log.h"
#include "http/http_client.h"
#include "observe/logger.h"
#include "observe/metrics.h"
#include "scaling/instance_plan.h"
#include "serving/dispatcher.h"

#include <functional>
#include <set>

namespace tamarack {

/// Every call has two steps: its contents are stated in the store, under the condition that no other node has stated
/// anything since; then the call is made, while the lease that comes with the statement lasts. A call that fails is
/// repeated with the same contents, by this node or by its successor.
class duty_coordinator {
public:
    struct dependencies {
        http_client& client;
        const duty_protocol& protocol;
        keyed_log& store;
        const serving::dispatcher& decisions;
        const usage_collection& usage;
        metrics& counters;
        const logger& log;
        std::function<void()> onStoreCallFailed;
    };

    duty_coordinator(dependencies parts, const gateway_settings& settings, std::int64_t process);

    /// `configuration` may be null.
    void tick(const serving::node_state& self, const std::vector<serving::node_state>& alive,
        const serving::serving_configuration* configuration, instant now);

private:
    /// An order in force, and what became of the calls for it.
    struct order_call {
        instance_order order;
        bool isAccepted = false;
        instant notBefore; // earliest time of the next call
    };

    bool isHolder(const serving::node_state& self, const std::vector<serving::node_state>& alive) const;
    void updatePlan(const serving::serving_configuration& configuration, instant now);
    void read();
    void onPage(const store_result<newest_page>& result);
    std::optional<duty_statement> nextStatement(const std::vector<serving::node_state>& alive, instant now);
    std::optional<duty_statement> nextUsage(const std::vector<serving::node_state>& alive, instant now);
    bool hasOrdersToMake(instant now) const;
    /// Windows whose report is due, oldest first.
    std::vector<std::int64_t> dueWindows() const;
    void append(duty_statement statement, instant now);
    void onAppended(const std::string& key, const store_result<placed_append>& result);
    void makeCalls(instant now);
    void reportUsage(const usage_statement& usage);
    void orderInstances(order_call& call, instant now);
    void onUsageAnswer(std::int64_t window, const http_response* response, const exchange_failure& failure);
    void onOrderAnswer(const instance_order& order, const http_response* response, const exchange_failure& failure);
    void resetOrderCalls();
    order_call* findCall(const instance_order& order);
    void logMissedWindows();

    dependencies m_parts;
    std::string m_vm;
    endpoint m_platform;
    bool m_reportsUsage;
    bool m_ordersInstances;
    duration m_usageLateness;
    duty_log m_log;
    instance_plan m_plan;
    std::optional<instance_statement> m_wanted; // the orders that the plan wants in force
    std::vector<stored_statement> m_pages; // of the topic, while it is read
    std::int64_t m_end = -1; // of the topic when its first page was read; -1: not read
    std::string m_lastKey;
    std::set<std::int64_t> m_reported; // windows whose report was accepted
    std::int64_t m_lastMissed = 0; // newest window that was given up
    std::vector<order_call> m_orderCalls;
    bool m_isStoreCallPending = false;
    bool m_isUsageCallPending = false;
    bool m_isOrderCallPending = false;
    instant m_nextStoreCallAt;
    instant m_nextUsageCallAt;
};

}
