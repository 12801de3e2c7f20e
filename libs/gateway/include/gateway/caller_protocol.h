// The port to callers: their HTTP to typed messages and back. Implemented for each kind of wire.
#pragma once

#include "base/error_kind.h"
#include "http/http_message.h"
#include "serving/serving_request.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace tamarack {

/// What a caller's request says, decoded once.
struct caller_request {
    std::string id; ///< unique for each try of the caller
    std::string host;
    std::string path;
    std::optional<duration> patience; ///< how long the caller waits
    std::optional<serving::prompt> text; ///< of requests that carry a prompt
    std::string lastEventId; ///< the caller resumes a stream after this event; empty: from its start
};

/// What is wrong with a request, naming the header or field.
struct request_fault {
    std::string detail;
};

/// A caller asks where to connect.
struct entry_question {
    std::string availabilityZone; ///< the caller's; empty if it did not say
};

struct entry_answer {
    std::vector<std::string> addresses; ///< `ip:port`
    duration lifetime = duration::zero(); ///< for which callers may keep it
};

class caller_protocol {
public:
    virtual ~caller_protocol() = default;
    virtual std::variant<caller_request, request_fault> decode(const http_request& request) const = 0;
    virtual http_response refusal(error_kind kind, std::string_view detail, duration retryAfter) const = 0;
    /// Empty if the request is not this question.
    virtual std::optional<entry_question> decodeEntryQuestion(const http_request& request) const = 0;
    virtual http_response entries(const entry_answer& answer) const = 0;
    /// Whether the request asks if this node is ready.
    virtual bool isReadyQuestion(const http_request& request) const = 0;
};

}
