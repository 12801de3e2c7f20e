// Publishes the gauges of a node.
#pragma once

#include "cluster_view.h"
#include "peer_messenger.h"
#include "processor_load.h"

#include "http/http_client.h"
#include "http/http_server.h"
#include "observe/logger.h"
#include "observe/metrics.h"
#include "serving/dispatcher.h"
#include "serving/node_directory.h"

#include <map>
#include <string>
#include <utility>

namespace tamarack {

class node_gauges {
public:
    struct sources {
        const serving::dispatcher& decisions;
        const serving::node_directory& nodes;
        const cluster_view& view;
        const http_server& callers;
        const http_client& client;
        const peer_messenger& peers;
        const processor_load& processor;
        const logger& log;
        metrics& counters;
    };

    explicit node_gauges(sources from);

    /// Updates the gauges twice a second; does nothing in between.
    void update(instant now);

private:
    void updateTargets(instant now);
    void updateBuilds();
    void updateQuarantine();
    void updateKnowledge(instant now);
    void updateTraffic();

    sources m_sources;
    instant m_nextAt;
    std::map<std::pair<std::string, std::string>, int> m_targetsByBuild; // by service and build, also of former ones
};

}
