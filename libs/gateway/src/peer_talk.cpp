// Heartbeats carry all; notes what cannot wait for the next one.
#include "peer_talk.h"

#include "base/hash.h"

#include <algorithm>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// Peers' work is as old as this; an engine reads some 6,000 tokens meanwhile.
    constexpr auto heartbeatInterval = 100ms;
    /// Prompts sent within this time are told to peers together: a datagram for each costs more than it tells. One that
    /// goes to a relay only costs little.
    constexpr auto notePause = 5ms;
    constexpr auto relayedNotePause = 1ms;
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
    constexpr double beatSpread = 0.15; ///< of the interval, more or less
    constexpr int millisecondsPerSecond = 1000;

}

peer_talk::peer_talk(dependencies parts)
    : m_parts(std::move(parts))
    , m_mesh([this](const serving::node_endpoint& from, const serving::relay_payload& load) { heardLoad(from, load); })
    , m_random(stableHash(m_parts.self().vm))
    , m_ownHash(serving::shortHash(m_parts.self().vm))
{
    m_relayTimer.setSingleShot(true);
    m_relayTimer.setTimerType(Qt::PreciseTimer);
    QObject::connect(&m_relayTimer, &QTimer::timeout, [this] { passOn(); });
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
    const bool isWhole = m_wholeBeats > 0 || m_beats % beatsPerWhole == 0;
    m_wholeBeats = std::max(0, m_wholeBeats - 1);
    ++m_beats;
    tellAll(encodeDatagram(heartbeat(isWhole, now)), serving::send_pace::batched);
    logReached();
    // Those that are not heard may know nothing of this node, so they are told where it is.
    if (const auto sought = nodes.takeNodesToProbe(now); !sought.empty())
        greet(sought, true);
    const int wanted = nodes.knownCount() * millisecondsPerSecond / heartbeatsPerSecond;
    const int interval = std::max(static_cast<int>(heartbeatInterval.count()), wanted);
    // What goes wrong with equal pauses: nodes that once told something at the same moment do so for ever after.
    m_beatTimer.start(static_cast<int>(interval * (1 + beatSpread * (2 * m_random.unit() - 1))));
    const duration untilAway = fromSeconds(heartbeatsUntilAway * interval / millisecondsPerSecond);
    decisions.setPeerLoadExpiry(std::max(shortestPeerLife, untilAway));
    nodes.setPeerTimeout(std::max(shortestSilence, untilAway));
}

node_heartbeat peer_talk::heartbeat(bool isWhole, instant now)
{
    auto& decisions = m_parts.decisions;
    const auto self = m_parts.self();
    return { serving::nodeStatusOf(self), isWhole ? std::optional(self) : std::nullopt, decisions.ownLoad(),
        decisions.ownJobs(now), m_parts.caches.takeNews(mostCacheNews), decisions.takeHealthReports(now),
        m_parts.roles.changing() };
}

void peer_talk::tellAll(const std::string& message, serving::send_pace pace)
{
    send(m_relay.broadcast(message, pace, boot_clock::now()));
}

void peer_talk::greet(const std::vector<serving::node_state>& nodes, bool isSeeking)
{
    serving::relay_datagram datagram;
    for (const auto& node : nodes)
        datagram.to.push_back({ node.address, node.peerPort });
    datagram.payload.messages.push_back(encodeDatagram(node_greeting { m_parts.self(), isSeeking }));
    m_mesh.send(datagram);
}

void peer_talk::send(const std::vector<serving::relay_datagram>& datagrams)
{
    for (const auto& datagram : datagrams)
        m_mesh.send(datagram);
    const auto wait = m_relay.nextDueAt() - boot_clock::now();
    m_relayTimer.start(std::max(0ms, std::chrono::ceil<std::chrono::milliseconds>(wait)));
}

void peer_talk::passOn() { send(m_relay.takeDue(boot_clock::now())); }

void peer_talk::planRelays(const serving::node_state& self, const std::vector<serving::node_state>& alive)
{
    auto seen = static_cast<std::uint64_t>(self.isStopping);
    for (const auto& node : alive)
        seen += stableHash(node.vm) << (node.isStopping ? 1 : 0);
    // Ranking 300 nodes anew ten times a second would be a tenth of what a node does.
    if (seen != m_seenInPlan)
        m_relay.setPlan(serving::planRelays(self, alive), boot_clock::now());
    m_seenInPlan = seen;
    send({});
    logRelay();
}

void peer_talk::logRelay()
{
    if (m_relayLogged == m_relay.relay() && m_wasRelay == m_relay.isRelay())
        return;
    m_relayLogged = m_relay.relay();
    m_wasRelay = m_relay.isRelay();
    m_parts.log.write(log_event::relay_changed,
        { { "relay", m_relay.hasRelay() ? toString(endpoint { m_relayLogged.address, m_relayLogged.port }) : "" },
            { "passes_on", m_wasRelay } });
}

void peer_talk::heardLoad(const serving::node_endpoint& from, const serving::relay_payload& load)
{
    m_relay.receive(from, load, boot_clock::now());
    for (const auto& message : load.messages) {
        if (const auto decoded = decodeDatagram(message))
            heard(*decoded);
        else
            ++m_undecodable;
    }
    send({});
}

void peer_talk::jobsSent()
{
    if (!m_noteTimer.isActive())
        m_noteTimer.start(m_relay.hasRelay() ? relayedNotePause : notePause);
}

// What goes wrong without it: until the next heartbeat all nodes take the same engine for the one with the least work,
// and send it their prompts.
void peer_talk::tellJobs()
{
    const auto now = boot_clock::now();
    auto jobs = m_parts.decisions.takeNewJobs(now);
    if (!jobs.empty())
        tellAll(encodeDatagram(job_note { m_ownHash, std::move(jobs) }), serving::send_pace::immediate);
}

void peer_talk::tellTargets(serving::target_update_batch note)
{
    for (auto& part : splitNote(std::move(note)))
        tellAll(encodeDatagram(std::move(part)), serving::send_pace::immediate);
}

void peer_talk::tellReadProgress()
{
    auto note = m_parts.view.readProgress();
    note.node = m_ownHash;
    note.startedAt = m_startedAt;
    note.sentAt = boot_clock::now().time_since_epoch().count();
    tellAll(encodeDatagram(note), serving::send_pace::immediate);
}

void peer_talk::tellCaches(std::vector<cache_news> caches)
{
    for (auto& part : splitCaches(std::move(caches)))
        tellAll(encodeDatagram(std::move(part)), serving::send_pace::batched);
}

// A relay tells all its nodes the same, so what a node has told itself comes back to it.
void peer_talk::heard(const peer_datagram& message)
{
    if (const auto* heartbeat = std::get_if<node_heartbeat>(&message))
        heardBeat(*heartbeat);
    else if (const auto* jobs = std::get_if<job_note>(&message))
        heardJobs(*jobs);
    else if (const auto* targets = std::get_if<serving::target_update_batch>(&message))
        m_parts.view.targetsTold(*targets);
    else if (const auto* caches = std::get_if<cache_note>(&message))
        m_parts.caches.told(caches->caches);
    else if (const auto* read = std::get_if<read_note>(&message))
        heardRead(*read);
    else
        heardGreeting(std::get<node_greeting>(message));
}

void peer_talk::heardJobs(const job_note& message)
{
    if (message.node != m_ownHash)
        m_parts.decisions.updatePeerJobs(message.node, message.jobs, false, boot_clock::now());
}

void peer_talk::heardRead(const read_note& message)
{
    if (message.node == m_ownHash)
        return;
    auto& sender = m_peerProcesses[message.node];
    if (sender.startedAt != message.startedAt)
        sender = { message.startedAt, {} };
    const auto at = [](std::int64_t count) { return instant(duration(count)); };
    sender.clock.observed(at(message.sentAt), boot_clock::now());
    m_parts.view.peerReadStore(
        message, sender.clock.toLocal(at(message.configurationAt)), sender.clock.toLocal(at(message.targetsAt)));
}

// What goes wrong without the answer: a node that has just started knows no relay, and hears nobody.
void peer_talk::heardGreeting(const node_greeting& message)
{
    const auto now = boot_clock::now();
    if (m_parts.nodes.applyHeartbeat(message.sender, now))
        reached(message.sender);
    stateHeard(message.sender);
    if (message.isSeeking && m_relay.isRelay())
        greet({ message.sender }, false);
}

serving::status_sender peer_talk::senderOf(const node_heartbeat& message, instant now)
{
    const bool wasAway = message.whole && m_parts.nodes.applyHeartbeat(*message.whole, now);
    auto felt = m_parts.nodes.applyStatus(message.pulse, now);
    felt.wasUnreachable |= wasAway;
    return felt;
}

void peer_talk::reached(const serving::node_state& peer)
{
    // It may not know where this node is, if the store is away.
    m_wholeBeats = std::max(m_wholeBeats, 1);
    m_reached.add(peer.vm);
}

void peer_talk::logReached()
{
    if (m_reached.count() > 0)
        m_parts.log.write(log_event::peers_reached, { { "count", m_reached.count() }, { "peers", m_reached.text() } });
    m_reached = {};
}

void peer_talk::stateHeard(const serving::node_state& peer)
{
    m_parts.view.versionSeen(peer.configurationVersion);
    m_parts.view.targetChangeSeen(peer.lastTargetChange);
}

void peer_talk::heardBeat(const node_heartbeat& message)
{
    if (message.pulse.node == m_ownHash)
        return;
    const auto now = boot_clock::now();
    const auto felt = senderOf(message, now);
    if (!felt.state)
        return; // it tells all of itself in one of the next heartbeats
    const auto sender = *felt.state;
    if (felt.wasUnreachable)
        reached(sender);
    stateHeard(sender);
    m_parts.decisions.updatePeerLoad(sender.vm, message.load, now);
    m_parts.decisions.updatePeerJobs(message.pulse.node, message.jobs, true, now);
    m_parts.caches.told(message.caches);
    m_parts.decisions.updatePeerHealth(message.health, now);
    m_parts.roles.told(message.changing, now);
}

}
