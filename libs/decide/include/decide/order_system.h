// Issues orders to targets under a lease, delivers each at most once, and takes over what a former holder left open.
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

/// What a target's own status said last.
struct target_view {
    bool isKnown = false;
    instant askedAt; ///< when the question was sent: the answer is no older than that
    std::uint64_t incarnation = 0;
    bool isChanging = false;
    int running = 0; ///< requests it holds
    std::int64_t lastOrder = -1; ///< number of the last order the target took
    std::map<order_kind, std::string> settings; ///< the present role, model, version
};

/// Send this order to its target now; the answer goes to orderAnswered(). Never sent again by whoever executes it.
struct deliver_order {
    std::string target;
    log_offset order;
    log_offset fence;
    target_order what;
};

enum class delivery_result : unsigned char {
    accepted,
    refused, ///< the target answered no
    not_sent, ///< no byte can have left
    closed ///< no answer, but the connection is closed both ways and its unsent bytes have expired
};

struct order_settings {
    duration appendRetry = std::chrono::seconds(1);
    /// From an order's record to its delivery: every node reads the record meanwhile and gives the target no more work.
    duration settle = std::chrono::seconds(1);
    /// Longest wait for a target to finish what it holds; then the order is dropped, not forced.
    duration drainTimeout = std::chrono::seconds(120);
    /// After a deliverer's process is known to be gone, its kernel may still send what was buffered for this long.
    duration bufferedBytesLife = std::chrono::seconds(12);
    /// A target that took an order shows its effect within this time, or the order is taken for swallowed by a crash.
    duration effectTimeout = std::chrono::seconds(30);
};

/// Mechanisms that a test can switch off, to see its proof fail without them.
struct order_safeguards {
    bool reissueBeforeNew = true; ///< raise the fence at a checking target before anything new
    bool adoptOpenOrders = true; ///< issue nothing else while a former holder's order is open
    bool singleDelivery = true;
    bool checkLeaseBeforeSend = true;
};

class order_system {
public:
    order_system(instance_id self, order_settings settings, order_safeguards safeguards = {});

    /// What the planner wants the target to be; nothing is done without the lease.
    void want(const std::string& target, const std::string& lease, bool checksFencing, target_order order);
    void forget(const std::string& target);
    void recordSeen(const log_record& record, verdict v, instant now);
    /// The agreed state was taken over from a restatement: its orders count as read at `now`.
    void restored(const agreed_state& state, instant now);
    void targetSeen(const std::string& target, const target_view& view);
    /// A node with this incarnation answers at the name: every older one has ended.
    void incarnationSeen(const instance_id& instance, instant now);
    void orderAnswered(log_offset order, delivery_result result);

    struct output {
        std::vector<wanted_append> appends;
        std::vector<deliver_order> deliveries;
    };
    output step(const agreed_state& state, const lease_system& leases, instant now);

    /// Targets whose open order waits for a proof that its deliverer ended; operators are told.
    const std::set<std::string>& waitingForProof() const { return m_waitingForProof; }
    /// Whether an order of this node's own writing may still be on its way.
    bool hasUndelivered() const;

private:
    struct wanted_change {
        std::string lease;
        bool checksFencing;
        target_order order;
    };
    struct delivery {
        std::string target;
        std::optional<delivery_result> result;
        instant startedAt;
        bool isDropped = false; // never sent, and never to be sent
    };
    struct pending_append {
        instant since;
    };

    void stepOpen(const std::string& target, const target_orders& open, const agreed_state& state,
        const lease_system& leases, instant now, output& out);
    void stepOwn(const std::string& target, const target_orders& open, const agreed_state& state,
        const lease_system& leases, instant now, output& out);
    void stepInherited(
        const std::string& target, const target_orders& open, const agreed_state& state, instant now, output& out);
    void stepWanted(const std::string& target, const wanted_change& change, const agreed_state& state,
        const lease_system& leases, instant now, output& out);
    void close(const std::string& target, const target_orders& open, log_offset term, order_end reason, instant now,
        output& out);
    /// Whether the target has finished what it held when the order was recorded, so that the change cuts nothing.
    bool isDrained(const std::string& target, instant now) const;
    bool isPending(const std::string& target, instant now) const;
    bool showsEffect(const std::string& target, const target_orders& open) const;
    void reissue(const std::string& target, const target_orders& open, log_offset term, instant now, output& out);
    /// Whether an inherited order at a target that does not check may be closed, and why.
    std::optional<order_end> proofOfEnd(const std::string& target, const target_orders& open, instant now) const;
    bool delivererEnded(const target_orders& open, instant now) const;

    instance_id m_self;
    order_settings m_settings;
    order_safeguards m_safeguards;
    std::map<std::string, wanted_change> m_wanted;
    std::map<log_offset, delivery> m_deliveries; // orders written by this instance, until closed
    std::map<std::string, pending_append> m_pending; // by target: an append without a known outcome
    std::map<std::string, target_view> m_views;
    std::map<std::string, instant> m_orderSeenAt; // by target: when this node read its last order's record or end
    std::map<std::string, std::pair<std::uint64_t, instant>> m_incarnations; // newest seen, and when, by node
    std::set<std::string> m_waitingForProof;
};

}
