// Exchanges messages with peer nodes: heartbeats, announcements of prompts just sent, changes of the target list.
#pragma once

#include "cache_monitor.h"
#include "cluster_view.h"
#include "peer_socket.h"
#include "role_coordinator.h"

#include "base/random_source.h"
#include "observe/name_sample.h"
#include "serving/dispatcher.h"
#include "serving/node_directory.h"
#include "serving/peer_clock.h"

#include <QTimer>
#include <functional>
#include <unordered_map>

namespace tamarack {

/// Sends messages at a rate that depends on the number of nodes, and applies received messages to the dispatcher and
/// the cluster view.
class peer_messenger {
public:
    struct dependencies {
        serving::dispatcher& decisions;
        serving::node_directory& nodes;
        cluster_view& view;
        cache_monitor& caches;
        role_coordinator& roles;
        const logger& log;
        std::function<serving::node_state()> self;
        std::function<void(const std::vector<quarantine_record>&)> onQuarantine;
        std::function<void(const usage_report&)> onUsage;
        std::function<void(const std::vector<serving::permit_grant>&)> onPermits;
        std::function<void(const serving::node_endpoint& from, const serving::origin_reply&)> onOriginReply;
    };

    explicit peer_messenger(dependencies parts);

    /// Returns false if the port is in use.
    bool listen(const endpoint& address);
    /// Sends a heartbeat to all peers now and schedules the next one.
    void sendHeartbeat();
    /// Schedules an announcement of the prompts that were just sent to engines and of changed quarantine records.
    void scheduleJobAnnouncement();
    void broadcastTargetChanges(serving::target_update_batch note);
    /// Sends all peers the instants up to which this node has read the store.
    void broadcastReadProgress();
    /// Sends which targets this node does not reach.
    void broadcastPaths();
    /// Sends the updates found by a full cache listing.
    void broadcastCacheUpdates(std::vector<cache_update> caches);
    void broadcastLimits(const std::vector<serving::limit_report>& limits);
    void sendPermitRequest(const serving::node_endpoint& issuer, std::vector<serving::permit_ask> asks);
    void sendPermits(const serving::node_endpoint& node, std::vector<serving::permit_grant> grants);
    /// Sends what stream_origins has to tell or to ask.
    void sendOrigins();
    /// Sends the reports to these nodes only.
    void sendUsage(const std::vector<serving::node_state>& nodes, const std::vector<usage_report>& reports);
    /// Chooses the nodes that relay messages. Called periodically.
    void planRelays(const serving::node_state& self, const std::vector<serving::node_state>& alive);
    const datagram_counts& counts() const { return m_peerSocket.counts(); }
    /// Number of datagrams, and of messages within datagrams, that could not be decoded.
    std::uint64_t undecodable() const { return m_peerSocket.counts().undecodable + m_undecodable; }

private:
    struct remote_process {
        std::int64_t startedAt = 0;
        serving::peer_clock clock;
    };

    void onPayload(const serving::node_endpoint& from, const serving::relay_payload& load);
    void onMessage(const serving::node_endpoint& from, const peer_datagram& message);
    void onOriginQuestion(const serving::node_endpoint& from, const serving::origin_question& message);
    void sendTo(const std::vector<serving::node_endpoint>& to, const peer_datagram& message);
    void onHeartbeat(const node_heartbeat& message);
    void onLimits(const std::vector<serving::limit_report>& limits);
    void onPermitRequest(const serving::node_endpoint& from, const permit_request& message);
    void onProbe(const node_probe& message);
    void onJobs(const job_announcement& message);
    void onReadProgress(const read_progress& message);
    void onListPosition(const list_position& message);
    /// The clock of the peer's process, after a message from it that has just arrived.
    serving::peer_clock& clockOf(std::uint32_t node, std::int64_t startedAt, std::int64_t sentAt);
    /// A peer that counted as lost is reachable again.
    void onPeerReachable(const serving::node_state& peer);
    void logRelay();
    /// Writes one log line for all peers that became reachable since the last heartbeat.
    void logReachablePeers();
    /// Applies a peer's state to the cluster view.
    void onPeerState(const serving::node_state& peer);
    void broadcast(const std::string& message, serving::send_pace pace);
    node_heartbeat heartbeat(bool isFull, instant now);
    void sendProbe(const std::vector<serving::node_state>& nodes, bool expectsReply);
    void sendDue();
    void send(const std::vector<serving::relay_datagram>& datagrams);
    serving::status_sender updateSender(const node_heartbeat& message, instant now);
    void broadcastNewJobs();
    void broadcastQuarantine(instant now);

    dependencies m_parts;
    peer_socket m_peerSocket;
    serving::message_relay m_relay;
    QTimer m_relayTimer;
    QTimer m_heartbeatTimer;
    QTimer m_jobTimer;
    int m_fullHeartbeatsLeft = 3; // remaining heartbeats that carry the full state
    int m_heartbeatCount = 0;
    int m_pathReportsLeft = 0; // remaining heartbeats with a report that all targets are reached
    random_source m_random;
    std::uint32_t m_ownHash;
    std::int64_t m_startedAt = boot_clock::now().time_since_epoch().count();
    std::unordered_map<std::uint32_t, remote_process> m_peerProcesses; // keyed by shortHash() of the VM
    name_sample m_reachablePeers;
    serving::node_endpoint m_loggedRelay;
    bool m_wasLoggedAsRelay = true;
    std::uint64_t m_plannedNodesHash = 0; // hash of the nodes for which the relays were planned
    std::uint64_t m_undecodable = 0;
};

}
