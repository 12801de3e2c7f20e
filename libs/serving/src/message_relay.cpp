// Buffers and signs of life.
#include "serving/message_relay.h"

#include <algorithm>

namespace tamarack::serving {

namespace {

    using namespace std::chrono_literals;

    /// What comes within this time is passed on together. What is urgent goes through two relays, and each millisecond
    /// is one in which others do not know of it yet.
    constexpr duration soonPause = 20ms;
    constexpr duration urgentPause = 2ms;
    /// Between two datagrams to the same nodes.
    constexpr duration shortestPause = 1ms;
    /// Of a relay's link, for what it passes on; callers' requests and answers need the rest.
    constexpr double linkShare = 0.5;
    /// Of what waits to be passed on.
    constexpr std::size_t mostWaitingBytes = 256 * 1024;
    /// Of the messages of one datagram, below the usual path MTU; a single larger one goes alone.
    constexpr std::size_t mostBytes = 1'350;
    /// What a message takes beyond its own bytes.
    constexpr std::size_t messageOverhead = 2;
    constexpr std::size_t datagramOverhead = 32;
    /// A relay tells its nodes something at least this often.
    constexpr duration relayPulse = 100ms;
    /// After which a node leaves it.
    constexpr duration relaySilence = 450ms;
    /// Until a node takes it for its relay again, if it is not heard: with many nodes it takes as long until all know
    /// that it is gone.
    constexpr duration nodeLeavesFor = 8s;
    /// Until another relay tells it something again: two that are silent for each other find each other so.
    constexpr duration relayLeavesFor = 2s;
    /// A node tells its relay something at least this often, and a relay the others.
    constexpr duration memberPulse = 200ms;
    /// Who was not heard for so long has another relay, or is gone.
    constexpr duration memberLife = 1s;

    void forgetSilent(std::map<node_place, instant>& nodes, duration life, instant now)
    {
        std::erase_if(nodes, [&](const auto& item) { return now >= item.second + life; });
    }

}

std::vector<node_place> message_relay::listOf(const places& nodes)
{
    std::vector<node_place> out;
    for (const auto& [place, heardAt] : nodes)
        out.push_back(place);
    return out;
}

std::vector<node_place> message_relay::otherRelays() const
{
    if (!m_plan.hasRelays)
        return m_plan.everyone;
    auto out = isRelay() ? listOf(m_planned) : std::vector<node_place>();
    for (const auto& [place, heardAt] : m_otherRelays) {
        if (std::find(out.begin(), out.end(), place) == out.end())
            out.push_back(place);
    }
    return out;
}

std::vector<relay_candidate> message_relay::relaysOf(const zone_relays& zone, duration silentFor, instant now) const
{
    std::vector<relay_candidate> out;
    std::size_t served = 0;
    for (const auto& candidate : zone.ranked) {
        if (served >= zone.nodes)
            break;
        if (!isUsable(candidate.place, silentFor, now))
            continue;
        out.push_back(candidate);
        served += candidate.serves;
    }
    return out;
}

// What goes wrong without it: all relays of a zone are lost at once, and what its nodes tell reaches no other zone
// until everyone takes the lost ones for gone.
void message_relay::findRelays(instant now)
{
    for (const auto& [place, since] : m_planned) {
        if (now >= since + relaySilence)
            m_silent[place] = now;
    }
    places chosen;
    for (const auto& zone : m_plan.zones) {
        for (const auto& relay : relaysOf(zone, relayLeavesFor, now)) {
            const auto known = m_planned.find(relay.place);
            chosen[relay.place] = known == m_planned.end() ? now : known->second;
        }
    }
    m_planned = std::move(chosen);
}

bool message_relay::isUsable(const node_place& relay, duration silentFor, instant now) const
{
    const auto left = m_silent.find(relay);
    return left == m_silent.end() || now >= left->second + silentFor;
}

void message_relay::planned(relay_plan plan, instant now)
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
    if (m_relay.port != 0 && now >= m_relayHeardAt + relaySilence)
        m_silent[m_relay] = now;
    const auto best = bestRelay(now);
    if (best == m_relay)
        return;
    // The former one goes on passing to this node until it takes it for gone.
    m_relay = best;
    m_relayHeardAt = now; // it has as long to answer
    m_toldAt = {}; // it is to hear of this node at once
    m_nextAt = now;
}

node_place message_relay::bestRelay(instant now) const
{
    for (const auto& zone : m_plan.zones) {
        if (!zone.isOwn)
            continue;
        const auto relays = relaysOf(zone, nodeLeavesFor, now);
        const auto best = std::max_element(relays.begin(), relays.end(),
            [](const relay_candidate& a, const relay_candidate& b) { return a.weight < b.weight; });
        if (best != relays.end())
            return best->place;
    }
    return {};
}

std::vector<relay_datagram> message_relay::tell(const std::string& message, told_pace pace, instant now)
{
    if (isRelay()) {
        if (!m_nodes.empty())
            collect(m_forNodes, { message }, pace, now);
        m_forRelays.sentAt = now;
        return { { otherRelays(), { relay_step::shared, pace, { message } } } };
    }
    if (m_relay.port == 0)
        return { { m_plan.everyone, { relay_step::passed, pace, { message } } } };
    m_toldAt = now;
    return { { { m_relay }, { relay_step::told, pace, { message } } } };
}

void message_relay::heard(const node_place& from, const relay_load& load, instant now)
{
    if (from == m_relay)
        m_relayHeardAt = now;
    m_silent.erase(from);
    if (const auto relay = m_planned.find(from); relay != m_planned.end())
        relay->second = now;
    if (load.step == relay_step::passed)
        return;
    if (load.step == relay_step::told) {
        m_nodes[from] = now;
        collect(m_forRelays, load.messages, load.pace, now);
    } else {
        m_otherRelays[from] = now;
    }
    if (!m_nodes.empty())
        collect(m_forNodes, load.messages, load.pace, now);
}

void message_relay::collect(collected& to, const std::vector<std::string>& messages, told_pace pace, instant now)
{
    const bool isUrgent = pace == told_pace::atOnce;
    auto& waiting = isUrgent ? to.urgent : to.others;
    for (const auto& message : messages) {
        const auto size = message.size() + messageOverhead;
        if (!isUrgent && to.bytes + size > mostWaitingBytes)
            continue; // it is told again, with what is new by then
        if (waiting.empty())
            (isUrgent ? to.urgentAt : to.othersAt) = now + (isUrgent ? urgentPause : soonPause);
        waiting.push_back(message);
        to.bytes += size;
    }
    if (!to.isEmpty())
        m_nextAt = std::min(m_nextAt, to.dueAt());
}

instant message_relay::collected::dueAt() const
{
    constexpr auto never = instant::max();
    return std::min(urgent.empty() ? never : urgentAt, others.empty() ? never : othersAt);
}

relay_load message_relay::collected::take(relay_step step)
{
    relay_load load { step, urgent.empty() ? told_pace::soon : told_pace::atOnce, {} };
    std::size_t taken = 0;
    for (auto* waiting : { &urgent, &others }) {
        while (!waiting->empty()) {
            const auto size = waiting->front().size() + messageOverhead;
            if (taken > 0 && taken + size > mostBytes)
                return load;
            load.messages.push_back(std::move(waiting->front()));
            waiting->pop_front();
            taken += size;
            bytes -= size;
        }
    }
    return load;
}

duration message_relay::sendTime(const relay_datagram& datagram) const
{
    if (m_plan.linkMegabits == 0)
        return duration::zero();
    constexpr double bitsPerByte = 8;
    constexpr double bitsPerMegabit = 1e6;
    std::size_t bytes = datagramOverhead;
    for (const auto& message : datagram.load.messages)
        bytes += message.size() + messageOverhead;
    const double bits = bitsPerByte * static_cast<double>(datagram.to.size() * bytes);
    return fromSeconds(bits / (linkShare * bitsPerMegabit * m_plan.linkMegabits));
}

// What goes wrong without the pause after a datagram: many nodes tell something at the same moment, such as that a new
// version is in force; hundreds of copies of it leave the relay at once, its link drops what does not fit, and nodes
// that live are taken for gone.
void message_relay::flush(collected& from, const std::vector<node_place>& to, relay_step step, duration longestSilence,
    instant now, std::vector<relay_datagram>& out)
{
    const bool isDue = !from.isEmpty() && now >= from.dueAt();
    if (!isDue && now < from.sentAt + longestSilence)
        return;
    from.sentAt = now;
    out.push_back({ to, from.take(step) });
    const instant next = now + std::max(sendTime(out.back()), shortestPause);
    from.urgentAt = std::max(from.urgentAt, next);
    from.othersAt = std::max(from.othersAt, next);
}

std::vector<relay_datagram> message_relay::due(instant now)
{
    std::vector<relay_datagram> out;
    forgetSilent(m_nodes, memberLife, now);
    forgetSilent(m_otherRelays, memberLife, now);
    chooseRelay(now);
    if (isRelay())
        findRelays(now);
    m_nextAt = now + relayPulse;
    if (m_relay.port != 0 && now >= m_toldAt + memberPulse) {
        m_toldAt = now;
        out.push_back({ { m_relay }, { relay_step::told, told_pace::soon, {} } });
    }
    // Another one takes this node for a relay: without an answer it would be silent for it when it is one.
    if (!m_plan.hasRelays || (!isRelay() && m_otherRelays.empty()))
        return out;
    flush(m_forRelays, otherRelays(), relay_step::shared, memberPulse, now, out);
    flush(m_forNodes, listOf(m_nodes), relay_step::passed, relayPulse, now, out);
    for (const auto* waiting : { &m_forRelays, &m_forNodes }) {
        if (!waiting->isEmpty())
            m_nextAt = std::min(m_nextAt, waiting->dueAt());
    }
    return out;
}

}
