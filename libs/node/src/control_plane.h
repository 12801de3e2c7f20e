// Provides the I/O of the control decisions: reads the log and the VM list, exchanges heartbeats and state with peers,
// polls targets and delivers orders.
#pragma once

#include "control_settings_from.h"
#include "load_exchange.h"
#include "order_deliverer.h"
#include "target_poller.h"

#include "decide/control_system.h"
#include "decide/traffic_system.h"
#include "observe/logger.h"
#include "observe/metrics.h"
#include "peer/peer_transport.h"
#include "platform/log_client.h"
#include "platform/vm_list_client.h"
#include "settings/node_settings.h"

#include <QTimer>
#include <functional>
#include <memory>

namespace tamarack {

/// Drives a control_system with timers and network I/O. The referenced objects must outlive it.
class control_plane {
public:
    using configuration_handler = std::function<void(std::shared_ptr<const deployment>)>;
    using quarantine_handler = std::function<void(const std::vector<quarantine_record>&)>;
    using key_handler = std::function<void(const peer_request&, peer_transport::reply_sender)>;

    control_plane(const node_settings& settings, const instance_id& instance, http_client& client,
        traffic_system& traffic, metrics& counters, const logger& log, configuration_handler onConfiguration,
        quarantine_handler onQuarantine);

    /// Starts the timers and the first reads. Returns false if the peer port cannot be opened.
    bool start();
    /// Sets the handler for idempotency key requests of peers. Without one they are answered as unknown.
    void setKeyHandler(key_handler handler) { m_onKey = std::move(handler); }
    void stop();

    control_system& decisions() { return m_control; }
    const control_system& decisions() const { return m_control; }
    peer_transport& peers() { return m_peers; }
    /// Returns the state of this node that heartbeats and the status page report.
    peer_state selfState() const;

private:
    void readLog();
    void readVmList();
    void sendHeartbeat();
    void pollTargets();
    void tick();
    void append(const record_body& body);
    void onHeartbeat(const heartbeat& message);
    void onRequest(const peer_request& request, peer_transport::reply_sender reply);
    void onStatus(const std::string& target, const target_status& status);
    void onNoStatus(const std::string& target);
    void pullStateFrom(const peer_state& peer);
    void updateTargetFlags(instant now);
    void aggregateDemand(instant now);
    std::vector<digest_entry> digest(instant now);
    void logLeaseChanges();
    void logQuarantineChanges();
    std::vector<quarantine_record> quarantineRecords(instant now);
    void publishMetrics(instant now);

    struct peer_demand {
        instant receivedAt;
        std::vector<demand_entry> entries;
    };

    const node_settings& m_settings;
    instance_id m_instance;
    traffic_system& m_traffic;
    metrics& m_counters;
    const logger& m_log;
    configuration_handler m_onConfiguration;
    quarantine_handler m_onQuarantine;
    key_handler m_onKey;
    control_system m_control;
    load_exchange m_loadExchange;
    peer_transport m_peers;
    log_client m_logClient;
    vm_list_client m_vmList;
    target_poller m_poller;
    order_deliverer m_deliverer;
    QTimer m_logTimer, m_vmTimer, m_heartbeatTimer, m_pollTimer, m_tickTimer;
    std::map<std::string, peer_demand> m_peerDemand; // by name of the vm
    std::map<std::string, int> m_missedPolls; // consecutive polls without a valid status, by target
    std::map<std::string, bool> m_listedLeaving; // whether the VM list marks a target as leaving, by target
    std::set<std::string> m_raisedAlarms; // names of the alarms that are active
    std::map<std::string, lease_state> m_loggedLeases; // state as last logged, by name of the lease
    std::uint64_t m_sequence = 0;
    std::size_t m_nextDigestIndex = 0;
    bool m_isReadingLog = false;
    bool m_isReadingVmList = false;
    bool m_isPullingState = false;
    bool m_isStopping = false;
};

}
