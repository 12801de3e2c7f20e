// Switches engines to the roles that the role split requires. One node acts for all, under a lease in the store.
#pragma once

#include "target_notices.h"

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

/// A role change has four steps: acquire the lease; notify the peers, so that no new requests go to the engine; query
/// how many orders the engine has accepted; send the order, which the engine rejects if that number has changed. An
/// order is sent only once.
class role_coordinator {
public:
    struct dependencies {
        http_client& client;
        const target_protocol& protocol;
        keyed_log& store;
        serving::dispatcher& decisions;
        metrics& counters;
        const logger& log;
        target_notices& notices;
        std::function<void()> notifyPeers; ///< sends a heartbeat now
        std::function<void()> onClaimFailed; ///< called when a claim of the lease is rejected or times out
    };

    role_coordinator(dependencies parts, std::string vm, serving::order_lease_settings settings);

    void tick(const serving::node_state& self, const std::vector<serving::node_state>& alive, instant now);
    /// The engines whose role this node is changing, for its heartbeats.
    std::vector<std::uint32_t> changingEngines() const;
    /// Marks the engines whose role a peer is changing.
    void markPeerChanges(const std::vector<std::uint32_t>& engines, instant now);

private:
    enum class change_step : unsigned char { announced, queried, ordered };

    struct pending_role_change {
        std::string instance;
        serving::target_role role = serving::target_role::plain;
        change_step step = change_step::announced;
        instant since; // start of the current step
    };

    bool isCoordinator(
        const serving::node_state& self, const std::vector<serving::node_state>& alive, instant now) const;
    void claim(instant now);
    void onClaimResponse(const store_result<placed_append>& result);
    void beginChanges(const std::vector<serving::role_change>& changes, instant now);
    void advanceChanges(instant now);
    bool isFinished(const pending_role_change& change, instant now) const;
    void requestReport(const std::string& instance);
    void onReport(const std::string& instance, const http_response* response, instant sentAt);
    void sendOrder(pending_role_change& change, std::uint64_t ordersTaken, instant now);
    void onOrderResponse(
        const std::string& instance, const http_response* response, const exchange_failure& failure, instant sentAt);
    void abortChange(const std::string& instance, std::string_view reason);
    /// Whether `bornAt` matches the process start time in the target list; true if either of them is unknown.
    bool isSameProcess(target_id engine, std::uint64_t bornAt) const;
    pending_role_change* find(const std::string& instance);
    void markChangingEngines(instant now);

    dependencies m_parts;
    std::string m_vm;
    serving::order_lease m_lease;
    serving::role_split m_split;
    std::vector<pending_role_change> m_changes;
    instant m_nextCheckAt; // earliest time of the next check of the role split
};

}
