// Waiting calls, one after the other.
#include "cache_watch.h"

#include "base/hash.h"
#include "serving/duty_assignment.h"

#include <algorithm>
#include <set>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// Calls that wait are free for the engine; this is the longest that it allows.
    constexpr duration longestWait = 1s;
    constexpr duration answerSlack = 1s;
    /// After an answer with events, so that they come in batches: each call costs an engine and a node some work.
    constexpr duration batchPause = 100ms;
    constexpr duration failurePause = 1s;
    /// The users' engines keep 12 calls waiting, and each of two systems' nodes may be there while one replaces the
    /// other.
    constexpr std::size_t mostNodesThatAllWatch = 10;
    /// One may be gone before the others notice.
    constexpr std::size_t watchersPerEngine = 2;
    /// While nodes and targets come and go, the engines are shared out this often.
    constexpr duration sharePause = 300ms;
    /// Kept for the next heartbeats; what is older is worth less.
    constexpr std::size_t mostNews = 200;
    constexpr std::string_view peerPath = "/caches";
    /// Between two peers that are asked; after the loss of all nodes their lists are there within some 2 s.
    constexpr duration peerPause = 1s;
    /// A node that has listened for so long has heard of all lists.
    constexpr duration listsTime = 5s;
    constexpr int mostPeersAsked = 3;

}

cache_watch::cache_watch(http_client& client, const target_protocol& protocol, serving::dispatcher& decisions,
    metrics& counters, const logger& log, news_handler onListed)
    : m_client(client)
    , m_protocol(protocol)
    , m_decisions(decisions)
    , m_counters(counters)
    , m_log(log)
    , m_onListed(std::move(onListed))
{
}

cache_watch::~cache_watch()
{
    for (auto& [instance, engine] : m_engines) {
        if (engine.call)
            engine.call->cancel();
    }
}

void cache_watch::tick(const serving::node_state& self, const std::vector<serving::node_state>& alive, instant now)
{
    shareOut(self, alive, now);
    askPeer(self, alive, now);
    for (auto& [instance, engine] : m_engines) {
        if (engine.call || now < engine.askAt)
            continue;
        if (engine.isToList)
            list(instance, engine);
        else
            ask(instance, engine);
    }
}

// An engine keeps only so many calls waiting and refuses the rest, so with many nodes a few watch each engine, in its
// own zone where there are any, and tell the others. One of them asks for the list when events were missed.
void cache_watch::shareOut(const serving::node_state& self, const std::vector<serving::node_state>& alive, instant now)
{
    const auto& fleet = m_decisions.fleet();
    std::uint64_t nodes = alive.size();
    for (const auto& node : alive)
        nodes += rendezvousSeed(node.vm);
    if ((nodes == m_nodesSeen && fleet.generation() == m_fleetSeen) || now < m_shareAt)
        return;
    m_nodesSeen = nodes;
    m_fleetSeen = fleet.generation();
    m_shareAt = now + sharePause;
    m_sharesWatches = alive.size() + 1 > mostNodesThatAllWatch;
    const serving::zone_duties roster(self, alive);
    std::set<std::string> mine;
    for (std::uint32_t row = 0; row < fleet.size(); ++row) {
        if (!fleet.isListed[row] || fleet.role[row] == serving::target_role::plain)
            continue;
        const auto& instance = fleet.instance[row];
        if (m_sharesWatches && !roster.isOnDuty(instance, fleet.zone[row], watchersPerEngine))
            continue;
        mine.insert(instance);
        auto& engine = m_engines[instance];
        engine.row = { row };
        engine.name = fleet.name[row];
        engine.address = fleet.address[row];
        engine.isLister = roster.isOnDuty(instance, fleet.zone[row], 1);
    }
    std::erase_if(m_engines, [&](auto& item) {
        const bool isOver = !mine.contains(item.first);
        if (isOver && item.second.call)
            item.second.call->cancel();
        return isOver;
    });
}

// What goes wrong without it: a node that has just started takes all engines for empty, sends prompts to any of them,
// and beginnings that the fleet keeps are read again. Played with all nodes started anew in the middle of a day: 0.867
// of the worth of grown Ahnenhaus instead of 0.901, and three times as many tokens read again.
void cache_watch::askPeer(const serving::node_state& self, const std::vector<serving::node_state>& alive, instant now)
{
    if (m_isInformed || now < m_askPeerAt)
        return;
    const auto* peer = serving::peerToAsk(self, alive, [](const auto& node) { return node.isReady; });
    if (!peer)
        return;
    m_askPeerAt = now + peerPause;
    m_isInformed = ++m_peersAsked >= mostPeersAsked;
    exchange_options options;
    options.silenceTimeout = answerSlack;
    options.keepConnection = false;
    m_client.fetch({ peer->address, peer->adminPort }, { "GET", std::string(peerPath), {}, {} }, options,
        [this](const http_response* response, const exchange_failure&) { peerAnswered(response); });
}

// What goes wrong without looking at who answers: all nodes are lost together, each asks a peer that knows the few
// engines of its own, and none asks again.
void cache_watch::peerAnswered(const http_response* response)
{
    const auto caches = response ? decodeCaches(response->body) : std::nullopt;
    m_log.write(log_event::caches_told,
        { { "parts", caches ? caches->parts.size() : 0 }, { "answered", caches.has_value() },
            { "complete", caches && caches->isComplete } });
    if (!caches)
        return;
    m_wasToldAll |= caches->isComplete;
    m_isInformed |= caches->isComplete;
    told(caches->parts);
}

known_caches cache_watch::known(instant now) const
{
    const auto& fleet = m_decisions.fleet();
    known_caches out;
    out.isComplete = m_wasToldAll || now >= m_startedAt + listsTime;
    for (std::uint32_t row = 0; row < fleet.size(); ++row) {
        if (!fleet.isListed[row])
            continue;
        for (const auto& part : m_decisions.cachedParts({ row }))
            out.parts.push_back({ fleet.instanceHash[row], part.id, static_cast<std::uint32_t>(part.tokens) });
    }
    return out;
}

std::vector<cache_news> cache_watch::takeNews(std::size_t most)
{
    std::vector<cache_news> out;
    while (!m_news.empty() && out.size() < most) {
        out.push_back(m_news.front());
        m_news.pop_front();
    }
    return out;
}

void cache_watch::told(const std::vector<cache_news>& news)
{
    for (const auto& item : news) {
        const target_id row = m_decisions.fleet().findByHash(item.target);
        if (row.isValid())
            m_decisions.applyCacheEvents(row, { { item.part, item.tokens } });
    }
}

void cache_watch::ask(const std::string& instance, watched_engine& engine)
{
    exchange_options options;
    options.silenceTimeout = longestWait + answerSlack;
    engine.call = m_client.fetch(parseEndpoint(engine.address),
        m_protocol.cacheEvents(engine.next, longestWait, engine.name), options,
        [this, instance](const http_response* response, const exchange_failure&) { answered(instance, response); });
}

// What goes wrong without the second check: a row is another target's as soon as its former target has gone, some 300
// ms before the engines are shared out again, and what the former one kept is believed of the new one.
cache_watch::watched_engine* cache_watch::calledEngine(const std::string& instance)
{
    const auto found = m_engines.find(instance);
    if (found == m_engines.end())
        return nullptr;
    auto& engine = found->second;
    engine.call = nullptr;
    return m_decisions.fleet().instance[engine.row.value] == instance ? &engine : nullptr;
}

void cache_watch::answered(const std::string& instance, const http_response* response)
{
    auto* called = calledEngine(instance);
    if (!called)
        return;
    auto& engine = *called;
    const auto report
        = response && response->status == 200 ? m_protocol.decodeCacheEvents(response->body) : std::nullopt;
    engine.askAt = boot_clock::now() + (report ? batchPause : failurePause);
    m_counters.count("tamarack_cache_reports_total", { { "result", report ? "read" : "failed" } });
    if (report)
        take(instance, engine, *report);
}

void cache_watch::take(const std::string& instance, watched_engine& engine, const cache_report& report)
{
    const bool isRestarted = engine.hasEpoch && report.epoch != engine.epoch;
    if (isRestarted || report.isGapped)
        m_log.write(log_event::cache_view_restarted,
            { { "target", instance }, { "restarted", isRestarted }, { "gap", report.isGapped } });
    if (isRestarted)
        m_decisions.forgetCache(engine.row);
    engine.epoch = report.epoch;
    engine.hasEpoch = true;
    engine.next = report.next;
    engine.isToList = report.isGapped && engine.isLister;
    m_decisions.applyCacheEvents(engine.row, report.events);
    if (m_sharesWatches)
        keepNews(engine, report.events);
}

// What goes wrong without it: after the loss of all nodes nobody knows what the engines keep from before the last
// events, and most beginnings are read again.
void cache_watch::list(const std::string& instance, watched_engine& engine)
{
    exchange_options options;
    options.silenceTimeout = longestWait + answerSlack;
    engine.isToList = false;
    engine.call = m_client.fetch(parseEndpoint(engine.address), m_protocol.cacheList(engine.name), options,
        [this, instance](const http_response* response, const exchange_failure&) { listed(instance, response); });
}

void cache_watch::listed(const std::string& instance, const http_response* response)
{
    auto* called = calledEngine(instance);
    if (!called)
        return;
    auto& engine = *called;
    const auto all = response && response->status == 200 ? m_protocol.decodeCacheList(response->body) : std::nullopt;
    m_counters.count("tamarack_cache_lists_total", { { "result", all ? "read" : "failed" } });
    if (!all)
        return; // the events go on telling what changes
    engine.epoch = all->epoch;
    engine.next = all->next;
    m_decisions.replaceCacheParts(engine.row, all->events);
    // What goes wrong if it waits for heartbeats: after the loss of all nodes there are some thousand parts to tell, of
    // which heartbeats carry a dozen each, and for seconds beginnings that the fleet keeps are read again.
    if (m_sharesWatches)
        m_onListed(newsOf(engine, all->events));
}

// Small parts are not followed, and that a part is gone is news only if it was told before.
std::vector<cache_news> cache_watch::newsOf(watched_engine& engine, const std::vector<serving::cache_event>& events)
{
    std::vector<cache_news> out;
    for (const auto& event : events) {
        const bool isKept = event.tokens >= serving::prompt_cache_map::minPartTokens;
        const bool isNews
            = isKept ? engine.toldParts.insert(event.part).second : engine.toldParts.erase(event.part) > 0;
        if (!isNews)
            continue;
        out.push_back({ m_decisions.fleet().instanceHash[engine.row.value], event.part,
            static_cast<std::uint32_t>(isKept ? event.tokens : 0) });
    }
    return out;
}

void cache_watch::keepNews(watched_engine& engine, const std::vector<serving::cache_event>& events)
{
    for (const auto& news : newsOf(engine, events))
        m_news.push_back(news);
    while (m_news.size() > mostNews)
        m_news.pop_front();
}

}
