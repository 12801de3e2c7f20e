// From a request to its commands, and back.
#include "flow_table.h"

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// For callers that do not say how long they wait.
    constexpr duration usualPatience = 30s;
    /// Of a call that frees a cache; the engine frees it by itself after some seconds.
    constexpr duration releaseTimeout = 1s;

}

flow_table::flow_table(flow_services& services, std::function<void()> onExecuted)
    : m_services(services)
    , m_onExecuted(std::move(onExecuted))
{
}

serving::serving_request flow_table::servingRequest(const routed_request& wanted) const
{
    serving::serving_request out;
    out.id = wanted.decoded.id;
    out.configuration = wanted.configuration;
    out.route = wanted.route;
    out.service = serving::chooseService(*wanted.route, wanted.decoded.id);
    out.callerTimeout = wanted.decoded.patience.value_or(usualPatience);
    out.text = wanted.decoded.text;
    return out;
}

caller_flow::callbacks flow_table::callbacksFor(request_id id)
{
    caller_flow::callbacks out;
    out.onAttemptEnded = [this, id](attempt_id attempt, serving::attempt_result result, const std::string& cacheName) {
        serving::command_list next;
        m_services.decisions.ended(id, attempt, result, cacheName, boot_clock::now(), next);
        execute(std::move(next));
    };
    out.onCallerGone = [this, id] { callerGone(id); };
    out.onFinished = [this, id] { m_flows.erase(id); };
    return out;
}

void flow_table::submit(routed_request wanted)
{
    auto request = servingRequest(wanted);
    auto flow = std::make_shared<caller_flow>(
        m_services, std::move(wanted.request), std::move(wanted.decoded), *wanted.route, std::move(wanted.caller));
    flow->taken(request);
    serving::command_list commands;
    const request_id id = m_services.decisions.arrive(std::move(request), boot_clock::now(), commands);
    m_flows[id] = flow;
    flow->bind(id, callbacksFor(id));
    execute(std::move(commands));
}

void flow_table::callerGone(request_id id)
{
    const auto flow = find(id);
    if (!flow)
        return;
    m_services.counters.count("tamarack_callers_gone_total");
    // A call that may run only once and is at its target goes on there: breaking it off would leave half of its work
    // done, with nobody to ask again. Everything else stops, so that targets do not work for nobody.
    if (!flow->isRepeatable() && !flow->isStream() && flow->isAtTarget())
        return;
    serving::command_list commands;
    m_services.decisions.abandoned(id, boot_clock::now(), commands);
    execute(std::move(commands));
    flow->drop();
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
        executeOne(command);
    }
    m_isExecuting = false;
    m_onExecuted();
}

std::shared_ptr<caller_flow> flow_table::find(request_id id) const
{
    const auto found = m_flows.find(id);
    return found == m_flows.end() ? nullptr : found->second;
}

void flow_table::executeOne(const serving::command& command)
{
    if (const auto* released = std::get_if<serving::release_cache>(&command))
        return release(released->cache);
    if (const auto* start = std::get_if<serving::start_attempt>(&command)) {
        const auto flow = find(start->request);
        if (flow && m_services.decisions.isCurrent(start->request, start->attempt))
            flow->start(*start);
    } else if (const auto* stop = std::get_if<serving::stop_attempt>(&command)) {
        if (const auto flow = find(stop->request))
            flow->stop(stop->attempt);
    } else if (const auto* refusal = std::get_if<serving::refuse_request>(&command)) {
        if (const auto flow = find(refusal->request))
            flow->refuse(refusal->kind, refusal->retryAfter);
    } else if (const auto* passed = std::get_if<serving::forward_failure>(&command)) {
        if (const auto flow = find(passed->request))
            flow->passFailureOn();
    }
}

// What goes wrong without it: the engine keeps a KV cache that nobody will take, and has less room for requests.
void flow_table::release(const serving::cache_handle& cache)
{
    const auto& fleet = m_services.decisions.fleet();
    const auto request = m_services.targets.releaseCache(cache.name, fleet.name[cache.source.value]);
    exchange_options options;
    options.silenceTimeout = releaseTimeout;
    m_services.client.fetch(parseEndpoint(fleet.address[cache.source.value]), request, options,
        [this](const http_response* response, const exchange_failure& failure) {
            if (!response)
                m_services.log.write(log_event::cache_not_released, { { "reason", failure.reason } });
        });
}

}
