// Buffering of messages, selection of relays and keep-alive datagrams.
#include "serving/message_relay.h"

#include <algorithm>

namespace tamarack::serving {

namespace {

    using namespace std::chrono_literals;

    /// Messages that arrive within this time share a datagram. Urgent messages pass through two relays, and during each
    /// millisecond of delay other nodes act without them.
    constexpr duration batchDelay = 20ms;
    constexpr duration immediateDelay = 2ms;
    /// Minimum time between two datagrams to the same nodes.
    constexpr duration minSendInterval = 1ms;
    /// Share of a relay's link used for relayed messages. Requests and responses of callers need the rest.
    constexpr double linkShare = 0.5;
    /// Limit for the bytes queued for relaying.
    constexpr std::size_t maxQueuedBytes = 256 * 1024;
    /// Maximum size of the messages of one datagram, below the usual path MTU. A single larger message is sent alone.
    constexpr std::size_t maxPayloadBytes = 1'350;
    /// Encoding overhead per message.
    constexpr std::size_t messageOverhead = 2;
    constexpr std::size_t datagramOverhead = 32;
    /// Maximum time between two datagrams of a relay to its nodes.
    constexpr duration relayKeepAliveInterval = 100ms;
    /// A node leaves a relay that has been silent for this time.
    constexpr duration relayTimeout = 450ms;
    /// Time until a node selects a silent relay again. In a large fleet it takes this long until all nodes know that it
    /// is gone.
    constexpr duration memberRetryDelay = 8s;
    /// Time until another relay sends to a silent relay again, so that two relays that lost contact find each other.
    constexpr duration relayRetryDelay = 2s;
    /// Maximum time between two datagrams of a node to its relay, and of a relay to the other relays.
    constexpr duration memberKeepAliveInterval = 200ms;
    /// A node that has been silent for this time uses another relay or is gone.
    constexpr duration memberTimeout = 1s;

    void expireSilent(std::map<node_endpoint, instant>& nodes, duration timeout, instant now)
    {
        std::erase_if(nodes, [&](const auto& item) { return now >= item.second + timeout; });
    }

}

std::vector<node_endpoint> message_relay::endpointsOf(const endpoint_times& nodes)
{
    std::vector<node_endpoint> out;
    for (const auto& [endpoint, lastSeenAt] : nodes)
        out.push_back(endpoint);
    return out;
}

std::vector<node_endpoint> message_relay::otherRelays() const
{
    if (!m_plan.hasRelays)
        return m_plan.allNodes;
    auto out = isRelay() ? endpointsOf(m_planned) : std::vector<node_endpoint>();
    for (const auto& [endpoint, lastSeenAt] : m_otherRelays) {
        if (std::find(out.begin(), out.end(), endpoint) == out.end())
            out.push_back(endpoint);
    }
    return out;
}

std::vector<relay_candidate> message_relay::selectRelays(
    const zone_relays& zone, duration retryDelay, instant now) const
{
    std::vector<relay_candidate> out;
    std::size_t served = 0;
    for (const auto& candidate : zone.ranked) {
        if (served >= zone.nodeCount)
            break;
        if (!isAvailable(candidate.endpoint, retryDelay, now))
            continue;
        out.push_back(candidate);
        served += candidate.capacity;
    }
    return out;
}

// Silent relays are replaced without waiting for a new plan. Otherwise, if all relays of a zone fail at once, messages
// of its nodes reach no other zone until every node considers the failed relays gone.
void message_relay::findRelays(instant now)
{
    for (const auto& [endpoint, since] : m_planned) {
        if (now >= since + relayTimeout)
            m_silentRelays[endpoint] = now;
    }
    endpoint_times chosen;
    for (const auto& zone : m_plan.zones) {
        for (const auto& relay : selectRelays(zone, relayRetryDelay, now)) {
            const auto known = m_planned.find(relay.endpoint);
            chosen[relay.endpoint] = known == m_planned.end() ? now : known->second;
        }
    }
    m_planned = std::move(chosen);
}

bool message_relay::isAvailable(const node_endpoint& relay, duration retryDelay, instant now) const
{
    const auto left = m_silentRelays.find(relay);
    return left == m_silentRelays.end() || now >= left->second + retryDelay;
}

void message_relay::setPlan(relay_plan plan, instant now)
{
    m_plan = std::move(plan);
    chooseRelay(now);
    if (isRelay())
        findRelays(now);
}

void message_relay::chooseRelay(instant now)
{
    if (isRelay()) {
        m_relay = {};
        return;
    }
    if (m_relay.port != 0 && now >= m_relayLastSeenAt + relayTimeout)
        m_silentRelays[m_relay] = now;
    const auto best = bestRelay(now);
    if (best == m_relay)
        return;
    // The previous relay keeps forwarding to this node until it considers the node gone.
    m_relay = best;
    m_relayLastSeenAt = now; // the new relay gets the full timeout to respond
    m_lastSentToRelayAt = {}; // contact the new relay immediately
    m_nextDueAt = now;
}

node_endpoint message_relay::bestRelay(instant now) const
{
    for (const auto& zone : m_plan.zones) {
        if (!zone.isOwnZone)
            continue;
        const auto relays = selectRelays(zone, memberRetryDelay, now);
        const auto best = std::max_element(relays.begin(), relays.end(),
            [](const relay_candidate& a, const relay_candidate& b) { return a.weight < b.weight; });
        if (best != relays.end())
            return best->endpoint;
    }
    return {};
}

std::vector<relay_datagram> message_relay::broadcast(const std::string& message, send_pace pace, instant now)
{
    if (isRelay()) {
        if (!m_members.empty())
            collect(m_forNodes, { message }, pace, now);
        m_forRelays.sentAt = now;
        return { { otherRelays(), { relay_hop::betweenRelays, pace, { message } } } };
    }
    if (m_relay.port == 0)
        return { { m_plan.allNodes, { relay_hop::toNode, pace, { message } } } };
    m_lastSentToRelayAt = now;
    return { { { m_relay }, { relay_hop::toRelay, pace, { message } } } };
}

void message_relay::receive(const node_endpoint& from, const relay_payload& payload, instant now)
{
    if (from == m_relay)
        m_relayLastSeenAt = now;
    m_silentRelays.erase(from);
    if (const auto relay = m_planned.find(from); relay != m_planned.end())
        relay->second = now;
    if (payload.step == relay_hop::toNode)
        return;
    if (payload.step == relay_hop::toRelay) {
        m_members[from] = now;
        collect(m_forRelays, payload.messages, payload.pace, now);
    } else {
        m_otherRelays[from] = now;
    }
    if (!m_members.empty())
        collect(m_forNodes, payload.messages, payload.pace, now);
}

void message_relay::collect(message_batch& to, const std::vector<std::string>& messages, send_pace pace, instant now)
{
    const bool isUrgent = pace == send_pace::immediate;
    auto& waiting = isUrgent ? to.urgent : to.others;
    for (const auto& message : messages) {
        const auto size = message.size() + messageOverhead;
        if (!isUrgent && to.bytes + size > maxQueuedBytes)
            continue; // dropped; it is sent again later, together with newer data
        if (waiting.empty())
            (isUrgent ? to.urgentAt : to.othersAt) = now + (isUrgent ? immediateDelay : batchDelay);
        waiting.push_back(message);
        to.bytes += size;
    }
    if (!to.isEmpty())
        m_nextDueAt = std::min(m_nextDueAt, to.dueAt());
}

instant message_relay::message_batch::dueAt() const
{
    constexpr auto never = instant::max();
    return std::min(urgent.empty() ? never : urgentAt, others.empty() ? never : othersAt);
}

relay_payload message_relay::message_batch::take(relay_hop step)
{
    relay_payload payload { step, urgent.empty() ? send_pace::batched : send_pace::immediate, {} };
    std::size_t taken = 0;
    for (auto* waiting : { &urgent, &others }) {
        while (!waiting->empty()) {
            const auto size = waiting->front().size() + messageOverhead;
            if (taken > 0 && taken + size > maxPayloadBytes)
                return payload;
            payload.messages.push_back(std::move(waiting->front()));
            waiting->pop_front();
            taken += size;
            bytes -= size;
        }
    }
    return payload;
}

duration message_relay::sendTime(const relay_datagram& datagram) const
{
    if (m_plan.linkMegabits == 0)
        return duration::zero();
    constexpr double bitsPerByte = 8;
    constexpr double bitsPerMegabit = 1e6;
    std::size_t bytes = datagramOverhead;
    for (const auto& message : datagram.payload.messages)
        bytes += message.size() + messageOverhead;
    const double bits = bitsPerByte * static_cast<double>(datagram.to.size() * bytes);
    return fromSeconds(bits / (linkShare * bitsPerMegabit * m_plan.linkMegabits));
}

// The delay after a datagram matches the link. Many nodes send at the same moment, for instance when a new version
// comes into force. Without the delay, hundreds of copies leave the relay at once, its link drops the excess, and live
// nodes are considered gone.
void message_relay::flush(message_batch& from, const std::vector<node_endpoint>& to, relay_hop step,
    duration keepAliveInterval, instant now, std::vector<relay_datagram>& out)
{
    const bool isDue = !from.isEmpty() && now >= from.dueAt();
    if (!isDue && now < from.sentAt + keepAliveInterval)
        return;
    from.sentAt = now;
    out.push_back({ to, from.take(step) });
    const instant next = now + std::max(sendTime(out.back()), minSendInterval);
    from.urgentAt = std::max(from.urgentAt, next);
    from.othersAt = std::max(from.othersAt, next);
}

std::vector<relay_datagram> message_relay::takeDue(instant now)
{
    std::vector<relay_datagram> out;
    expireSilent(m_members, memberTimeout, now);
    expireSilent(m_otherRelays, memberTimeout, now);
    chooseRelay(now);
    if (isRelay())
        findRelays(now);
    m_nextDueAt = now + relayKeepAliveInterval;
    if (m_relay.port != 0 && now >= m_lastSentToRelayAt + memberKeepAliveInterval) {
        m_lastSentToRelayAt = now;
        out.push_back({ { m_relay }, { relay_hop::toRelay, send_pace::batched, {} } });
    }
    // Other nodes may use this node as a relay. Without responses they would consider it silent once it is one.
    if (!m_plan.hasRelays || (!isRelay() && m_otherRelays.empty()))
        return out;
    flush(m_forRelays, otherRelays(), relay_hop::betweenRelays, memberKeepAliveInterval, now, out);
    flush(m_forNodes, endpointsOf(m_members), relay_hop::toNode, relayKeepAliveInterval, now, out);
    for (const auto* waiting : { &m_forRelays, &m_forNodes }) {
        if (!waiting->isEmpty())
            m_nextDueAt = std::min(m_nextDueAt, waiting->dueAt());
    }
    return out;
}

}
