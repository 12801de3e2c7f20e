// Implements the gauges of a node.
#include "node_gauges.h"

namespace tamarack {

using namespace std::chrono_literals;

namespace {

    /// Interval at which gauges are updated.
    constexpr duration updateInterval = 500ms;

}

node_gauges::node_gauges(sources from)
    : m_sources(from)
{
}

void node_gauges::update(instant now)
{
    if (now < m_nextAt)
        return;
    m_nextAt = now + updateInterval;
    updateTargets(now);
    updateBuilds();
    updateQuarantine();
    updateKnowledge(now);
    updateTraffic();
}

void node_gauges::updateTargets(instant now)
{
    const auto& decisions = m_sources.decisions;
    const auto& fleet = decisions.fleet();
    auto& counters = m_sources.counters;
    int known = 0;
    int draining = 0;
    int resting = 0;
    std::map<std::string, int> limited; // by service
    for (std::uint32_t row = 0; row < fleet.size(); ++row) {
        known += fleet.isListed[row];
        draining += fleet.isListed[row] && fleet.isLeaving({ row });
        resting += fleet.isListed[row] && fleet.isResting({ row }, now);
        if (fleet.isListed[row] && fleet.isLimited[row])
            ++limited[fleet.service[row]];
    }
    counters.set("tamarack_targets_known", known);
    counters.set("tamarack_targets_draining", draining);
    counters.set("tamarack_targets_resting", resting);
    for (const auto& service : fleet.services()) {
        counters.set("tamarack_targets_unreached", static_cast<double>(decisions.paths().countLost(service)),
            { { "service", service } });
        counters.set("tamarack_targets_limited", limited[service], { { "service", service } });
        counters.set("tamarack_predicted_wait_seconds", seconds(decisions.predictedWait(service, now)),
            { { "service", service } });
    }
}

void node_gauges::updateBuilds()
{
    const auto& fleet = m_sources.decisions.fleet();
    for (auto& [labels, listed] : m_targetsByBuild)
        listed = 0;
    for (std::uint32_t row = 0; row < fleet.size(); ++row) {
        if (fleet.isListed[row])
            ++m_targetsByBuild[{ fleet.service[row], fleet.build[row] }];
    }
    for (const auto& [labels, listed] : m_targetsByBuild)
        m_sources.counters.set(
            "tamarack_targets_by_build", listed, { { "service", labels.first }, { "build", labels.second } });
}

void node_gauges::updateQuarantine()
{
    auto& counters = m_sources.counters;
    const auto requests = m_sources.decisions.quarantine().countOf(trait_kind::repeat);
    counters.set("tamarack_quarantined_requests", static_cast<double>(requests.quarantined));
    counters.set("tamarack_suspected_requests", static_cast<double>(requests.suspected));
    const auto parts = m_sources.decisions.quarantine().countOf(trait_kind::prompt_part);
    counters.set("tamarack_quarantined_parts", static_cast<double>(parts.quarantined));
    counters.set("tamarack_suspected_parts", static_cast<double>(parts.suspected));
}

void node_gauges::updateKnowledge(instant now)
{
    const auto& view = m_sources.view;
    auto& counters = m_sources.counters;
    counters.set("tamarack_nodes_known", m_sources.nodes.knownCount());
    counters.set("tamarack_nodes_alive", static_cast<double>(m_sources.nodes.alive(now).size()) + 1);
    counters.set("tamarack_store_reachable", view.storeReach() == serving::store_reach::reached ? 1 : 0);
    counters.set("tamarack_store_topic_reachable", view.isConfigurationTopicReachable() ? 1 : 0,
        { { "topic", "configuration" } });
    counters.set("tamarack_store_topic_reachable", view.isTargetTopicReachable() ? 1 : 0, { { "topic", "targets" } });
    counters.set("tamarack_reads_store_for_zone", view.isReader() ? 1 : 0);
    counters.set("tamarack_configuration_age_seconds", seconds(view.configurationAge(now)));
    counters.set("tamarack_target_list_age_seconds", seconds(view.targetsAge(now)));
}

void node_gauges::updateTraffic()
{
    const auto& decisions = m_sources.decisions;
    const auto& peers = m_sources.peers;
    auto& counters = m_sources.counters;
    counters.set("tamarack_stream_origins_kept", static_cast<double>(decisions.origins().notesKept()));
    counters.set("tamarack_requests_held", static_cast<double>(decisions.held()));
    counters.set("tamarack_requests_waiting", static_cast<double>(decisions.waiting()));
    counters.set("tamarack_caller_connections", m_sources.callers.connectionCount());
    counters.set("tamarack_caller_unsent_bytes", static_cast<double>(m_sources.callers.unsentBytesHeld()));
    counters.set("tamarack_target_connections_made", static_cast<double>(m_sources.client.connectionsMade()));
    counters.set("tamarack_processor_busy_percent", m_sources.processor.busyPercent());
    counters.set("tamarack_log_lines_left_out", static_cast<double>(m_sources.log.linesLeftOut()));
    counters.set("tamarack_peer_undecodable", static_cast<double>(peers.undecodable()));
    counters.set("tamarack_peer_datagrams_sent", static_cast<double>(peers.counts().sent));
    counters.set("tamarack_peer_bytes_sent", static_cast<double>(peers.counts().sentBytes));
    counters.set("tamarack_peer_datagrams_heard", static_cast<double>(peers.counts().received));
}

}
