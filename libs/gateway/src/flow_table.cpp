// Passes requests to the dispatcher and executes the commands that it returns.
#include "flow_table.h"

#include <QTimer>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// Time limit of a request whose caller sends no deadline.
    constexpr duration defaultTimeLeft = 30s;
    /// Timeout of a call that releases a KV cache; if the call fails, the engine releases the cache without a call
    /// after some seconds.
    constexpr duration releaseTimeout = 1s;
    /// A release that would have to wait for longer comes after the engine has freed the KV cache itself.
    constexpr duration maxReleaseDelay = 5s;
    /// Interval at which a release looks for a permit of an engine that names a limit.
    constexpr auto permitCheckInterval = 50ms;

}

flow_table::flow_table(flow_services& services, std::function<void()> onExecuted)
    : m_services(services)
    , m_calls(services.client, services.decisions)
    , m_onExecuted(std::move(onExecuted))
{
}

serving::serving_request flow_table::servingRequest(const routed_request& routed) const
{
    serving::serving_request out;
    out.id = routed.decoded.id;
    const auto& account = routed.account ? routed.account->name : routed.decoded.host;
    out.digest = digestOf(account, routed.request.method, routed.request.target, routed.request.body);
    out.configuration = routed.configuration;
    out.route = routed.route;
    out.service = serving::chooseService(*routed.route, routed.decoded.id);
    out.priority = routed.route->priority;
    if (routed.account) {
        out.account = routed.account->name;
        out.priority = routed.account->priority.value_or(out.priority);
    }
    out.callerTimeout = routed.decoded.timeLeft.value_or(defaultTimeLeft);
    out.text = routed.decoded.text;
    out.takesUpStream = routed.route->isStream && !routed.decoded.lastEventId.empty();
    if (out.takesUpStream)
        out.firstCallId = routed.decoded.firstCallId;
    return out;
}

caller_flow::callbacks flow_table::callbacksFor(request_id id)
{
    caller_flow::callbacks out;
    out.onAttemptEnded = [this, id](attempt_id attempt, serving::attempt_result result, const std::string& cacheName) {
        serving::command_list next;
        m_services.decisions.attemptEnded(id, attempt, result, cacheName, boot_clock::now(), next);
        execute(std::move(next));
    };
    out.onCallerGone = [this, id] { handleCallerGone(id); };
    out.onFinished = [this, id] { m_flows.erase(id); };
    return out;
}

void flow_table::submit(routed_request routed)
{
    auto request = servingRequest(routed);
    auto flow = std::make_shared<caller_flow>(m_services, std::move(routed.request), std::move(routed.decoded),
        *routed.route, request.account, std::move(routed.caller));
    flow->logAccepted(request);
    serving::command_list commands;
    const request_id id = m_services.decisions.submit(std::move(request), boot_clock::now(), commands);
    m_flows[id] = flow;
    flow->bind(id, callbacksFor(id));
    execute(std::move(commands));
}

void flow_table::handleCallerGone(request_id id)
{
    const auto flow = find(id);
    if (!flow)
        return;
    m_services.counters.count("tamarack_callers_gone_total");
    // A non-idempotent request that has reached its target continues there: cancelling it would leave its work half
    // done, with no caller left to retry. Everything else is cancelled, so that targets do not work for callers that
    // have disconnected.
    if (!flow->isRepeatable() && !flow->isStream() && flow->hasActiveAttempt())
        return;
    serving::command_list commands;
    m_services.decisions.callerDisconnected(id, boot_clock::now(), commands);
    execute(std::move(commands));
    flow->abandon();
}

void flow_table::execute(serving::command_list commands)
{
    m_pending.insert(
        m_pending.end(), std::make_move_iterator(commands.begin()), std::make_move_iterator(commands.end()));
    if (m_isExecuting)
        return;
    m_isExecuting = true;
    while (!m_pending.empty()) {
        const auto command = std::move(m_pending.front());
        m_pending.pop_front();
        executeCommand(command);
    }
    m_isExecuting = false;
    m_onExecuted();
}

void flow_table::logHeldAtExit() const
{
    for (const auto& [id, flow] : m_flows)
        flow->logHeldAtExit();
}

std::shared_ptr<caller_flow> flow_table::find(request_id id) const
{
    const auto found = m_flows.find(id);
    return found == m_flows.end() ? nullptr : found->second;
}

void flow_table::executeCommand(const serving::command& command)
{
    if (const auto* released = std::get_if<serving::release_cache>(&command))
        return release(released->cache, m_services.decisions.fleet().instance[released->cache.source.value],
            boot_clock::now() + maxReleaseDelay);
    if (const auto* start = std::get_if<serving::start_attempt>(&command)) {
        const auto flow = find(start->request);
        if (!flow || !m_services.decisions.isCurrent(start->request, start->attempt))
            return;
        serving::command_list next;
        if (m_services.decisions.takeBackIfLeaving(start->request, start->attempt, boot_clock::now(), next))
            return execute(std::move(next));
        flow->start(*start);
    } else if (const auto* stop = std::get_if<serving::stop_attempt>(&command)) {
        if (const auto flow = find(stop->request))
            flow->stop(stop->attempt, stop->reason);
    } else if (const auto* refusal = std::get_if<serving::refuse_request>(&command)) {
        if (const auto flow = find(refusal->request))
            flow->refuse(*refusal);
    } else if (const auto* passed = std::get_if<serving::forward_failure>(&command)) {
        if (const auto flow = find(passed->request))
            flow->forwardFailure();
    } else if (const auto* origin = std::get_if<serving::report_origin>(&command)) {
        if (const auto flow = find(origin->finding.request))
            flow->logOrigin(origin->finding);
    }
}

// Without this call the engine would hold a KV cache that no decode stage fetches, leaving it less capacity for
// requests.
void flow_table::release(const serving::cache_handle& cache, const std::string& instance, instant giveUpAt)
{
    const auto now = boot_clock::now();
    const auto& fleet = m_services.decisions.fleet();
    if (fleet.instance[cache.source.value] != instance)
        return; // the row belongs to another engine now
    const auto repeatAfter = [&](duration delay) {
        QTimer::singleShot(std::chrono::ceil<std::chrono::milliseconds>(delay), &m_timers,
            [this, cache, instance, giveUpAt] { release(cache, instance, giveUpAt); });
    };
    const auto restUntil = fleet.restUntil[cache.source.value];
    if (restUntil > giveUpAt)
        return m_services.log.write(log_event::cache_not_released, { { "reason", "the engine rests" } });
    if (restUntil > now)
        return repeatAfter(restUntil - now);
    if (!m_services.decisions.takePermit(cache.source, now)) {
        if (now + permitCheckInterval > giveUpAt)
            return m_services.log.write(log_event::cache_not_released, { { "reason", "the engine names a limit" } });
        return repeatAfter(permitCheckInterval);
    }
    const auto request = m_services.targets.releaseCache(cache.name, fleet.name[cache.source.value]);
    exchange_options options;
    options.silenceTimeout = releaseTimeout;
    options.limits.collectedBytes = maxShortBodyBytes;
    m_calls.fetch(cache.source, request, options,
        [this, instance, now](const http_response* response, const exchange_failure& failure) {
            if (response)
                m_services.notices.received(instance, *response, { "cache_release", now });
            else
                m_services.log.write(log_event::cache_not_released, { { "reason", failure.reason } });
        });
}

}
