// Issues orders to targets under a lease, delivers each at most once, and takes over the open orders of a former lease
// holder.
#pragma once

#include "base/clock.h"
#include "decide/lease_system.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

/// The last status that was received from a target.
struct target_view {
    bool isKnown = false;
    instant requestedAt; ///< when the status was requested; the status is no older than this
    std::uint64_t incarnation = 0;
    bool isChanging = false;
    int running = 0; ///< number of requests at the target
    std::int64_t lastOrder = -1; ///< number of the last order that the target accepted, or -1
    std::map<order_kind, std::string> settings; ///< present role, model, adapters and version
};

/// Instructs the caller to send an order to its target now and to report the result to onDeliveryResult(). The caller
/// must not repeat the transmission.
struct deliver_order {
    std::string target;
    log_offset order;
    log_offset fence; ///< fencing token
    target_order what;
};

enum class delivery_result : unsigned char {
    accepted,
    refused, ///< the target rejected the order
    not_sent, ///< no byte was sent
    closed ///< no answer, but the connection is closed in both directions and its unsent bytes have expired
};

struct order_settings {
    /// Delay before an append whose outcome is unknown is repeated.
    duration appendRetry = std::chrono::seconds(1);
    /// Delay from reading an order's record to its delivery. In this time every node reads the record and stops sending
    /// requests to the target.
    duration settleDelay = std::chrono::seconds(1);
    /// Longest time to wait until a target has finished its requests; after that the order is dropped, not forced.
    duration drainTimeout = std::chrono::seconds(120);
    /// Time for which the kernel may still send buffered bytes after the deliverer's process has ended.
    duration bufferedBytesLifetime = std::chrono::seconds(12);
    /// A target that accepted an order shows its effect within this time; otherwise the order counts as lost in a crash
    /// of the target.
    duration effectTimeout = std::chrono::seconds(30);
};

/// Safety mechanisms that a test can switch off to show that its invariants fail without them.
struct order_safeguards {
    bool reissueBeforeNew = true; ///< raise the fencing token at a target that checks it before any new order
    bool adoptOpenOrders = true; ///< issue no other order while an order of a former holder is open
    bool singleDelivery = true; ///< send each order only once
    bool checkLeaseBeforeSend = true; ///< drop an unsent order when its lease term has ended
};

/// Orders of one node. An order is appended to the log, read back, delivered once, and closed by a second record when
/// its effect is seen or when it is certain that no copy of it can arrive any more.

class order_system {
public:
    order_system(instance_id self, order_settings settings, order_safeguards safeguards = {});

    /// Sets the desired setting of a target. An order is issued only while this node holds the lease.
    void setDesired(const std::string& target, const std::string& lease, bool checksFencing, target_order order);
    void clearDesired(const std::string& target);
    void onLogRecord(const log_record& record, verdict v, instant now);
    /// The replicated state was replaced by that of a snapshot or a peer: its orders count as read at `now`.
    void onStateRestored(const replicated_state& state, instant now);
    void onTargetView(const std::string& target, const target_view& view);
    /// This incarnation of a node is running, so every older incarnation of it has ended.
    void onIncarnation(const instance_id& instance, instant now);
    void onDeliveryResult(log_offset order, delivery_result result);

    struct output {
        std::vector<append_request> appends;
        std::vector<deliver_order> deliveries;
    };
    /// Returns the appends and deliveries that are due.
    output step(const replicated_state& state, const lease_system& leases, instant now);

    /// Targets whose open order of a former holder can be closed only once its deliverer has verifiably ended. An alarm
    /// reports them to operators.
    const std::set<std::string>& waitingForProof() const { return m_waitingForProof; }
    /// Whether an order issued by this node has neither a delivery result nor been dropped.
    bool hasUndelivered() const;

private:
    struct desired_change {
        std::string lease;
        bool checksFencing;
        target_order order;
    };
    struct delivery {
        std::string target;
        std::optional<delivery_result> result;
        instant startedAt;
        bool isDropped = false; // not sent, and must not be sent any more
    };
    struct pending_append {
        instant since;
    };

    void stepOpen(const std::string& target, const target_orders& open, const replicated_state& state,
        const lease_system& leases, instant now, output& out);
    void stepOwn(const std::string& target, const target_orders& open, const replicated_state& state,
        const lease_system& leases, instant now, output& out);
    void stepInherited(
        const std::string& target, const target_orders& open, const replicated_state& state, instant now, output& out);
    void stepDesired(const std::string& target, const desired_change& change, const replicated_state& state,
        const lease_system& leases, instant now, output& out);
    void close(const std::string& target, const target_orders& open, log_offset term, order_end reason, instant now,
        output& out);
    /// Whether the target has finished the requests that it held when the order was recorded, so that the change
    /// interrupts none.
    bool isDrained(const std::string& target, instant now) const;
    bool isPending(const std::string& target, instant now) const;
    bool showsEffect(const std::string& target, const target_orders& open) const;
    void reissue(const std::string& target, const target_orders& open, log_offset term, instant now, output& out);
    /// The reason for which an inherited order may be closed at a target that does not check fencing tokens, if there
    /// is one.
    std::optional<order_end> provenEnd(const std::string& target, const target_orders& open, instant now) const;
    bool delivererEnded(const target_orders& open, instant now) const;

    instance_id m_self;
    order_settings m_settings;
    order_safeguards m_safeguards;
    std::map<std::string, desired_change> m_desired;
    std::map<log_offset, delivery> m_deliveries; // orders issued by this instance, until closed
    std::map<std::string, pending_append> m_pending; // by target: append whose outcome is not known yet
    std::map<std::string, target_view> m_views;
    std::map<std::string, instant>
        m_orderSeenAt; // by target: when this node read the record that issued or closed its last order
    std::map<std::string, std::pair<std::uint64_t, instant>>
        m_incarnations; // by node: newest incarnation and when it was first seen
    std::set<std::string> m_waitingForProof;
};

}
