// Passes calls of peers on to targets that the peers do not reach.
#pragma once

#include "detour_protocol.h"
#include "gateway/target_protocol.h"
#include "target_notices.h"

#include "http/http_client.h"
#include "http/http_server.h"
#include "observe/logger.h"
#include "observe/metrics.h"
#include "serving/dispatcher.h"

#include <memory>
#include <string>

namespace tamarack {

/// Each call is sent once, to the target that the peer has chosen, and never by a further node. The peer decides about
/// everything else: retries, deadlines, and what its caller gets.
class detour_server {
public:
    struct dependencies {
        http_client& client;
        const target_protocol& protocol;
        serving::dispatcher& decisions;
        target_notices& notices;
        metrics& counters;
        const logger& log;
    };

    /// At most `maxCalls` calls are in progress; further ones are refused, and so are calls that do not name `key`.
    detour_server(
        dependencies parts, std::size_t maxCalls, std::string key, std::shared_ptr<client_budget> budget = nullptr);

    /// Returns false if the address cannot be bound.
    bool listen(const endpoint& address);
    void setLimits(const http_server_limits& limits) { m_server.setLimits(limits); }
    /// Refuses calls from now on. Those in progress go on.
    void beginDrain();
    std::size_t callsInProgress() const { return m_calls; }

private:
    struct passed_call;
    using call_ptr = std::shared_ptr<passed_call>;

    void handle(http_request request, const std::shared_ptr<response_writer>& writer);
    /// Why the call is not sent to the target; nothing if it is.
    std::optional<detour_answer> refusalOf(target_id target, instant now) const;
    void pass(const call_ptr& call, const http_request& request);
    void onHead(const call_ptr& call, const http_response_head& head);
    void onBody(const call_ptr& call, std::string_view bytes);
    void onFailure(const call_ptr& call, const exchange_failure& failure);
    void finish(const call_ptr& call, detour_outcome outcome, std::string_view reason = {});

    dependencies m_parts;
    std::size_t m_maxCalls;
    std::string m_key; // never empty while calls are taken
    std::size_t m_calls = 0;
    bool m_isDraining = false;
    http_server m_server;
};

}
