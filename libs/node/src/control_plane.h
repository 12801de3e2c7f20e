// The input and output of the control decisions: reads the log and the VM list, talks to peers, delivers orders.
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

class control_plane {
public:
    using configuration_handler = std::function<void(std::shared_ptr<const deployment>)>;
    using key_handler = std::function<void(const peer_request&, peer_transport::reply_sender)>;

    control_plane(const node_settings& settings, const instance_id& instance, http_client& client,
        traffic_system& traffic, metrics& counters, const logger& log, configuration_handler onConfiguration);

    /// False if the peer port is taken.
    bool start();
    void setKeyHandler(key_handler handler) { m_onKey = std::move(handler); }
    void stop();

    control_system& decisions() { return m_control; }
    const control_system& decisions() const { return m_control; }
    peer_transport& peers() { return m_peers; }
    /// What this node says about itself.
    peer_state selfState() const;

private:
    void readLog();
    void readVmList();
    void beat();
    void pollTargets();
    void tick();
    void append(const record_body& body);
    void onHeartbeat(const heartbeat& message);
    void onRequest(const peer_request& request, peer_transport::reply_sender reply);
    void onStatus(const std::string& target, const target_status& status);
    void onSilence(const std::string& target);
    void pullStateFrom(const peer_state& peer);
    void markTargets(instant now);
    void sumDemand(instant now);
    std::vector<digest_entry> digest(instant now);
    void logLeaseChanges();
    void publishMetrics(instant now);

    struct peer_demand {
        instant at;
        std::vector<demand_entry> entries;
    };

    const node_settings& m_settings;
    instance_id m_instance;
    traffic_system& m_traffic;
    metrics& m_counters;
    const logger& m_log;
    configuration_handler m_onConfiguration;
    key_handler m_onKey;
    control_system m_control;
    load_exchange m_loads;
    peer_transport m_peers;
    log_client m_logClient;
    vm_list_client m_vmList;
    target_poller m_poller;
    order_deliverer m_deliverer;
    QTimer m_logTimer, m_vmTimer, m_beatTimer, m_pollTimer, m_tickTimer;
    std::map<std::string, peer_demand> m_peerDemand; // by vm
    std::map<std::string, int> m_silences; // polls in a row without an answer, by target
    std::map<std::string, bool> m_listedLeaving; // targets that the VM list calls leaving
    std::set<std::string> m_raised; // alarms that are on
    std::map<std::string, lease_state> m_toldLeases; // as last logged, by lease
    std::uint64_t m_sequence = 0;
    std::size_t m_digestTurn = 0;
    bool m_isReading = false;
    bool m_isListing = false;
    bool m_isPulling = false;
    bool m_isStopping = false;
};

}
