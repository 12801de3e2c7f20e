// Implements the RFC 9457 problem documents.
#include "problem_answer.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace tamarack {

namespace {

    nlohmann::ordered_json problem(error_kind kind, std::string_view detail, duration retryAfter)
    {
        const auto& row = answerFor(kind);
        nlohmann::ordered_json body;
        body["type"] = "urn:tamarackrelay:problem:" + std::string(row.type);
        body["title"] = row.title;
        body["status"] = row.status;
        body["detail"] = detail;
        body["ran"] = toString(row.executed);
        if (retryAfter > duration::zero())
            body["retry_after_seconds"] = seconds(retryAfter);
        return body;
    }

    duration effectiveRetryAfter(error_kind kind, duration retryAfter)
    {
        return retryAfter > duration::zero() ? retryAfter : answerFor(kind).retryAfter;
    }

    std::string serialize(const nlohmann::ordered_json& body)
    {
        return body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    }

}

http_response problemAnswer(error_kind kind, std::string_view detail, duration retryAfter, const std::string& extra)
{
    const duration wait = effectiveRetryAfter(kind, retryAfter);
    auto body = problem(kind, detail, wait);
    if (!extra.empty())
        body.update(nlohmann::ordered_json::parse(extra));
    http_response response;
    response.status = answerFor(kind).status;
    response.headers.set("Content-Type", "application/problem+json");
    if (wait > duration::zero())
        response.headers.set("Retry-After", std::to_string(static_cast<long>(std::ceil(seconds(wait)))));
    response.body = serialize(body);
    return response;
}

std::string problemEvent(error_kind kind, std::string_view detail, duration retryAfter)
{
    return "event: error\ndata: " + serialize(problem(kind, detail, effectiveRetryAfter(kind, retryAfter))) + "\n\n";
}

}
