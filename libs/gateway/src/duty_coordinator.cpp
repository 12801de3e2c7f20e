// Implements the statements and the calls of the duties' holder.
#include "duty_coordinator.h"

#include "serving/duty_assignment.h"

#include <algorithm>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// Time limit of a call to the platform, from connect to response. The connection is reset afterwards, so that no
    /// bytes of the call arrive later.
    constexpr duration connectLimit = 300ms;
    constexpr duration answerLimit = 700ms;
    constexpr duration callLimit = connectLimit + answerLimit;
    /// Time limit for a page of the topic, which is short.
    constexpr duration pageLimit = 700ms;
    constexpr duration storeRetryPause = 300ms;
    constexpr duration callRetryPause = 300ms;
    /// While no instances are to be had, the platform is asked again after this pause.
    constexpr duration unavailablePause = 1500ms;
    /// An accepted order is repeated after this time if the instances are not listed; they need some seconds to start.
    constexpr duration orderRepeatPause = 6s;
    /// Peers send their last counts of a window within this time after its end.
    constexpr std::int64_t reportDelayMilliseconds = 300;
    /// Share of the permitted lateness for which a report waits for nodes that have not reported. The rest is for a
    /// change of the holder.
    constexpr double stragglerShare = 0.45;
    /// A report is given up so long before it would be late.
    constexpr std::int64_t lastCallMilliseconds = 200;
    /// Of older windows the store may not keep the statement any more.
    constexpr std::int64_t maxDueWindows = keptUsageStatements - 2;

    exchange_options callOptions()
    {
        exchange_options options;
        options.connectTimeout = connectLimit;
        options.silenceTimeout = answerLimit;
        options.freshConnection = true;
        options.keepConnection = false;
        options.limits.collectedBytes = maxShortBodyBytes;
        return options;
    }

    serving::order_lease_settings leaseSettings(const gateway_settings& settings)
    {
        serving::order_lease_settings out;
        out.length = settings.orderHandoverInterval;
        out.orderSpacing = duration::zero(); // a node that has lost the lease gets it back only after its full length
        return out;
    }

    std::int64_t milliseconds(duration d) { return std::chrono::duration_cast<std::chrono::milliseconds>(d).count(); }

    std::uint64_t sumOf(const usage_statement& usage)
    {
        std::uint64_t out = 0;
        for (const auto& [account, requests] : usage.counts)
            out += requests;
        return out;
    }

    std::string_view toString(duty_answer answer)
    {
        switch (answer) {
        case duty_answer::accepted:
            return "accepted";
        case duty_answer::unavailable:
            return "unavailable";
        case duty_answer::refused:
            return "refused";
        }
        return "unknown";
    }

}

duty_coordinator::duty_coordinator(dependencies parts, const gateway_settings& settings, std::int64_t process)
    : m_parts(std::move(parts))
    , m_vm(settings.vm)
    , m_platform(settings.platformCalls)
    , m_reportsUsage(settings.reportsUsage)
    , m_ordersInstances(settings.ordersInstances)
    , m_usageLateness(settings.usageLateness)
    , m_log(settings.vm, process, leaseSettings(settings))
    , m_plan(m_parts.decisions.fleet())
{
}

bool duty_coordinator::isHolder(const serving::node_state& self, const std::vector<serving::node_state>& alive) const
{
    if (m_platform.port == 0 || (!m_reportsUsage && !m_ordersInstances))
        return false;
    const auto nodes = serving::platformDutyNodes(self, alive, 1);
    return !nodes.empty() && nodes.front().vm == self.vm;
}

void duty_coordinator::tick(const serving::node_state& self, const std::vector<serving::node_state>& alive,
    const serving::serving_configuration* configuration, instant now)
{
    if (!isHolder(self, alive) || !configuration)
        return;
    if (m_reportsUsage)
        logMissedWindows();
    if (m_isStoreCallPending || now < m_nextStoreCallAt)
        return makeCalls(now);
    if (m_log.mustRead())
        return read();
    if (m_ordersInstances)
        updatePlan(*configuration, now);
    makeCalls(now);
    if (auto statement = nextStatement(alive, now))
        append(std::move(*statement), now);
}

void duty_coordinator::updatePlan(const serving::serving_configuration& configuration, instant now)
{
    const auto* stated = m_log.instances();
    auto orders = m_plan.decide(configuration, stated ? stated->orders : std::vector<instance_order> {}, now);
    m_wanted.reset();
    if (!orders.empty())
        m_wanted = instance_statement { std::move(orders) };
}

void duty_coordinator::read()
{
    m_isStoreCallPending = true;
    m_parts.store.newest(
        store_topic::duties, m_lastKey, pageLimit, [this](const store_result<newest_page>& result) { onPage(result); });
}

void duty_coordinator::onPage(const store_result<newest_page>& result)
{
    const auto now = boot_clock::now();
    m_isStoreCallPending = false;
    if (std::holds_alternative<store_error>(result)) {
        m_nextStoreCallAt = now + storeRetryPause;
        return m_parts.onStoreCallFailed();
    }
    const auto& page = std::get<newest_page>(result);
    if (m_end < 0)
        m_end = page.end;
    for (const auto& record : page.records)
        m_pages.push_back({ record.offset, record.value.value_or(std::string()) });
    if (page.hasMore && !page.records.empty()) {
        m_lastKey = page.records.back().key;
        return read();
    }
    m_log.readCompleted(m_pages, m_end, now);
    m_pages.clear();
    m_lastKey.clear();
    m_end = -1;
    resetOrderCalls();
}

std::vector<std::int64_t> duty_coordinator::dueWindows() const
{
    std::vector<std::int64_t> out;
    const auto& windows = m_parts.usage.windows();
    const auto wall = wallMilliseconds();
    const auto current = windows.at(wall);
    for (auto window = current - maxDueWindows; window < current; ++window) {
        const auto end = windows.endOf(window);
        const bool isDue = wall >= end + reportDelayMilliseconds
            && wall < end + milliseconds(m_usageLateness) - lastCallMilliseconds;
        if (isDue && !m_reported.contains(window))
            out.push_back(window);
    }
    return out;
}

void duty_coordinator::logMissedWindows()
{
    const auto& windows = m_parts.usage.windows();
    const auto late = wallMilliseconds() - milliseconds(m_usageLateness);
    const auto window = windows.at(late) - 1; // the newest one that ended before `late`
    if (m_lastMissed >= window)
        return;
    const bool isFirst = m_lastMissed == 0;
    m_lastMissed = window;
    const bool isReported = m_reported.contains(window);
    std::erase_if(m_reported, [&](auto item) { return item < window; });
    if (isFirst || isReported)
        return;
    m_parts.counters.count("tamarack_usage_windows_total", { { "result", "missed" } });
    m_parts.log.write(log_event::usage_missed, { { "window", window }, { "late_ms", late - windows.endOf(window) } });
}

std::optional<duty_statement> duty_coordinator::nextUsage(const std::vector<serving::node_state>& alive, instant now)
{
    const auto& windows = m_parts.usage.windows();
    const auto straggling
        = static_cast<std::int64_t>(stragglerShare * static_cast<double>(milliseconds(m_usageLateness)));
    for (const auto window : dueWindows()) {
        if (const auto* stated = m_log.usageOf(window)) {
            if (m_log.holdsFor(callLimit, now))
                continue; // makeCalls() reports it
            return *stated;
        }
        auto usage = m_parts.usage.usageOf(window, alive);
        if (usage && (usage->isComplete || wallMilliseconds() >= windows.endOf(window) + straggling))
            return std::move(usage->statement);
    }
    return std::nullopt;
}

bool duty_coordinator::hasOrdersToMake(instant now) const
{
    return std::any_of(m_orderCalls.begin(), m_orderCalls.end(),
        [now](const auto& call) { return !call.isAccepted && now >= call.notBefore; });
}

std::optional<duty_statement> duty_coordinator::nextStatement(
    const std::vector<serving::node_state>& alive, instant now)
{
    if (!m_log.appendAt(now))
        return std::nullopt;
    if (m_reportsUsage) {
        if (auto usage = nextUsage(alive, now))
            return usage;
    }
    const auto* stated = m_log.instances();
    if (m_wanted && (!stated || *stated != *m_wanted))
        return *m_wanted;
    if (stated && hasOrdersToMake(now) && !m_log.holdsFor(callLimit, now))
        return *stated;
    return std::nullopt;
}

void duty_coordinator::append(duty_statement statement, instant now)
{
    const auto at = *m_log.appendAt(now);
    const auto key = dutyKey(statement);
    const auto record = m_log.appendSent(std::move(statement), now);
    m_isStoreCallPending = true;
    m_parts.store.appendAt(store_topic::duties, at, key, encodeDutyRecord(record),
        [this, key](const store_result<placed_append>& result) { onAppended(key, result); });
}

void duty_coordinator::onAppended(const std::string& key, const store_result<placed_append>& result)
{
    const auto now = boot_clock::now();
    m_isStoreCallPending = false;
    if (const auto* error = std::get_if<store_error>(&result)) {
        m_parts.log.write(log_event::store_lost, { { "topic", "duties" }, { "reason", toString(*error) } });
        m_log.appendFailed(now);
        return m_parts.onStoreCallFailed();
    }
    const auto& placed = std::get<placed_append>(result);
    if (!placed.isAppended)
        return m_log.appendRejected();
    m_log.appended(placed.offset);
    m_parts.log.write(log_event::duty_stated, { { "key", key }, { "fence", m_log.fencingNumber() } });
    resetOrderCalls();
    makeCalls(now);
}

// Keeps what is known of the orders that have not changed.
void duty_coordinator::resetOrderCalls()
{
    std::vector<order_call> calls;
    if (const auto* stated = m_log.instances()) {
        for (const auto& order : stated->orders) {
            if (order.isObserved)
                continue;
            const auto* known = findCall(order);
            calls.push_back(known ? *known : order_call { order, false, {} });
        }
    }
    m_orderCalls = std::move(calls);
}

duty_coordinator::order_call* duty_coordinator::findCall(const instance_order& order)
{
    const auto found
        = std::find_if(m_orderCalls.begin(), m_orderCalls.end(), [&](const auto& call) { return call.order == order; });
    return found == m_orderCalls.end() ? nullptr : &*found;
}

void duty_coordinator::makeCalls(instant now)
{
    if (!m_log.holdsFor(callLimit, now))
        return;
    if (m_reportsUsage && !m_isUsageCallPending && now >= m_nextUsageCallAt) {
        for (const auto window : dueWindows()) {
            if (const auto* stated = m_log.usageOf(window)) {
                reportUsage(*stated);
                break;
            }
        }
    }
    if (!m_ordersInstances || m_isOrderCallPending || !m_log.instances())
        return;
    for (auto& call : m_orderCalls) {
        const bool mustRepeat = call.isAccepted && m_plan.isShort(call.order, m_log.instances()->orders);
        if (now >= call.notBefore && (!call.isAccepted || mustRepeat))
            return orderInstances(call, now);
    }
}

void duty_coordinator::reportUsage(const usage_statement& usage)
{
    m_isUsageCallPending = true;
    m_parts.log.write(log_event::duty_call_sent,
        { { "call", "usage" }, { "window", usage.window }, { "accounts", usage.counts.size() },
            { "requests", sumOf(usage) }, { "fence", m_log.fencingNumber() } });
    m_parts.client.fetch(m_platform, m_parts.protocol.reportUsage({ m_vm, m_log.fencingNumber() }, usage),
        callOptions(), [this, window = usage.window](const http_response* response, const exchange_failure& failure) {
            onUsageAnswer(window, response, failure);
        });
}

void duty_coordinator::onUsageAnswer(
    std::int64_t window, const http_response* response, const exchange_failure& failure)
{
    const auto now = boot_clock::now();
    m_isUsageCallPending = false;
    if (!response) {
        m_nextUsageCallAt = now + callRetryPause;
        return m_parts.log.write(log_event::duty_call_unanswered,
            { { "call", "usage" }, { "window", window }, { "may_have_reached", failure.mayHaveReachedPeer },
                { "reason", failure.reason } });
    }
    const auto answer = m_parts.protocol.decodeAnswer(response->status);
    m_parts.log.write(log_event::duty_call_answered,
        { { "call", "usage" }, { "window", window }, { "status", response->status }, { "result", toString(answer) } });
    if (answer != duty_answer::accepted) {
        m_nextUsageCallAt = now + callRetryPause;
        return;
    }
    m_reported.insert(window);
    m_parts.counters.count("tamarack_usage_windows_total", { { "result", "reported" } });
    makeCalls(now);
}

void duty_coordinator::orderInstances(order_call& call, instant now)
{
    m_isOrderCallPending = true;
    call.notBefore = now + orderRepeatPause;
    const auto order = call.order;
    m_parts.log.write(log_event::duty_call_sent,
        { { "call", "instances" }, { "service", order.service }, { "zone", order.availabilityZone },
            { "spot", order.isSpot }, { "desired", order.desired }, { "fence", m_log.fencingNumber() } });
    m_parts.client.fetch(m_platform, m_parts.protocol.orderInstances({ m_vm, m_log.fencingNumber() }, order),
        callOptions(), [this, order](const http_response* response, const exchange_failure& failure) {
            onOrderAnswer(order, response, failure);
        });
}

void duty_coordinator::onOrderAnswer(
    const instance_order& order, const http_response* response, const exchange_failure& failure)
{
    const auto now = boot_clock::now();
    m_isOrderCallPending = false;
    auto* call = findCall(order);
    const auto answer = response ? m_parts.protocol.decodeAnswer(response->status) : duty_answer::refused;
    if (call) {
        call->isAccepted = answer == duty_answer::accepted;
        if (answer != duty_answer::accepted)
            call->notBefore = now + (answer == duty_answer::unavailable ? unavailablePause : callRetryPause);
    }
    if (!response)
        return m_parts.log.write(log_event::duty_call_unanswered,
            { { "call", "instances" }, { "service", order.service }, { "zone", order.availabilityZone },
                { "spot", order.isSpot }, { "desired", order.desired },
                { "may_have_reached", failure.mayHaveReachedPeer }, { "reason", failure.reason } });
    m_parts.counters.count("tamarack_instance_orders_total", { { "result", std::string(toString(answer)) } });
    m_parts.log.write(log_event::duty_call_answered,
        { { "call", "instances" }, { "service", order.service }, { "zone", order.availabilityZone },
            { "spot", order.isSpot }, { "desired", order.desired }, { "status", response->status },
            { "result", toString(answer) } });
    makeCalls(now);
}

}
