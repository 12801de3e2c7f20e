// Follows the contents of the engines' prefix caches: keeps one long poll open to each engine assigned to this node,
// requests a full listing when events were missed, and loads a snapshot from a peer when this node starts.
#pragma once

#include "node_messages.h"
#include "target_calls.h"
#include "target_notices.h"

#include "gateway/target_protocol.h"

#include "base/ids.h"
#include "http/http_client.h"
#include "observe/logger.h"
#include "observe/metrics.h"
#include "serving/dispatcher.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>

namespace tamarack {

class cache_monitor {
public:
    using update_handler = std::function<void(std::vector<cache_update>)>;

    /// `onListing` receives the changes found by a full listing of an engine's cache.
    cache_monitor(http_client& client, const target_protocol& protocol, serving::dispatcher& decisions,
        metrics& counters, const logger& log, target_notices& notices, update_handler onListing);
    ~cache_monitor();

    /// Polls the engines assigned to this node. Called periodically.
    void tick(const serving::node_state& self, const std::vector<serving::node_state>& alive, instant now);
    /// Removes and returns at most `most` of the updates observed since the last call, for peers that do not poll these
    /// engines themselves.
    std::vector<cache_update> takeUpdates(std::size_t most);
    /// Applies updates that a peer has observed.
    void applyPeerUpdates(const std::vector<cache_update>& updates);
    /// Everything known about the caches, for a peer that has just started.
    cache_snapshot snapshot(instant now) const;

private:
    struct monitored_engine {
        target_id row;
        std::string name; // name without the process start time
        std::uint64_t nextEvent = 0; // sequence number of the first event not received yet
        std::uint64_t epoch = 0;
        bool hasEpoch = false;
        std::shared_ptr<http_exchange> call; // outstanding call, or null
        instant calledAt; // time of the latest call
        instant nextCallAt; // earliest time of the next call
        bool needsListing = false; // events were missed, and this node is the one to request the listing
        bool isDesignatedLister = false;
        std::unordered_set<std::uint64_t> announcedParts; // prefixes that peers were notified of
    };

    /// Recomputes which engines this node monitors when nodes or targets have changed.
    void assignEngines(const serving::node_state& self, const std::vector<serving::node_state>& alive, instant now);
    void requestSnapshot(const serving::node_state& self, const std::vector<serving::node_state>& alive, instant now);
    void onSnapshotResponse(const http_response* response);
    void requestEvents(const std::string& instance, monitored_engine& engine);
    void requestListing(const std::string& instance, monitored_engine& engine);
    void onListResponse(const std::string& instance, const http_response* response);
    void onEventsResponse(const std::string& instance, const http_response* response);
    /// Converts events to updates, leaving out what peers already know.
    std::vector<cache_update> updatesFrom(monitored_engine& engine, const std::vector<serving::cache_event>& events);
    void queueUpdates(monitored_engine& engine, const std::vector<serving::cache_event>& events);
    void applyReport(const std::string& instance, monitored_engine& engine, const cache_report& report);
    instant calledAt(const std::string& instance) const;
    /// Clears the outstanding call of the engine and returns the engine. Null if it is no longer monitored or its table
    /// row belongs to another target.
    monitored_engine* finishCall(const std::string& instance);

    http_client& m_client;
    target_calls m_calls;
    const target_protocol& m_protocol;
    serving::dispatcher& m_decisions;
    metrics& m_counters;
    const logger& m_log;
    target_notices& m_notices;
    update_handler m_onListing;
    std::map<std::string, monitored_engine> m_engines; // keyed by instance
    std::deque<cache_update> m_pendingUpdates; // oldest first
    std::uint64_t m_assignedGeneration = 0; // fleet generation of the last assignment
    std::uint64_t m_assignedNodesHash = 0; // hash of the nodes at the last assignment
    instant m_nextAssignmentAt; // earliest time of the next assignment
    instant m_nextSnapshotRequestAt; // earliest time of the next request to a peer
    instant m_startedAt = boot_clock::now();
    int m_snapshotRequests = 0;
    bool m_isSnapshotDone = false; // a peer has sent a complete snapshot, or the maximum number of requests is reached
    bool m_hasCompleteSnapshot = false; // a complete snapshot was received from a peer
    bool m_sharesMonitoring = false; // too many nodes for each to monitor every engine
};

}
