// One node's part in what the nodes decide together: log, leases, orders, configuration, membership, roles. Pure: the
// node program feeds it what it reads and carries out what it answers.
#pragma once

#include "decide/key_registry.h"
#include "decide/lease_system.h"
#include "decide/log_follower.h"
#include "decide/membership.h"
#include "decide/order_system.h"
#include "decide/readiness.h"
#include "decide/role_planner.h"
#include "settings/deployment.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tamarack {

struct control_settings {
    lease_settings lease;
    order_settings orders;
    membership_settings members;
    readiness_settings ready;
    duration snapshotInterval = std::chrono::seconds(60);
};

struct control_identity {
    instance_id instance;
    std::string region;
    std::string availabilityZone;
};

/// What the node has to do now.
struct control_output {
    std::vector<record_body> appends;
    std::vector<deliver_order> deliveries;
    /// Set when another configuration came into force.
    std::shared_ptr<const deployment> configuration;
};

/// A condition that operators should see; docs/OPERATIONS.md says what to do.
struct alarm {
    std::string name;
    std::string detail;
};

class control_system {
public:
    control_system(control_identity self, control_settings settings, instant now);

    void pageRead(const decoded_page& page, instant now);
    void peerHeard(const peer_state& state, instant now);
    /// A peer knows of this life of a node; it may be newer than what was heard directly.
    void incarnationHeard(const instance_id& instance, instant now);
    void stateOffered(const agreed_data& data, instant now);
    void vmsListed(const std::vector<listed_vm>& vms, instant now);
    void targetSeen(const std::string& target, const target_view& view);
    void orderAnswered(log_offset order, delivery_result result);
    /// Engine seconds a second asked of a service, over all nodes.
    void demandSeen(const std::string& service, const role_demand& demand);
    void stop();

    control_output tick(instant now);
    /// The body is being appended under `sequence`.
    void appendSent(const record_body& body, std::uint64_t sequence, instant now);

    const agreed_state& agreed() const { return m_follower.state(); }
    const log_follower& follower() const { return m_follower; }
    const lease_system& leases() const { return m_leases; }
    const membership& members() const { return m_members; }
    membership& members() { return m_members; }
    const readiness& ready() const { return m_ready; }
    const order_system& orders() const { return m_orders; }
    const deployment* configuration() const { return m_configuration.get(); }
    /// The version whose text this node serves; below the agreed one if that text is not valid here.
    std::uint64_t servedVersion() const { return m_servedVersion; }
    std::vector<alarm> alarms(instant now) const;
    std::string leaseName(const std::string& service) const;
    bool holdsLease(const std::string& service, instant now) const;
    /// Whether every lease this node held is given back, so that it may end.
    bool hasReleased(instant now) const;

private:
    void onRecord(const log_record& record, verdict v);
    void stateRestored(instant now);
    void takeConfiguration(instant now, control_output& out);
    void assignLeases(instant now);
    struct pending_change {
        std::string target;
        target_order order;
    };

    /// Whether the service's change under way still goes on.
    bool isChangeUnderWay(const std::string& service);
    void startChange(const service_entry& service, const std::string& target, target_order order);
    void planService(const service_entry& service, instant now);
    void planRoles(const service_entry& service, const std::vector<planned_engine>& engines, instant now);
    bool planWeights(const service_entry& service, const std::vector<planned_engine>& engines);
    std::vector<planned_engine> enginesOf(const service_entry& service) const;
    void wantSnapshot(instant now, control_output& out);

    control_identity m_self;
    control_settings m_settings;
    log_follower m_follower;
    lease_system m_leases;
    order_system m_orders;
    membership m_members;
    readiness m_ready;
    std::shared_ptr<const deployment> m_configuration;
    std::uint64_t m_servedVersion = 0;
    std::uint64_t m_triedVersion = 0; // the newest agreed version whose text was read
    std::string m_configurationError;
    std::map<std::string, target_view> m_views;
    std::map<std::string, role_planner> m_planners; // by service
    std::map<std::string, role_demand> m_demand; // by service
    std::map<std::string, pending_change> m_changes; // the change under way, by service: one at a time
    instant m_now; // of the page being read
    log_offset m_lastSnapshot;
    instant m_nextSnapshot;
    bool m_isStopping = false;
    bool m_looksOlder = false; // peers have heard of a newer life of this node
};

}
