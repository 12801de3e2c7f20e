// Implements the table of error responses.
#include "base/error_kind.h"

#include "base/contract.h"

#include <array>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    constexpr auto noRetry = duration::zero();

    constexpr std::array<error_answer, static_cast<std::size_t>(error_kind::count)> table { {
        { error_kind::bad_request, "bad-request", 400, ran::no, noRetry, "The request cannot be understood" },
        { error_kind::unauthorized, "unauthorized", 401, ran::no, noRetry,
            "The request needs the API key of a client account" },
        { error_kind::header_too_large, "header-too-large", 431, ran::no, noRetry,
            "The request's header is too large" },
        { error_kind::body_too_large, "body-too-large", 413, ran::no, noRetry, "The request's body is too large" },
        { error_kind::request_timeout, "request-timeout", 408, ran::no, noRetry, "The request did not arrive whole" },
        { error_kind::unknown_service, "unknown-service", 404, ran::no, noRetry, "No such service or model" },
        { error_kind::home_required, "home-required", 428, ran::no, noRetry,
            "A non-idempotent request needs Idempotency-Key and Tamarack-Home" },
        { error_kind::key_moved, "key-moved", 409, ran::no, noRetry, "Another node was given this key" },
        { error_kind::account_limit, "account-limit", 429, ran::no, 1s, "The account's limit is reached" },
        { error_kind::overloaded, "overloaded", 503, ran::no, 1s, "No capacity for this request now" },
        { error_kind::deadline_unreachable, "deadline-unreachable", 503, ran::no, 1s,
            "The answer could not be ready before the deadline" },
        { error_kind::no_target, "no-target", 503, ran::no, 2s, "No target of the service takes work now" },
        { error_kind::stream_not_resumable, "stream-not-resumable", 503, ran::no, 2s,
            "No target can go on with this stream now; come back, or ask for the answer anew" },
        { error_kind::harmful_request, "harmful-request", 502, ran::no, noRetry,
            "Targets ended while they ran this request or others with the same part of a prompt, so it is not sent "
            "on" },
        { error_kind::suspect_request, "suspect-request", 503, ran::no, 2s,
            "Targets ended under requests with the same part of a prompt; come back when one of them was tried" },
        { error_kind::not_ready, "not-ready", 503, ran::no, 1s, "This node does not know the configuration in force" },
        { error_kind::stopping, "stopping", 503, ran::no, 1s,
            "This node is stopping; ask for the entry addresses again" },
        { error_kind::target_unreachable, "target-unreachable", 502, ran::no, 1s, "No target could be reached" },
        { error_kind::outcome_unknown, "outcome-unknown", 502, ran::unknown, noRetry,
            "The request may or may not have run" },
        { error_kind::answer_cut, "answer-cut", 502, ran::yes, 1s, "The answer ended early and could not be resumed" },
        { error_kind::attempt_timeout, "attempt-timeout", 504, ran::unknown, 1s, "The target stayed silent" },
        { error_kind::internal, "internal", 500, ran::unknown, noRetry, "The node failed" },
    } };

    constexpr bool isComplete()
    {
        for (std::size_t i = 0; i < table.size(); ++i) {
            if (static_cast<std::size_t>(table[i].kind) != i)
                return false;
        }
        return true;
    }
    static_assert(isComplete(), "every error kind has its row, in the order of the enumeration");

}

const error_answer& answerFor(error_kind kind)
{
    TAMARACK_ASSERT(kind < error_kind::count, "error kind out of range");
    return table[static_cast<std::size_t>(kind)];
}

std::span<const error_answer> errorAnswers() { return table; }

std::string_view toString(ran executed)
{
    constexpr std::array<std::string_view, 3> names { "no", "unknown", "yes" };
    return names[static_cast<std::size_t>(executed)];
}

}
