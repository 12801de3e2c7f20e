// Implements the messages between nodes. Heartbeats carry the full picture; other messages carry what cannot wait for
// the next heartbeat.
#include "peer_messenger.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// Information on peers' work is up to this old; an engine prefills some 6,000 tokens meanwhile.
    constexpr auto heartbeatInterval = 100ms;
    /// Prompts sent within this time are announced in one datagram, since a datagram for each would cost more than it
    /// gains. If it goes to a relay only, it is cheap.
    constexpr auto jobBatchDelay = 5ms;
    constexpr auto relayedJobBatchDelay = 1ms;
    /// Datagrams that a node sends per second; with more peers than this allows, heartbeats become less frequent.
    constexpr int maxHeartbeatsPerSecond = 160;
    /// At the usual heartbeat interval, a peer that is silent for longer counts as lost, and its jobs as finished.
    constexpr duration minPeerTimeout = 700ms;
    constexpr duration minPeerLoadExpiry = 600ms;
    /// Number of heartbeat intervals without a heartbeat until a peer counts as lost, including the delivery time.
    constexpr double heartbeatsUntilLost = 3.2;
    constexpr std::size_t maxCacheUpdatesPerHeartbeat = 12;
    /// A node's addresses take three times as many bytes as the rest of its state, and peers know them from the store.
    /// With 82 nodes and full state in every heartbeat, heartbeats were half of all bytes between availability zones.
    constexpr int heartbeatsPerFullState = 8;
    constexpr double heartbeatJitter = 0.15; ///< share of the interval, in both directions
    constexpr int millisecondsPerSecond = 1000;
    /// A report may be lost, so the return of all paths is reported with so many heartbeats.
    constexpr int pathReportsAfterReturn = 3;

    instant instantOf(std::int64_t microseconds) { return instant(duration(microseconds)); }

}

peer_messenger::peer_messenger(dependencies parts)
    : m_parts(std::move(parts))
    , m_peerSocket(
          [this](const serving::node_endpoint& from, const serving::relay_payload& load) { onPayload(from, load); })
    , m_random(stableHash(m_parts.self().vm))
    , m_ownHash(serving::shortHash(m_parts.self().vm))
{
    m_relayTimer.setSingleShot(true);
    m_relayTimer.setTimerType(Qt::PreciseTimer);
    QObject::connect(&m_relayTimer, &QTimer::timeout, [this] { sendDue(); });
    QObject::connect(&m_heartbeatTimer, &QTimer::timeout, [this] { sendHeartbeat(); });
    m_jobTimer.setSingleShot(true);
    QObject::connect(&m_jobTimer, &QTimer::timeout, [this] { broadcastNewJobs(); });
}

bool peer_messenger::listen(const endpoint& address) { return m_peerSocket.listen(address); }

void peer_messenger::sendHeartbeat()
{
    const auto now = boot_clock::now();
    auto& decisions = m_parts.decisions;
    auto& nodes = m_parts.nodes;
    const bool isFull = m_fullHeartbeatsLeft > 0 || m_heartbeatCount % heartbeatsPerFullState == 0;
    m_fullHeartbeatsLeft = std::max(0, m_fullHeartbeatsLeft - 1);
    ++m_heartbeatCount;
    broadcast(encodeDatagram(heartbeat(isFull, now)), serving::send_pace::batched);
    broadcast(encodeDatagram(list_position {
                  m_ownHash, m_startedAt, now.time_since_epoch().count(), m_parts.view.lastTargetChange() }),
        serving::send_pace::batched);
    if (m_pathReportsLeft > 0 || decisions.paths().hasLost())
        broadcastPaths();
    logReachablePeers();
    // Nodes from which nothing is received may not know this node, so its address is sent to them.
    if (const auto silentNodes = nodes.takeNodesToProbe(now); !silentNodes.empty())
        sendProbe(silentNodes, true);
    const int minInterval = nodes.knownCount() * millisecondsPerSecond / maxHeartbeatsPerSecond;
    const int interval = std::max(static_cast<int>(heartbeatInterval.count()), minInterval);
    // Jitter keeps nodes that once sent a heartbeat at the same moment from doing so forever.
    m_heartbeatTimer.start(static_cast<int>(interval * (1 + heartbeatJitter * (2 * m_random.unit() - 1))));
    const duration untilLost = fromSeconds(heartbeatsUntilLost * interval / millisecondsPerSecond);
    decisions.setPeerLoadExpiry(std::max(minPeerLoadExpiry, untilLost));
    nodes.setPeerTimeout(std::max(minPeerTimeout, untilLost));
}

node_heartbeat peer_messenger::heartbeat(bool isFull, instant now)
{
    auto& decisions = m_parts.decisions;
    const auto self = m_parts.self();
    return { serving::nodeStatusOf(self), isFull ? std::optional(self) : std::nullopt, decisions.ownLoad(),
        decisions.ownJobs(now), m_parts.caches.takeUpdates(maxCacheUpdatesPerHeartbeat),
        decisions.takeHealthReports(now), m_parts.roles.changingEngines(), decisions.quarantine().nextRecord(now),
        decisions.limits().nextReport(now) };
}

void peer_messenger::broadcast(const std::string& message, serving::send_pace pace)
{
    send(m_relay.broadcast(message, pace, boot_clock::now()));
}

void peer_messenger::sendProbe(const std::vector<serving::node_state>& nodes, bool expectsReply)
{
    serving::relay_datagram datagram;
    for (const auto& node : nodes)
        datagram.to.push_back({ node.address, node.peerPort });
    datagram.payload.messages.push_back(encodeDatagram(node_probe { m_parts.self(), expectsReply }));
    m_peerSocket.send(datagram);
}

void peer_messenger::sendUsage(const std::vector<serving::node_state>& nodes, const std::vector<usage_report>& reports)
{
    for (const auto& report : reports) {
        serving::relay_datagram datagram;
        for (const auto& node : nodes)
            datagram.to.push_back({ node.address, node.peerPort });
        datagram.payload.messages.push_back(encodeDatagram(report));
        m_peerSocket.send(datagram);
    }
}

void peer_messenger::send(const std::vector<serving::relay_datagram>& datagrams)
{
    for (const auto& datagram : datagrams)
        m_peerSocket.send(datagram);
    const auto wait = m_relay.nextDueAt() - boot_clock::now();
    m_relayTimer.start(std::max(0ms, std::chrono::ceil<std::chrono::milliseconds>(wait)));
}

void peer_messenger::sendDue() { send(m_relay.takeDue(boot_clock::now())); }

void peer_messenger::planRelays(const serving::node_state& self, const std::vector<serving::node_state>& alive)
{
    auto seen = static_cast<std::uint64_t>(self.isStopping);
    for (const auto& node : alive)
        seen += stableHash(node.vm) << (node.isStopping ? 1 : 0);
    // Ranking 300 nodes ten times a second would take a tenth of a node's CPU time.
    if (seen != m_plannedNodesHash)
        m_relay.setPlan(serving::planRelays(self, alive), boot_clock::now());
    if (std::exchange(m_plannedNodesHash, seen) != seen)
        broadcastQuarantine(boot_clock::now());
    send({});
    logRelay();
}

void peer_messenger::logRelay()
{
    if (m_loggedRelay == m_relay.relay() && m_wasLoggedAsRelay == m_relay.isRelay())
        return;
    m_loggedRelay = m_relay.relay();
    m_wasLoggedAsRelay = m_relay.isRelay();
    m_parts.log.write(log_event::relay_changed,
        { { "relay", m_relay.hasRelay() ? toString(endpoint { m_loggedRelay.address, m_loggedRelay.port }) : "" },
            { "passes_on", m_wasLoggedAsRelay } });
}

void peer_messenger::onPayload(const serving::node_endpoint& from, const serving::relay_payload& load)
{
    m_relay.receive(from, load, boot_clock::now());
    for (const auto& message : load.messages) {
        if (const auto decoded = decodeDatagram(message))
            onMessage(from, *decoded);
        else
            ++m_undecodable;
    }
    send({});
}

void peer_messenger::scheduleJobAnnouncement()
{
    if (!m_jobTimer.isActive())
        m_jobTimer.start(m_relay.hasRelay() ? relayedJobBatchDelay : jobBatchDelay);
}

// Without this announcement all nodes would consider the same engine the least loaded until the next heartbeat and send
// it their prompts.
void peer_messenger::broadcastNewJobs()
{
    const auto now = boot_clock::now();
    auto jobs = m_parts.decisions.takeNewJobs(now);
    if (!jobs.empty())
        broadcast(encodeDatagram(job_announcement { m_ownHash, std::move(jobs) }), serving::send_pace::immediate);
    broadcastQuarantine(now);
}

// What is observed while no peer is known is kept until one is.
void peer_messenger::broadcastQuarantine(instant now)
{
    if (m_plannedNodesHash == 0)
        return;
    for (auto& note : splitQuarantineNote(m_parts.decisions.quarantine().takeNews(now)))
        broadcast(encodeDatagram(std::move(note)), serving::send_pace::immediate);
}

void peer_messenger::broadcastTargetChanges(serving::target_update_batch note)
{
    for (auto& part : splitTargetNote(std::move(note)))
        broadcast(encodeDatagram(std::move(part)), serving::send_pace::immediate);
}

void peer_messenger::broadcastReadProgress()
{
    auto note = m_parts.view.readProgress();
    note.node = m_ownHash;
    note.startedAt = m_startedAt;
    note.sentAt = boot_clock::now().time_since_epoch().count();
    broadcast(encodeDatagram(note), serving::send_pace::immediate);
}

void peer_messenger::broadcastPaths()
{
    auto report = m_parts.decisions.paths().report(boot_clock::now());
    m_pathReportsLeft = report.lostCount > 0 ? pathReportsAfterReturn : std::max(0, m_pathReportsLeft - 1);
    broadcast(encodeDatagram(std::move(report)), serving::send_pace::batched);
}

void peer_messenger::broadcastCacheUpdates(std::vector<cache_update> caches)
{
    for (auto& part : splitCacheUpdates(std::move(caches)))
        broadcast(encodeDatagram(std::move(part)), serving::send_pace::batched);
}

// A relay sends the same messages to all its nodes, so a node receives its own messages as well.
void peer_messenger::onMessage(const serving::node_endpoint& from, const peer_datagram& message)
{
    if (const auto* heartbeat = std::get_if<node_heartbeat>(&message))
        onHeartbeat(*heartbeat);
    else if (const auto* jobs = std::get_if<job_announcement>(&message))
        onJobs(*jobs);
    else if (const auto* targets = std::get_if<serving::target_update_batch>(&message))
        m_parts.view.applyTargetNote(*targets);
    else if (const auto* caches = std::get_if<cache_update_batch>(&message))
        m_parts.caches.applyPeerUpdates(caches->caches);
    else if (const auto* read = std::get_if<read_progress>(&message))
        onReadProgress(*read);
    else if (const auto* position = std::get_if<list_position>(&message))
        onListPosition(*position);
    else if (const auto* quarantine = std::get_if<quarantine_note>(&message))
        m_parts.onQuarantine(quarantine->records);
    else if (const auto* usage = std::get_if<usage_report>(&message))
        m_parts.onUsage(*usage);
    else if (const auto* limits = std::get_if<limit_note>(&message))
        onLimits(limits->limits);
    else if (const auto* asks = std::get_if<permit_request>(&message))
        onPermitRequest(from, *asks);
    else if (const auto* permits = std::get_if<permit_reply>(&message))
        m_parts.onPermits(permits->grants);
    else if (const auto* paths = std::get_if<serving::path_report>(&message))
        m_parts.decisions.paths().applyReport(*paths, boot_clock::now());
    else if (const auto* notes = std::get_if<serving::origin_notes>(&message))
        m_parts.decisions.origins().notesReceived(*notes, boot_clock::now());
    else if (const auto* question = std::get_if<serving::origin_question>(&message))
        onOriginQuestion(from, *question);
    else if (const auto* reply = std::get_if<serving::origin_reply>(&message))
        m_parts.onOriginReply(from, *reply);
    else
        onProbe(std::get<node_probe>(message));
}

void peer_messenger::broadcastLimits(const std::vector<serving::limit_report>& limits)
{
    for (auto& note : splitLimits(limits))
        broadcast(encodeDatagram(std::move(note)), serving::send_pace::immediate);
}

void peer_messenger::sendPermitRequest(const serving::node_endpoint& issuer, std::vector<serving::permit_ask> asks)
{
    sendTo({ issuer }, permit_request { std::move(asks) });
}

void peer_messenger::sendPermits(const serving::node_endpoint& node, std::vector<serving::permit_grant> grants)
{
    sendTo({ node }, permit_reply { std::move(grants) });
}

void peer_messenger::onLimits(const std::vector<serving::limit_report>& limits)
{
    const auto now = boot_clock::now();
    for (const auto& report : limits)
        m_parts.decisions.limits().apply(report, now);
}

void peer_messenger::onPermitRequest(const serving::node_endpoint& from, const permit_request& message)
{
    const auto now = boot_clock::now();
    limit_note ended;
    for (const auto& ask : message.asks) {
        if (const auto end = m_parts.decisions.limits().endOf(ask.target, now))
            ended.limits.push_back(*end);
        m_parts.decisions.permitIssuer().asked(from, ask, now);
    }
    // A node that has missed the end of a limit would wait for permits for ever.
    if (!ended.limits.empty())
        sendTo({ from }, std::move(ended));
}

void peer_messenger::onOriginQuestion(const serving::node_endpoint& from, const serving::origin_question& message)
{
    sendTo({ from }, m_parts.decisions.origins().replyTo(message, boot_clock::now()));
}

void peer_messenger::sendOrigins()
{
    for (auto& item : m_parts.decisions.origins().takeMessages()) {
        for (auto& part : splitOrigins(std::move(item.message)))
            std::visit([&](auto& message) { sendTo(item.to, std::move(message)); }, part);
    }
}

void peer_messenger::sendTo(const std::vector<serving::node_endpoint>& to, const peer_datagram& message)
{
    serving::relay_datagram datagram { to, {} };
    datagram.payload.messages.push_back(encodeDatagram(message));
    m_peerSocket.send(datagram);
}

void peer_messenger::onJobs(const job_announcement& message)
{
    if (message.node != m_ownHash)
        m_parts.decisions.updatePeerJobs(message.node, message.jobs, false, boot_clock::now());
}

void peer_messenger::onReadProgress(const read_progress& message)
{
    if (message.node == m_ownHash)
        return;
    const auto& clock = clockOf(message.node, message.startedAt, message.sentAt);
    m_parts.view.onPeerReadProgress(
        message, clock.toLocal(instantOf(message.configurationAt)), clock.toLocal(instantOf(message.targetsAt)));
}

void peer_messenger::onListPosition(const list_position& message)
{
    if (message.node == m_ownHash)
        return;
    const auto sentAt = clockOf(message.node, message.startedAt, message.sentAt).toLocal(instantOf(message.sentAt));
    m_parts.view.onPeerTargetChange(message.lastTargetChange);
    m_parts.nodes.applyListPosition(message.node, sentAt);
}

serving::peer_clock& peer_messenger::clockOf(std::uint32_t node, std::int64_t startedAt, std::int64_t sentAt)
{
    auto& sender = m_peerProcesses[node];
    if (sender.startedAt != startedAt)
        sender = { startedAt, {} };
    sender.clock.observed(instantOf(sentAt), boot_clock::now());
    return sender.clock;
}

// The reply is necessary because a node that has just started knows no relay and would receive nothing.
void peer_messenger::onProbe(const node_probe& message)
{
    const auto now = boot_clock::now();
    if (m_parts.nodes.applyHeartbeat(message.sender, now))
        onPeerReachable(message.sender);
    onPeerState(message.sender);
    if (message.expectsReply && m_relay.isRelay())
        sendProbe({ message.sender }, false);
}

serving::status_sender peer_messenger::updateSender(const node_heartbeat& message, instant now)
{
    const bool wasAway = message.fullState && m_parts.nodes.applyHeartbeat(*message.fullState, now);
    auto status = m_parts.nodes.applyStatus(message.pulse, now);
    status.wasUnreachable |= wasAway;
    return status;
}

void peer_messenger::onPeerReachable(const serving::node_state& peer)
{
    // The peer may not know this node's address if the store is unreachable.
    m_fullHeartbeatsLeft = std::max(m_fullHeartbeatsLeft, 1);
    m_reachablePeers.add(peer.vm);
}

void peer_messenger::logReachablePeers()
{
    if (m_reachablePeers.count() > 0)
        m_parts.log.write(
            log_event::peers_reached, { { "count", m_reachablePeers.count() }, { "peers", m_reachablePeers.text() } });
    m_reachablePeers = {};
}

void peer_messenger::onPeerState(const serving::node_state& peer)
{
    m_parts.view.onPeerVersion(peer.configurationVersion);
    m_parts.view.onPeerTargetChange(peer.lastTargetChange);
}

void peer_messenger::onHeartbeat(const node_heartbeat& message)
{
    if (message.pulse.node == m_ownHash)
        return;
    const auto now = boot_clock::now();
    const auto status = updateSender(message, now);
    if (!status.state)
        return; // unknown sender; one of its next heartbeats carries its full state
    const auto sender = *status.state;
    if (status.wasUnreachable)
        onPeerReachable(sender);
    onPeerState(sender);
    m_parts.decisions.updatePeerLoad(sender.vm, message.load, now);
    m_parts.decisions.updatePeerJobs(message.pulse.node, message.jobs, true, now);
    m_parts.caches.applyPeerUpdates(message.caches);
    m_parts.decisions.updatePeerHealth(message.health, now);
    m_parts.roles.markPeerChanges(message.changingEngines, now);
    if (message.quarantine)
        m_parts.onQuarantine({ *message.quarantine });
    if (message.limit)
        m_parts.decisions.limits().apply(*message.limit, now);
}

}
