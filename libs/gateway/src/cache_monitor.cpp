// Implements the long polls, cache listings and peer snapshots of cache_monitor.
#include "cache_monitor.h"

#include "base/hash.h"
#include "serving/duty_assignment.h"

#include <algorithm>
#include <set>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// Waiting calls cost the engine nothing; this is the longest wait that it supports.
    constexpr duration longPollWait = 1s;
    constexpr duration responseTimeout = 1s;
    /// Pause after a response, so that events arrive in batches: each call costs both the engine and a node some work.
    constexpr duration batchInterval = 100ms;
    constexpr duration retryDelay = 1s;
    /// An engine holds 12 long polls open and rejects the rest. The nodes of two systems may poll it while one system
    /// replaces the other.
    constexpr std::size_t maxNodesMonitoringAll = 10;
    /// Two, since one of them may fail before the other nodes notice.
    constexpr std::size_t monitorsPerEngine = 2;
    /// Minimum interval between assignments while nodes and targets change.
    constexpr duration assignmentInterval = 300ms;
    /// Limit of the queue for the next heartbeats; the oldest updates are dropped first, as they matter least.
    constexpr std::size_t maxPendingUpdates = 200;
    constexpr std::string_view snapshotPath = "/caches";
    /// Interval between requests to peers. After all nodes were lost, the listings of the peers are complete within
    /// about 2 s.
    constexpr duration snapshotRequestInterval = 1s;
    /// After this time a node has received the listings of all peers.
    constexpr duration listingConvergenceTime = 5s;
    constexpr int maxSnapshotRequests = 3;

}

cache_monitor::cache_monitor(http_client& client, const target_protocol& protocol, serving::dispatcher& decisions,
    metrics& counters, const logger& log, target_notices& notices, update_handler onListing)
    : m_client(client)
    , m_calls(client, decisions)
    , m_protocol(protocol)
    , m_decisions(decisions)
    , m_counters(counters)
    , m_log(log)
    , m_notices(notices)
    , m_onListing(std::move(onListing))
{
}

cache_monitor::~cache_monitor()
{
    for (auto& [instance, engine] : m_engines) {
        if (engine.call)
            engine.call->cancel();
    }
}

void cache_monitor::tick(const serving::node_state& self, const std::vector<serving::node_state>& alive, instant now)
{
    assignEngines(self, alive, now);
    requestSnapshot(self, alive, now);
    for (auto& [instance, engine] : m_engines) {
        const bool isSameRow = m_decisions.fleet().instance[engine.row.value] == instance;
        if (engine.call || now < engine.nextCallAt || m_notices.isResting(instance, now) || !isSameRow
            || m_notices.isLimited(instance))
            continue;
        engine.calledAt = now;
        if (engine.needsListing)
            requestListing(instance, engine);
        else
            requestEvents(instance, engine);
    }
}

// An engine accepts only a limited number of waiting calls, so with many nodes only a few monitor each engine,
// preferably in the engine's own availability zone, and notify the others. One of them requests the listing when events
// were missed.
void cache_monitor::assignEngines(
    const serving::node_state& self, const std::vector<serving::node_state>& alive, instant now)
{
    const auto& fleet = m_decisions.fleet();
    std::uint64_t nodes = alive.size();
    for (const auto& node : alive)
        nodes += rendezvousSeed(node.vm);
    if ((nodes == m_assignedNodesHash && fleet.generation() == m_assignedGeneration) || now < m_nextAssignmentAt)
        return;
    m_assignedNodesHash = nodes;
    m_assignedGeneration = fleet.generation();
    m_nextAssignmentAt = now + assignmentInterval;
    m_sharesMonitoring = alive.size() + 1 > maxNodesMonitoringAll;
    const serving::zone_duties roster(self, alive);
    std::set<std::string> assigned;
    for (std::uint32_t row = 0; row < fleet.size(); ++row) {
        if (!fleet.isListed[row] || fleet.role[row] == serving::target_role::plain)
            continue;
        const auto& instance = fleet.instance[row];
        if (m_sharesMonitoring && !roster.isOnDuty(instance, fleet.zone[row], monitorsPerEngine))
            continue;
        assigned.insert(instance);
        auto& engine = m_engines[instance];
        engine.row = { row };
        engine.name = fleet.name[row];
        engine.isDesignatedLister = roster.isOnDuty(instance, fleet.zone[row], 1);
    }
    std::erase_if(m_engines, [&](auto& item) {
        const bool isUnassigned = !assigned.contains(item.first);
        if (isUnassigned && item.second.call)
            item.second.call->cancel();
        return isUnassigned;
    });
}

// A node that has just started does not know which prefixes the engines have cached. Without a peer's snapshot it would
// treat all caches as empty and send prompts to engines that lack their prefixes. After a restart of all nodes under
// load, three times as many tokens are then prefilled again, and goodput drops.
void cache_monitor::requestSnapshot(
    const serving::node_state& self, const std::vector<serving::node_state>& alive, instant now)
{
    if (m_isSnapshotDone || now < m_nextSnapshotRequestAt)
        return;
    const auto* peer = serving::peerToAsk(self, alive, [](const auto& node) { return node.isReady; });
    if (!peer)
        return;
    m_nextSnapshotRequestAt = now + snapshotRequestInterval;
    m_isSnapshotDone = ++m_snapshotRequests >= maxSnapshotRequests;
    exchange_options options;
    options.silenceTimeout = responseTimeout;
    options.keepConnection = false;
    m_client.fetch({ peer->address, peer->adminPort }, { "GET", std::string(snapshotPath), {}, {} }, options,
        [this](const http_response* response, const exchange_failure&) { onSnapshotResponse(response); });
}

// After the loss of all nodes, a peer may know only the few engines that it monitors itself. Only a snapshot that is
// marked as complete ends the requests.
void cache_monitor::onSnapshotResponse(const http_response* response)
{
    const auto caches = response ? decodeCaches(response->body) : std::nullopt;
    m_log.write(log_event::caches_told,
        { { "parts", caches ? caches->parts.size() : 0 }, { "answered", caches.has_value() },
            { "complete", caches && caches->isComplete } });
    if (!caches)
        return;
    m_hasCompleteSnapshot |= caches->isComplete;
    m_isSnapshotDone |= caches->isComplete;
    applyPeerUpdates(caches->parts);
}

cache_snapshot cache_monitor::snapshot(instant now) const
{
    const auto& fleet = m_decisions.fleet();
    cache_snapshot out;
    out.isComplete = m_hasCompleteSnapshot || now >= m_startedAt + listingConvergenceTime;
    for (std::uint32_t row = 0; row < fleet.size(); ++row) {
        if (!fleet.isListed[row])
            continue;
        for (const auto& part : m_decisions.cachedParts({ row }))
            out.parts.push_back({ fleet.instanceHash[row], part.id, static_cast<std::uint32_t>(part.tokens) });
    }
    return out;
}

std::vector<cache_update> cache_monitor::takeUpdates(std::size_t most)
{
    std::vector<cache_update> out;
    while (!m_pendingUpdates.empty() && out.size() < most) {
        out.push_back(m_pendingUpdates.front());
        m_pendingUpdates.pop_front();
    }
    return out;
}

void cache_monitor::applyPeerUpdates(const std::vector<cache_update>& updates)
{
    for (const auto& item : updates) {
        const target_id row = m_decisions.fleet().findByHash(item.target);
        if (row.isValid())
            m_decisions.applyCacheEvents(row, { { item.part, item.tokens } });
    }
}

void cache_monitor::requestEvents(const std::string& instance, monitored_engine& engine)
{
    exchange_options options;
    options.silenceTimeout = longPollWait + responseTimeout;
    engine.call = m_calls.fetch(engine.row, m_protocol.cacheEvents(engine.nextEvent, longPollWait, engine.name),
        options, [this, instance](const http_response* response, const exchange_failure&) {
            onEventsResponse(instance, response);
        });
}

// The row may have been reused: it can belong to another target from the moment its former target has gone until the
// next assignment about 300 ms later, and the cache contents of the former target must not be attributed to the new
// one.
cache_monitor::monitored_engine* cache_monitor::finishCall(const std::string& instance)
{
    const auto found = m_engines.find(instance);
    if (found == m_engines.end())
        return nullptr;
    auto& engine = found->second;
    engine.call = nullptr;
    return m_decisions.fleet().instance[engine.row.value] == instance ? &engine : nullptr;
}

instant cache_monitor::calledAt(const std::string& instance) const
{
    const auto found = m_engines.find(instance);
    return found == m_engines.end() ? instant() : found->second.calledAt;
}

void cache_monitor::onEventsResponse(const std::string& instance, const http_response* response)
{
    if (response)
        m_notices.received(instance, *response, { "cache_events", calledAt(instance) });
    auto* called = finishCall(instance);
    if (!called)
        return;
    auto& engine = *called;
    const auto report
        = response && response->status == 200 ? m_protocol.decodeCacheEvents(response->body) : std::nullopt;
    engine.nextCallAt = boot_clock::now() + (report ? batchInterval : retryDelay);
    m_counters.count("tamarack_cache_reports_total", { { "result", report ? "read" : "failed" } });
    if (report)
        applyReport(instance, engine, *report);
}

void cache_monitor::applyReport(const std::string& instance, monitored_engine& engine, const cache_report& report)
{
    const bool isRestarted = engine.hasEpoch && report.epoch != engine.epoch;
    if (isRestarted || report.hasGap)
        m_log.write(log_event::cache_view_restarted,
            { { "target", instance }, { "restarted", isRestarted }, { "gap", report.hasGap } });
    if (isRestarted)
        m_decisions.forgetCache(engine.row);
    engine.epoch = report.epoch;
    engine.hasEpoch = true;
    engine.nextEvent = report.next;
    engine.needsListing = report.hasGap && engine.isDesignatedLister;
    m_decisions.applyCacheEvents(engine.row, report.events);
    if (m_sharesMonitoring)
        queueUpdates(engine, report.events);
}

// After the loss of all nodes, no node knows what the engines cached before the retained events, and most prefixes
// would be prefilled again.
void cache_monitor::requestListing(const std::string& instance, monitored_engine& engine)
{
    exchange_options options;
    options.silenceTimeout = longPollWait + responseTimeout;
    engine.needsListing = false;
    engine.call = m_calls.fetch(engine.row, m_protocol.cacheList(engine.name), options,
        [this, instance](
            const http_response* response, const exchange_failure&) { onListResponse(instance, response); });
}

void cache_monitor::onListResponse(const std::string& instance, const http_response* response)
{
    if (response)
        m_notices.received(instance, *response, { "cache_list", calledAt(instance) });
    auto* called = finishCall(instance);
    if (!called)
        return;
    auto& engine = *called;
    const auto all = response && response->status == 200 ? m_protocol.decodeCacheList(response->body) : std::nullopt;
    m_counters.count("tamarack_cache_lists_total", { { "result", all ? "read" : "failed" } });
    if (!all)
        return; // the listing failed; later events still report changes of the cache
    engine.epoch = all->epoch;
    engine.nextEvent = all->next;
    m_decisions.replaceCacheParts(engine.row, all->events);
    // Sent at once rather than with heartbeats: after the loss of all nodes there are several thousand prefixes to
    // announce, and a heartbeat carries only a dozen, so prefixes cached in the fleet would be prefilled again for
    // seconds.
    if (m_sharesMonitoring)
        m_onListing(updatesFrom(engine, all->events));
}

// Prefixes below the minimum size are not tracked, and an eviction is announced only if the prefix was announced
// before.
std::vector<cache_update> cache_monitor::updatesFrom(
    monitored_engine& engine, const std::vector<serving::cache_event>& events)
{
    std::vector<cache_update> out;
    for (const auto& event : events) {
        const bool isKept = event.tokens >= serving::prompt_cache_map::minPartTokens;
        const bool isUnannounced
            = isKept ? engine.announcedParts.insert(event.part).second : engine.announcedParts.erase(event.part) > 0;
        if (!isUnannounced)
            continue;
        out.push_back({ m_decisions.fleet().instanceHash[engine.row.value], event.part,
            static_cast<std::uint32_t>(isKept ? event.tokens : 0) });
    }
    return out;
}

void cache_monitor::queueUpdates(monitored_engine& engine, const std::vector<serving::cache_event>& events)
{
    for (const auto& update : updatesFrom(engine, events))
        m_pendingUpdates.push_back(update);
    while (m_pendingUpdates.size() > maxPendingUpdates)
        m_pendingUpdates.pop_front();
}

}
