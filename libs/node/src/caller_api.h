// Provides the HTTP interface for callers: the list of entry addresses, completions, and calls to plain services.
#pragma once

#include "completion_request.h"
#include "idempotency_handler.h"
#include "relay.h"

#include "decide/control_system.h"
#include "http/http_server.h"
#include "settings/node_settings.h"

#include <functional>
#include <memory>

namespace tamarack {

/// Accepts a request for routing. The callback, if set, is called with the outcome when the request has ended.
using request_submitter
    = std::function<void(relay_input, std::shared_ptr<response_writer>, std::function<void(const relay::outcome&)>)>;
/// Returns the reason why new requests are refused at present, or nothing if they are accepted.
using admission_check = std::function<std::optional<error_kind>()>;

/// Validates requests of callers and submits them. The referenced objects must outlive it.
class caller_api {
public:
    caller_api(const node_settings& settings, const control_system& control, const traffic_system& traffic,
        idempotency_handler& keys, metrics& counters, request_submitter submit, admission_check refusal);

    void handle(http_request request, std::shared_ptr<response_writer> caller);
    /// Returns the response to input that is not a valid HTTP request, and counts the refusal.
    http_response refusal(error_kind kind, std::string_view detail);

private:
    using caller_ptr = std::shared_ptr<response_writer>;

    void entries(const http_request& request, const caller_ptr& caller);
    void completion(http_request request, bool isChat, const caller_ptr& caller);
    void plainCall(http_request request, const caller_ptr& caller);
    /// Submits a non-idempotent call after the key's home node has permitted this node to run it.
    void submitKeyed(const std::string& key, const std::string& service, relay_input input, const caller_ptr& caller);
    void refuse(const caller_ptr& caller, error_kind kind, std::string_view detail);
    /// Sets the fields of `input` that derive from the headers. Returns false if a header is invalid; the error
    /// response has then been sent.
    bool parseHeaders(
        const http_request& request, const service_entry& service, relay_input& input, const caller_ptr& caller);
    bool isNonIdempotent(const service_entry& service, const std::string& method, std::string_view path) const;

    const node_settings& m_settings;
    const control_system& m_control;
    const traffic_system& m_traffic;
    idempotency_handler& m_keys;
    metrics& m_counters;
    request_submitter m_submit;
    admission_check m_refusal;
};

}
