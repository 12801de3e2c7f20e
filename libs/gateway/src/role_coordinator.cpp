// Implements the steps of a role change.
#include "role_coordinator.h"

#include "base/hash.h"

#include <algorithm>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;
    using serving::target_role;

    /// Time until every peer is notified and the requests that it sent before have arrived: a datagram takes some 3 ms,
    /// a request written over a narrow link some 20 ms.
    constexpr duration notificationTime = 150ms;
    /// Time limit of a call to an engine, from connect to response. The connection is reset afterwards, so that no
    /// bytes of the call reach the engine later.
    constexpr duration callTimeout = 400ms;
    /// Nodes send no requests to an engine for this long after a heartbeat has listed it as changing its role. In a
    /// large fleet this is long enough that the engine stays excluded if two successive heartbeats are lost.
    constexpr duration exclusionTime = 2s;
    /// Interval at which the role split is evaluated. A shorter one would not help, since roles are changed only after
    /// the split has deviated from the demand for 1.5 s.
    constexpr duration checkInterval = 250ms;
    /// After this time the engine is used again, whatever its role in the target list.
    constexpr duration changeTimeout = 8s;

    constexpr std::string_view dutyKey = "roles";
    constexpr std::string_view restReason = "the engine rests";
    constexpr std::string_view limitReason = "the engine names a limit";

    std::string_view roleName(target_role role) { return role == target_role::prefill ? "prefill" : "decode"; }

    exchange_options callOptions()
    {
        exchange_options options;
        options.connectTimeout = callTimeout / 2;
        options.silenceTimeout = callTimeout / 2;
        options.freshConnection = true;
        options.keepConnection = false;
        options.limits.collectedBytes = maxShortBodyBytes;
        return options;
    }

}

role_coordinator::role_coordinator(dependencies parts, std::string vm, serving::order_lease_settings settings)
    : m_parts(std::move(parts))
    , m_vm(std::move(vm))
    , m_lease(settings)
    , m_split(m_parts.decisions.fleet(), {})
{
}

// Any ready node that reaches the store and the engines can be the coordinator. Orders take no detour, because an
// engine would take them for those of the peer. If two nodes both consider themselves the coordinator, the lease
// ensures that only one of them acts.
bool role_coordinator::isCoordinator(
    const serving::node_state& self, const std::vector<serving::node_state>& alive, instant now) const
{
    const auto isAble = [&](const serving::node_state& node) {
        return node.isReady && node.storeReach == serving::store_reach::reached
            && m_parts.decisions.paths().reachesMost(node.vm, now);
    };
    if (!isAble(self))
        return false;
    const auto own = rendezvousWeight(self.vm, dutyKey);
    return std::none_of(alive.begin(), alive.end(),
        [&](const auto& node) { return isAble(node) && !node.isStopping && rendezvousWeight(node.vm, dutyKey) > own; });
}

void role_coordinator::tick(const serving::node_state& self, const std::vector<serving::node_state>& alive, instant now)
{
    advanceChanges(now);
    markChangingEngines(now);
    if (now < m_nextCheckAt || !isCoordinator(self, alive, now))
        return;
    m_nextCheckAt = now + checkInterval;
    const auto changes = m_split.dueChanges(now, m_parts.decisions.prefillWaitSeconds());
    if (changes.empty())
        return;
    if (m_lease.holdsFor(notificationTime + 2 * callTimeout, now))
        return beginChanges(changes, now);
    claim(now);
}

void role_coordinator::claim(instant now)
{
    const auto at = m_lease.claimAt(now);
    if (!at)
        return;
    m_lease.claimSent(now);
    m_parts.store.appendAt(store_topic::orders, *at, {}, m_vm,
        [this](const store_result<placed_append>& result) { onClaimResponse(result); });
}

void role_coordinator::onClaimResponse(const store_result<placed_append>& result)
{
    const auto now = boot_clock::now();
    if (const auto* error = std::get_if<store_error>(&result)) {
        m_parts.log.write(log_event::store_lost, { { "topic", "orders" }, { "reason", toString(*error) } });
        m_lease.claimFailed(now);
        return m_parts.onClaimFailed();
    }
    const auto& placed = std::get<placed_append>(result);
    if (placed.isAppended)
        m_lease.claimed(placed.offset);
    else
        m_lease.foundEnd(placed.offset, now);
    m_parts.log.write(log_event::lease_changed,
        { { "lease", "roles" }, { "holder", placed.isAppended ? m_vm : std::string() }, { "term", placed.offset } });
}

void role_coordinator::beginChanges(const std::vector<serving::role_change>& changes, instant now)
{
    const auto& view = m_split.lastDecision();
    m_parts.log.write(log_event::roles_due,
        { { "service", view.service }, { "engines", view.engines }, { "readers", view.prefillEngines },
            { "wanted", view.wanted }, { "idle", view.isIdle } });
    for (const auto& change : changes) {
        m_split.recordOrder(change.engine, change.role, now);
        m_changes.push_back(
            { m_parts.decisions.fleet().instance[change.engine.value], change.role, change_step::announced, now });
    }
    markChangingEngines(now);
    m_parts.notifyPeers();
}

// Otherwise the engine would reject requests for its former role, and a non-idempotent request would be lost.
void role_coordinator::markChangingEngines(instant now)
{
    for (const auto& change : m_changes) {
        if (const auto row = m_parts.decisions.fleet().find(change.instance); row.isValid())
            m_parts.decisions.roleChanging(row, now + exclusionTime);
    }
}

void role_coordinator::markPeerChanges(const std::vector<std::uint32_t>& engines, instant now)
{
    for (const auto hash : engines) {
        if (const auto row = m_parts.decisions.fleet().findByHash(hash); row.isValid())
            m_parts.decisions.roleChanging(row, now + exclusionTime);
    }
}

std::vector<std::uint32_t> role_coordinator::changingEngines() const
{
    std::vector<std::uint32_t> out;
    for (const auto& change : m_changes)
        out.push_back(serving::shortHash(change.instance));
    return out;
}

bool role_coordinator::isFinished(const pending_role_change& change, instant now) const
{
    const auto& fleet = m_parts.decisions.fleet();
    const auto row = fleet.find(change.instance);
    const bool isThere = row.isValid() && fleet.isListed[row.value];
    return !isThere || fleet.role[row.value] == change.role || now >= change.since + changeTimeout;
}

void role_coordinator::advanceChanges(instant now)
{
    std::erase_if(m_changes, [&](const auto& change) { return isFinished(change, now); });
    std::vector<std::string> toQuery;
    for (auto& change : m_changes) {
        if (change.step != change_step::announced || now < change.since + notificationTime)
            continue;
        change.step = change_step::queried;
        toQuery.push_back(change.instance);
    }
    for (const auto& instance : toQuery) {
        if (m_parts.notices.isResting(instance, now))
            abortChange(instance, restReason);
        else if (m_parts.notices.isLimited(instance))
            abortChange(instance, limitReason);
        else
            requestReport(instance);
    }
}

bool role_coordinator::isSameProcess(target_id engine, std::uint64_t bornAt) const
{
    const auto& fleet = m_parts.decisions.fleet();
    const auto& name = fleet.name[engine.value];
    const auto& instance = fleet.instance[engine.value];
    return bornAt == 0 || instance == name || instance == serving::instanceName(name, bornAt);
}

role_coordinator::pending_role_change* role_coordinator::find(const std::string& instance)
{
    const auto found = std::find_if(
        m_changes.begin(), m_changes.end(), [&](const auto& change) { return change.instance == instance; });
    return found == m_changes.end() ? nullptr : &*found;
}

void role_coordinator::requestReport(const std::string& instance)
{
    const auto& fleet = m_parts.decisions.fleet();
    const auto row = fleet.find(instance);
    const auto& address = fleet.address[row.value];
    m_parts.client.fetch(parseEndpoint(address), m_parts.protocol.roleReport(fleet.name[row.value]), callOptions(),
        [this, instance, sentAt = boot_clock::now()](
            const http_response* response, const exchange_failure&) { onReport(instance, response, sentAt); });
}

void role_coordinator::onReport(const std::string& instance, const http_response* response, instant sentAt)
{
    const auto now = boot_clock::now();
    if (response)
        m_parts.notices.received(instance, *response, { "role_report", sentAt });
    auto* change = find(instance);
    if (!change)
        return;
    if (m_parts.notices.isResting(instance, now))
        return abortChange(instance, restReason);
    if (m_parts.notices.isLimited(instance))
        return abortChange(instance, limitReason);
    const auto report
        = response && response->status == 200 ? m_parts.protocol.decodeRoleReport(response->body) : std::nullopt;
    if (!report || report->isChanging || report->role == change->role)
        return abortChange(
            instance, report ? "a role change is already in progress, or not needed" : "no valid role report");
    // The number of orders was queried from one process of the engine. The order must not go to a restarted one, for
    // which it was not intended.
    const auto row = m_parts.decisions.fleet().find(instance);
    if (!row.isValid() || !isSameProcess(row, report->bornAt))
        return abortChange(instance, "the engine has been restarted");
    if (m_parts.decisions.fleet().isLeaving(row))
        return abortChange(instance, "the engine leaves");
    // A claim is valid for some seconds only; a node that was suspended since then has lost the lease.
    if (!m_lease.holdsFor(callTimeout, now))
        return abortChange(instance, "the lease has expired");
    sendOrder(*change, report->ordersTaken, now);
}

void role_coordinator::sendOrder(pending_role_change& change, std::uint64_t ordersTaken, instant now)
{
    change.step = change_step::ordered;
    change.since = now;
    const auto& instance = change.instance;
    m_parts.log.write(log_event::order_sent,
        { { "target", instance }, { "order", ordersTaken }, { "fence", m_lease.fencingNumber() }, { "set", "role" },
            { "value", roleName(change.role) } });
    const auto& fleet = m_parts.decisions.fleet();
    const auto row = fleet.find(instance);
    const auto& address = fleet.address[row.value];
    const auto request = m_parts.protocol.orderRole(
        { fleet.name[row.value], change.role, m_vm, m_lease.fencingNumber(), ordersTaken });
    m_parts.client.fetch(parseEndpoint(address), request, callOptions(),
        [this, instance, now](const http_response* response, const exchange_failure& failure) {
            onOrderResponse(instance, response, failure, now);
        });
}

void role_coordinator::onOrderResponse(
    const std::string& instance, const http_response* response, const exchange_failure& failure, instant sentAt)
{
    if (response)
        m_parts.notices.received(instance, *response, { "role_order", sentAt });
    if (!response) {
        m_parts.counters.count("tamarack_role_orders_total", { { "result", "unanswered" } });
        m_parts.log.write(log_event::order_unanswered,
            { { "target", instance }, { "may_have_reached", failure.mayHaveReachedPeer },
                { "reason", failure.reason } });
        if (!failure.mayHaveReachedPeer)
            abortChange(instance, failure.reason);
        return; // it may still be executed: the engine stays excluded until the target list shows its role
    }
    const bool isRefused = m_parts.protocol.decodeOrderAnswer(response->status) == order_answer::refused;
    m_parts.counters.count("tamarack_role_orders_total", { { "result", isRefused ? "refused" : "accepted" } });
    m_parts.log.write(log_event::order_answered,
        { { "target", instance }, { "order", isRefused ? "refused" : "accepted" }, { "status", response->status } });
    if (isRefused)
        abortChange(instance, "refused");
}

// The order was not sent or had no effect, so the engine keeps its role.
void role_coordinator::abortChange(const std::string& instance, std::string_view reason)
{
    m_parts.log.write(log_event::role_kept, { { "target", instance }, { "reason", reason } });
    const auto row = m_parts.decisions.fleet().find(instance);
    if (row.isValid()) {
        m_split.recordRefusal(row, boot_clock::now());
        m_parts.decisions.roleChanging(row, {});
    }
    std::erase_if(m_changes, [&](const auto& change) { return change.instance == instance; });
}

}
