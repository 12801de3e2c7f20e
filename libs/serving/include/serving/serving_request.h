// Defines requests as the routing decisions see them, and the commands that the decisions return.
#pragma once

#include "base/clock.h"
#include "base/error_kind.h"
#include "base/ids.h"
#include "quarantine/request_digest.h"
#include "serving/serving_configuration.h"
#include "serving/stream_origins.h"
#include "serving/target_paths.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace tamarack::serving {

/// A part of a prompt. Requests share leading parts; the last part belongs to one request only.
struct prompt_part {
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
};

struct prompt {
    std::vector<prompt_part> parts; ///< in order of the prompt
    std::int64_t inputTokens = 0;
    std::int64_t outputTokens = 0; ///< upper limit
};

/// The parts that other requests may have as well: all but the last one.
inline std::span<const prompt_part> sharedParts(const prompt& text)
{
    return std::span(text.parts).first(text.parts.empty() ? 0 : text.parts.size() - 1);
}

struct serving_request {
    std::string id; ///< given by the caller, unique for each of its tries
    request_digest digest; ///< the same for all tries
    std::shared_ptr<const serving_configuration> configuration; ///< in force on arrival; owns `route`
    const route_rule* route = nullptr;
    std::string service;
    std::string account; ///< name of the client account; empty if the route is public or there are no accounts
    int priority = 0; ///< of the account if it has one, otherwise of the route; 0 is the highest
    duration callerTimeout = duration::zero(); ///< from arrival; after it the caller no longer waits for the answer
    std::optional<prompt> text;
    bool takesUpStream = false; ///< it asks for the rest of a stream that an earlier call began
    std::string firstCallId; ///< of the call that brought the stream's first event; empty: not named
};

/// What a target is asked to do with a request.
enum class attempt_stage : unsigned char {
    whole, ///< prefill, if there is a prompt, and the answer
    prefill, ///< only the prompt, whose KV cache is then exported; the request has not run yet
    decode ///< the answer, from an imported KV cache
};

/// An exported KV cache, held by the target that produced it.
struct cache_handle {
    target_id source;
    std::string name;
};

/// Send the request to the target now.
struct start_attempt {
    request_id request;
    attempt_id attempt;
    target_id target;
    attempt_stage stage = attempt_stage::whole;
    cache_handle cache; ///< for the decode stage: the KV cache to import
    std::optional<detour_peer> detour; ///< the peer that passes the attempt on; empty: it is sent to the target itself
    target_id fetchFrom; ///< an engine with a longer cached prefix of the prompt; invalid if there is none
    duration timeLeft = duration::zero(); ///< after which the answer is of no use
    int urgency = 0; ///< 0 is the most urgent at the target
    /// An idle connection that has been unused for longer is not used; zero: only a new connection is.
    duration longestIdle = duration::zero();
    // The predictions behind the choice, for the log.
    double predictedSeconds = 0; ///< until the stage's answer begins
    double work = 0; ///< prefill work that the request adds to the target, in tokens
    double waitSeconds = 0; ///< predicted wait for the jobs ahead at the target
    bool isLate = false; ///< the request cannot meet its aim any more
};

enum class stop_reason : unsigned char {
    silent, ///< the target has sent nothing for too long, and another one answers
    overtaken, ///< a target that had been silent answers before this one
    refused, ///< the request ends with an error, such as at its deadline
    caller_gone,
    count
};

/// Cancel the attempt, because its answer is not needed any more.
struct stop_attempt {
    request_id request;
    attempt_id attempt;
    stop_reason reason = stop_reason::refused;
};

/// Answer the request with an error now; this ends it.
struct refuse_request {
    request_id request;
    error_kind kind = error_kind::overloaded;
    duration retryAfter = duration::zero();
    bool isForLimits = false; ///< all targets that could answer it name limits, and this node had no permit
    bool isOnArrival = false; ///< it was refused on arrival, because it would have been started too late
    std::optional<duration> predictedWait; ///< until it would have been started; nothing if no rate is known
};

/// Answer the request with the failure answer of its last attempt's target; this ends it.
struct forward_failure {
    request_id request;
    attempt_id attempt;
};

/// The origin of the stream that the request takes up is found, or cannot be. Only for the log.
struct report_origin {
    origin_finding finding;
};

/// Free an exported KV cache that will not be imported.
struct release_cache {
    cache_handle cache;
};

using command
    = std::variant<start_attempt, stop_attempt, refuse_request, forward_failure, release_cache, report_origin>;
using command_list = std::vector<command>;

enum class attempt_result : unsigned char {
    answered, ///< the whole answer went to the caller
    prefilled, ///< the prefill stage is done
    unreached, ///< no byte can have been sent to the target, because no connection to it could be made
    not_passed_on, ///< the peer that was to pass the attempt on has not taken it
    rejected, ///< the target reported that it did not run the request, for lack of capacity
    misdirected, ///< the same, because the target is not the instance that was expected
    failure_answer, ///< the target's own failure answer, which can be forwarded
    broken, ///< no usable answer, and none of it went to the caller; the request may have run
    cut, ///< a part of the answer went to the caller
    count
};

}
