// Makes the calls to targets that are no attempts of a request, such as polls: to the target itself, or by a detour.
#pragma once

#include "detour_protocol.h"

#include "http/http_client.h"
#include "serving/dispatcher.h"

#include <functional>
#include <memory>

namespace tamarack {

/// Orders are not made here: an engine takes a call for that of the machine from which it comes.
class target_calls {
public:
    using handler = std::function<void(const http_response* response, const exchange_failure& failure)>;

    target_calls(http_client& client, serving::dispatcher& decisions);

    /// Calls the target and learns from the outcome whether this node reaches it. `done` gets the target's response, or
    /// null and the failure. Returns the exchange, which may be cancelled.
    std::shared_ptr<http_exchange> fetch(
        target_id target, http_request request, exchange_options options, handler done);

private:
    std::shared_ptr<http_exchange> fetchByDetour(target_id target, const serving::detour_peer& detour,
        http_request request, const exchange_options& options, handler done);
    void learn(
        const std::string& instance, const http_response* response, const exchange_failure& failure, instant startedAt);
    void learnFromPeer(const std::string& instance, const std::string& vm, const detour_answer& answer);

    http_client& m_client;
    serving::dispatcher& m_decisions;
};

}
