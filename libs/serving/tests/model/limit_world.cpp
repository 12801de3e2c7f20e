// Implements the model of nodes that share limits.
#include "limit_world.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tamarack::serving::tests {

namespace {

    using namespace std::chrono_literals;

    constexpr duration stepLength = 5ms;
    constexpr duration tickInterval = 20ms;
    constexpr duration minHeartbeatInterval = 100ms;
    constexpr double heartbeatsPerSecond = 160;
    constexpr duration minPeerTimeout = 700ms;
    constexpr double heartbeatsUntilLost = 3.2;
    constexpr duration viewInterval = 100ms;
    constexpr duration answerTime = 15ms;
    constexpr duration minDelay = 1ms;
    constexpr duration maxExtraDelay = 5ms;

    std::string targetName(int target) { return "target-" + std::to_string(target); }

}

limit_world::limit_world(limit_world_settings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_nodes(static_cast<std::size_t>(m_settings.nodes))
    , m_limits(static_cast<std::size_t>(m_settings.targets), -1)
    , m_arrivals(static_cast<std::size_t>(m_settings.targets))
{
    for (int node = 0; node < m_settings.nodes; ++node) {
        createNode(node);
        // All have been up for long.
        m_nodes[static_cast<std::size_t>(node)].upSince = m_now - 1h;
        m_nodes[static_cast<std::size_t>(node)].changedAt = m_now - 1h;
    }
}

duration limit_world::heartbeatInterval() const
{
    return std::max<duration>(minHeartbeatInterval, fromSeconds(m_settings.nodes / heartbeatsPerSecond));
}

duration limit_world::peerTimeout() const
{
    return std::max<duration>(minPeerTimeout, fromSeconds(heartbeatsUntilLost * seconds(heartbeatInterval())));
}

void limit_world::createNode(int number)
{
    auto& node = m_nodes[static_cast<std::size_t>(number)];
    node = {};
    node.fleet = std::make_unique<fleet_table>("a");
    node.limits = std::make_unique<target_limits>(*node.fleet);
    node.issuer = std::make_unique<permit_issuer>(*node.limits, *node.fleet);
    node.holder = std::make_unique<permit_holder>(*node.fleet, *node.limits, *node.issuer);
    for (int target = 0; target < m_settings.targets; ++target) {
        target_record record;
        record.name = targetName(target);
        record.service = "plain";
        node.fleet->upsert(record);
    }
    node.state.vm = "node-" + std::to_string(number);
    node.state.address = "10.0.0.1";
    node.state.peerPort = static_cast<std::uint16_t>(number);
    node.state.isReady = true;
    node.isUp = true;
    node.upSince = node.changedAt = m_now;
    node.nextTickAt = m_now + fromSeconds(seconds(tickInterval) * m_random.unit());
    node.nextHeartbeatAt = m_now + fromSeconds(seconds(heartbeatInterval()) * m_random.unit());
    node.nextRequestAt = m_now;
    node.nextViewAt = m_now;
}

void limit_world::kill(int node)
{
    createNode(node);
    m_nodes[static_cast<std::size_t>(node)].isUp = false;
}

// A node that starts gets the limits from a peer before it takes requests.
void limit_world::start(int node)
{
    createNode(node);
    for (const auto& other : m_nodes) {
        if (!other.isUp || other.isFrozen || &other == &m_nodes[static_cast<std::size_t>(node)])
            continue;
        for (const auto& report : other.limits->reports(m_now))
            m_nodes[static_cast<std::size_t>(node)].limits->apply(report, m_now);
        break;
    }
}

void limit_world::freeze(int node)
{
    m_nodes[static_cast<std::size_t>(node)].isFrozen = true;
    m_nodes[static_cast<std::size_t>(node)].changedAt = m_now;
}

void limit_world::resume(int number)
{
    auto& node = m_nodes[static_cast<std::size_t>(number)];
    node.isFrozen = false;
    node.changedAt = m_now;
    node.nextRequestAt = m_now;
    for (auto& message : std::exchange(node.held, {}))
        message();
}

void limit_world::cut(int firstOther)
{
    m_firstOther = firstOther;
    m_cutAt = m_now;
}

void limit_world::schedule(duration wait, std::function<void()> what)
{
    m_events.emplace(m_now + wait, std::move(what));
}

void limit_world::send(int from, int to, std::function<void()> message)
{
    ++m_messagesSent;
    const bool isCut = (from < m_firstOther) != (to < m_firstOther);
    if (isCut || m_random.unit() < m_settings.loss)
        return;
    schedule(minDelay + fromSeconds(seconds(maxExtraDelay) * m_random.unit()), [this, to, message] {
        auto& node = m_nodes[static_cast<std::size_t>(to)];
        if (node.isFrozen)
            node.held.push_back(message);
        else if (node.isUp)
            message();
    });
}

void limit_world::broadcast(int from, const limit_report& report)
{
    for (int to = 0; to < m_settings.nodes; ++to) {
        if (to == from)
            continue;
        send(from, to, [this, to, report] { m_nodes[static_cast<std::size_t>(to)].limits->apply(report, m_now); });
    }
}

// A peer is seen some heartbeats after it has come, and until its timeout after it has gone.
bool limit_world::isSeenBy(int number, int otherNumber) const
{
    const auto& node = m_nodes[static_cast<std::size_t>(number)];
    const auto& other = m_nodes[static_cast<std::size_t>(otherNumber)];
    const bool isCut = (number < m_firstOther) != (otherNumber < m_firstOther);
    const bool wasCut = m_cutAt != instant() && m_now < m_cutAt + peerTimeout();
    if (isCut)
        return wasCut;
    // After a pause of its own the node takes its peers for lost until it hears them.
    if (m_now < node.changedAt + 2 * heartbeatInterval())
        return false;
    if (m_now < m_cutAt + 2 * heartbeatInterval() && m_firstOther == 0 && m_cutAt != instant())
        return false;
    if (other.isUp && !other.isFrozen)
        return m_now >= other.changedAt + heartbeatInterval();
    return m_now < other.changedAt + peerTimeout();
}

void limit_world::updateView(int number)
{
    auto& node = m_nodes[static_cast<std::size_t>(number)];
    std::vector<node_state> alive;
    for (int other = 0; other < m_settings.nodes; ++other) {
        if (other != number && isSeenBy(number, other))
            alive.push_back(m_nodes[static_cast<std::size_t>(other)].state);
    }
    node.issuer->setNodes(node.state, alive, m_settings.nodes, peerTimeout() / 2);
}

void limit_world::reach(int number, int target)
{
    auto& node = m_nodes[static_cast<std::size_t>(number)];
    const auto row = node.fleet->find(targetName(target));
    node.holder->used(row, m_now);
    const auto sentAt = m_now;
    schedule(minDelay, [this, number, target, sentAt, row] {
        m_arrivals[static_cast<std::size_t>(target)].push_back({ m_now, number });
        const double limit = m_limits[static_cast<std::size_t>(target)];
        const bool isNamed = limit >= 0 && m_random.unit() < m_settings.namingShare;
        schedule(answerTime, [this, number, sentAt, row, limit, isNamed] {
            auto& sender = m_nodes[static_cast<std::size_t>(number)];
            if (sender.isUp && !sender.isFrozen)
                sender.limits->answered(
                    row, isNamed ? std::optional(request_rate { limit }) : std::nullopt, sentAt, m_now);
        });
    });
}

bool limit_world::sendRequest(int number)
{
    auto& node = m_nodes[static_cast<std::size_t>(number)];
    const int first = static_cast<int>(m_random.unit() * m_settings.targets);
    for (int i = 0; i < m_settings.targets; ++i) {
        const int target = (first + i) % m_settings.targets;
        if (!node.holder->has(node.fleet->find(targetName(target)), m_now))
            continue;
        reach(number, target);
        return true;
    }
    return false;
}

void limit_world::serve(int number)
{
    auto& node = m_nodes[static_cast<std::size_t>(number)];
    const double demand = m_settings.demand[static_cast<std::size_t>(number)];
    while (demand > 0 && node.nextRequestAt <= m_now) {
        node.nextRequestAt += fromSeconds(-std::log(1 - m_random.unit()) / demand);
        for (int target = 0; target < m_settings.targets; ++target)
            node.holder->wanted(
                node.fleet->find(targetName(target)), permit_use::expected, m_now + permit_holder::demandTime);
        if (!m_usesOthers && !sendRequest(number))
            node.waiting.push_back({ m_now + m_settings.patience, m_requests++ });
    }
    std::erase_if(node.waiting, [this](const auto& request) { return m_now >= request.until; });
    while (!node.waiting.empty() && sendRequest(number))
        node.waiting.erase(node.waiting.begin());
    for (const auto& request : node.waiting) {
        const auto target = request.number % m_settings.targets;
        node.holder->wanted(node.fleet->find(targetName(target)), permit_use::waiting, request.until);
    }
}

void limit_world::tick(int number)
{
    auto& node = m_nodes[static_cast<std::size_t>(number)];
    node.limits->tick(m_now);
    for (const auto& report : node.limits->takeNews(m_now))
        broadcast(number, report);
    for (const auto& question : node.holder->tick(m_now)) {
        const auto* issuer = node.issuer->issuerOf(question.target);
        if (!issuer)
            continue;
        const auto deliver = [this, number, to = nodeAt(*issuer), ask = question.ask] {
            const auto& asker = m_nodes[static_cast<std::size_t>(number)].state;
            auto& asked = m_nodes[static_cast<std::size_t>(to)];
            asked.issuer->asked({ asker.address, asker.peerPort }, ask, m_now);
            if (const auto end = asked.limits->endOf(ask.target, m_now))
                send(to, number, [this, number, report = *end] {
                    m_nodes[static_cast<std::size_t>(number)].limits->apply(report, m_now);
                });
        };
        if (nodeAt(*issuer) == number)
            deliver();
        else
            send(number, nodeAt(*issuer), deliver);
    }
    for (const auto& message : node.issuer->tick(m_now)) {
        const auto deliver = [this, to = nodeAt(message.to), grant = message.grant] {
            m_nodes[static_cast<std::size_t>(to)].holder->granted(grant, m_now);
            serve(to);
        };
        if (nodeAt(message.to) == number)
            deliver();
        else
            send(number, nodeAt(message.to), deliver);
    }
    serve(number);
}

void limit_world::run(duration until)
{
    for (; m_now < at(until); m_now += stepLength) {
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto what = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            what();
        }
        for (int number = 0; number < m_settings.nodes; ++number) {
            auto& node = m_nodes[static_cast<std::size_t>(number)];
            if (!node.isUp || node.isFrozen)
                continue;
            if (m_now >= node.nextViewAt) {
                updateView(number);
                node.nextViewAt = m_now + viewInterval;
            }
            if (m_now >= node.nextHeartbeatAt) {
                node.nextHeartbeatAt = m_now + heartbeatInterval();
                if (const auto report = node.limits->nextReport(m_now))
                    broadcast(number, *report);
            }
            if (m_now < node.nextTickAt)
                continue;
            node.nextTickAt = m_now + tickInterval;
            tick(number);
        }
    }
}

std::size_t limit_world::mostArrivals(int target, duration from, duration to) const
{
    constexpr duration window = 4s;
    const auto& all = arrivals(target);
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < all.size(); ++last) {
        if (all[last].at > at(to))
            break;
        while (all[first].at < at(from) || all[last].at > all[first].at + window) {
            if (++first > last)
                break;
        }
        if (first <= last)
            most = std::max(most, last - first + 1);
    }
    return most;
}

std::size_t limit_world::countArrivals(int target, duration from, duration to) const
{
    const auto& all = arrivals(target);
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(), [&](const arrival& item) { return item.at >= at(from) && item.at < at(to); }));
}

std::size_t limit_world::countArrivalsOf(int node, duration from, duration to) const
{
    std::size_t out = 0;
    for (const auto& all : m_arrivals)
        out += static_cast<std::size_t>(std::count_if(all.begin(), all.end(),
            [&](const arrival& item) { return item.node == node && item.at >= at(from) && item.at < at(to); }));
    return out;
}

bool limit_world::isLimited(int node, int target) const
{
    const auto& fleet = *m_nodes[static_cast<std::size_t>(node)].fleet;
    return fleet.isLimited[fleet.find(targetName(target)).value];
}

}
