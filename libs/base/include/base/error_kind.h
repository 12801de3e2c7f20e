// The closed list of errors that a caller can be told, and what each one means.
#pragma once

#include "base/clock.h"

#include <span>
#include <string_view>

namespace tamarack {

enum class error_kind : unsigned char {
    bad_request,
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
    not_ready,
    stopping,
    target_unreachable,
    outcome_unknown,
    answer_cut,
    attempt_timeout,
    internal,
    count
};

/// Whether the request was executed, as far as the answer can promise.
enum class ran : unsigned char { no, unknown, yes };

/// What a caller is told for one kind of error.
struct error_answer {
    error_kind kind;
    std::string_view type; ///< last part of the RFC 9457 `type`
    int status; ///< HTTP status
    ran executed;
    duration retryAfter; ///< default; zero when asking again cannot help
    std::string_view title;
};

/// The row for `kind`. The table is complete and in the order of the enumeration.
const error_answer& answerFor(error_kind kind);
/// All rows, for documentation and tests.
std::span<const error_answer> errorAnswers();
std::string_view toString(ran);

}
