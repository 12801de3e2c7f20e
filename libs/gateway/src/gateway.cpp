// Wires the parts together, and carries out what the decisions say.
#include "gateway/gateway.h"

#include "cache_watch.h"
#include "flow_table.h"
#include "peer_talk.h"
#include "registration.h"
#include "role_orders.h"
#include "service_pages.h"
#include "shared_view.h"
#include "state_pull.h"

#include "base/hash.h"
#include "http/http_server.h"
#include "serving/duty_assignment.h"
#include "serving/freshness.h"

#include <QTimer>

namespace tamarack {

using namespace std::chrono_literals;

namespace {

    /// Waiting requests and times are looked at this often; an answer's end looks at once.
    constexpr auto decisionInterval = 20ms;
    /// Left of the stop bound when the process ends by itself.
    constexpr duration stopMargin = 700ms;
    /// From the end of listening to the end of the process, so that what was written leaves.
    constexpr duration lastFlush = 150ms;
    /// A node that lacks something looks for a peer to ask this often.
    constexpr duration pullInterval = 500ms;
    /// Of the answers on entry addresses some are kept this many times their lifetime; a stop waits for them.
    constexpr int longestEntryKeeping = 3;
    /// Of the descriptors, for callers; the others are for targets, the store and peers.
    constexpr double callerDescriptorShare = 0.6;
    /// Of the process's memory, for bodies that come in.
    constexpr double heldBytesShare = 0.25;
    constexpr std::uint64_t bytesPerMegabyte = 1'000'000;
    /// A node that has just started hears its peers before it takes itself for the only one; they beat ten times a
    /// second, twice a second where there are 80 of them.
    constexpr duration listenFirst = 1s;
    /// Who does what for all is looked at this often.
    constexpr duration dutyInterval = 100ms;
    /// Nodes that start together register within this time, in milliseconds.
    constexpr int registrationSpread = 5000;
    constexpr std::uint64_t hashTurns = 1024;
    constexpr duration stateLife = 100ms;
    /// Gauges are as old as this.
    constexpr duration metricsInterval = 500ms;

    QHostAddress addressOf(const endpoint& place) { return QHostAddress(QString::fromStdString(place.address)); }

    std::int64_t milliseconds(duration d) { return std::chrono::duration_cast<std::chrono::milliseconds>(d).count(); }

}

struct gateway::state {
    state(
        gateway_settings given, gateway_ports implementations, http_client& connections, std::function<void()> stopped);

    std::string start();
    /// Nobody else has told what the store would: it is read.
    void startAlone();
    /// A peer has.
    void startTold();
    void drain();
    void configure(const std::shared_ptr<const serving::serving_configuration>& configuration);
    http_server_limits limits() const;
    serving::node_state self() const;
    bool isReady() const;
    const std::string& offeredState();

    void handleCaller(http_request request, std::shared_ptr<response_writer> caller);
    void refuse(const std::shared_ptr<response_writer>& caller, error_kind kind, std::string_view detail);

    void tick();
    void checkDrain(instant now);
    void publishMetrics(instant now);
    void shareDuties(instant now);
    void assignStoreReading(serving::node_state me, const std::vector<serving::node_state>& alive, instant now);
    void logReadiness();
    void logLost(const std::vector<serving::lost_node>& lost);
    void logHealth(const serving::health_change& change);

    gateway_settings settings;
    gateway_ports ports;
    http_client& client;
    std::function<void()> onStopped;
    metrics counters;
    logger log;
    serving::dispatcher decisions;
    serving::node_directory nodes;
    shared_view view;
    state_pull pull;
    registration registered;
    flow_services services;
    cache_watch caches;
    role_orders roles;
    peer_talk peers;
    http_server callers;
    service_pages pages;
    flow_table flows;
    QTimer decisionTimer;
    instant drainingSince; // set by drain()
    instant nextMetrics;
    instant nextDuties;
    instant startedAt = boot_clock::now();
    std::string stateText; // what peers were told last of all that this node knows
    instant stateAt;
    bool isDraining = false;
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
        return out;
    }

    serving::order_lease_settings leaseSettings(const gateway_settings& settings)
    {
        serving::order_lease_settings out;
        out.orderSpacing = settings.orderTurn;
        return out;
    }

    logger_options loggerOptions(const gateway_settings& settings)
    {
        logger_options out;
        out.vm = settings.vm;
        // The store gives a process its incarnation only later; the start tells the lives of a node apart until then.
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
              [this](serving::target_update_batch note) { peers.tellTargets(std::move(note)); },
              [this] { pull.storeLost(); }, [this] { pull.behind(); }, [this] { peers.tellReadProgress(); } })
    , pull({ client, view, nodes, log, [this] { return self(); }, [this] { startTold(); }, [this] { startAlone(); } },
          pullInterval, settings.seeds)
    , registered(
          ports.store, [this] { return self(); }, log, [this] { view.registered(); })
    , services { client, decisions, ports.callers, ports.targets, counters, log }
    , caches(client, ports.targets, decisions, counters, log,
          [this](std::vector<cache_news> listed) { peers.tellCaches(std::move(listed)); })
    , roles({ client, ports.targets, ports.store, decisions, counters, log, [this] { peers.beat(); },
                [this] { view.checkStoreReach(); } },
          settings.vm, leaseSettings(settings))
    , peers({ decisions, nodes, view, caches, roles, log, [this] { return self(); } })
    , callers(
          {},
          [this](http_request request, std::shared_ptr<response_writer> caller) {
              handleCaller(std::move(request), std::move(caller));
          },
          [this](error_kind kind, std::string_view detail) {
              return ports.callers.refusal(kind, detail, answerFor(kind).retryAfter);
          })
    , pages({ ports.callers, nodes, counters, [this] { return self(); }, [this] { return offeredState(); },
          [this] { return encodeState(view.offeredConfiguration()); },
          [this] { return encodeCaches(caches.known(boot_clock::now())); } })
    , flows(services, [this] { peers.jobsSent(); })
{
    QObject::connect(&decisionTimer, &QTimer::timeout, [this] { tick(); });
}

std::string gateway::state::start()
{
    callers.setLimits(limits());
    if (!callers.listen(addressOf(settings.callers), settings.callers.port))
        return toString(settings.callers) + " cannot be listened on";
    if (const auto taken = pages.listen(settings); !taken.empty())
        return taken + " cannot be listened on";
    if (!peers.listen(settings.peers))
        return toString(settings.peers) + " cannot be listened on";
    log.write(log_event::node_started,
        { { "availability_zone", settings.availabilityZone }, { "callers", toString(settings.callers) },
            { "first_start", settings.isFirstStart } });
    decisionTimer.start(decisionInterval);
    peers.beat();
    if (!pull.start())
        startAlone();
    return {};
}

void gateway::state::startAlone()
{
    view.start();
    registered.start();
}

// What goes wrong without the spread: 300 nodes that are told at the same moment append to one topic, which takes them
// one after the other, and turns away what would wait for two seconds.
void gateway::state::startTold()
{
    view.startTold();
    const double turn = static_cast<double>(stableHash(settings.vm) % hashTurns) / hashTurns;
    QTimer::singleShot(static_cast<int>(turn * registrationSpread), &decisionTimer, [this] { registered.start(); });
}

http_server_limits gateway::state::limits() const
{
    http_server_limits out;
    out.connections = static_cast<int>(settings.descriptors * callerDescriptorShare);
    out.heldBytes = static_cast<std::uint64_t>(
        heldBytesShare * static_cast<double>(settings.memoryMegabytes) * static_cast<double>(bytesPerMegabyte));
    if (!view.hasConfiguration())
        return out;
    const auto& told = view.configuration()->limits();
    out.headerBytes = told.headerBytes;
    out.bodyBytes = told.bodyBytes;
    out.headerTimeout = told.headerTimeout;
    out.idleTimeout = told.idleTimeout;
    return out;
}

void gateway::state::configure(const std::shared_ptr<const serving::serving_configuration>&)
{
    callers.setLimits(limits());
    if (view.tellsOthers())
        peers.beat(); // which tells the others of the version at once
}

bool gateway::state::isReady() const { return !isDraining && view.hasConfiguration() && view.hasTargets(); }

// What goes wrong without keeping it: of 300 nodes that start, a hundred ask each seed at once, and it packs the same
// state for each of them while it should serve.
const std::string& gateway::state::offeredState()
{
    const auto now = boot_clock::now();
    if (now >= stateAt + stateLife) {
        stateAt = now;
        stateText = encodeState(view.offered(self()));
    }
    return stateText;
}

serving::node_state gateway::state::self() const
{
    serving::node_state out;
    out.vm = settings.vm;
    out.incarnation = registered.incarnation();
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
    out.readsForOthers = view.readsClosely();
    out.linkMegabits = settings.linkMegabits;
    out.knownNodes = static_cast<std::uint16_t>(std::min(nodes.knownCount(), 65535));
    return out;
}

void gateway::state::refuse(const std::shared_ptr<response_writer>& caller, error_kind kind, std::string_view detail)
{
    counters.count("tamarack_refused_total", { { "kind", std::string(answerFor(kind).type) } });
    caller->sendWhole(ports.callers.refusal(kind, detail, answerFor(kind).retryAfter));
}

void gateway::state::handleCaller(http_request request, std::shared_ptr<response_writer> caller)
{
    // A node that knows no configuration cannot say which routes there are, so this comes before any other check.
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
    flows.submit({ std::move(request), std::move(call), view.configuration(), route, std::move(caller) });
}

void gateway::state::tick()
{
    const auto now = boot_clock::now();
    view.tick(now);
    logLost(nodes.tick(now));
    for (const auto& change : decisions.takeHealthChanges())
        logHealth(change);
    decisions.setKnownNodes(view.knowsNodes() ? nodes.knownCount() : 0);
    if (now >= nextDuties)
        shareDuties(now);
    serving::command_list commands;
    decisions.tick(now, commands);
    flows.execute(std::move(commands));
    logReadiness();
    publishMetrics(now);
    if (isDraining)
        checkDrain(now);
    log.flush();
}

// Of each zone one node reads the target list closely, and tells the others what has changed.
void gateway::state::shareDuties(instant now)
{
    nextDuties = now + dutyInterval;
    if (now < startedAt + listenFirst)
        return;
    const auto me = self();
    const auto alive = nodes.alive(now);
    peers.planRelays(me, alive);
    assignStoreReading(me, alive, now);
    caches.tick(me, alive, now);
    roles.tick(me, alive, now);
}

void gateway::state::assignStoreReading(
    serving::node_state me, const std::vector<serving::node_state>& alive, instant now)
{
    me.readsForOthers = serving::readsForZone(me, alive);
    view.setReadsClosely(me.readsForOthers, serving::confirmsForFleet(me, alive));
    if (view.isStale(now))
        view.refreshIfStale(serving::refreshRank(me, alive), now);
}

void gateway::state::publishMetrics(instant now)
{
    if (now < nextMetrics)
        return;
    nextMetrics = now + metricsInterval;
    const auto& fleet = decisions.fleet();
    int known = 0;
    int draining = 0;
    for (std::size_t row = 0; row < fleet.size(); ++row) {
        known += fleet.isListed[row];
        draining += fleet.isListed[row] && fleet.isDraining[row];
    }
    counters.set("tamarack_targets_known", known);
    counters.set("tamarack_targets_draining", draining);
    counters.set("tamarack_nodes_known", nodes.knownCount());
    counters.set("tamarack_nodes_alive", static_cast<double>(nodes.alive(now).size()) + 1);
    counters.set("tamarack_requests_held", static_cast<double>(decisions.held()));
    counters.set("tamarack_requests_waiting", static_cast<double>(decisions.waiting()));
    counters.set("tamarack_caller_connections", callers.connectionCount());
    counters.set("tamarack_target_connections_made", static_cast<double>(client.connectionsMade()));
    counters.set("tamarack_store_reachable", view.storeReach() == serving::store_reach::reached ? 1 : 0);
    counters.set("tamarack_store_topic_reachable", view.isConfigurationTopicReachable() ? 1 : 0,
        { { "topic", "configuration" } });
    counters.set("tamarack_store_topic_reachable", view.isTargetTopicReachable() ? 1 : 0, { { "topic", "targets" } });
    counters.set("tamarack_reads_store_for_zone", view.readsClosely() ? 1 : 0);
    counters.set("tamarack_configuration_age_seconds", seconds(view.configurationAge(now)));
    counters.set("tamarack_target_list_age_seconds", seconds(view.targetsAge(now)));
    counters.set("tamarack_log_lines_left_out", static_cast<double>(log.linesLeftOut()));
    counters.set("tamarack_peer_undecodable", static_cast<double>(peers.undecodable()));
    counters.set("tamarack_peer_datagrams_sent", static_cast<double>(peers.counts().sent));
    counters.set("tamarack_peer_bytes_sent", static_cast<double>(peers.counts().sentBytes));
    counters.set("tamarack_peer_datagrams_heard", static_cast<double>(peers.counts().heard));
}

void gateway::state::logLost(const std::vector<serving::lost_node>& lost)
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
    drainingSince = boot_clock::now();
    log.write(log_event::drain_started, { { "held", decisions.held() }, { "connections", callers.connectionCount() } });
    callers.beginDrain();
    peers.beat(); // peers stop naming this node at once
}

// Callers that asked for addresses just before the drain come until they have asked anew; after that the process ends
// as soon as it holds no request, and in any case before the platform would end it.
void gateway::state::checkDrain(instant now)
{
    if (isStopped)
        return;
    const auto noneComesAfter = drainingSince + longestEntryKeeping * service_pages::entryLifetime();
    const auto last = drainingSince + settings.stopBound - stopMargin;
    const bool isDone = now >= noneComesAfter && decisions.held() == 0;
    if (!isDone && now < last)
        return;
    isStopped = true;
    callers.stopListening();
    callers.closeIdle();
    log.write(
        log_event::drain_finished, { { "held", decisions.held() }, { "connections", callers.connectionCount() } });
    QTimer::singleShot(std::chrono::duration_cast<std::chrono::milliseconds>(lastFlush), [this] { onStopped(); });
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
    m_state->pages.setLongestEntryLifetime(settings.longestEntryLifetime);
    m_state->callers.setLimits(m_state->limits());
    m_state->log.write(log_event::settings_reloaded);
}

void gateway::drain() { m_state->drain(); }

}
