// A request as far as the decisions need it, and what the decisions answer.
#pragma once

#include "base/clock.h"
#include "base/error_kind.h"
#include "base/ids.h"
#include "serving/serving_configuration.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tamarack::serving {

/// A piece of a prompt. Requests share the first pieces; the last one is the request's own.
struct prompt_part {
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
};

struct prompt {
    std::vector<prompt_part> parts; ///< in order
    std::int64_t inputTokens = 0;
    std::int64_t outputTokens = 0; ///< the most it may produce
};

struct serving_request {
    std::string id; ///< the caller's, unique for each of its tries
    std::shared_ptr<const serving_configuration> configuration; ///< in force on arrival; owns `route`
    const route_rule* route = nullptr;
    std::string service;
    duration patience = duration::zero(); ///< from arrival, after which the caller has no use for the answer
    std::optional<prompt> text;
};

/// What a target is asked to do with a request.
enum class attempt_stage : unsigned char {
    whole, ///< the answer, with the prompt if there is one
    prefill, ///< the prompt only; the KV cache is then exported. The request has not run yet
    decode ///< the answer, from an imported KV cache
};

/// An exported KV cache, held at the target that made it.
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
    cache_handle cache; ///< stage decode: what to import
    target_id fetchFrom; ///< an engine that keeps more of the prompt's beginning; invalid if none does
    duration timeLeft = duration::zero(); ///< after which the answer is of no use
    int urgency = 0; ///< 0 goes first at the target
    /// A kept connection that has been idle for longer is not used; zero: only a new one is.
    duration longestIdle = duration::zero();
    // What decided it, for the log.
    double predictedSeconds = 0; ///< until the stage's answer begins
    double work = 0; ///< tokens of prompt work it adds to the target
    double waitSeconds = 0; ///< for what the target was thought to read before it
    bool isLate = false; ///< it cannot be within its aim any more
};

/// Stop the attempt: its answer is not wanted any more.
struct stop_attempt {
    request_id request;
    attempt_id attempt;
};

/// Answer the request with an error now; it is over.
struct refuse_request {
    request_id request;
    error_kind kind = error_kind::overloaded;
    duration retryAfter = duration::zero();
};

/// Answer the request with the failure that its last attempt's target gave; it is over.
struct pass_failure_on {
    request_id request;
    attempt_id attempt;
};

/// Free an exported KV cache that nobody will take.
struct release_cache {
    cache_handle cache;
};

using command = std::variant<start_attempt, stop_attempt, refuse_request, pass_failure_on, release_cache>;
using command_list = std::vector<command>;

enum class attempt_result : unsigned char {
    answered, ///< the whole answer went to the caller
    prefilled, ///< stage prefill is done
    unreached, ///< no byte can have left
    rejected, ///< the target said that it did not run it, for lack of room
    misdirected, ///< the same, since the target is not the one it was taken for
    failure_answer, ///< the target's own failure; it can be passed on
    broken, ///< no usable answer, and none of it went to the caller: it may have run
    cut, ///< a part of the answer went to the caller
    count
};

}
