// Defines the closed set of errors that can be returned to a caller, and the response for each of them.
#pragma once

#include "base/clock.h"

#include <span>
#include <string_view>

namespace tamarack {

enum class error_kind : unsigned char {
    bad_request,
    unauthorized,
    header_too_large,
    body_too_large,
    request_timeout,
    unknown_service,
    home_required,
    key_moved,
    account_limit,
    overloaded,
    deadline_unreachable,
    no_target,
    stream_not_resumable,
    harmful_request,
    suspect_request,
    not_ready,
    stopping,
    target_unreachable,
    outcome_unknown,
    answer_cut,
    attempt_timeout,
    internal,
    count
};

/// Whether the request was executed, as far as the response can guarantee.
enum class ran : unsigned char { no, unknown, yes };

/// The response to a caller for one kind of error.
struct error_answer {
    error_kind kind;
    std::string_view type; ///< last segment of the RFC 9457 `type` URI
    int status; ///< HTTP status
    ran executed;
    duration retryAfter; ///< default value of Retry-After; zero if a retry cannot succeed
    std::string_view title;
};

/// Returns the response for `kind`. The table has one row for each enumerator, in the order of the enumeration.
const error_answer& answerFor(error_kind kind);
/// Returns all rows of the table, for documentation and tests.
std::span<const error_answer> errorAnswers();
std::string_view toString(ran);

}
