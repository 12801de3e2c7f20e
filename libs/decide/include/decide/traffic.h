// Types exchanged between the request path and the traffic decisions: request properties, commands and attempt results.
#pragma once

#include "base/clock.h"
#include "base/error_kind.h"
#include "base/ids.h"
#include "quarantine/request_digest.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace tamarack {

/// Properties of a request that admission and routing depend on.
struct request_shape {
    service_id service;
    request_digest digest; ///< the same for all tries of the request
    bool isUrgent = false;
    bool isIdempotent = true;
    int depth = 0; ///< 0 for a request from a caller, higher for calls nested in another request
    std::uint64_t account = 0; ///< hash of the caller account
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; ///< maximum number of output tokens
    std::uint64_t prefixHash = 0; ///< hash of the prompt's first piece, or 0 if there is none
    duration deadline = duration::zero(); ///< counted from arrival; zero selects the policy's default
};

/// The part of a request that one attempt executes.
enum class request_stage : unsigned char {
    whole, ///< prefill and decode at one target
    prefill, ///< prefill only; another engine then imports the KV cache
    decode ///< decode only, from an imported KV cache
};

/// Command to send the request to the target now.
struct start_attempt {
    request_id request;
    attempt_id attempt;
    target_id target;
    request_stage stage = request_stage::whole;
    target_id kvSource; ///< for stage decode: the engine that holds the KV cache
    int priority = 0; ///< scheduling priority at the target; higher runs first
};

/// Command to answer the request with an error now.
struct refuse_request {
    request_id request;
    error_kind kind = error_kind::overloaded;
    duration retryAfter = duration::zero();
};

using traffic_command = std::variant<start_attempt, refuse_request>;
using traffic_commands = std::vector<traffic_command>;

/// Outcome of one attempt.
enum class attempt_result : unsigned char {
    answered, ///< the whole answer was received, or stage prefill has completed
    not_sent, ///< no byte was sent
    refused, ///< the target reported that it did not execute the request
    cut, ///< part of the answer was received, and it can be resumed
    maybe_run, ///< sent, but no usable answer was received
    kv_missing, ///< for stage decode: the KV cache could not be imported
    count
};

}
