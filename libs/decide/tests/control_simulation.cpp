// Simulated nodes, log, network and engines.
#include "control_simulation.h"

#include <algorithm>

namespace tamarack::test {

namespace {

    using namespace std::chrono_literals;

    constexpr duration tick = 50ms;
    constexpr duration bufferedBytesLifetime = 3s;
    constexpr double maxTimeInFlight
        = 2.5; // seconds; longest time in flight of an order's bytes, also after the end of their sender
    constexpr double clockSkew = 0.02;
    const std::string lease = "region/service";

}

control_simulation::control_simulation(simulation_settings settings)
    : m_settings(settings)
    , m_random(settings.seed * 7919 + 17)
    , m_now(instant(duration(1'000'000'000)))
{
    m_nodes.reserve(3); // pointers to the nodes are stored, so they must not be relocated
    for (const char* name : { "a", "b", "c" }) {
        m_nodes.emplace_back();
        m_nodes.back().name = name;
        m_nodes.back().clockRate = 1 + clockSkew * (2 * m_random.unit() - 1);
        startNode(m_nodes.back());
    }
    for (const char* name : { "x", "y" }) {
        m_engines.emplace_back();
        m_engines.back().name = name;
    }
}

void control_simulation::startNode(simulated_node& node)
{
    const instance_id self { node.name, node.incarnation };
    lease_settings leases { 2s, m_settings.margin, 300ms };
    order_settings orders;
    orders.appendRetry = 300ms;
    orders.settleDelay = 100ms;
    orders.drainTimeout = 10s;
    orders.bufferedBytesLifetime = bufferedBytesLifetime;
    orders.effectTimeout = 5s;
    node.isAlive = true;
    node.sequence = 0;
    node.leases = std::make_unique<lease_system>(self, leases);
    node.orders = std::make_unique<order_system>(self, orders, m_settings.safeguards);
    simulated_node* at = &node;
    node.follower = std::make_unique<log_follower>([this, at](const log_record& record, verdict v) {
        at->leases->onLogRecord(record, v, localNow(*at));
        at->orders->onLogRecord(record, v, localNow(*at));
    });
    node.leases->setLeases({ { lease, static_cast<int>(m_random.below(3)) } });
}

instant control_simulation::localNow(const simulated_node& node) const
{
    const auto since = static_cast<double>(m_now.time_since_epoch().count());
    return instant(duration(static_cast<duration::rep>(since * node.clockRate)));
}

bool control_simulation::chance(double perSecond) { return m_random.unit() < perSecond * seconds(tick); }

duration control_simulation::randomDelay(double longest) { return fromSeconds(m_random.unit() * longest); }

simulation_result control_simulation::run()
{
    const instant end = m_now + fromSeconds(m_settings.seconds);
    while (m_now < end) {
        m_now += tick;
        stepFaults();
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            stepNode(i);
        stepNetwork();
        stepEngines();
        checkHolders();
    }
    return m_result;
}

void control_simulation::stepFaults()
{
    if (chance(0.02) && m_now >= m_logDownUntil)
        m_logDownUntil = m_now + randomDelay(6);
    for (auto& node : m_nodes) {
        if (node.isAlive && chance(0.06))
            node.frozenUntil = m_now + randomDelay(7);
        if (node.isAlive && chance(0.03)) {
            node.isAlive = false;
            node.restartAt = m_now + 500ms + randomDelay(5);
            ++m_result.events;
        }
        if (chance(0.05))
            node.isCutFromLog = !node.isCutFromLog;
        if (!node.isAlive && m_now >= node.restartAt) {
            ++node.incarnation;
            startNode(node);
            node.frozenUntil = {};
        }
    }
    for (auto& target : m_engines) {
        if (!chance(0.02))
            continue;
        // A crash loses the settings and any change in progress; the highest fencing token is assumed to persist.
        ++target.incarnation;
        target.role = "mixed";
        target.isChanging = false;
        ++m_result.events;
    }
}

void control_simulation::readLog(simulated_node& node)
{
    if (node.isCutFromLog || m_now < m_logDownUntil)
        return;
    decoded_page page { { 0 }, { static_cast<std::int64_t>(m_log.size()) }, {} };
    for (auto at = static_cast<std::size_t>(node.follower->readFrom().value); at < m_log.size(); ++at)
        page.items.push_back({ m_log[at].offset, m_log[at] });
    node.follower->applyPage(page);
}

void control_simulation::adoptFromPeer(simulated_node& node)
{
    const auto& peer = m_nodes[m_random.below(m_nodes.size())];
    if (&peer == &node || !peer.isAlive || m_now < peer.frozenUntil)
        return;
    if (!node.follower->adopt(peer.follower->state().data()))
        return;
    const auto& state = node.follower->state();
    if (m_settings.peerStateCountsAsSeen)
        node.leases->onStateRestored(state, localNow(node));
    node.orders->onStateRestored(state, localNow(node));
}

void control_simulation::append(simulated_node& node, const record_body& body)
{
    const auto sequence = ++node.sequence;
    node.leases->onAppendSent(body, sequence, localNow(node));
    ++m_result.events;
    if (node.isCutFromLog || m_now < m_logDownUntil) {
        // During an outage most appends are lost; the others are appended when the log is available again.
        if (m_random.unit() < 0.7)
            return;
    }
    const double longest = m_random.unit() < 0.1 ? 5 : 0.1;
    const instant scheduledAt = std::max(m_now, m_logDownUntil) + randomDelay(longest);
    m_pendingAppends.push_back({ scheduledAt, { { node.name, node.incarnation }, sequence }, body });
}

void control_simulation::stepNode(std::size_t index)
{
    simulated_node& node = m_nodes[index];
    if (!node.isAlive || m_now < node.frozenUntil)
        return;
    const instant local = localNow(node);
    // Views that arrived during a freeze are processed before any decision, as a resumed process would do.
    for (auto& item : m_viewsInTransit) {
        if (item.node == index && item.incarnation == node.incarnation && item.at <= m_now) {
            node.orders->onTargetView(item.engine, item.view);
            item.node = m_nodes.size();
        }
    }
    for (auto& item : m_answers) {
        if (item.node == index && item.incarnation == node.incarnation && item.at <= m_now) {
            node.orders->onDeliveryResult(item.order, item.result);
            item.node = m_nodes.size();
        }
    }
    if (m_now >= node.nextRead) {
        // A resumed node may read queued heartbeats and request a peer's state before the log responds.
        if (m_random.unit() < 0.3)
            adoptFromPeer(node);
        readLog(node);
        node.nextRead = m_now + 100ms + randomDelay(0.1);
    }
    if (m_now >= node.nextView) {
        node.nextView = m_now + 300ms;
        for (const auto& target : m_engines) {
            target_view view { true, local, target.incarnation, target.isChanging, 0, target.lastOrder,
                { { order_kind::role, target.role } } };
            m_viewsInTransit.push_back({ index, node.incarnation, m_now + randomDelay(0.3), target.name, view });
        }
        for (const auto& other : m_nodes) {
            if (other.isAlive && m_now >= other.frozenUntil)
                node.orders->onIncarnation({ other.name, other.incarnation }, local);
        }
    }
    if (chance(0.7)) {
        static const char* const roles[] { "prefill", "decode", "mixed" };
        const auto& target = m_engines[m_random.below(m_engines.size())];
        node.orders->setDesired(
            target.name, lease, m_settings.checksFencing, { order_kind::role, roles[m_random.below(3)] });
    }
    for (const auto& wanted : node.leases->step(node.follower->state(), local, node.follower->hasReachedEnd()))
        append(node, wanted.body);
    auto output = node.orders->step(node.follower->state(), *node.leases, local);
    for (const auto& wanted : output.appends) {
        if (const auto* end = std::get_if<order_end_record>(&wanted.body))
            m_result.closed += end->reason == order_end::effect_seen;
        append(node, wanted.body);
    }
    for (const auto& order : output.deliveries) {
        // There is a delay between the decision and the write, which a freeze can extend arbitrarily.
        m_sendings.push_back({ index, node.incarnation, order, m_now + randomDelay(0.1), false, {} });
        if (chance(2.0))
            node.frozenUntil = m_now + randomDelay(7);
    }
}

void control_simulation::executeOrder(
    engine& target, const deliver_order& order, std::size_t node, std::uint64_t incarnation)
{
    const std::int64_t number = order.fence.value;
    const bool isStale = number < target.highestFence;
    if (m_settings.checksFencing && isStale) {
        m_answers.push_back({ node, incarnation, m_now + randomDelay(0.2), order.order, delivery_result::refused });
        return;
    }
    ++m_result.orders;
    m_result.conflicts += isStale;
    const target_orders& replicated = m_truth.orders(target.name);
    const bool isReplaced = replicated.last != order.order && replicated.order != order.what;
    m_result.staleEffects += isReplaced || (replicated.last == order.order && !replicated.isOpen);
    target.highestFence = std::max(target.highestFence, number);
    target.lastOrder = order.order.value;
    target.nextRole = order.what.value;
    target.isChanging = true;
    target.changesUntil = m_now + 500ms;
    if (m_random.unit() < 0.8)
        m_answers.push_back({ node, incarnation, m_now + randomDelay(0.2), order.order, delivery_result::accepted });
    else
        m_answers.push_back(
            { node, incarnation, m_now + bufferedBytesLifetime + 1s, order.order, delivery_result::closed });
}

void control_simulation::stepNetwork()
{
    std::stable_sort(m_pendingAppends.begin(), m_pendingAppends.end(),
        [](const auto& a, const auto& b) { return a.appendedAt < b.appendedAt; });
    while (!m_pendingAppends.empty() && m_pendingAppends.front().appendedAt <= m_now) {
        const auto item = m_pendingAppends.front();
        m_pendingAppends.erase(m_pendingAppends.begin());
        const log_offset offset { static_cast<std::int64_t>(m_log.size()) };
        m_log.push_back({ offset, item.origin, item.body });
        m_truth.apply(m_log.back());
    }
    for (auto& item : m_sendings) {
        const auto& node = m_nodes[item.node];
        const bool isItsProcess = node.isAlive && node.incarnation == item.incarnation;
        if (!item.hasLeft && isItsProcess && m_now >= item.leavesAt && m_now >= node.frozenUntil) {
            item.hasLeft = true;
            item.arrivesAt = m_now + randomDelay(m_random.unit() < 0.3 ? maxTimeInFlight : 0.1);
        }
    }
    for (const auto& item : m_sendings) {
        if (!item.hasLeft || item.arrivesAt > m_now)
            continue;
        for (auto& target : m_engines) {
            if (target.name == item.order.target)
                executeOrder(target, item.order, item.node, item.incarnation);
        }
    }
    std::erase_if(m_sendings, [&](const auto& item) {
        const auto& node = m_nodes[item.node];
        const bool isDead = !node.isAlive || node.incarnation != item.incarnation;
        return item.hasLeft ? item.arrivesAt <= m_now : isDead;
    });
    std::erase_if(m_viewsInTransit, [&](const auto& item) { return item.node == m_nodes.size(); });
    std::erase_if(m_answers, [&](const auto& item) { return item.node == m_nodes.size(); });
}

void control_simulation::stepEngines()
{
    for (auto& target : m_engines) {
        if (target.isChanging && m_now >= target.changesUntil) {
            target.isChanging = false;
            target.role = target.nextRole;
        }
    }
}

void control_simulation::checkHolders()
{
    int holders = 0;
    for (const auto& node : m_nodes) {
        if (node.isAlive && m_now >= node.frozenUntil
            && node.leases->holds(lease, node.follower->state(), localNow(node)))
            ++holders;
    }
    m_result.concurrentHolders += holders > 1;
    for (const auto& node : m_nodes) {
        const auto term = node.follower->state().lease(lease).term;
        if (term > m_lastTerm || !m_lastTerm.isValid()) {
            m_lastTerm = term;
            ++m_result.takeOvers;
        }
    }
}

}
