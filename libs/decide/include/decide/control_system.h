// Control plane logic of one node: log, leases, orders, configuration, membership and engine roles. Does no I/O: the
// caller passes in events and carries out the returned actions.
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

/// Actions that the caller must carry out after a tick.
struct control_output {
    std::vector<record_body> appends; ///< records to append to the log
    std::vector<deliver_order> deliveries;
    /// The new configuration if it has changed, else null.
    std::shared_ptr<const deployment> configuration;
};

/// A condition that requires an operator's attention; docs/OPERATIONS.md describes the response to each.
struct alarm {
    std::string name;
    std::string detail;
};

/// Combines the parts of the control plane of one node. Events are passed in by the on...() functions, and tick()
/// returns the actions that follow from them.
class control_system {
public:
    control_system(control_identity self, control_settings settings, instant now);

    void onLogPage(const decoded_page& page, instant now);
    void onPeerHeartbeat(const peer_state& state, instant now);
    /// A peer reports this incarnation of a node; it may be newer than that in the node's last heartbeat.
    void onPeerIncarnation(const instance_id& instance, instant now);
    /// Adopts the replicated state of a peer if it is ahead of this node's.
    void onPeerState(const replicated_data& data, instant now);
    void onVmList(const std::vector<listed_vm>& vms, instant now);
    void onTargetView(const std::string& target, const target_view& view);
    void onDeliveryResult(log_offset order, delivery_result result);
    /// Demand on a service, in engine seconds per second, summed over all nodes.
    void onServiceDemand(const std::string& service, const role_demand& demand);
    /// Starts shutdown: accepts no new requests and releases the leases once all orders are delivered.
    void stop();

    /// Runs all decisions that are due; called periodically.
    control_output tick(instant now);
    /// Called when `body` is sent to the log with the sequence number `sequence`.
    void onAppendSent(const record_body& body, std::uint64_t sequence, instant now);

    const replicated_state& replicated() const { return m_follower.state(); }
    const log_follower& follower() const { return m_follower; }
    const lease_system& leases() const { return m_leases; }
    const membership& members() const { return m_members; }
    membership& members() { return m_members; }
    const readiness& ready() const { return m_ready; }
    const order_system& orders() const { return m_orders; }
    const deployment* configuration() const { return m_configuration.get(); }
    /// Version of the configuration that this node serves. It is below the version in force if the text of that version
    /// is not valid for this node.
    std::uint64_t servedVersion() const { return m_servedVersion; }
    std::vector<alarm> alarms(instant now) const;
    std::string leaseName(const std::string& service) const;
    bool holdsLease(const std::string& service, instant now) const;
    /// Whether this node holds no lease any more, so that the process may exit.
    bool hasReleased(instant now) const;

private:
    void onRecord(const log_record& record, verdict v);
    void applyRestoredState(instant now);
    void applyConfiguration(instant now, control_output& out);
    void updateLeaseRanks(instant now);
    struct pending_change {
        std::string target;
        target_order order;
    };

    /// Whether the pending change of the service has not completed yet; clears it once it has.
    bool isChangeInProgress(const std::string& service);
    void startChange(const service_entry& service, const std::string& target, target_order order);
    void planService(const service_entry& service, instant now);
    void planRoles(const service_entry& service, const std::vector<planned_engine>& engines, instant now);
    bool planWeights(const service_entry& service, const std::vector<planned_engine>& engines);
    std::vector<planned_engine> enginesOf(const service_entry& service) const;
    void appendSnapshotIfDue(instant now, control_output& out);

    control_identity m_self;
    control_settings m_settings;
    log_follower m_follower;
    lease_system m_leases;
    order_system m_orders;
    membership m_members;
    readiness m_ready;
    std::shared_ptr<const deployment> m_configuration;
    std::uint64_t m_servedVersion = 0;
    std::uint64_t m_parsedVersion = 0; // newest version whose text was parsed, valid or not
    std::string m_configurationError;
    std::map<std::string, target_view> m_views;
    std::map<std::string, role_planner> m_planners; // by service
    std::map<std::string, role_demand> m_demand; // by service
    std::map<std::string, pending_change> m_changes; // by service; at most one pending change each
    instant m_now; // time of the log page or peer state being applied
    log_offset m_lastSnapshot;
    instant m_nextSnapshot;
    bool m_isStopping = false;
    bool m_hasNewerIncarnation = false; // peers know a newer incarnation of this node
};

}
