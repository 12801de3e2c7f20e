// Wires the parts together, and carries out what the decisions say.
#include "gateway/gateway.h"

#include "cache_watch.h"
#include "caller_flow.h"
#include "peer_mesh.h"
#include "shared_view.h"

#include "base/hash.h"
#include "http/http_server.h"
#include "serving/duty_roster.h"

#include <QTimer>
#include <deque>
#include <unordered_map>

namespace tamarack {

using namespace std::chrono_literals;

namespace {

    /// Waiting requests and times are looked at this often; an answer's end looks at once.
    constexpr auto decisionInterval = 20ms;
    /// Peers' work is as old as this; an engine reads some 6,000 tokens meanwhile.
    constexpr auto heartbeatInterval = 100ms;
    /// Prompts sent within this time are told to peers together.
    constexpr auto notePause = 5ms;
    /// With more peers than this, heartbeats go out less often: each node sends so many datagrams a second.
    constexpr int heartbeatsPerSecond = 160;
    constexpr duration peerLife = 600ms;
    constexpr duration peerTimeout = 700ms;
    /// Callers keep an answer for this long, some of them three times as long; a stop waits for them.
    constexpr duration entryLifetime = 1s;
    constexpr int longestEntryKeeping = 3;
    constexpr std::size_t mostEntries = 64;
    /// Left of the stop bound when the process ends by itself.
    constexpr duration stopMargin = 700ms;
    /// From the end of listening to the end of the process, so that what was written leaves.
    constexpr duration lastFlush = 150ms;
    /// A node without a configuration asks peers after this time, and then again.
    constexpr duration pullInterval = 500ms;
    constexpr duration pullTimeout = 800ms;
    /// Registration in the store is tried again after this time.
    constexpr duration registrationPause = 700ms;
    /// Of the descriptors, for callers; the others are for targets, the store and peers.
    constexpr double callerDescriptorShare = 0.6;
    /// Of the process's memory, for bodies that come in.
    constexpr double heldBytesShare = 0.25;
    constexpr std::uint64_t bytesPerMegabyte = 1'000'000;
    /// Who does what for all is looked at this often.
    constexpr duration dutyInterval = 100ms;
    constexpr std::size_t mostCacheNews = 25; // of a heartbeat
    /// Heartbeats that may be lost before a node counts as away, and a part of one for its way.
    constexpr double heartbeatsUntilAway = 3.2;
    /// Gauges are as old as this.
    constexpr duration metricsInterval = 500ms;
    constexpr std::string_view statePath = "/state";
    constexpr std::string_view metricsPath = "/metrics";

    QHostAddress addressOf(const endpoint& place) { return QHostAddress(QString::fromStdString(place.address)); }

    std::int64_t milliseconds(duration d) { return std::chrono::duration_cast<std::chrono::milliseconds>(d).count(); }

    http_response plainText(int status, std::string body = {})
    {
        http_response response { status, {}, std::move(body) };
        response.headers.set("Content-Type", "text/plain");
        return response;
    }

}

struct gateway::state {
    state(
        gateway_settings given, gateway_ports implementations, http_client& connections, std::function<void()> stopped);

    std::string start();
    void drain();
    void configure(const std::shared_ptr<const serving::serving_configuration>& configuration);
    http_server_limits limits() const;
    serving::node_state self() const;
    bool isReady() const;

    void handleCaller(http_request request, std::shared_ptr<response_writer> caller);
    void submit(http_request request, caller_request decoded, const serving::route_rule& route,
        std::shared_ptr<response_writer> caller);
    void handleReady(const http_request& request, const std::shared_ptr<response_writer>& caller);
    void handleEntries(const http_request& request, const std::shared_ptr<response_writer>& caller);
    void handleAdmin(const http_request& request, const std::shared_ptr<response_writer>& caller);
    void refuse(const std::shared_ptr<response_writer>& caller, error_kind kind, std::string_view detail);

    void callerGone(request_id id);
    void execute(serving::command_list commands);
    void executeOne(const serving::command& command);
    void release(const serving::cache_handle& cache);

    void tick();
    void beat();
    void heard(peer_datagram message);
    void heardBeat(node_heartbeat message);
    void tellJobs();
    void registerSelf();
    void pullState();
    void pullFrom(const endpoint& peer);
    void checkDrain(instant now);
    void publishMetrics(instant now);
    void shareDuties(instant now);
    void logReadiness();
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
    peer_mesh peers;
    flow_services services;
    cache_watch caches;
    http_server callers;
    http_server ready;
    http_server entries;
    http_server admin;
    http_server metricsServer;
    std::unordered_map<request_id, std::shared_ptr<caller_flow>> flows;
    std::deque<serving::command> pending; // commands not carried out yet
    QTimer decisionTimer;
    QTimer beatTimer;
    QTimer registrationTimer;
    QTimer pullTimer;
    QTimer noteTimer;
    std::uint64_t incarnation = 0; // 0 until the store has given one
    std::size_t entryTurn = 0;
    std::size_t seedTurn = 0;
    instant drainingSince; // set by drain()
    instant nextMetrics;
    instant nextDuties;
    bool isDraining = false;
    bool isExecuting = false;
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
        out.peerLife = peerLife;
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

    http_response noRequest(error_kind kind, std::string_view detail)
    {
        return plainText(answerFor(kind).status, std::string(detail) + "\n");
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
    , view(
          { ports.records, ports.store, decisions, nodes, counters, log }, settings,
          [this](std::shared_ptr<const serving::serving_configuration> configuration) { configure(configuration); },
          [this](std::vector<keyed_record> changes) {
              peers.send(nodes.alive(boot_clock::now()), target_note { std::move(changes) });
          })
    , peers([this](peer_datagram message) { heard(std::move(message)); })
    , services { client, decisions, ports.callers, ports.targets, counters, log }
    , caches(client, ports.targets, decisions, counters, log)
    , callers(
          {},
          [this](http_request request, std::shared_ptr<response_writer> caller) {
              handleCaller(std::move(request), std::move(caller));
          },
          [this](error_kind kind, std::string_view detail) {
              return ports.callers.refusal(kind, detail, answerFor(kind).retryAfter);
          })
    , ready(
          {}, [this](http_request request, std::shared_ptr<response_writer> caller) { handleReady(request, caller); },
          noRequest)
    , entries(
          {}, [this](http_request request, std::shared_ptr<response_writer> caller) { handleEntries(request, caller); },
          noRequest)
    , admin(
          {}, [this](http_request request, std::shared_ptr<response_writer> caller) { handleAdmin(request, caller); },
          noRequest)
    , metricsServer(
          {},
          [this](http_request request, std::shared_ptr<response_writer> caller) {
              caller->sendWhole(request.path() == metricsPath ? plainText(200, counters.text()) : plainText(404));
          },
          noRequest)
{
    QObject::connect(&decisionTimer, &QTimer::timeout, [this] { tick(); });
    QObject::connect(&beatTimer, &QTimer::timeout, [this] { beat(); });
    QObject::connect(&pullTimer, &QTimer::timeout, [this] { pullState(); });
    noteTimer.setSingleShot(true);
    QObject::connect(&noteTimer, &QTimer::timeout, [this] { tellJobs(); });
    registrationTimer.setSingleShot(true);
    QObject::connect(&registrationTimer, &QTimer::timeout, [this] { registerSelf(); });
}

std::string gateway::state::start()
{
    callers.setLimits(limits());
    const std::pair<http_server*, const endpoint*> servers[] { { &callers, &settings.callers },
        { &ready, &settings.ready }, { &entries, &settings.entries }, { &admin, &settings.admin },
        { &metricsServer, &settings.metrics } };
    for (const auto& [server, place] : servers) {
        if (place->port != 0 && !server->listen(addressOf(*place), place->port))
            return toString(*place) + " cannot be listened on";
    }
    if (!peers.listen(settings.peers))
        return toString(settings.peers) + " cannot be listened on";
    log.write(log_event::node_started,
        { { "availability_zone", settings.availabilityZone }, { "callers", toString(settings.callers) } });
    view.start();
    registerSelf();
    decisionTimer.start(decisionInterval);
    beatTimer.start(heartbeatInterval);
    pullTimer.start(std::chrono::duration_cast<std::chrono::milliseconds>(pullInterval));
    return {};
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
    beat(); // peers learn of the version at once
}

bool gateway::state::isReady() const { return !isDraining && view.hasConfiguration() && view.hasTargets(); }

serving::node_state gateway::state::self() const
{
    serving::node_state out;
    out.vm = settings.vm;
    out.incarnation = incarnation;
    out.availabilityZone = settings.availabilityZone;
    out.address = settings.callers.address;
    out.callerPort = settings.callers.port;
    out.peerPort = settings.peers.port;
    out.adminPort = settings.admin.port;
    out.isReady = isReady();
    out.isStopping = isDraining;
    out.configurationVersion = view.hasConfiguration() ? view.configuration()->version() : 0;
    out.isStoreReachable = view.isStoreReachable();
    out.lastTargetChange = view.lastTargetChange();
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
                { "version", view.configuration()->version() } });
        return refuse(caller, error_kind::unknown_service, "no route for " + call.path);
    }
    submit(std::move(request), std::move(call), *route, std::move(caller));
}

void gateway::state::submit(http_request request, caller_request decoded, const serving::route_rule& route,
    std::shared_ptr<response_writer> caller)
{
    /// For callers that do not say how long they wait.
    constexpr duration usualPatience = 30s;
    serving::serving_request wanted;
    wanted.id = decoded.id;
    wanted.configuration = view.configuration();
    wanted.route = &route;
    wanted.service = serving::chooseService(route, decoded.id);
    wanted.patience = decoded.patience.value_or(usualPatience);
    wanted.text = decoded.text;
    serving::command_list commands;
    auto flow
        = std::make_shared<caller_flow>(services, std::move(request), std::move(decoded), route, std::move(caller));
    flow->taken(wanted.service, wanted.configuration->version());
    const request_id id = decisions.arrive(std::move(wanted), boot_clock::now(), commands);
    caller_flow::callbacks callbacks;
    callbacks.onAttemptEnded
        = [this, id](attempt_id attempt, serving::attempt_result result, const std::string& cacheName) {
              serving::command_list next;
              decisions.ended(id, attempt, result, cacheName, boot_clock::now(), next);
              execute(std::move(next));
          };
    callbacks.onCallerGone = [this, id] { callerGone(id); };
    callbacks.onFinished = [this, id] { flows.erase(id); };
    flows[id] = flow;
    flow->bind(id, std::move(callbacks));
    execute(std::move(commands));
}

void gateway::state::callerGone(request_id id)
{
    const auto found = flows.find(id);
    if (found == flows.end())
        return;
    const auto flow = found->second;
    counters.count("tamarack_callers_gone_total");
    // A call that may run only once and is at its target goes on there: breaking it off would leave half of its work
    // done, with nobody to ask again. Everything else stops, so that targets do not work for nobody.
    if (!flow->isRepeatable() && !flow->isStream() && flow->isAtTarget())
        return;
    serving::command_list commands;
    decisions.abandoned(id, boot_clock::now(), commands);
    execute(std::move(commands));
    flow->drop();
}

// Carrying out a command may yield further ones; they queue up here instead of recursing.
void gateway::state::execute(serving::command_list commands)
{
    pending.insert(pending.end(), std::make_move_iterator(commands.begin()), std::make_move_iterator(commands.end()));
    if (isExecuting)
        return;
    isExecuting = true;
    while (!pending.empty()) {
        const auto command = std::move(pending.front());
        pending.pop_front();
        executeOne(command);
    }
    isExecuting = false;
    // Told together with those of the next moment: a datagram for each small prompt would cost more than it tells.
    if (!noteTimer.isActive())
        noteTimer.start(notePause);
}

void gateway::state::executeOne(const serving::command& command)
{
    if (const auto* released = std::get_if<serving::release_cache>(&command))
        return release(released->cache);
    const auto flowOf = [this](request_id id) {
        const auto found = flows.find(id);
        return found == flows.end() ? nullptr : found->second; // its caller may have gone meanwhile
    };
    if (const auto* start = std::get_if<serving::start_attempt>(&command)) {
        if (const auto flow = flowOf(start->request); flow && decisions.isCurrent(start->request, start->attempt))
            flow->start(*start);
    } else if (const auto* stop = std::get_if<serving::stop_attempt>(&command)) {
        if (const auto flow = flowOf(stop->request))
            flow->stop(stop->attempt);
    } else if (const auto* refusal = std::get_if<serving::refuse_request>(&command)) {
        if (const auto flow = flowOf(refusal->request))
            flow->refuse(refusal->kind, refusal->retryAfter);
    } else if (const auto* passed = std::get_if<serving::pass_failure_on>(&command)) {
        if (const auto flow = flowOf(passed->request))
            flow->passFailureOn();
    }
}

// What goes wrong without it: the engine keeps a KV cache that nobody will take, and has less room for requests.
void gateway::state::release(const serving::cache_handle& cache)
{
    const auto& fleet = decisions.fleet();
    const auto request = ports.targets.releaseCache(cache.name, fleet.instance[cache.source.value]);
    exchange_options options;
    options.silenceTimeout = 1s;
    client.fetch(parseEndpoint(fleet.address[cache.source.value]), request, options,
        [this](const http_response* response, const exchange_failure& failure) {
            // The engine frees it by itself after some seconds; there is nothing more to do.
            if (!response)
                log.write(log_event::cache_not_released, { { "reason", failure.reason } });
        });
}

void gateway::state::handleReady(const http_request& request, const std::shared_ptr<response_writer>& caller)
{
    if (!ports.callers.isReadyQuestion(request))
        return caller->sendWhole(plainText(404));
    caller->sendWhole(plainText(isReady() ? 200 : 503));
}

void gateway::state::handleEntries(const http_request& request, const std::shared_ptr<response_writer>& caller)
{
    if (!ports.callers.decodeEntryQuestion(request))
        return caller->sendWhole(plainText(404));
    std::vector<serving::node_state> usable;
    if (isReady())
        usable.push_back(self());
    for (auto& node : nodes.alive(boot_clock::now())) {
        if (node.isReady && !node.isStopping)
            usable.push_back(std::move(node));
    }
    if (usable.empty())
        return caller->sendWhole(ports.callers.refusal(error_kind::not_ready, "no node is ready", 1s));
    const duration lifetime = std::min(entryLifetime, settings.longestEntryLifetime);
    caller->sendWhole(ports.callers.entries({ serving::entryAddresses(usable, mostEntries, entryTurn++), lifetime }));
}

void gateway::state::handleAdmin(const http_request& request, const std::shared_ptr<response_writer>& caller)
{
    if (request.path() == statePath)
        return caller->sendWhole({ 200, {}, encodeState(view.offered(self())) });
    if (request.path() == metricsPath)
        return caller->sendWhole(plainText(200, counters.text()));
    caller->sendWhole(plainText(404));
}

void gateway::state::tick()
{
    const auto now = boot_clock::now();
    view.tick(now);
    for (const auto& lost : nodes.tick(now))
        log.write(log_event::peer_lost, { { "peer", lost.vm }, { "silent_ms", milliseconds(lost.silence) } });
    for (const auto& change : decisions.takeHealthChanges())
        logHealth(change);
    decisions.setKnownNodes(nodes.knownCount());
    if (now >= nextDuties)
        shareDuties(now);
    serving::command_list commands;
    decisions.tick(now, commands);
    execute(std::move(commands));
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
    const auto me = self();
    const auto alive = nodes.alive(now);
    std::vector<serving::node_state> readers;
    std::copy_if(alive.begin(), alive.end(), std::back_inserter(readers), [&](const serving::node_state& node) {
        return node.availabilityZone == me.availabilityZone && node.isStoreReachable && !node.isStopping;
    });
    view.setReadsClosely(serving::isOnDuty("targets", me, readers, 1));
    caches.tick(me, alive, now);
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
    counters.set("tamarack_store_reachable", view.isStoreReachable() ? 1 : 0);
    counters.set("tamarack_target_list_age_seconds", seconds(now - view.targetsFreshAt()));
    counters.set("tamarack_log_lines_left_out", static_cast<double>(log.linesLeftOut()));
    counters.set("tamarack_peer_undecodable", static_cast<double>(peers.undecodable()));
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

void gateway::state::beat()
{
    const auto now = boot_clock::now();
    peers.send(nodes.recipients(now),
        node_heartbeat { self(), decisions.ownLoad(), decisions.ownJobs(now), caches.takeNews(mostCacheNews) });
    const int wanted = nodes.knownCount() * 1000 / heartbeatsPerSecond;
    const int interval = std::max(static_cast<int>(heartbeatInterval.count()), wanted);
    beatTimer.setInterval(interval);
    const duration untilAway = fromSeconds(heartbeatsUntilAway * interval / 1000.0);
    decisions.setPeerLife(std::max(peerLife, untilAway));
    nodes.setPeerTimeout(std::max(peerTimeout, untilAway));
}

void gateway::state::heard(peer_datagram message)
{
    if (auto* heartbeat = std::get_if<node_heartbeat>(&message))
        return heardBeat(std::move(*heartbeat));
    if (const auto* note = std::get_if<target_note>(&message))
        return view.targetsTold(note->changes);
    const auto& note = std::get<job_note>(message);
    decisions.peerSent(note.vm, note.jobs, false, boot_clock::now());
}

// What goes wrong without it: until the next heartbeat all nodes take the same engine for the one with the least work,
// and send it their prompts.
void gateway::state::tellJobs()
{
    const auto now = boot_clock::now();
    auto jobs = decisions.takeNewJobs(now);
    if (!jobs.empty())
        peers.send(nodes.alive(now), job_note { settings.vm, std::move(jobs) });
}

void gateway::state::heardBeat(node_heartbeat message)
{
    const auto now = boot_clock::now();
    if (!nodes.isAlive(message.sender.vm, now))
        log.write(
            log_event::peer_reached, { { "peer", message.sender.vm }, { "incarnation", message.sender.incarnation } });
    nodes.heard(message.sender, now);
    decisions.peerTold(message.sender.vm, std::move(message.load), now);
    decisions.peerSent(message.sender.vm, message.jobs, true, now);
    const auto known = view.hasConfiguration() ? view.configuration()->version() : 0;
    if (message.sender.configurationVersion > known)
        view.versionSeen(message.sender.configurationVersion);
    view.targetChangeSeen(message.sender.lastTargetChange);
    caches.told(message.caches);
}

void gateway::state::registerSelf()
{
    ports.store.append(store_topic::nodes, settings.vm, encodeNode(self()), [this](store_result<std::int64_t> result) {
        if (const auto* error = std::get_if<store_error>(&result)) {
            log.write(log_event::registration_failed, { { "reason", toString(*error) } });
            registrationTimer.start(std::chrono::duration_cast<std::chrono::milliseconds>(registrationPause));
            return;
        }
        incarnation = static_cast<std::uint64_t>(std::get<std::int64_t>(result)) + 1;
        log.write(log_event::registered, { { "incarnation", incarnation } });
        view.registered();
    });
}

// What goes wrong without it: a node that starts while the store is away refuses everything until the store is back,
// although its peers know all that it needs.
void gateway::state::pullState()
{
    const auto now = boot_clock::now();
    const auto known = view.hasConfiguration() ? view.configuration()->version() : 0;
    const bool lags = nodes.newestVersion(now) > known;
    if (view.hasConfiguration() && view.hasTargets() && !lags)
        return;
    for (const auto& node : nodes.alive(now)) {
        if (node.adminPort != 0 && node.configurationVersion > 0 && node.configurationVersion >= known)
            return pullFrom({ node.address, node.adminPort });
    }
    if (!settings.seeds.empty())
        pullFrom(settings.seeds[seedTurn++ % settings.seeds.size()]);
}

void gateway::state::pullFrom(const endpoint& peer)
{
    if (peer == settings.admin)
        return;
    exchange_options options;
    options.connectTimeout = pullTimeout;
    options.silenceTimeout = pullTimeout;
    options.keepConnection = false;
    client.fetch(peer, { "GET", std::string(statePath), {}, {} }, options,
        [this, peer](const http_response* response, const exchange_failure& failure) {
            const auto decoded = response ? decodeState(response->body) : std::nullopt;
            if (!decoded) {
                log.write(log_event::state_not_pulled, { { "peer", toString(peer) }, { "reason", failure.reason } });
                return;
            }
            log.write(log_event::state_pulled, { { "peer", toString(peer) }, { "targets", decoded->targets.size() } });
            view.take(*decoded);
        });
}

void gateway::state::drain()
{
    if (isDraining)
        return;
    isDraining = true;
    drainingSince = boot_clock::now();
    log.write(log_event::drain_started, { { "held", decisions.held() }, { "connections", callers.connectionCount() } });
    callers.beginDrain();
    beat(); // peers stop naming this node at once
}

// Callers that asked for addresses just before the drain come until they have asked anew; after that the process ends
// as soon as it holds no request, and in any case before the platform would end it.
void gateway::state::checkDrain(instant now)
{
    if (isStopped)
        return;
    const auto noneComesAfter = drainingSince + longestEntryKeeping * entryLifetime;
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
    m_state->settings.seeds = settings.seeds;
    m_state->settings.stopBound = settings.stopBound;
    m_state->settings.longestEntryLifetime = settings.longestEntryLifetime;
    m_state->callers.setLimits(m_state->limits());
    m_state->log.write(log_event::settings_reloaded);
}

void gateway::drain() { m_state->drain(); }

}
