// Waiting calls, one after the other.
#include "cache_watch.h"

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// Calls that wait are free for the engine; this is the longest that it allows.
    constexpr duration longestWait = 1s;
    constexpr duration answerSlack = 1s;
    /// After an answer with events, so that they come in batches: each call costs an engine and a node some work.
    constexpr duration batchPause = 100ms;
    constexpr duration failurePause = 1s;

}

cache_watch::cache_watch(http_client& client, const target_protocol& protocol, serving::dispatcher& decisions,
    metrics& counters, const logger& log)
    : m_client(client)
    , m_protocol(protocol)
    , m_decisions(decisions)
    , m_counters(counters)
    , m_log(log)
{
}

cache_watch::~cache_watch()
{
    for (auto& [instance, engine] : m_engines) {
        if (engine.call)
            engine.call->cancel();
    }
}

void cache_watch::tick(instant now)
{
    const auto& fleet = m_decisions.fleet();
    for (std::uint32_t row = 0; row < fleet.size(); ++row) {
        if (!fleet.isListed[row] || fleet.role[row] == serving::target_role::plain)
            continue;
        auto& engine = m_engines[fleet.instance[row]];
        engine.row = { row };
        engine.address = fleet.address[row];
    }
    std::erase_if(m_engines, [&](auto& item) {
        const target_id id = fleet.find(item.first);
        const bool isGone = !id.isValid() || !fleet.isListed[id.value];
        if (isGone && item.second.call)
            item.second.call->cancel();
        return isGone;
    });
    for (auto& [instance, engine] : m_engines) {
        if (!engine.call && now >= engine.askAt)
            ask(instance, engine);
    }
}

void cache_watch::ask(const std::string& instance, watched_engine& engine)
{
    exchange_options options;
    options.silenceTimeout = longestWait + answerSlack;
    engine.call = m_client.fetch(parseEndpoint(engine.address),
        m_protocol.cacheEvents(engine.next, longestWait, instance), options,
        [this, instance](const http_response* response, const exchange_failure&) { answered(instance, response); });
}

void cache_watch::answered(const std::string& instance, const http_response* response)
{
    const auto found = m_engines.find(instance);
    if (found == m_engines.end())
        return;
    auto& engine = found->second;
    engine.call = nullptr;
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
        m_decisions.cacheLost(engine.row);
    engine.epoch = report.epoch;
    engine.hasEpoch = true;
    engine.next = report.next;
    m_decisions.cacheTold(engine.row, report.events);
}

}
