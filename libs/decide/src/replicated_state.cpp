// The rules by which log records change the replicated state.
#include "decide/replicated_state.h"

#include "base/contract.h"
#include "base/hash.h"

namespace tamarack {

verdict replicated_state::apply(const log_record& record)
{
    TAMARACK_ASSERT(record.offset.isValid(), "a record read from the log has an offset");
    if (record.offset < m_data.asOf)
        return verdict::no_effect;
    m_data.asOf = log_offset { record.offset.value + 1 };
    return std::visit([&](const auto& body) { return on(record, body); }, record.body);
}

void replicated_state::skip(log_offset offset)
{
    if (offset >= m_data.asOf)
        m_data.asOf = log_offset { offset.value + 1 };
}

void replicated_state::restore(replicated_data data) { m_data = std::move(data); }

const lease_state& replicated_state::lease(const std::string& name) const
{
    static const lease_state unclaimed;
    const auto found = m_data.leases.find(name);
    return found == m_data.leases.end() ? unclaimed : found->second;
}

const target_orders& replicated_state::orders(const std::string& target) const
{
    static const target_orders none;
    const auto found = m_data.orders.find(target);
    return found == m_data.orders.end() ? none : found->second;
}

bool replicated_state::holdsTerm(const std::string& name, log_offset term, const instance_id& writer) const
{
    const lease_state& held = lease(name);
    return held.holder.isValid() && held.term == term && held.holder == writer;
}

verdict replicated_state::on(const log_record& record, const publication_record& body)
{
    configuration_state& current = m_data.configuration;
    if (body.baseVersion != current.version)
        return verdict::stale_base;
    current.version += 1;
    current.offset = record.offset;
    current.text = body.text;
    current.author = body.author;
    current.hash = stableHash(body.text);
    return verdict::valid;
}

verdict replicated_state::on(const log_record& record, const claim_record& body)
{
    lease_state& held = m_data.leases[body.lease];
    if (held.last != body.previous)
        return verdict::stale_previous;
    held = { record.origin.writer, record.offset, record.offset };
    return verdict::valid;
}

verdict replicated_state::on(const log_record& record, const renewal_record& body)
{
    if (!holdsTerm(body.lease, body.term, record.origin.writer))
        return verdict::stale_term;
    m_data.leases[body.lease].last = record.offset;
    return verdict::valid;
}

verdict replicated_state::on(const log_record& record, const release_record& body)
{
    if (!holdsTerm(body.lease, body.term, record.origin.writer))
        return verdict::stale_term;
    lease_state& held = m_data.leases[body.lease];
    held.holder = {};
    held.last = record.offset;
    return verdict::valid;
}

verdict replicated_state::on(const log_record& record, const order_record& body)
{
    if (!holdsTerm(body.lease, body.term, record.origin.writer))
        return verdict::stale_term;
    target_orders& state = m_data.orders[body.target];
    // Without this compare-and-set, an order that is appended again because the answer to its first append was lost
    // could be applied twice. The second copy may be appended after the first has been closed, and the target would
    // receive an outdated order.
    if (state.last != body.previous)
        return verdict::stale_previous;
    const bool mayReplace = body.replacesOpen && state.checksFencing && state.order == body.order;
    if (state.isOpen && !mayReplace)
        return verdict::order_open;
    state = { record.offset, true, body.lease, body.term, record.origin.writer, body.order, body.checksFencing,
        body.targetIncarnation, body.replacesOpen };
    return verdict::valid;
}

verdict replicated_state::on(const log_record& record, const order_end_record& body)
{
    const auto found = m_data.orders.find(body.target);
    if (found == m_data.orders.end() || !found->second.isOpen || found->second.last != body.order)
        return verdict::not_open;
    const instance_id& writer = record.origin.writer;
    const bool isDeliverer = writer == found->second.deliverer;
    const bool isDelivererOnly = body.reason == order_end::never_sent || body.reason == order_end::delivery_closed;
    if (isDelivererOnly && !isDeliverer)
        return verdict::not_entitled;
    // never_sent refers to one fencing token only. Copies of a reissued order with lower tokens may still arrive, so
    // the order stays open.
    if (body.reason == order_end::never_sent && found->second.isReissue)
        return verdict::not_entitled;
    const bool needsTerm = !isDelivererOnly && body.reason != order_end::operator_said;
    if (needsTerm && !holdsTerm(body.lease, body.term, writer))
        return verdict::stale_term;
    found->second.isOpen = false;
    return verdict::valid;
}

verdict replicated_state::on(const log_record&, const snapshot_record&) { return verdict::no_effect; }

}
