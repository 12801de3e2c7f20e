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
    /// Of the messages of one datagram, below the usual path MTU; a single larger one goes alone.
    constexpr std::size_t mostBytes = 1'350;
    /// What a message takes beyond its own bytes.
    constexpr std::size_t messageOverhead = 2;
    /// A relay tells its nodes something at least this often.
    constexpr duration relayPulse = 100ms;
    /// After which a node leaves it.
    constexpr duration relaySilence = 450ms;
    /// Until it is taken for a relay again.
    constexpr duration silentFor = 3s;
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
    auto out = listOf(m_planned);
    for (const auto& [place, heardAt] : m_otherRelays) {
        if (!m_planned.contains(place))
            out.push_back(place);
    }
    return out;
}

// What goes wrong without it: all relays of a zone are lost at once, and what its nodes tell reaches no other zone
// until everyone takes the lost ones for gone.
void message_relay::findRelays(instant now)
{
    places chosen;
    for (const auto& zone : m_plan.zones) {
        std::size_t wanted = zone.wanted;
        for (auto place = zone.ranked.begin(); place != zone.ranked.end() && wanted > 0; ++place) {
            if (!isUsable(*place, now))
                continue;
            const auto known = m_planned.find(*place);
            const instant since = known == m_planned.end() ? now : known->second;
            if (now >= since + relaySilence) {
                m_silent[*place] = now;
                continue;
            }
            chosen[*place] = since;
            --wanted;
        }
    }
    m_planned = std::move(chosen);
}

bool message_relay::isUsable(const node_place& relay, instant now) const
{
    const auto left = m_silent.find(relay);
    return left == m_silent.end() || now >= left->second + silentFor;
}

void message_relay::planned(relay_plan plan, instant now)
{
    m_plan = std::move(plan);
    const auto& choices = m_plan.choices;
    if (std::find(choices.begin(), choices.end(), m_relay) == choices.end())
        m_relay = {};
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
    if (m_relay.port != 0 && now < m_relayHeardAt + relaySilence)
        return;
    if (m_relay.port != 0)
        m_silent[m_relay] = now;
    const auto next = std::find_if(
        m_plan.choices.begin(), m_plan.choices.end(), [&](const node_place& place) { return isUsable(place, now); });
    m_relay = next == m_plan.choices.end() ? node_place {} : *next;
    m_relayHeardAt = now; // it has as long to answer
    m_toldAt = {}; // it is to hear of this node at once
    m_nextAt = now;
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
    if (messages.empty())
        return;
    const instant flushAt = now + (pace == told_pace::atOnce ? urgentPause : soonPause);
    to.flushAt = to.messages.empty() ? flushAt : std::min(to.flushAt, flushAt);
    to.pace = std::max(to.pace, pace);
    for (const auto& message : messages) {
        to.messages.push_back(message);
        to.bytes += message.size() + messageOverhead;
    }
    m_nextAt = std::min(m_nextAt, to.bytes >= mostBytes ? now : to.flushAt);
}

void message_relay::flush(collected& from, std::vector<node_place> to, relay_step step, duration longestSilence,
    instant now, std::vector<relay_datagram>& out)
{
    const bool isFull = from.bytes >= mostBytes;
    const bool isDue = !from.messages.empty() && (isFull || now >= from.flushAt);
    if (!isDue && now < from.sentAt + longestSilence)
        return;
    from.sentAt = now;
    relay_datagram datagram { std::move(to), { step, from.pace, {} } };
    auto& messages = datagram.load.messages;
    auto next = from.messages.begin();
    for (std::size_t bytes = 0; next != from.messages.end(); ++next) {
        bytes += next->size() + messageOverhead;
        if (!messages.empty() && bytes > mostBytes)
            break;
        messages.push_back(std::move(*next));
    }
    out.push_back(std::move(datagram));
    from.messages.erase(from.messages.begin(), next);
    from.bytes = 0;
    for (const auto& message : from.messages)
        from.bytes += message.size() + messageOverhead;
    // What is left waits for more, but no longer than it would have.
    if (from.messages.empty())
        from.pace = told_pace::soon;
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
    if (!m_plan.hasRelays || !isRelay())
        return out;
    flush(m_forRelays, otherRelays(), relay_step::shared, memberPulse, now, out);
    flush(m_forNodes, listOf(m_nodes), relay_step::passed, relayPulse, now, out);
    for (const auto* waiting : { &m_forRelays, &m_forNodes }) {
        if (!waiting->messages.empty())
            m_nextAt = std::min(m_nextAt, waiting->bytes >= mostBytes ? now : waiting->flushAt);
    }
    return out;
}

}
