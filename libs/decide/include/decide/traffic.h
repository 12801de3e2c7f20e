// The messages of the request path: what the node tells the decisions, and what they answer.
#pragma once

#include "base/clock.h"
#include "base/error_kind.h"
#include "base/ids.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace tamarack {

/// A request as far as routing needs it.
struct request_shape {
    service_id service;
    bool isUrgent = false;
    bool isIdempotent = true;
    int depth = 0; ///< 0 from a caller, above for calls nested in another request
    std::uint64_t account = 0; ///< hash
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; ///< the most it may produce
    std::uint64_t prefixHash = 0; ///< of the prompt's first piece; 0: none
    duration deadline = duration::zero(); ///< from arrival; zero: the policy's default
};

enum class request_stage : unsigned char {
    whole, ///< prompt and answer at one target
    prefill, ///< the prompt only; its KV cache is then imported by another engine
    decode ///< the answer, from an imported KV cache
};

/// Send the request to the target now.
struct start_attempt {
    request_id request;
    attempt_id attempt;
    target_id target;
    request_stage stage = request_stage::whole;
    target_id kvSource; ///< stage decode: the engine that holds the KV cache
    int priority = 0; ///< higher goes first at the target
};

/// Answer the request with an error now.
struct refuse_request {
    request_id request;
    error_kind kind = error_kind::overloaded;
    duration retryAfter = duration::zero();
};

using traffic_command = std::variant<start_attempt, refuse_request>;
using traffic_commands = std::vector<traffic_command>;

enum class attempt_result : unsigned char {
    answered, ///< the whole answer came, or stage prefill is done
    not_sent, ///< no byte can have left
    refused, ///< the target said that it did not run it
    cut, ///< some of the answer came, and it can be resumed
    maybe_run, ///< sent, and no usable answer came
    kv_missing, ///< stage decode: the KV cache could not be imported
    count
};

}
