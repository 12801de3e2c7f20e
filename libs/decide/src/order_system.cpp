// Life cycle of an order: append its record, read it back, deliver it once, observe its effect, close it.
#include "decide/order_system.h"

#include "base/contract.h"

namespace tamarack {

order_system::order_system(instance_id self, order_settings settings, order_safeguards safeguards)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_safeguards(safeguards)
{
}

void order_system::setDesired(
    const std::string& target, const std::string& lease, bool checksFencing, target_order order)
{
    TAMARACK_ASSERT(order.kind != order_kind::none, "a desired order has a kind");
    m_desired[target] = { lease, checksFencing, std::move(order) };
}

void order_system::clearDesired(const std::string& target) { m_desired.erase(target); }

void order_system::onLogRecord(const log_record& record, verdict v, instant now)
{
    const bool isMine = record.origin.writer == m_self;
    if (const auto* order = std::get_if<order_record>(&record.body)) {
        if (isMine)
            m_pending.erase(order->target);
        if (v == verdict::valid)
            m_orderSeenAt[order->target] = now;
        if (v == verdict::valid && isMine)
            m_deliveries[record.offset] = { order->target, std::nullopt, {}, false };
    }
    if (const auto* end = std::get_if<order_end_record>(&record.body)) {
        if (isMine)
            m_pending.erase(end->target);
        if (v == verdict::valid)
            m_orderSeenAt[end->target] = now;
    }
}

void order_system::onStateRestored(const replicated_state& state, instant now)
{
    for (const auto& [target, orders] : state.data().orders) {
        m_orderSeenAt[target] = now;
        // An own order that is learned from a peer's state was never sent, since only an order read back from the log
        // is sent. It must not be sent now either, because it may be long outdated.
        const bool isMine = orders.isOpen && orders.deliverer == m_self;
        if (isMine && !m_deliveries.contains(orders.last))
            m_deliveries[orders.last] = { target, std::nullopt, {}, true };
    }
}

void order_system::onTargetView(const std::string& target, const target_view& view) { m_views[target] = view; }

void order_system::onIncarnation(const instance_id& instance, instant now)
{
    auto& newest = m_incarnations[instance.node];
    if (newest.first >= instance.incarnation)
        return;
    newest = { instance.incarnation, now };
}

void order_system::onDeliveryResult(log_offset order, delivery_result result)
{
    const auto found = m_deliveries.find(order);
    if (found != m_deliveries.end())
        found->second.result = result;
}

bool order_system::hasUndelivered() const
{
    for (const auto& [offset, item] : m_deliveries) {
        if (!item.result && !item.isDropped)
            return true;
    }
    return false;
}

order_system::output order_system::step(const replicated_state& state, const lease_system& leases, instant now)
{
    output out;
    m_waitingForProof.clear();
    std::erase_if(m_deliveries, [&](const auto& item) {
        const target_orders& current = state.orders(item.second.target);
        return current.last != item.first || !current.isOpen;
    });
    for (const auto& [target, open] : state.data().orders) {
        if (open.isOpen)
            stepOpen(target, open, state, leases, now, out);
    }
    for (const auto& [target, change] : m_desired) {
        if (!state.orders(target).isOpen)
            stepDesired(target, change, state, leases, now, out);
    }
    return out;
}

void order_system::stepOpen(const std::string& target, const target_orders& open, const replicated_state& state,
    const lease_system& leases, instant now, output& out)
{
    if (open.deliverer == m_self)
        stepOwn(target, open, state, leases, now, out);
    else if (leases.holds(open.lease, state, now))
        stepInherited(target, open, state, now, out);
}

void order_system::stepOwn(const std::string& target, const target_orders& open, const replicated_state& state,
    const lease_system& leases, instant now, output& out)
{
    const auto found = m_deliveries.find(open.last);
    TAMARACK_ASSERT(found != m_deliveries.end(), "an open order of this instance has its delivery");
    delivery& item = found->second;
    const bool holdsLease = leases.holds(open.lease, state, now);
    const log_offset term = leases.term(open.lease, state);
    const bool isOwnTerm = holdsLease && term == open.term;
    const bool isUnsent = item.startedAt == instant();
    const bool hasWaitedTooLong = isUnsent && !open.isReissue && now >= m_orderSeenAt[target] + m_settings.drainTimeout;
    if ((isUnsent && !isOwnTerm && m_safeguards.checkLeaseBeforeSend) || hasWaitedTooLong)
        item.isDropped = true;
    const bool isUndelivered = item.isDropped || item.result == delivery_result::not_sent;
    // A reissued order that may not have arrived may not have raised the fencing token, so the copies that it replaces
    // are not fenced off yet.
    if (open.isReissue && (isUndelivered || item.result == delivery_result::closed)) {
        if (holdsLease)
            reissue(target, open, term, now, out);
        return;
    }
    if (isUndelivered)
        return close(target, open, term, order_end::never_sent, now, out);
    if (isUnsent && !isDrained(target, now))
        return;
    if (isUnsent || (!m_safeguards.singleDelivery && !item.result && now >= item.startedAt + m_settings.appendRetry)) {
        item.startedAt = now;
        out.deliveries.push_back({ target, open.last, open.last, open.order });
        return;
    }
    if (item.result == delivery_result::refused)
        return close(target, open, term, order_end::delivery_closed, now, out);
    if (holdsLease && showsEffect(target, open))
        return close(target, open, term, order_end::effect_seen, now, out);
    const auto view = m_views.find(target);
    const bool isSettled = view != m_views.end() && !view->second.isChanging;
    if (item.result && isSettled && now >= item.startedAt + m_settings.effectTimeout)
        close(target, open, term, order_end::delivery_closed, now, out);
}

void order_system::stepInherited(
    const std::string& target, const target_orders& open, const replicated_state& state, instant now, output& out)
{
    const log_offset term = state.lease(open.lease).term;
    // The former holder's copy may still be in flight. The target rejects it once it has seen the higher fencing token.
    if (open.checksFencing && m_safeguards.reissueBeforeNew)
        return reissue(target, open, term, now, out);
    if (const auto proof = provenEnd(target, open, now))
        return close(target, open, term, *proof, now, out);
    m_waitingForProof.insert(target);
}

void order_system::reissue(
    const std::string& target, const target_orders& open, log_offset term, instant now, output& out)
{
    if (isPending(target, now))
        return;
    m_pending[target] = { now };
    out.appends.push_back(
        { order_record { open.lease, term, target, open.order, true, open.last, true, open.targetIncarnation } });
}

// A target that does not check fencing tokens accepts the former holder's copy at any time. No other order may be sent
// to it until that copy has verifiably arrived, or verifiably cannot arrive any more.
std::optional<order_end> order_system::provenEnd(
    const std::string& target, const target_orders& open, instant now) const
{
    if (!m_safeguards.adoptOpenOrders)
        return order_end::deliverer_ended;
    if (showsEffect(target, open))
        return order_end::effect_seen;
    if (delivererEnded(open, now))
        return order_end::deliverer_ended;
    return std::nullopt;
}

void order_system::stepDesired(const std::string& target, const desired_change& change, const replicated_state& state,
    const lease_system& leases, instant now, output& out)
{
    if (!leases.holds(change.lease, state, now) || isPending(target, now))
        return;
    const auto view = m_views.find(target);
    if (view == m_views.end() || !view->second.isKnown || view->second.isChanging)
        return;
    // A holder that resumes after a freeze must not decide on a view from before the freeze, since it could order a
    // setting that the target already has. That setting would count as the order's effect before the order has arrived:
    // the order would be closed, and its copy would arrive late.
    const auto lastRecord = m_orderSeenAt.find(target);
    if (lastRecord != m_orderSeenAt.end() && view->second.requestedAt <= lastRecord->second)
        return;
    const auto present = view->second.settings.find(change.order.kind);
    if (present != view->second.settings.end() && present->second == change.order.value)
        return;
    m_pending[target] = { now };
    out.appends.push_back({ order_record { change.lease, leases.term(change.lease, state), target, change.order,
        change.checksFencing, state.orders(target).last, false, view->second.incarnation } });
}

void order_system::close(
    const std::string& target, const target_orders& open, log_offset term, order_end reason, instant now, output& out)
{
    if (isPending(target, now))
        return;
    m_pending[target] = { now };
    out.appends.push_back({ order_end_record { open.lease, term, target, open.last, reason } });
}

bool order_system::isDrained(const std::string& target, instant now) const
{
    const auto view = m_views.find(target);
    const auto orderSeen = m_orderSeenAt.find(target);
    if (view == m_views.end() || orderSeen == m_orderSeenAt.end())
        return false;
    const instant settled = orderSeen->second + m_settings.settleDelay;
    return now >= settled && view->second.requestedAt >= settled && view->second.running == 0;
}

bool order_system::isPending(const std::string& target, instant now) const
{
    const auto found = m_pending.find(target);
    return found != m_pending.end() && now < found->second.since + m_settings.appendRetry;
}

bool order_system::showsEffect(const std::string& target, const target_orders& open) const
{
    const auto found = m_views.find(target);
    const auto orderSeen = m_orderSeenAt.find(target);
    if (found == m_views.end() || orderSeen == m_orderSeenAt.end())
        return false;
    const target_view& view = found->second;
    // A status that was requested before the order was read may be older than the order, so it proves nothing.
    if (view.isChanging || view.requestedAt <= orderSeen->second)
        return false;
    const auto present = view.settings.find(open.order.kind);
    const bool hasValue = present != view.settings.end() && present->second == open.order.value;
    if (open.checksFencing)
        return hasValue && view.lastOrder >= open.last.value;
    // A restarted target shows its initial settings, which may equal the ordered ones although no copy has arrived.
    return hasValue && view.incarnation == open.targetIncarnation;
}

bool order_system::delivererEnded(const target_orders& open, instant now) const
{
    const auto found = m_incarnations.find(open.deliverer.node);
    if (found == m_incarnations.end() || found->second.first <= open.deliverer.incarnation)
        return false;
    return now >= found->second.second + m_settings.bufferedBytesLifetime;
}

}
