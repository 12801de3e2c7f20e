// Connects the components of a node and executes the commands of the traffic decisions.
#include "node/node.h"

#include "admin_api.h"
#include "caller_api.h"
#include "control_plane.h"
#include "idempotency_handler.h"
#include "problem_answer.h"

#include "base/hash.h"

#include <algorithm>
#include <deque>
#include <sys/resource.h>
#include <unordered_map>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    constexpr auto trafficTickInterval = 20ms;
    constexpr auto silenceCheckInterval = 100ms;
    constexpr auto keepAliveTickInterval = 500ms;
    constexpr duration targetSilence = 5s;
    constexpr duration keyHomeTimeout = 3s;
    constexpr duration releaseTimeout = 3s;
    /// Share of the process's descriptors for accepted connections. The others are for targets, peers and files.
    constexpr double acceptedConnectionShare = 0.75;
    /// Share of the memory for clients that only small requests may use.
    constexpr double reservedMemoryShare = 0.1;
    constexpr double bytesPerMegabyte = 1'000'000;

    client_budget_limits budgetLimits(const node_settings& settings)
    {
        client_budget_limits out;
        const double bytes = settings.clientMemoryMegabytes * bytesPerMegabyte;
        out.reservedBytes = static_cast<std::uint64_t>(bytes * reservedMemoryShare);
        out.bytes = static_cast<std::uint64_t>(bytes) - out.reservedBytes;
        rlimit descriptors {};
        if (::getrlimit(RLIMIT_NOFILE, &descriptors) == 0)
            out.connections = static_cast<int>(
                std::min(static_cast<double>(descriptors.rlim_cur) * acceptedConnectionShare, double(out.connections)));
        return out;
    }

    logger_options loggerOptions(const node_settings& settings, const instance_id& instance)
    {
        logger_options out;
        out.lowest = parseLogLevel(settings.logLevel);
        out.vm = settings.vm;
        out.instance = toString(instance);
        return out;
    }

}

struct node::state {
    state(node_settings given, std::uint64_t incarnation, std::function<void()> stopped);

    std::string start();
    void drain();
    void submit(relay_input input, std::shared_ptr<response_writer> caller,
        std::function<void(const relay::outcome&)> onFinished);
    std::optional<error_kind> refusal() const;
    void execute(traffic_commands commands);
    void executeCommand(const traffic_command& command);
    void tickTraffic();
    void tickSlow();
    void checkSilence();
    /// Ends the drain once no caller of this node waits for anything.
    void checkDrain(instant now);
    void handleCallerGone(request_id id);
    void logDiscarded(const discarded_input& input);
    void logLetGo(pressure kind, std::size_t bytes);
    bool mayAccept(instant now) const;

    node_settings settings;
    instance_id instance;
    std::function<void()> onStopped;
    metrics counters;
    logger log;
    span_writer spans;
    span_id_source spanIds;
    http_client client;
    traffic_system traffic;
    control_plane control;
    key_registry keys;
    idempotency_handler idempotency;
    relay_services services;
    caller_api api;
    std::shared_ptr<client_budget> budget;
    http_server server;
    admin_api admin;
    std::unordered_map<request_id, std::shared_ptr<relay>> relays;
    std::deque<traffic_command> pending; // commands that have not been executed yet
    bool isExecuting = false;
    QTimer trafficTimer;
    QTimer silenceTimer;
    QTimer slowTimer;
    instant drainingSince; // set by drain()
    bool isDraining = false;
    bool isClosing = false; // no connection is accepted any more, and those without a request are closed
    bool isStopped = false;
};

node::state::state(node_settings given, std::uint64_t incarnation, std::function<void()> stopped)
    : settings(std::move(given))
    , instance { settings.vm, incarnation }
    , onStopped(std::move(stopped))
    , log(loggerOptions(settings, instance))
    , spans(settings.spanFile, "tamarackrelay " + settings.vm)
    , spanIds(stableHash(toString(instance), static_cast<std::uint64_t>(wallNanoseconds())))
    , traffic(settings.vm, settings.availabilityZone, stableHash(toString(instance)))
    , control(
          settings, instance, client, traffic, counters, log,
          [this](std::shared_ptr<const deployment> config) {
              traffic_commands commands;
              traffic.configure(std::move(config), boot_clock::now(), commands);
              execute(std::move(commands));
          },
          [this](const std::vector<quarantine_record>& records) {
              traffic_commands commands;
              traffic.applyQuarantine(records, boot_clock::now(), commands);
              execute(std::move(commands));
          })
    , keys(instance, settings.keyMemory)
    , idempotency(keys, control.peers(), control.decisions().members(), counters, keyHomeTimeout)
    , services { client, traffic, counters, log, spans, spanIds, targetSilence }
    , api(
          settings, control.decisions(), traffic, idempotency, counters,
          [this](relay_input input, std::shared_ptr<response_writer> caller,
              std::function<void(const relay::outcome&)> onFinished) {
              submit(std::move(input), std::move(caller), std::move(onFinished));
          },
          [this] { return refusal(); })
    , budget(std::make_shared<client_budget>(budgetLimits(settings)))
    , server(
          {},
          [this](http_request request, std::shared_ptr<response_writer> caller) {
              api.handle(std::move(request), std::move(caller));
          },
          [this](error_kind kind, std::string_view detail) { return api.refusal(kind, detail); },
          [this](const discarded_input& input) { logDiscarded(input); }, {}, budget)
    , admin(settings, control, traffic, counters, budget, [this] { drain(); })
{
    budget->onLetGo = [this](pressure kind, std::size_t bytes) { logLetGo(kind, bytes); };
    control.setKeyHandler([this](const peer_request& request, peer_transport::reply_sender reply) {
        idempotency.onPeerRequest(request, std::move(reply));
    });
    QObject::connect(&trafficTimer, &QTimer::timeout, [this] { tickTraffic(); });
    QObject::connect(&silenceTimer, &QTimer::timeout, [this] { checkSilence(); });
    QObject::connect(&slowTimer, &QTimer::timeout, [this] { tickSlow(); });
}

std::string node::state::start()
{
    const QHostAddress address(QString::fromStdString(settings.address));
    if (!server.listen(address, static_cast<quint16>(settings.callerPort)))
        return "caller_port " + std::to_string(settings.callerPort) + " cannot be listened on";
    if (!admin.listen())
        return "admin_port " + std::to_string(settings.adminPort) + " cannot be listened on";
    if (!control.start())
        return "peer_port " + std::to_string(settings.peerPort) + " cannot be listened on";
    trafficTimer.start(trafficTickInterval);
    silenceTimer.start(silenceCheckInterval);
    slowTimer.start(keepAliveTickInterval);
    log.write(log_event::node_started,
        { { "availability_zone", settings.availabilityZone }, { "address", settings.address },
            { "caller_port", settings.callerPort } });
    return {};
}

void node::state::drain()
{
    if (isDraining)
        return;
    isDraining = true;
    drainingSince = boot_clock::now();
    control.stop();
    server.beginDrain();
    log.write(log_event::drain_started, { { "held", traffic.held() }, { "connections", server.connectionCount() } });
}

// A caller that received this address just before the drain may use it until its lifetime has passed.
bool node::state::mayAccept(instant now) const
{
    if (isDraining)
        return now < drainingSince + 2 * settings.entryLifetime && control.decisions().servedVersion() > 0;
    return control.decisions().ready().acceptsWork(now);
}

std::optional<error_kind> node::state::refusal() const
{
    if (!mayAccept(boot_clock::now()))
        return isDraining ? error_kind::stopping : error_kind::not_ready;
    if (traffic.held() >= static_cast<std::size_t>(settings.maxRequests))
        return error_kind::overloaded;
    return std::nullopt;
}

void node::state::submit(
    relay_input input, std::shared_ptr<response_writer> caller, std::function<void(const relay::outcome&)> onFinished)
{
    traffic_commands commands;
    input.shape.deadline = traffic.deadlineOf(input.shape);
    const request_id id = traffic.admit(input.shape, boot_clock::now(), commands);
    auto item = std::make_shared<relay>(services, std::move(input), std::move(caller));
    relay::callbacks callbacks;
    callbacks.onAttemptEnded = [this, id](attempt_id attempt, attempt_result result) {
        traffic_commands next;
        traffic.attemptEnded(id, attempt, result, boot_clock::now(), next);
        execute(std::move(next));
    };
    callbacks.onCallerGone = [this, id] { handleCallerGone(id); };
    callbacks.onFinished = [this, id, onFinished = std::move(onFinished)](const relay::outcome& outcome) {
        const auto heldRelay = std::move(relays[id]); // keeps the relay alive until this call returns
        relays.erase(id);
        const auto name = outcome.answer ? "answered" : std::string(answerFor(outcome.error).type);
        counters.count("tamarack_requests_total", { { "outcome", name } });
        if (!outcome.answer)
            counters.count("tamarack_refused_total", { { "kind", name } });
        if (onFinished)
            onFinished(outcome);
    };
    relays[id] = item;
    item->bind(id, std::move(callbacks));
    execute(std::move(commands));
}

void node::state::handleCallerGone(request_id id)
{
    const auto found = relays.find(id);
    if (found == relays.end())
        return;
    counters.count("tamarack_callers_gone_total");
    // A non-idempotent request continues without its caller, so that its outcome is known when the caller retries.
    if (!found->second->shape().isIdempotent)
        return found->second->detachCaller();
    const auto heldRelay = std::move(found->second);
    relays.erase(found);
    traffic_commands commands;
    traffic.callerDisconnected(id, boot_clock::now(), commands);
    execute(std::move(commands));
}

void node::state::logDiscarded(const discarded_input& input)
{
    const auto reason = std::string(toString(input.reason));
    const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(input.delay);
    counters.count("tamarack_input_discarded_total", { { "reason", reason } });
    log.write(log_event::input_discarded,
        { { "reason", reason }, { "bytes", static_cast<std::int64_t>(input.bytes) }, { "delay_ms", delay.count() } });
}

void node::state::logLetGo(pressure kind, std::size_t bytes)
{
    counters.count("tamarack_client_pressure_total", { { "kind", std::string(toString(kind)) } });
    log.write(log_event::client_pressure,
        { { "kind", toString(kind) }, { "bytes", static_cast<std::int64_t>(bytes) },
            { "all_bytes", static_cast<std::int64_t>(budget->held()) }, { "connections", budget->connections() } });
}

// Executing a command may produce further commands. They are queued here, which avoids recursion.
void node::state::execute(traffic_commands commands)
{
    pending.insert(pending.end(), commands.begin(), commands.end());
    if (isExecuting)
        return;
    isExecuting = true;
    while (!pending.empty()) {
        const traffic_command command = pending.front();
        pending.pop_front();
        executeCommand(command);
    }
    isExecuting = false;
}

void node::state::executeCommand(const traffic_command& command)
{
    const auto id = std::visit([](const auto& c) { return c.request; }, command);
    const auto found = relays.find(id);
    if (found == relays.end())
        return; // the caller has disconnected in the meantime
    const auto item = found->second;
    if (const auto* start = std::get_if<start_attempt>(&command)) {
        if (traffic.isCurrent(id, start->attempt))
            item->start(*start);
        return;
    }
    const auto& refusal = std::get<refuse_request>(command);
    item->fail(refusal.kind, refusal.retryAfter);
}

void node::state::tickTraffic()
{
    traffic_commands commands;
    traffic.tick(boot_clock::now(), commands);
    execute(std::move(commands));
}

void node::state::tickSlow()
{
    const auto now = boot_clock::now();
    idempotency.tick(now);
    for (const auto& [id, item] : relays)
        item->keepAlive(now);
    checkDrain(now);
}

void node::state::checkSilence()
{
    const auto now = boot_clock::now();
    std::vector<std::shared_ptr<relay>> silent; // a stopped attempt may end its request, which removes the relay
    for (const auto& [id, item] : relays) {
        if (item->isSilent(now))
            silent.push_back(item);
    }
    for (const auto& item : silent)
        item->checkSilence(now);
}

void node::state::checkDrain(instant now)
{
    if (!isDraining || isStopped || mayAccept(now))
        return;
    const bool isOverdue = now >= drainingSince + settings.drainTimeout;
    const bool hasReleased
        = control.decisions().hasReleased(now) || now >= drainingSince + 2 * settings.entryLifetime + releaseTimeout;
    isClosing |= isOverdue || (traffic.held() == 0 && hasReleased);
    if (!isClosing)
        return;
    server.stopListening();
    // Repeated, because a connection whose answer began before the drain waits for another request after it.
    server.closeIdle();
    const bool isAwaited = traffic.held() > 0 || server.connectionCount() > 0;
    if (isAwaited && !isOverdue)
        return;
    isStopped = true;
    log.write(log_event::drain_finished, { { "held", traffic.held() }, { "connections", server.connectionCount() } });
    onStopped();
}

node::node(node_settings settings, std::uint64_t incarnation, std::function<void()> onStopped)
    : m_state(std::make_unique<state>(std::move(settings), incarnation, std::move(onStopped)))
{
}

node::~node() = default;

std::string node::start() { return m_state->start(); }

void node::drain() { m_state->drain(); }

}
