// Heartbeats carry all; notes what cannot wait for the next one.
#include "peer_talk.h"

#include <algorithm>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// Peers' work is as old as this; an engine reads some 6,000 tokens meanwhile.
    constexpr auto heartbeatInterval = 100ms;
    /// Prompts sent within this time are told to peers together: a datagram for each costs more than it tells.
    constexpr auto notePause = 5ms;
    /// With more peers than this allows, heartbeats go out less often: each node sends so many datagrams a second.
    constexpr int heartbeatsPerSecond = 160;
    /// At the usual interval; a peer that is silent for longer counts as away, and its work as done.
    constexpr duration shortestSilence = 700ms;
    constexpr duration shortestPeerLife = 600ms;
    /// Heartbeats that may be lost before a node counts as away, and a part of one for its way.
    constexpr double heartbeatsUntilAway = 3.2;
    constexpr std::size_t mostCacheNews = 12; // of a heartbeat
    /// Where a node is takes three times as many bytes as the rest of its state, and peers know it from the store; with
    /// 82 nodes heartbeats were half of all bytes between zones.
    constexpr int beatsPerWhole = 8;
    constexpr int millisecondsPerSecond = 1000;

}

peer_talk::peer_talk(dependencies parts)
    : m_parts(std::move(parts))
    , m_mesh([this](peer_datagram message) { heard(std::move(message)); })
{
    QObject::connect(&m_beatTimer, &QTimer::timeout, [this] { beat(); });
    m_noteTimer.setSingleShot(true);
    QObject::connect(&m_noteTimer, &QTimer::timeout, [this] { tellJobs(); });
}

bool peer_talk::listen(const endpoint& address) { return m_mesh.listen(address); }

void peer_talk::beat()
{
    const auto now = boot_clock::now();
    auto& decisions = m_parts.decisions;
    auto& nodes = m_parts.nodes;
    const auto self = m_parts.self();
    const bool isWhole = m_wholeBeats > 0 || m_beats % beatsPerWhole == 0;
    m_wholeBeats = std::max(0, m_wholeBeats - 1);
    ++m_beats;
    m_mesh.send(nodes.recipients(now),
        node_heartbeat { serving::pulseOf(self), isWhole ? std::optional(self) : std::nullopt, decisions.ownLoad(),
            decisions.ownJobs(now), m_parts.caches.takeNews(mostCacheNews), decisions.takeHealthNews(now),
            m_parts.roles.changing() });
    const int wanted = nodes.knownCount() * millisecondsPerSecond / heartbeatsPerSecond;
    const int interval = std::max(static_cast<int>(heartbeatInterval.count()), wanted);
    m_beatTimer.start(interval);
    const duration untilAway = fromSeconds(heartbeatsUntilAway * interval / millisecondsPerSecond);
    decisions.setPeerLife(std::max(shortestPeerLife, untilAway));
    nodes.setPeerTimeout(std::max(shortestSilence, untilAway));
}

void peer_talk::jobsSent()
{
    if (!m_noteTimer.isActive())
        m_noteTimer.start(notePause);
}

// What goes wrong without it: until the next heartbeat all nodes take the same engine for the one with the least work,
// and send it their prompts.
void peer_talk::tellJobs()
{
    const auto now = boot_clock::now();
    auto jobs = m_parts.decisions.takeNewJobs(now);
    if (!jobs.empty())
        m_mesh.send(m_parts.nodes.alive(now), job_note { serving::shortHash(m_parts.self().vm), std::move(jobs) });
}

void peer_talk::tellTargets(serving::target_note note)
{
    const auto peers = m_parts.nodes.alive(boot_clock::now());
    for (auto& part : splitNote(std::move(note)))
        m_mesh.send(peers, std::move(part));
}

void peer_talk::heard(peer_datagram message)
{
    if (auto* heartbeat = std::get_if<node_heartbeat>(&message))
        return heardBeat(*heartbeat);
    if (const auto* note = std::get_if<serving::target_note>(&message))
        return m_parts.view.targetsTold(*note);
    const auto& note = std::get<job_note>(message);
    m_parts.decisions.peerSent(note.node, note.jobs, false, boot_clock::now());
}

serving::felt_node peer_talk::senderOf(const node_heartbeat& message, instant now)
{
    const bool wasAway = message.whole && m_parts.nodes.heard(*message.whole, now);
    auto felt = m_parts.nodes.felt(message.pulse, now);
    felt.wasAway |= wasAway;
    return felt;
}

void peer_talk::heardBeat(const node_heartbeat& message)
{
    const auto now = boot_clock::now();
    const auto felt = senderOf(message, now);
    if (!felt.state)
        return; // it tells all of itself in one of the next heartbeats
    const auto sender = *felt.state;
    if (felt.wasAway) {
        // It may not know where this node is, if the store is away.
        m_wholeBeats = std::max(m_wholeBeats, 1);
        m_parts.log.write(log_event::peer_reached, { { "peer", sender.vm }, { "incarnation", sender.incarnation } });
    }
    m_parts.decisions.peerTold(sender.vm, message.load, now);
    m_parts.decisions.peerSent(message.pulse.node, message.jobs, true, now);
    m_parts.view.versionSeen(sender.configurationVersion);
    m_parts.view.targetChangeSeen(sender.lastTargetChange);
    m_parts.caches.told(message.caches);
    m_parts.decisions.peerSaw(message.health, now);
    m_parts.roles.told(message.changing, now);
}

}
