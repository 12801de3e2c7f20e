// What a node answers besides callers' requests: readiness, entry addresses, its state, its metrics.
#pragma once

#include "gateway/caller_protocol.h"
#include "gateway/gateway_settings.h"

#include "http/http_server.h"
#include "observe/metrics.h"
#include "serving/node_directory.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tamarack {

class service_pages {
public:
    struct sources {
        const caller_protocol& callers;
        const serving::node_directory& nodes;
        const metrics& counters;
        std::function<serving::node_state()> self;
        std::function<std::string()> state; ///< encoded, for a peer that lacks something
        std::function<std::string()> configuration; ///< the same, only that
        std::function<std::string()> caches; ///< encoded, for a peer that has just started
    };

    explicit service_pages(sources from);

    /// Empty, or the address that cannot be listened on.
    std::string listen(const gateway_settings& settings);
    void setLongestEntryLifetime(duration lifetime) { m_longestEntryLifetime = lifetime; }
    /// Callers may keep an answer on entry addresses this long, some of them three times as long.
    static duration entryLifetime();

private:
    void answerReady(const http_request& request, const std::shared_ptr<response_writer>& asker);
    void answerEntries(const http_request& request, const std::shared_ptr<response_writer>& asker);
    void answerPeer(const http_request& request, const std::shared_ptr<response_writer>& asker);
    /// An answer that can be long; refused while too many such are on their way.
    void answerLong(const std::shared_ptr<response_writer>& asker, const std::function<std::string()>& body);
    void answerMetrics(const http_request& request, const std::shared_ptr<response_writer>& asker);

    sources m_from;
    http_server m_ready;
    http_server m_entries;
    http_server m_peers;
    http_server m_metrics;
    duration m_longestEntryLifetime = duration::zero();
    std::vector<std::weak_ptr<response_writer>> m_longAnswers; // that may still be on their way
    std::size_t m_entryTurn = 0; // so that callers do not all begin with the same node
};

}
