// HTTP endpoints of a node besides callers' requests: readiness, entry addresses, state for peers, and metrics.
#pragma once

#include "gateway/caller_protocol.h"
#include "gateway/gateway_settings.h"

#include "http/http_server.h"
#include "observe/metrics.h"
#include "quarantine/request_trait.h"
#include "serving/entry_choice.h"
#include "serving/node_directory.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tamarack {

class node_endpoints {
public:
    struct sources {
        const caller_protocol& callers;
        const serving::node_directory& nodes;
        const metrics& counters;
        std::function<serving::node_state()> self;
        std::function<std::string()> state; ///< encoded state, for a peer that has just started or lags behind
        std::function<std::string()> configuration; ///< the same with the configuration only
        std::function<std::string()> caches; ///< encoded cache snapshot, for a peer that has just started
        std::function<std::string()> quarantine; ///< JSON, for operators
        /// Ends the quarantine of a request. Returns false if it is not quarantined.
        std::function<bool(const request_trait&)> release;
        /// Whether the node, which may be this one, reaches no target of some service.
        std::function<bool(const std::string& vm)> isCutOff = [](const std::string&) { return false; };
    };

    explicit node_endpoints(sources from, std::shared_ptr<client_budget> budget = nullptr);

    /// Returns an empty string, or the address on which listening failed.
    std::string listen(const gateway_settings& settings);
    /// Limits of what clients send and hold, by endpoint.
    struct limits {
        http_server_limits ready;
        http_server_limits entries;
        http_server_limits peers;
        http_server_limits metrics;
    };
    void setLimits(const limits& changed);
    void setMaxEntryLifetime(duration lifetime) { m_maxEntryLifetime = lifetime; }
    /// Time for which callers may cache entry addresses; some cache them three times as long.
    static duration entryLifetime();

private:
    void answerReady(const http_request& request, const std::shared_ptr<response_writer>& writer);
    void answerEntries(const http_request& request, const std::shared_ptr<response_writer>& writer);
    void answerPeer(const http_request& request, const std::shared_ptr<response_writer>& writer);
    void answerRelease(const http_request& request, const std::shared_ptr<response_writer>& writer);
    /// Sends a response that may be large; rejects it with 503 while too many of them are in flight.
    void sendLargeResponse(const std::shared_ptr<response_writer>& writer, const std::function<std::string()>& body);
    void answerMetrics(const http_request& request, const std::shared_ptr<response_writer>& writer);

    sources m_sources;
    http_server m_ready;
    http_server m_entries;
    http_server m_peers;
    http_server m_metrics;
    duration m_maxEntryLifetime = duration::zero();
    std::vector<std::weak_ptr<response_writer>> m_largeResponses; // large responses that may still be in flight
    serving::entry_choice m_entryChoice;
};

}
