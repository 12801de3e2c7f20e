// Creates and connects the parts of a node, and runs its periodic work.
#include "gateway/gateway.h"

#include "cache_monitor.h"
#include "cluster_view.h"
#include "detour_server.h"
#include "duty_coordinator.h"
#include "flow_table.h"
#include "limit_sharing.h"
#include "node_endpoints.h"
#include "node_gauges.h"
#include "peer_messenger.h"
#include "processor_load.h"
#include "quarantine_sync.h"
#include "registration.h"
#include "role_coordinator.h"
#include "state_pull.h"
#include "target_notices.h"
#include "usage_collection.h"

#include "base/hash.h"
#include "http/http_server.h"
#include "serving/duty_assignment.h"
#include "serving/entry_choice.h"
#include "serving/freshness.h"

#include <QRandomGenerator>
#include <QTimer>
#include <cstdio>

namespace tamarack {

using namespace std::chrono_literals;

namespace {

    /// Interval of the periodic work, such as timeouts and waiting requests; the end of a response is handled at once.
    constexpr auto decisionInterval = 20ms;
    /// A longer time between two rounds of the periodic work is logged.
    constexpr duration maxUsualInterval = 200ms;
    /// Time left before the stop bound when the process exits by itself.
    constexpr duration stopMargin = 700ms;
    /// From the end of listening to process exit, so that buffered bytes are sent.
    constexpr duration finalFlushDelay = 150ms;
    /// Interval of the checks whether state has to be pulled from a peer.
    constexpr duration pullInterval = 500ms;
    /// Some callers cache entry addresses for up to this many lifetimes; a drain waits for them.
    constexpr int maxCachedLifetimes = 3;
    /// Share of the file descriptors for callers; the others are for targets, the store and peers.
    constexpr double callerDescriptorShare = 0.6;
    /// Share of the process's memory for what clients of all endpoints hold, and for small requests in addition. A
    /// third is left for everything else.
    constexpr double clientMemoryShare = 0.6;
    constexpr double reservedMemoryShare = 0.05;
    /// Share of the process's memory for responses that callers have not read, which is a part of the former.
    constexpr double unsentMemoryShare = 0.2;
    /// Shares of the descriptors and of the memory for calls that are passed on for peers. Each takes two descriptors.
    constexpr double passedCallShare = 0.05;
    constexpr double passedUnsentMemoryShare = 0.05;
    /// Share of the descriptors for accepted connections of all endpoints. The others are for targets, the store, peers
    /// and files.
    constexpr double acceptedConnectionShare = 0.75;
    /// Shares of the descriptors for the endpoints besides callers and passed calls.
    constexpr double entryConnectionShare = 0.3;
    constexpr double stateConnectionShare = 0.1;
    constexpr double probeConnectionShare = 0.02;
    constexpr int minConnections = 8;
    /// Share of the process's memory for responses of each of these endpoints.
    constexpr double pageUnsentMemoryShare = 0.1;
    /// Idle connections of peers count as well. Calls above their limit are refused long before this one is reached,
    /// since a connection that is closed at once leaves the peer in doubt whether its call was taken.
    constexpr double passedConnectionShare = 0.2;
    /// Peers use no connection that has been idle for more than two seconds.
    constexpr duration passedIdleTimeout = 4s;
    /// Room in the head of a call for what this system adds to a caller's headers.
    constexpr std::uint32_t addedHeaderBytes = 4096;
    /// A target in another availability zone accepts a connection within some milliseconds.
    constexpr duration pathCheckTimeout = 150ms;
    constexpr double bytesPerMegabyte = 1'000'000;
    /// After its start a node waits for its peers' heartbeats before it assigns duties, so that it does not take itself
    /// for the only node. Heartbeats are sent ten times a second, and twice a second with 80 nodes.
    constexpr duration peerDiscoveryDelay = 1s;
    /// From the sending of a heartbeat to its arrival, with relays.
    constexpr duration heartbeatTransit = 200ms;
    /// Interval at which the duties that one node performs for others are assigned.
    constexpr duration dutyInterval = 100ms;
    /// Nodes that start together spread their registrations over this time, in milliseconds.
    constexpr int registrationSpreadMilliseconds = 5000;
    constexpr std::uint64_t registrationSlots = 1024;
    constexpr duration encodedStateLifetime = 100ms;

    QHostAddress addressOf(const endpoint& place) { return QHostAddress(QString::fromStdString(place.address)); }

    std::int64_t milliseconds(duration d) { return std::chrono::duration_cast<std::chrono::milliseconds>(d).count(); }

}

struct gateway::state {
    state(
        gateway_settings given, gateway_ports implementations, http_client& connections, std::function<void()> stopped);

    std::string start();
    /// Called when no peer has supplied the state: reads it from the store.
    void startFromStore();
    /// Called when a peer has supplied the state.
    void startFromPeer();
    void drain();
    void configure(const std::shared_ptr<const serving::serving_configuration>& configuration);
    /// Bytes that are this share of the process's memory.
    std::uint64_t memoryFor(double share) const;
    http_server_limits callerLimits() const;
    http_server_limits detourLimits() const;
    /// Limits of an endpoint whose requests have no body.
    http_server_limits pageLimits(double connectionShare) const;
    /// Sets the limits of all that clients may send and hold.
    void applyLimits();
    serving::node_state self() const;
    bool isReady() const;
    const std::string& encodedState();

    void handleCaller(http_request request, std::shared_ptr<response_writer> caller);
    void refuse(const std::shared_ptr<response_writer>& caller, error_kind kind, std::string_view detail);
    /// Refuses a request whose credential gives no access to its route.
    void deny(const std::shared_ptr<response_writer>& caller, const caller_request& call, std::string_view reason);

    void applyPermits(const std::vector<serving::permit_grant>& grants);
    bool release(const request_trait& trait);
    void tick();
    void checkDrain(instant now);
    /// When this process ends. Only while draining.
    serving::stop_times stopTimes() const;
    void assignDuties(instant now);
    void assignStoreReading(serving::node_state me, const std::vector<serving::node_state>& alive, instant now);
    void logReadiness();
    /// Logs that the event loop has not run for a while, for lack of processor time or because of long work.
    void logLateness(instant now);
    void logLostPeers(const std::vector<serving::lost_node>& lost);
    void logHealth(const serving::health_change& change);
    void logPaths(instant now);
    /// Tells the dispatcher which peers can pass calls on and keep origins of streams.
    void updateDetours(const std::vector<serving::node_state>& alive);
    void checkPaths(instant now);
    void logDiscarded(const discarded_input& input);
    void logSlowCaller(std::size_t held);
    void logLetGo(pressure kind, std::size_t bytes);

    gateway_settings settings;
    gateway_ports ports;
    http_client& client;
    std::function<void()> onStopped;
    metrics counters;
    logger log;
    serving::dispatcher decisions;
    serving::node_directory nodes;
    cluster_view view;
    state_pull pull;
    registration nodeRegistration;
    target_notices notices;
    flow_services services;
    cache_monitor caches;
    role_coordinator roles;
    const std::string detourKey; // of this process; self(), which peers calls when it is made, needs it
    processor_load processor; // as detourKey
    peer_messenger peers;
    limit_sharing limits;
    std::shared_ptr<client_budget> budget = std::make_shared<client_budget>();
    http_server callers;
    detour_server detours;
    node_endpoints pages;
    flow_table flows;
    quarantine_sync quarantine;
    usage_collection usage;
    duty_coordinator duties;
    node_gauges gauges;
    QTimer decisionTimer;
    instant drainingSince; // set by drain()
    std::uint64_t detourNodesHash = 0; // of the nodes that updateDetours() has passed on
    std::uint64_t announcedPaths = 0; // generation of the paths that peers were told
    instant nextDutiesAt;
    instant startedAt = boot_clock::now();
    instant lastTickAt = startedAt;
    instant previousTickAt = startedAt; // the event loop has looked for signals between the last two ticks
    std::string encodedStateText; // last encoded state, served to peers
    instant encodedStateAt;
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true); // checks of paths may end after this object
    bool isFirstStartProven = false; // no node that is known has had an earlier process
    bool isDraining = false;
    instant closedAt; // since when no connections are accepted; set at the end of the drain
    instant lastBusyAt; // last time at which requests were held or answers were queued, during the drain
    bool isClosed = false;
    bool isStopped = false;
    bool wasReady = false;
};

namespace {

    serving::dispatcher_settings dispatcherSettings(const gateway_settings& settings)
    {
        serving::dispatcher_settings out;
        out.vm = settings.vm;
        out.availabilityZone = settings.availabilityZone;
        out.seed = stableHash(settings.vm);
        out.retries = { settings.retryRatio, settings.retrySlack, settings.retryWindow };
        out.startedAt = settings.isFirstStart ? instant() : boot_clock::now();
        out.buildsKnownSince = boot_clock::now();
        return out;
    }

    /// Distinguishes the processes of a VM.
    std::int64_t processId() { return wallMilliseconds(); }

    std::string randomKey()
    {
        auto& random = *QRandomGenerator::system();
        char text[33];
        std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(random.generate64()),
            static_cast<unsigned long long>(random.generate64()));
        return text;
    }

    std::size_t maxPassedCalls(const gateway_settings& settings)
    {
        return static_cast<std::size_t>(settings.descriptors * passedCallShare);
    }

    serving::order_lease_settings leaseSettings(const gateway_settings& settings)
    {
        serving::order_lease_settings out;
        out.orderSpacing = settings.orderHandoverInterval;
        return out;
    }

    logger_options loggerOptions(const gateway_settings& settings)
    {
        logger_options out;
        out.vm = settings.vm;
        // The store assigns the incarnation only after registration. Until then the start time distinguishes the
        // processes of a node.
        out.instance = settings.vm + "/" + std::to_string(boot_clock::now().time_since_epoch().count());
        out.isUnbuffered = false;
        return out;
    }

}

gateway::state::state(
    gateway_settings given, gateway_ports implementations, http_client& connections, std::function<void()> stopped)
    : settings(std::move(given))
    , ports(implementations)
    , client(connections)
    , onStopped(std::move(stopped))
    , log(loggerOptions(settings))
    , decisions(dispatcherSettings(settings))
    , nodes(settings.vm, {})
    , view({ ports.records, ports.store, decisions, nodes, counters, log }, settings,
          { [this](const auto& configuration) { configure(configuration); },
              [this](serving::target_update_batch note) { peers.broadcastTargetChanges(std::move(note)); },
              [this] { pull.onStoreLost(); }, [this] { pull.onBehind(); }, [this] { peers.broadcastReadProgress(); },
              [this](const auto& records) { quarantine.apply(records); } })
    , pull({ client, view, nodes, log, [this] { return self(); }, [this] { startFromPeer(); },
               [this] { startFromStore(); } },
          pullInterval, settings.seeds)
    , nodeRegistration(
          ports.store, [this] { return self(); }, log, [this] { view.onNodeRegistered(); })
    , notices(ports.targets, decisions, counters, log)
    , services { client, decisions, ports.callers, ports.targets, counters, log, notices,
        [this](const std::string& account) { usage.requestBegan(account); }, [this] { peers.sendOrigins(); } }
    , caches(client, ports.targets, decisions, counters, log, notices,
          [this](std::vector<cache_update> updates) { peers.broadcastCacheUpdates(std::move(updates)); })
    , roles({ client, ports.targets, ports.store, decisions, counters, log, notices, [this] { peers.sendHeartbeat(); },
                [this] { view.checkStoreReach(); } },
          settings.vm, leaseSettings(settings))
    , detourKey(randomKey())
    , processor(settings.processorShare)
    , peers({ decisions, nodes, view, caches, roles, log, [this] { return self(); },
          [this](const auto& records) { quarantine.apply(records); },
          [this](const usage_report& report) { usage.apply(report); },
          [this](const std::vector<serving::permit_grant>& grants) { applyPermits(grants); },
          [this](const serving::node_endpoint& from, const serving::origin_reply& reply) {
              serving::command_list commands;
              decisions.originReplyReceived(from, reply, boot_clock::now(), commands);
              flows.execute(std::move(commands));
          } })
    , limits({ decisions, peers, counters, log })
    , callers(
          {},
          [this](http_request request, std::shared_ptr<response_writer> caller) {
              handleCaller(std::move(request), std::move(caller));
          },
          [this](error_kind kind, std::string_view detail) {
              return ports.callers.refusal(kind, detail, answerFor(kind).retryAfter);
          },
          [this](const discarded_input& input) { logDiscarded(input); },
          [this](std::size_t held) { logSlowCaller(held); }, budget)
    , detours({ client, ports.targets, decisions, notices, counters, log }, maxPassedCalls(settings), detourKey, budget)
    , pages({ ports.callers, nodes, counters, [this] { return self(); }, [this] { return encodedState(); },
                [this] { return encodeState(view.exportConfiguration()); },
                [this] { return encodeCaches(caches.snapshot(boot_clock::now())); },
                [this] { return quarantine.describe(boot_clock::now()); },
                [this](const request_trait& trait) { return release(trait); },
                [this](const std::string& vm) {
                    const auto now = boot_clock::now();
                    return vm == settings.vm ? decisions.paths().isCutOff(now)
                                             : decisions.paths().isPeerCutOff(vm, now);
                } },
          budget)
    , flows(services,
          [this] {
              peers.scheduleJobAnnouncement();
              peers.sendOrigins();
          })
    , quarantine({ ports.store, decisions, log,
          [this](serving::command_list commands) { flows.execute(std::move(commands)); } })
    , usage(settings.vm, processId(), settings.reportsUsage ? settings.usageWindow : duration::zero(),
          settings.usageLateness, [this](const auto& nodes, const auto& reports) { peers.sendUsage(nodes, reports); })
    , duties({ client, ports.duties, ports.store, decisions, usage, counters, log, [this] { view.checkStoreReach(); } },
          settings, processId())
    , gauges({ decisions, nodes, view, callers, client, peers, processor, log, counters })
{
    QObject::connect(&decisionTimer, &QTimer::timeout, [this] { tick(); });
    budget->onLetGo = [this](pressure kind, std::size_t bytes) { logLetGo(kind, bytes); };
}

std::string gateway::state::start()
{
    applyLimits();
    if (!callers.listen(addressOf(settings.callers), settings.callers.port))
        return toString(settings.callers) + ": cannot listen on this address";
    if (const auto address = pages.listen(settings); !address.empty())
        return address + ": cannot listen on this address";
    if (!peers.listen(settings.peers) || (settings.peers.port != 0 && !detours.listen(settings.peers)))
        return toString(settings.peers) + ": cannot listen on this address";
    log.write(log_event::node_started,
        { { "availability_zone", settings.availabilityZone }, { "callers", toString(settings.callers) },
            { "first_start", settings.isFirstStart } });
    decisionTimer.start(decisionInterval);
    peers.sendHeartbeat();
    if (!pull.start())
        startFromStore();
    return {};
}

void gateway::state::startFromStore()
{
    view.start();
    quarantine.start();
    nodeRegistration.start();
}

// Registrations are spread because the store appends to a topic one record at a time and rejects calls that would wait
// longer than two seconds, which happens when 300 nodes that have loaded the state at the same moment all register.
void gateway::state::startFromPeer()
{
    view.startFromPeer();
    const double spread = static_cast<double>(stableHash(settings.vm) % registrationSlots) / registrationSlots;
    QTimer::singleShot(static_cast<int>(spread * registrationSpreadMilliseconds), &decisionTimer,
        [this] { nodeRegistration.start(); });
}

std::uint64_t gateway::state::memoryFor(double share) const
{
    return static_cast<std::uint64_t>(share * static_cast<double>(settings.memoryMegabytes) * bytesPerMegabyte);
}

http_server_limits gateway::state::callerLimits() const
{
    http_server_limits out;
    out.connections = static_cast<int>(settings.descriptors * callerDescriptorShare);
    out.totalUnsentBytes = memoryFor(unsentMemoryShare);
    if (!view.hasConfiguration())
        return out;
    const auto& configured = view.configuration()->limits();
    out.headerBytes = configured.headerBytes;
    out.bodyBytes = configured.bodyBytes;
    out.headerTimeout = configured.headerTimeout;
    out.idleTimeout = configured.idleTimeout;
    return out;
}

http_server_limits gateway::state::detourLimits() const
{
    http_server_limits out;
    const auto own = callerLimits();
    out.headerBytes = own.headerBytes + addedHeaderBytes;
    out.bodyBytes = own.bodyBytes;
    out.totalUnsentBytes = memoryFor(passedUnsentMemoryShare);
    out.connections = static_cast<int>(settings.descriptors * passedConnectionShare);
    out.idleTimeout = passedIdleTimeout;
    return out;
}

http_server_limits gateway::state::pageLimits(double connectionShare) const
{
    auto out = callerLimits();
    out.bodyBytes = maxShortBodyBytes;
    out.totalUnsentBytes = memoryFor(pageUnsentMemoryShare);
    out.connections = std::max(static_cast<int>(settings.descriptors * connectionShare), minConnections);
    return out;
}

void gateway::state::applyLimits()
{
    client_budget_limits all;
    all.bytes = memoryFor(clientMemoryShare);
    all.reservedBytes = memoryFor(reservedMemoryShare);
    all.connections = static_cast<int>(settings.descriptors * acceptedConnectionShare);
    budget->setLimits(all);
    callers.setLimits(callerLimits());
    detours.setLimits(detourLimits());
    const auto probes = pageLimits(probeConnectionShare);
    pages.setLimits({ probes, pageLimits(entryConnectionShare), pageLimits(stateConnectionShare), probes });
}

void gateway::state::configure(const std::shared_ptr<const serving::serving_configuration>& configuration)
{
    usage.configure(*configuration);
    applyLimits();
    if (view.sharesReads())
        peers.sendHeartbeat(); // announces the version to peers at once
}

bool gateway::state::isReady() const { return !isDraining && view.hasConfiguration() && view.hasTargets(); }

// The encoded state is cached: when 300 nodes start, a hundred of them ask each seed at once, and encoding the same
// state for each would keep the seed from serving requests.
const std::string& gateway::state::encodedState()
{
    const auto now = boot_clock::now();
    if (now >= encodedStateAt + encodedStateLifetime) {
        encodedStateAt = now;
        encodedStateText = encodeState(view.exportState(self()));
    }
    return encodedStateText;
}

serving::node_state gateway::state::self() const
{
    serving::node_state out;
    out.vm = settings.vm;
    out.incarnation = nodeRegistration.incarnation();
    out.availabilityZone = settings.availabilityZone;
    out.address = settings.callers.address;
    out.callerPort = settings.callers.port;
    out.peerPort = settings.peers.port;
    out.adminPort = settings.admin.port;
    out.isReady = isReady();
    out.isStopping = isDraining;
    out.configurationVersion = view.hasConfiguration() ? view.configuration()->version() : 0;
    out.storeReach = view.storeReach();
    out.lastTargetChange = view.lastTargetChange();
    out.readsForOthers = view.isReader();
    out.linkMegabits = settings.linkMegabits;
    out.knownNodes = static_cast<std::uint16_t>(std::min(nodes.knownCount(), 65535));
    out.detourKey = detourKey;
    out.requestsPerSecond = serving::requestCapacity(
        { settings.processorShare, static_cast<double>(settings.linkMegabits), settings.descriptors });
    out.busyPercent = processor.busyPercent();
    return out;
}

void gateway::state::refuse(const std::shared_ptr<response_writer>& caller, error_kind kind, std::string_view detail)
{
    counters.count("tamarack_refused_total", { { "kind", std::string(answerFor(kind).type) } });
    caller->sendWhole(ports.callers.refusal(kind, detail, answerFor(kind).retryAfter));
}

void gateway::state::deny(
    const std::shared_ptr<response_writer>& caller, const caller_request& call, std::string_view reason)
{
    log.write(log_event::request_denied,
        { { "request", call.id }, { "host", call.host }, { "path", call.path }, { "reason", reason },
            { "version", view.configuration()->version() },
            { "age_ms", milliseconds(view.configurationAge(boot_clock::now())) } });
    refuse(caller, error_kind::unauthorized, reason);
}

void gateway::state::handleCaller(http_request request, std::shared_ptr<response_writer> caller)
{
    // Without a configuration the routes are unknown, so this check precedes all others.
    if (!view.hasConfiguration() || !view.hasTargets())
        return refuse(caller, error_kind::not_ready, answerFor(error_kind::not_ready).title);
    auto decoded = ports.callers.decode(request);
    if (const auto* fault = std::get_if<request_fault>(&decoded))
        return refuse(caller, error_kind::bad_request, fault->detail);
    auto& call = std::get<caller_request>(decoded);
    const auto* route = view.configuration()->findRoute(call.host, call.path);
    if (!route) {
        log.write(log_event::request_without_route,
            { { "request", call.id }, { "host", call.host }, { "path", call.path },
                { "version", view.configuration()->version() },
                { "age_ms", milliseconds(view.configurationAge(boot_clock::now())) } });
        return refuse(caller, error_kind::unknown_service, "no route for " + call.path);
    }
    const client_account* account = nullptr;
    if (const auto* accounts = view.configuration()->accounts()) {
        // A node that was cut off may not know that a key was revoked.
        if (settings.isRevocationStrict && !route->isPublic
            && view.configurationAge(boot_clock::now()) > settings.revocationBound)
            return refuse(caller, error_kind::not_ready, "this node cannot confirm which keys are valid");
        const auto access = decideAccess(*accounts, call.sentCredential, route->isPublic);
        if (!access.isAllowed)
            return deny(caller, call, access.reason);
        account = access.account;
        ports.callers.removeCredentials(request);
    }
    call.sentCredential = {};
    flows.submit({ std::move(request), std::move(call), view.configuration(), route, account, std::move(caller) });
}

void gateway::state::applyPermits(const std::vector<serving::permit_grant>& grants)
{
    serving::command_list commands;
    decisions.permitsGranted(grants, boot_clock::now(), commands);
    flows.execute(std::move(commands));
}

bool gateway::state::release(const request_trait& trait)
{
    const bool isReleased = decisions.quarantine().release(trait, boot_clock::now());
    peers.scheduleJobAnnouncement();
    return isReleased;
}

void gateway::state::tick()
{
    const auto now = boot_clock::now();
    logLateness(now);
    view.tick(now);
    logLostPeers(nodes.tick(now));
    for (const auto& change : decisions.takeHealthChanges())
        logHealth(change);
    for (const auto& change : decisions.takeRestChanges())
        log.write(log_event::target_rests,
            { { "target", decisions.fleet().instance[change.target.value] },
                { "rest_ms", milliseconds(change.rest) } });
    decisions.setKnownNodes(view.knowsNodes() ? nodes.knownCount() : 0);
    if (view.hasTargets())
        decisions.origins().listConfirmed(now - view.targetsAge(now));
    // The settings alone don't prove it: they may say so at a restart as well.
    if (settings.isFirstStart && !isFirstStartProven && nodes.haveAllStartedOnce(nodeRegistration.incarnation())) {
        isFirstStartProven = true;
        decisions.origins().builds().adoptHistory(now - instant(), now);
    }
    if (now >= nextDutiesAt)
        assignDuties(now);
    limits.tick(now);
    serving::command_list commands;
    decisions.tick(now, commands);
    flows.execute(std::move(commands));
    checkPaths(now);
    logReadiness();
    processor.update(now);
    gauges.update(now);
    if (isDraining)
        checkDrain(now);
    log.flush();
}

// In each availability zone one node polls the store closely and notifies the others of changes.
void gateway::state::assignDuties(instant now)
{
    nextDutiesAt = now + dutyInterval;
    if (now < startedAt + peerDiscoveryDelay)
        return;
    const auto me = self();
    const auto alive = nodes.alive(now);
    peers.planRelays(me, alive);
    assignStoreReading(me, alive, now);
    updateDetours(alive);
    decisions.setOthersTakeCalls(
        std::any_of(alive.begin(), alive.end(), [](const auto& node) { return node.isReady && !node.isStopping; }));
    limits.setNodes(me, alive, view.knowsNodes() ? nodes.knownCount() : 0, nodes.peerTimeout());
    // Each node tells the last change of the target list that it has read. So as long as all are heard, none knew more
    // when the oldest of these messages was sent.
    const auto toldAt = nodes.oldestListPosition(now);
    if (view.hasTargets() && !view.isBehindTargets() && toldAt)
        decisions.origins().listConfirmed(*toldAt - heartbeatTransit);
    logPaths(now);
    caches.tick(me, alive, now);
    roles.tick(me, alive, now);
    usage.tick(me, alive, now);
    duties.tick(me, alive, view.configuration().get(), now);
}

void gateway::state::assignStoreReading(
    serving::node_state me, const std::vector<serving::node_state>& alive, instant now)
{
    me.readsForOthers = serving::readsForZone(me, alive);
    const bool isConfirmer = serving::confirmsForFleet(me, alive);
    view.setReader(me.readsForOthers, isConfirmer);
    const bool areNodesSilent = static_cast<std::size_t>(nodes.knownCount()) > alive.size() + 1;
    quarantine.tick(isConfirmer, areNodesSilent, now);
    if (view.isStale(now))
        view.refreshIfStale(serving::refreshRank(me, alive), now);
}

void gateway::state::logLostPeers(const std::vector<serving::lost_node>& lost)
{
    if (lost.size() == 1)
        return log.write(
            log_event::peer_lost, { { "peer", lost.front().vm }, { "silent_ms", milliseconds(lost.front().silence) } });
    name_sample names;
    for (const auto& node : lost)
        names.add(node.vm);
    if (!lost.empty())
        log.write(log_event::peers_lost, { { "count", names.count() }, { "peers", names.text() } });
}

void gateway::state::logHealth(const serving::health_change& change)
{
    const auto& instance = decisions.fleet().instance[change.target.value];
    if (change.blockedFor == duration::zero())
        return log.write(log_event::target_returned, { { "target", instance } });
    log.write(log_event::target_blocked,
        { { "target", instance }, { "reason", change.reason }, { "failures", change.failuresInARow },
            { "for_ms", milliseconds(change.blockedFor) } });
}

void gateway::state::updateDetours(const std::vector<serving::node_state>& alive)
{
    std::uint64_t seen = 1;
    const auto takesCalls
        = [](const serving::node_state& node) { return node.isReady && !node.isStopping && node.peerPort != 0; };
    for (const auto& node : alive) {
        if (takesCalls(node))
            seen += rendezvousSeed(node.vm) + stableHash(node.address + node.detourKey);
    }
    if (std::exchange(detourNodesHash, seen) == seen)
        return;
    std::vector<serving::detour_peer> able;
    std::vector<serving::origin_peer> holders;
    for (const auto& node : alive) {
        if (takesCalls(node)) {
            if (!node.detourKey.empty())
                able.push_back({ node.vm, node.availabilityZone, toString(endpoint { node.address, node.peerPort }),
                    node.detourKey });
            holders.push_back({ node.vm, node.availabilityZone, { node.address, node.peerPort } });
        }
    }
    decisions.paths().setPeers(std::move(able));
    decisions.origins().setPeers(std::move(holders));
}

void gateway::state::checkPaths(instant now)
{
    // Idle connections of a lost path may be dead.
    for (const auto target : decisions.takeLostPaths())
        client.closeIdleConnections(parseEndpoint(decisions.fleet().address[target.value]));
    for (const auto target : decisions.paths().takeDueChecks(now)) {
        client.connect(parseEndpoint(decisions.fleet().address[target.value]), pathCheckTimeout,
            [this, now, weak = std::weak_ptr(isAlive), instance = decisions.fleet().instance[target.value]](
                const exchange_failure* failure) {
                if (weak.expired())
                    return;
                std::optional<serving::path_failure> result;
                if (failure)
                    result = failure->timedOut ? serving::path_failure::silent : serving::path_failure::refused;
                serving::command_list commands;
                decisions.pathChecked(instance, result, now, boot_clock::now(), commands);
                flows.execute(std::move(commands));
            });
    }
    if (std::exchange(announcedPaths, decisions.paths().generation()) != announcedPaths)
        peers.broadcastPaths();
}

void gateway::state::logPaths(instant now)
{
    for (const auto& change : decisions.takeServiceChanges(now)) {
        if (change.isLost)
            log.write(log_event::service_unreached,
                { { "service", change.service }, { "targets", change.targets },
                    { "reason", serving::toString(change.failure) }, { "since_ms", milliseconds(change.length) } });
        else
            log.write(log_event::service_reached,
                { { "service", change.service }, { "targets", change.targets },
                    { "away_ms", milliseconds(change.length) } });
    }
}

void gateway::state::logDiscarded(const discarded_input& input)
{
    const auto reason = std::string(toString(input.reason));
    counters.count("tamarack_input_discarded_total", { { "reason", reason } });
    log.write(log_event::input_discarded,
        { { "reason", reason }, { "bytes", static_cast<std::int64_t>(input.bytes) },
            { "delay_ms", milliseconds(input.delay) } });
}

void gateway::state::logSlowCaller(std::size_t held)
{
    counters.count("tamarack_slow_callers_cut_total");
    log.write(log_event::slow_caller_cut,
        { { "bytes", static_cast<std::int64_t>(held) },
            { "all_bytes", static_cast<std::int64_t>(callers.unsentBytesHeld()) } });
}

void gateway::state::logLetGo(pressure kind, std::size_t bytes)
{
    counters.count("tamarack_client_pressure_total", { { "kind", std::string(toString(kind)) } });
    log.write(log_event::client_pressure,
        { { "kind", toString(kind) }, { "bytes", static_cast<std::int64_t>(bytes) },
            { "all_bytes", static_cast<std::int64_t>(budget->held()) }, { "connections", budget->connections() } });
}

void gateway::state::logLateness(instant now)
{
    previousTickAt = lastTickAt;
    const auto interval = now - std::exchange(lastTickAt, now);
    if (interval > maxUsualInterval)
        log.write(log_event::event_loop_late, { { "late_ms", milliseconds(interval - decisionInterval) } });
}

void gateway::state::logReadiness()
{
    if (wasReady == isReady())
        return;
    wasReady = isReady();
    counters.set("tamarack_ready", wasReady ? 1 : 0);
    log.write(log_event::readiness_changed,
        { { "ready", wasReady }, { "configuration", view.hasConfiguration() }, { "targets", view.hasTargets() },
            { "stopping", isDraining } });
}

void gateway::state::drain()
{
    if (isDraining)
        return;
    isDraining = true;
    // The platform counts from the signal, which may have waited for as long as this process did not run.
    drainingSince = previousTickAt;
    log.write(log_event::drain_started,
        { { "held", decisions.held() }, { "connections", callers.connectionCount() },
            { "late_ms", milliseconds(boot_clock::now() - drainingSince) } });
    decisions.stop(stopTimes());
    callers.beginDrain();
    detours.beginDrain();
    peers.sendHeartbeat(); // peers remove this node from the entry addresses at once
}

serving::stop_times gateway::state::stopTimes() const
{
    return { drainingSince + settings.stopBound - stopMargin,
        drainingSince + maxCachedLifetimes * node_endpoints::entryLifetime() };
}

// Callers that resolved the entry addresses just before the drain keep arriving until their cached answers expire, and
// longer if no other node is there. After that the node closes its connections, and exits once it has held no request
// and has sent all answers for a moment: a request may have arrived on a connection just before its close. It exits in
// any case before the platform would kill it.
void gateway::state::checkDrain(instant now)
{
    if (isStopped)
        return;
    const auto times = stopTimes();
    decisions.stop(times); // the bound may have changed
    const auto last = times.lastAnswerAt;
    // An error says that the request was read. A connection that ends without one may be taken for one on which it was
    // not, and callers repeat such requests.
    if (now >= last && decisions.held() > 0) {
        serving::command_list commands;
        decisions.endAll(now, commands);
        flows.execute(std::move(commands));
    }
    const bool holdsCalls = decisions.held() > 0 || detours.callsInProgress() > 0;
    if (holdsCalls || callers.bytesQueued() > 0)
        lastBusyAt = now;
    const bool isDone = now >= times.earliestExitAt && !holdsCalls;
    if (!isClosed && !isDone && now < last)
        return;
    if (!isClosed) {
        isClosed = true;
        closedAt = now;
        callers.stopListening();
        callers.closeIdle();
    }
    if (now < last + finalFlushDelay && now < std::max(closedAt, lastBusyAt) + finalFlushDelay)
        return;
    isStopped = true;
    flows.logHeldAtExit();
    log.write(log_event::drain_finished,
        { { "held", decisions.held() }, { "connections", callers.connectionCount() },
            { "unsent_bytes", static_cast<std::int64_t>(callers.bytesQueued()) },
            { "after_ms", milliseconds(now - drainingSince) } });
    onStopped();
}

gateway::gateway(gateway_settings settings, gateway_ports ports, http_client& client, std::function<void()> onStopped)
    : m_state(std::make_unique<state>(std::move(settings), ports, client, std::move(onStopped)))
{
}

gateway::~gateway() = default;

std::string gateway::start() { return m_state->start(); }

void gateway::reconfigure(const gateway_settings& settings)
{
    m_state->settings.stopBound = settings.stopBound;
    m_state->pull.setSeeds(settings.seeds);
    m_state->pages.setMaxEntryLifetime(settings.maxEntryLifetime);
    m_state->applyLimits();
    m_state->log.write(log_event::settings_reloaded);
}

void gateway::drain() { m_state->drain(); }

}
