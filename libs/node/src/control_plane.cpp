// Implements the timers, sockets and clients that drive the control decisions of libs/decide.
#include "control_plane.h"

#include "base/hash.h"
#include "platform/record_codec.h"

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    constexpr duration platformTimeout = 2s;
    constexpr duration statusTimeout = 1s;
    constexpr duration statePullTimeout = 2s;
    constexpr duration tickInterval = 50ms;
    constexpr std::size_t loadsPerHeartbeat = 48;
    constexpr std::size_t digestEntriesPerHeartbeat = 6;
    constexpr std::size_t quarantineRecordsPerHeartbeat = 2;
    constexpr int missedPollsUntilBlocked = 2;
    constexpr duration unresponsiveTargetBlock = 1s;
    constexpr duration demandTimeToLive = 10s;
    constexpr double shareScale = 255; // a share from 0 to 1 is encoded in one byte

    int milliseconds(duration d)
    {
        return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
    }

    decoded_page decode(const log_page& page)
    {
        decoded_page decoded;
        decoded.first = { page.first };
        decoded.end = { page.end };
        for (const auto& entry : page.entries)
            decoded.items.push_back({ { entry.offset }, decodeRecord({ entry.offset }, entry.data) });
        return decoded;
    }

    std::uint32_t shortHash(const std::string& name) { return static_cast<std::uint32_t>(stableHash(name)); }

}

control_plane::control_plane(const node_settings& settings, const instance_id& instance, http_client& client,
    traffic_system& traffic, metrics& counters, const logger& log, configuration_handler onConfiguration,
    quarantine_handler onQuarantine)
    : m_settings(settings)
    , m_instance(instance)
    , m_traffic(traffic)
    , m_counters(counters)
    , m_log(log)
    , m_onConfiguration(std::move(onConfiguration))
    , m_onQuarantine(std::move(onQuarantine))
    , m_control(
          { instance, settings.region, settings.availabilityZone }, controlSettingsFrom(settings), boot_clock::now())
    , m_loadExchange(settings.vm, settings.availabilityZone, traffic.targets())
    , m_peers({ [this](const heartbeat& message) { onHeartbeat(message); },
          [this](const peer_request& request, peer_transport::reply_sender reply) {
              onRequest(request, std::move(reply));
          } })
    , m_logClient(parseEndpoint(settings.logAddress), settings.logStream, platformTimeout)
    , m_vmList(parseEndpoint(settings.vmListAddress), platformTimeout)
    , m_poller(
          client, statusTimeout,
          [this](const std::string& target, const target_status& status) { onStatus(target, status); },
          [this](const std::string& target) { onNoStatus(target); })
    , m_deliverer(
          client, log, [this](log_offset order, delivery_result result) { m_control.onDeliveryResult(order, result); })
{
    QObject::connect(&m_logTimer, &QTimer::timeout, [this] { readLog(); });
    QObject::connect(&m_vmTimer, &QTimer::timeout, [this] { readVmList(); });
    QObject::connect(&m_heartbeatTimer, &QTimer::timeout, [this] { sendHeartbeat(); });
    QObject::connect(&m_pollTimer, &QTimer::timeout, [this] { pollTargets(); });
    QObject::connect(&m_tickTimer, &QTimer::timeout, [this] { tick(); });
}

bool control_plane::start()
{
    const QHostAddress address(QString::fromStdString(m_settings.address));
    if (!m_peers.listen(address, static_cast<quint16>(m_settings.peerPort)))
        return false;
    m_logTimer.start(milliseconds(m_settings.logPollInterval));
    m_vmTimer.start(milliseconds(m_settings.vmListPollInterval));
    m_heartbeatTimer.start(milliseconds(m_settings.heartbeatInterval));
    m_pollTimer.start(milliseconds(m_settings.targetPollInterval));
    m_tickTimer.start(milliseconds(tickInterval));
    readVmList();
    readLog();
    return true;
}

void control_plane::stop()
{
    m_isStopping = true;
    m_control.stop();
}

void control_plane::readLog()
{
    if (m_isReadingLog)
        return;
    m_isReadingLog = true;
    m_logClient.read(m_control.follower().readFrom().value, [this](std::optional<log_page> page) {
        m_isReadingLog = false;
        if (!page) {
            m_counters.count("tamarack_log_read_failures_total");
            return;
        }
        const bool isFull = !page->entries.empty() && page->entries.back().offset + 1 < page->end;
        m_control.onLogPage(decode(*page), boot_clock::now());
        tick();
        if (isFull)
            readLog();
    });
}

void control_plane::readVmList()
{
    if (m_isReadingVmList)
        return;
    m_isReadingVmList = true;
    m_vmList.read([this](std::optional<std::vector<listed_vm>> vms) {
        m_isReadingVmList = false;
        if (!vms) {
            m_counters.count("tamarack_vm_list_failures_total");
            return;
        }
        m_control.onVmList(*vms, boot_clock::now());
        m_listedLeaving.clear();
        for (const auto& vm : *vms) {
            if (vm.kind == "target")
                m_listedLeaving[vm.name] = vm.isLeaving;
        }
        updateTargetFlags(boot_clock::now());
    });
}

peer_state control_plane::selfState() const
{
    const auto now = boot_clock::now();
    peer_state self;
    self.instance = m_instance;
    self.region = m_settings.region;
    self.availabilityZone = m_settings.availabilityZone;
    self.address = m_settings.address;
    self.callerPort = m_settings.callerPort;
    self.peerPort = m_settings.peerPort;
    self.adminPort = m_settings.adminPort;
    self.configurationVersion = m_control.replicated().configuration().version;
    self.configurationHash = m_control.replicated().configuration().hash;
    self.logReach = m_control.replicated().next().value;
    self.isLogReachable = m_control.ready().isLogReachable(now);
    self.isStopping = m_isStopping;
    self.isReady = m_control.ready().acceptsWork(now);
    return self;
}

std::vector<digest_entry> control_plane::digest(instant now)
{
    std::vector<digest_entry> out;
    const auto alive = m_control.members().alive(now);
    for (std::size_t i = 0; i < std::min(alive.size(), digestEntriesPerHeartbeat); ++i) {
        const auto* peer = alive[m_nextDigestIndex++ % alive.size()];
        out.push_back({ peer->instance.node, peer->address, static_cast<std::uint16_t>(peer->peerPort),
            peer->instance.incarnation, peer->configurationVersion });
    }
    return out;
}

// A heartbeat goes to a few random peers, so suspicions are repeated as well and spread from node to node.
std::vector<quarantine_record> control_plane::quarantineRecords(instant now)
{
    auto& quarantine = m_traffic.quarantine();
    quarantine.takeNews(now); // included in the rotation
    std::vector<quarantine_record> out;
    const auto count = std::min(quarantineRecordsPerHeartbeat, quarantine.countRecords());
    while (out.size() < count) {
        auto record = quarantine.nextRecord(now, true);
        if (!record)
            break;
        out.push_back(std::move(*record));
    }
    return out;
}

void control_plane::sendHeartbeat()
{
    const auto now = boot_clock::now();
    heartbeat message;
    message.sender = selfState();
    message.loads = m_loadExchange.entries(loadsPerHeartbeat, now);
    message.digest = digest(now);
    message.quarantine = quarantineRecords(now);
    const auto& services = m_traffic.config().services;
    for (std::uint32_t s = 0; s < services.size(); ++s) {
        const auto demand = m_traffic.demand({ s }, now);
        message.demands.push_back({ shortHash(services[s].name), static_cast<float>(demand.promptTokens),
            static_cast<float>(demand.outputTokens), static_cast<std::uint8_t>(demand.refusedShare * shareScale) });
    }
    for (const auto& peer : m_control.members().heartbeatRecipients(now))
        m_peers.send(peer.address, peer.peerPort, message);
    m_counters.count("tamarack_heartbeats_sent_total");
}

void control_plane::onHeartbeat(const heartbeat& message)
{
    const auto now = boot_clock::now();
    m_control.onPeerHeartbeat(message.sender, now);
    m_loadExchange.applyEntries(message.loads, now);
    m_peerDemand[message.sender.instance.node] = { now, message.demands };
    if (!message.quarantine.empty())
        m_onQuarantine(message.quarantine);
    for (const auto& entry : message.digest)
        m_control.onPeerIncarnation({ entry.vm, entry.incarnation }, now);
    const bool isAhead = message.sender.logReach > m_control.replicated().next().value;
    const bool lacksLog = !m_control.ready().isLogReachable(now) || m_control.follower().hasGap();
    const bool lacksVersion = message.sender.configurationVersion > m_control.replicated().configuration().version;
    if (isAhead && (lacksLog || lacksVersion))
        pullStateFrom(message.sender);
}

void control_plane::pullStateFrom(const peer_state& peer)
{
    if (m_isPullingState)
        return;
    m_isPullingState = true;
    m_counters.count("tamarack_state_pulls_total");
    const peer_request request { peer_question::agreed_state, m_instance, {}, {} };
    m_peers.ask(peer.address, peer.peerPort, request, statePullTimeout, [this](std::optional<peer_reply> reply) {
        m_isPullingState = false;
        if (!reply || !reply->isKnown)
            return;
        const auto record = decodeRecord({ 0 }, reply->agreedState);
        const auto* snapshot = record ? std::get_if<snapshot_record>(&record->body) : nullptr;
        if (snapshot)
            m_control.onPeerState(snapshot->data, boot_clock::now());
        tick();
    });
}

void control_plane::onRequest(const peer_request& request, peer_transport::reply_sender reply)
{
    if (request.question == peer_question::key) {
        if (m_onKey)
            return m_onKey(request, std::move(reply));
        return reply({});
    }
    peer_reply answer;
    answer.isKnown = m_control.replicated().next().value > 0;
    answer.agreedState = encodeRecord({ m_instance, 0 }, snapshot_record { m_control.replicated().data() });
    reply(answer);
}

void control_plane::pollTargets()
{
    const auto now = boot_clock::now();
    const auto& targets = m_traffic.targets();
    std::set<std::uint32_t> rows;
    for (const auto id : m_loadExchange.targetsToPoll(m_control.members().alive(now)))
        rows.insert(id.value);
    const auto& services = m_traffic.config().services;
    for (std::uint32_t row = 0; row < targets.size(); ++row) {
        // The holder of a service's lease needs status from the targets themselves, not reports forwarded by peers.
        if (targets.service[row] >= 0
            && m_control.holdsLease(services[static_cast<std::size_t>(targets.service[row])].name, now))
            rows.insert(row);
    }
    for (const auto row : rows)
        m_poller.poll(targets.name[row], parseEndpoint(targets.address[row]));
}

void control_plane::onStatus(const std::string& name, const target_status& status)
{
    auto& targets = m_traffic.targets();
    const target_id id = targets.find(name);
    m_missedPolls[name] = 0;
    m_control.onTargetView(name, status.view);
    if (!id.isValid())
        return;
    m_traffic.targetAnswered(id, status.view.incarnation, boot_clock::now());
    if (status.hasLoad)
        targets.report(id, status.load);
    const auto row = id.value;
    if (targets.incarnation[row] != 0 && targets.incarnation[row] != status.view.incarnation)
        targets.restUntil[row] = {}; // asked for by a process that has ended
    const bool wasUnavailable = targets.isChanging[row] || targets.incarnation[row] != status.view.incarnation;
    targets.isChanging[row] = status.view.isChanging;
    targets.isLeaving[row] = status.isLeaving || m_listedLeaving[name];
    if (wasUnavailable && !status.view.isChanging)
        targets.slowStartUntil[row] = boot_clock::now() + 2s;
    targets.incarnation[row] = status.view.incarnation;
    const auto role = status.view.settings.find(order_kind::role);
    bool isRole = false;
    if (role != status.view.settings.end())
        targets.role[row] = parseRole(role->second, isRole);
}

void control_plane::onNoStatus(const std::string& name)
{
    auto& targets = m_traffic.targets();
    const target_id id = targets.find(name);
    const auto now = boot_clock::now();
    if (id.isValid())
        m_traffic.targetSilent(id, now);
    if (++m_missedPolls[name] < missedPollsUntilBlocked)
        return;
    if (id.isValid())
        targets.blockedUntil[id.value] = std::max(targets.blockedUntil[id.value], now + unresponsiveTargetBlock);
}

void control_plane::updateTargetFlags(instant)
{
    auto& targets = m_traffic.targets();
    for (std::uint32_t row = 0; row < targets.size(); ++row) {
        // An open order in the log means that the target is about to change. All nodes then stop sending it requests,
        // so that it can drain.
        targets.isDraining[row] = m_control.replicated().orders(targets.name[row]).isOpen;
        const auto listed = m_listedLeaving.find(targets.name[row]);
        if (listed != m_listedLeaving.end() && listed->second)
            targets.isLeaving[row] = 1;
    }
}

void control_plane::aggregateDemand(instant now)
{
    const auto& services = m_traffic.config().services;
    for (std::uint32_t s = 0; s < services.size(); ++s) {
        if (!services[s].isEngine())
            continue;
        const auto& service = services[s];
        const auto toEngineDemand = [&](double promptTokens, double outputTokens) {
            return role_demand { promptTokens / service.prefillTokensPerSecond,
                outputTokens / service.decodeTokensPerSecond, 0 };
        };
        role_demand total;
        const auto add = [&](role_demand part, double refusedShare) {
            total.prefillEngines += part.prefillEngines;
            total.decodeEngines += part.decodeEngines;
            total.refusedEngines += refusedShare * (part.prefillEngines + part.decodeEngines);
        };
        const auto own = m_traffic.demand({ s }, now);
        add(toEngineDemand(own.promptTokens, own.outputTokens), own.refusedShare);
        for (const auto& [vm, demand] : m_peerDemand) {
            if (now >= demand.receivedAt + demandTimeToLive)
                continue;
            for (const auto& entry : demand.entries) {
                if (entry.serviceHash == shortHash(service.name))
                    add(toEngineDemand(entry.promptTokens, entry.outputTokens), entry.refusedShare / shareScale);
            }
        }
        m_control.onServiceDemand(service.name, total);
    }
}

void control_plane::append(const record_body& body)
{
    const auto sequence = ++m_sequence;
    m_control.onAppendSent(body, sequence, boot_clock::now());
    m_counters.count("tamarack_log_appends_total");
    m_logClient.append(encodeRecord({ m_instance, sequence }, body), [this](std::optional<std::int64_t> offset) {
        if (!offset)
            m_counters.count("tamarack_log_append_failures_total");
        // The response does not decide whether the record took effect; only reading it back from the log does.
        if (offset)
            readLog();
    });
}

void control_plane::logLeaseChanges()
{
    for (const auto& [name, lease] : m_control.replicated().data().leases) {
        auto& logged = m_loggedLeases[name];
        if (logged.holder == lease.holder && logged.term == lease.term)
            continue;
        logged = lease;
        m_log.write(log_event::lease_changed,
            { { "lease", name }, { "holder", toString(lease.holder) }, { "term", lease.term.value },
                { "read_to", m_control.replicated().next().value } });
    }
}

void control_plane::logQuarantineChanges()
{
    auto& quarantine = m_traffic.quarantine();
    quarantine.takeEnded(); // the log of the platform holds no quarantines
    for (const auto& change : quarantine.takeChanges()) {
        const auto digest = toString(change.record.trait);
        if (!change.isQuarantined)
            m_log.write(log_event::quarantine_ended,
                { { "digest", digest }, { "clearances", change.record.clearances },
                    { "left", quarantine.countQuarantined() } });
        else
            m_log.write(log_event::request_quarantined,
                { { "digest", digest }, { "targets", change.record.targets.size() },
                    { "age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(change.record.age).count() },
                    { "quarantined", quarantine.countQuarantined() } });
    }
}

void control_plane::tick()
{
    const auto now = boot_clock::now();
    aggregateDemand(now);
    auto output = m_control.tick(now);
    if (output.configuration) {
        m_log.write(log_event::configuration_in_force,
            { { "version", m_control.servedVersion() }, { "deployment", output.configuration->name } });
        m_onConfiguration(output.configuration);
    }
    logLeaseChanges();
    logQuarantineChanges();
    for (const auto target : m_traffic.takeTargetsToCheck())
        m_poller.poll(m_traffic.targets().name[target.value], parseEndpoint(m_traffic.targets().address[target.value]));
    updateTargetFlags(now);
    for (const auto& body : output.appends)
        append(body);
    for (const auto& order : output.deliveries) {
        const target_id id = m_traffic.targets().find(order.target);
        if (id.isValid())
            m_deliverer.deliver(order, parseEndpoint(m_traffic.targets().address[id.value]));
        else
            m_control.onDeliveryResult(order.order, delivery_result::not_sent);
    }
    publishMetrics(now);
}

void control_plane::publishMetrics(instant now)
{
    m_traffic.setNodeCount(static_cast<int>(m_control.members().alive(now).size()) + 1);
    std::set<std::string> raised;
    for (const auto& item : m_control.alarms(now)) {
        raised.insert(item.name);
        if (!m_raisedAlarms.contains(item.name))
            m_log.write(log_event::alarm_raised, { { "alarm", item.name }, { "detail", item.detail } });
        m_counters.set("tamarack_alarm", 1, { { "name", item.name } });
    }
    for (const auto& name : m_raisedAlarms) {
        if (raised.contains(name))
            continue;
        m_log.write(log_event::alarm_cleared, { { "alarm", name } });
        m_counters.set("tamarack_alarm", 0, { { "name", name } });
    }
    m_raisedAlarms = std::move(raised);
    m_counters.set("tamarack_configuration_version", static_cast<double>(m_control.servedVersion()));
    m_counters.set("tamarack_log_reach", static_cast<double>(m_control.replicated().next().value));
    m_counters.set("tamarack_ready", m_control.ready().acceptsWork(now) ? 1 : 0);
    m_counters.set("tamarack_requests_held", static_cast<double>(m_traffic.held()));
    m_counters.set("tamarack_requests_waiting", static_cast<double>(m_traffic.waiting()));
    m_counters.set("tamarack_quarantined_requests", static_cast<double>(m_traffic.quarantine().countQuarantined()));
    const auto& peerCounts = m_peers.counts();
    m_counters.set("tamarack_peer_bytes_sent", static_cast<double>(peerCounts.bytesSent));
    m_counters.set("tamarack_peer_bytes_received", static_cast<double>(peerCounts.bytesReceived));
    m_counters.set("tamarack_peer_undecodable", static_cast<double>(peerCounts.undecodable));
    m_counters.set("tamarack_log_undecodable", static_cast<double>(m_control.follower().undecodable()));
}

}
