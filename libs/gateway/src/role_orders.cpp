// The steps of a change of role.
#include "role_orders.h"

#include "base/hash.h"

#include <algorithm>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;
    using serving::target_role;

    /// Until every peer has been told and what it had sent before has arrived: a datagram takes some 3 ms, a request
    /// that is written over a narrow link some 20 ms.
    constexpr duration tellTime = 150ms;
    /// Of a call to an engine, from its start to its answer. The connection is reset after that, so nothing of it
    /// arrives later.
    constexpr duration callLimit = 400ms;
    /// Peers leave an engine alone for so long after a heartbeat that names it: two heartbeats of a large fleet may be
    /// lost.
    constexpr duration toldLife = 2s;
    /// The split is looked at this often; what is found has to last for 1.5 s anyway.
    constexpr duration lookPause = 250ms;
    /// Then an engine that was ordered is used again whatever its role in the list.
    constexpr duration longestChange = 8s;

    constexpr std::string_view duty = "roles";

    std::string_view roleName(target_role role) { return role == target_role::prefill ? "prefill" : "decode"; }

    exchange_options callOptions()
    {
        exchange_options options;
        options.connectTimeout = callLimit / 2;
        options.silenceTimeout = callLimit / 2;
        options.freshConnection = true;
        options.keepConnection = false;
        return options;
    }

}

role_orders::role_orders(dependencies parts, std::string vm, serving::order_lease_settings settings)
    : m_parts(std::move(parts))
    , m_vm(std::move(vm))
    , m_lease(settings)
    , m_split(m_parts.decisions.fleet(), {})
{
}

// Any node will do that reaches the store; two that both think so are kept apart by the lease.
bool role_orders::isOnDuty(const serving::node_state& self, const std::vector<serving::node_state>& alive)
{
    if (!self.isReady || self.storeReach != serving::store_reach::reached)
        return false;
    const auto own = rendezvousWeight(self.vm, duty);
    return std::none_of(alive.begin(), alive.end(), [own](const auto& node) {
        const bool isAble = node.isReady && node.storeReach == serving::store_reach::reached && !node.isStopping;
        return isAble && rendezvousWeight(node.vm, duty) > own;
    });
}

void role_orders::tick(const serving::node_state& self, const std::vector<serving::node_state>& alive, instant now)
{
    proceed(now);
    markAll(now);
    if (now < m_lookAt || !isOnDuty(self, alive))
        return;
    m_lookAt = now + lookPause;
    const auto changes = m_split.dueChanges(now, m_parts.decisions.prefillWaitSeconds());
    if (changes.empty())
        return;
    if (m_lease.holdsFor(tellTime + 2 * callLimit, now))
        return begin(changes, now);
    claim(now);
}

void role_orders::claim(instant now)
{
    const auto at = m_lease.claimAt(now);
    if (!at)
        return;
    m_lease.claimSent(now);
    m_parts.store.appendAt(
        store_topic::orders, *at, m_vm, [this](const store_result<placed_append>& result) { claimAnswered(result); });
}

void role_orders::claimAnswered(const store_result<placed_append>& result)
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

void role_orders::begin(const std::vector<serving::role_change>& changes, instant now)
{
    const auto& view = m_split.lastDecision();
    m_parts.log.write(log_event::roles_due,
        { { "service", view.service }, { "engines", view.engines }, { "readers", view.prefillEngines },
            { "wanted", view.wanted }, { "idle", view.isIdle } });
    for (const auto& change : changes) {
        m_split.recordOrder(change.engine, change.role, now);
        m_changes.push_back(
            { m_parts.decisions.fleet().instance[change.engine.value], change.role, change_step::told, now });
    }
    markAll(now);
    m_parts.tellPeers();
}

// What goes wrong without it: the engine refuses what comes for its former role, and a request that may be sent only
// once is lost by that.
void role_orders::markAll(instant now)
{
    for (const auto& change : m_changes) {
        if (const auto row = m_parts.decisions.fleet().find(change.instance); row.isValid())
            m_parts.decisions.roleChanging(row, now + toldLife);
    }
}

void role_orders::told(const std::vector<std::uint32_t>& engines, instant now)
{
    for (const auto hash : engines) {
        if (const auto row = m_parts.decisions.fleet().findByHash(hash); row.isValid())
            m_parts.decisions.roleChanging(row, now + toldLife);
    }
}

std::vector<std::uint32_t> role_orders::changing() const
{
    std::vector<std::uint32_t> out;
    for (const auto& change : m_changes)
        out.push_back(serving::shortHash(change.instance));
    return out;
}

bool role_orders::isOver(const role_change_under_way& change, instant now) const
{
    const auto& fleet = m_parts.decisions.fleet();
    const auto row = fleet.find(change.instance);
    const bool isThere = row.isValid() && fleet.isListed[row.value];
    return !isThere || fleet.role[row.value] == change.role || now >= change.since + longestChange;
}

void role_orders::proceed(instant now)
{
    std::erase_if(m_changes, [&](const auto& change) { return isOver(change, now); });
    std::vector<std::string> toAsk;
    for (auto& change : m_changes) {
        if (change.step != change_step::told || now < change.since + tellTime)
            continue;
        change.step = change_step::asked;
        toAsk.push_back(change.instance);
    }
    for (const auto& instance : toAsk)
        ask(instance);
}

bool role_orders::isLife(target_id engine, std::uint64_t bornAt) const
{
    const auto& fleet = m_parts.decisions.fleet();
    const auto& name = fleet.name[engine.value];
    const auto& instance = fleet.instance[engine.value];
    return bornAt == 0 || instance == name || instance == serving::instanceName(name, bornAt);
}

role_orders::role_change_under_way* role_orders::find(const std::string& instance)
{
    const auto found = std::find_if(
        m_changes.begin(), m_changes.end(), [&](const auto& change) { return change.instance == instance; });
    return found == m_changes.end() ? nullptr : &*found;
}

void role_orders::ask(const std::string& instance)
{
    const auto& fleet = m_parts.decisions.fleet();
    const auto row = fleet.find(instance);
    const auto& address = fleet.address[row.value];
    m_parts.client.fetch(parseEndpoint(address), m_parts.protocol.roleReport(fleet.name[row.value]), callOptions(),
        [this, instance](const http_response* response, const exchange_failure&) { reported(instance, response); });
}

void role_orders::reported(const std::string& instance, const http_response* response)
{
    const auto now = boot_clock::now();
    auto* change = find(instance);
    if (!change)
        return;
    const auto report
        = response && response->status == 200 ? m_parts.protocol.decodeRoleReport(response->body) : std::nullopt;
    if (!report || report->isChanging || report->role == change->role)
        return giveUp(instance, report ? "the engine changes already" : "no report");
    // What goes wrong without it: the right number of orders is asked of one life of the engine, and the order goes to
    // the next one, for which it was not meant.
    const auto row = m_parts.decisions.fleet().find(instance);
    if (!row.isValid() || !isLife(row, report->bornAt))
        return giveUp(instance, "the engine has started again");
    // A claim covers some seconds; a node that was frozen since has lost its right.
    if (!m_lease.holdsFor(callLimit, now))
        return giveUp(instance, "the lease is over");
    order(*change, report->ordersTaken, now);
}

void role_orders::order(role_change_under_way& change, std::uint64_t ordersTaken, instant now)
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
        [this, instance](
            const http_response* response, const exchange_failure& failure) { answered(instance, response, failure); });
}

void role_orders::answered(const std::string& instance, const http_response* response, const exchange_failure& failure)
{
    if (!response) {
        m_parts.counters.count("tamarack_role_orders_total", { { "result", "unanswered" } });
        m_parts.log.write(log_event::order_unanswered,
            { { "target", instance }, { "may_have_reached", failure.mayHaveReachedPeer },
                { "reason", failure.reason } });
        if (!failure.mayHaveReachedPeer)
            giveUp(instance, failure.reason);
        return; // it may be carried out, also later: the engine is left alone until the list tells
    }
    const bool isRefused = m_parts.protocol.decodeOrderAnswer(response->status) == order_answer::refused;
    m_parts.counters.count("tamarack_role_orders_total", { { "result", isRefused ? "refused" : "accepted" } });
    m_parts.log.write(log_event::order_answered,
        { { "target", instance }, { "order", isRefused ? "refused" : "accepted" }, { "status", response->status } });
    if (isRefused)
        giveUp(instance, "refused");
}

// The order was not sent, or has had no effect: the engine goes on in its role.
void role_orders::giveUp(const std::string& instance, std::string_view reason)
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
