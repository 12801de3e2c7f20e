// Interface between the gateway and the callers' wire protocol: decodes HTTP requests into typed messages and encodes
// the responses. Each wire protocol has its own implementation.
#pragma once

#include "accounts/caller_access.h"
#include "base/error_kind.h"
#include "http/http_message.h"
#include "serving/serving_request.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace tamarack {

/// A caller's request, decoded once on arrival.
struct caller_request {
    std::string id; ///< unique per request; a retry by the caller has another id
    std::string host;
    std::string path;
    std::optional<duration> timeLeft; ///< time until the caller's deadline; empty if the caller sent none
    std::optional<serving::prompt> text; ///< set for requests that carry a prompt
    std::string lastEventId; ///< id of the last event received of a stream to resume; empty: a new stream
    std::string firstCallId; ///< id of the call that brought the first event of the stream to resume; empty: not named
    credential sentCredential;
};

/// Reason why a request cannot be decoded; names the header or field.
struct request_fault {
    std::string detail;
};

/// Request for the addresses of nodes that accept callers.
struct entry_query {
    std::string availabilityZone; ///< the caller's; empty if the request names none
};

struct entry_answer {
    std::vector<std::string> addresses; ///< `ip:port`
    duration lifetime = duration::zero(); ///< how long callers may cache the answer
};

class caller_protocol {
public:
    virtual ~caller_protocol() = default;
    virtual std::variant<caller_request, request_fault> decode(const http_request& request) const = 0;
    /// Removes the headers that carry a credential, so that no key leaves the node with the request.
    virtual void removeCredentials(http_request& request) const = 0;
    virtual http_response refusal(error_kind kind, std::string_view detail, duration retryAfter) const = 0;
    /// Returns nothing if the request does not ask for entry addresses.
    virtual std::optional<entry_query> decodeEntryQuery(const http_request& request) const = 0;
    virtual http_response entries(const entry_answer& answer) const = 0;
    /// Whether the request is a readiness probe for this node.
    virtual bool isReadinessProbe(const http_request& request) const = 0;
};

}
