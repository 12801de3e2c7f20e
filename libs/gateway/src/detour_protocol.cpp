// Implements the headers of calls that a peer passes on.
#include "detour_protocol.h"

#include <algorithm>
#include <array>

namespace tamarack {

namespace {

    constexpr std::string_view targetHeader = "Tamarack-Detour-Target";
    constexpr std::string_view keyHeader = "Tamarack-Detour-Key";
    constexpr std::string_view requestHeader = "Tamarack-Detour-Request";
    constexpr std::string_view idleHeader = "Tamarack-Detour-Idle-Ms";
    constexpr std::string_view outcomeHeader = "Tamarack-Detour-Outcome";
    constexpr std::string_view failureHeader = "Tamarack-Detour-Failure";
    constexpr std::string_view restHeader = "Tamarack-Detour-Rest-Ms";
    constexpr std::string_view closedHeader = "Tamarack-Detour-Closed";
    constexpr std::string_view undelimitedHeader = "Tamarack-Detour-Undelimited";
    constexpr std::string_view yes = "1";
    /// Status of the outcomes that are no answer of the target.
    constexpr int badGatewayStatus = 502;

    constexpr std::array<std::string_view, static_cast<std::size_t>(detour_outcome::count)> outcomeNames { "answered",
        "unreached", "refused", "unknown-target", "resting", "leaving", "broken" };

    /// Headers that belong to the connection between the two nodes.
    constexpr std::array<std::string_view, 4> connectionHeaders { "Connection", "Keep-Alive", "Transfer-Encoding",
        "Content-Length" };
    constexpr std::string_view ownPrefix = "Tamarack-Detour-";

    std::int64_t milliseconds(duration d) { return std::chrono::duration_cast<std::chrono::milliseconds>(d).count(); }

    duration readMilliseconds(std::string_view text)
    {
        constexpr std::uint64_t longest = 3'600'000;
        return std::chrono::milliseconds(std::min(parseNumber(text).value_or(0), longest));
    }

    bool isOwn(std::string_view name) { return equalsIgnoreCase(name.substr(0, ownPrefix.size()), ownPrefix); }

    void removeOwn(header_list& headers)
    {
        std::erase_if(headers.entries, [](const auto& header) { return isOwn(header.name); });
    }

    bool belongsToConnection(std::string_view name)
    {
        return std::any_of(connectionHeaders.begin(), connectionHeaders.end(),
            [name](std::string_view item) { return equalsIgnoreCase(item, name); });
    }

}

http_request encodeDetourCall(http_request call, const detour_call& detour)
{
    removeOwn(call.headers);
    call.headers.set(std::string(targetHeader), detour.target);
    call.headers.set(std::string(keyHeader), detour.key);
    if (!detour.requestId.empty())
        call.headers.set(std::string(requestHeader), detour.requestId);
    call.headers.set(std::string(idleHeader), std::to_string(milliseconds(detour.longestIdle)));
    return call;
}

std::optional<detour_call> takeDetourCall(http_request& call)
{
    detour_call out;
    out.target = call.headers.find(targetHeader);
    out.key = call.headers.find(keyHeader);
    out.requestId = call.headers.find(requestHeader);
    out.longestIdle = readMilliseconds(call.headers.find(idleHeader));
    removeOwn(call.headers);
    std::erase_if(call.headers.entries, [](const auto& header) { return belongsToConnection(header.name); });
    return out.target.empty() ? std::nullopt : std::optional(out);
}

http_response_head encodeDetourAnswer(const detour_answer& answer)
{
    http_response_head out { badGatewayStatus, {} };
    if (answer.outcome == detour_outcome::answered) {
        out = answer.head;
        removeOwn(out.headers);
        std::erase_if(out.headers.entries, [](const auto& header) { return belongsToConnection(header.name); });
    }
    out.headers.set(std::string(outcomeHeader), std::string(outcomeNames[static_cast<std::size_t>(answer.outcome)]));
    if (answer.outcome == detour_outcome::unreached)
        out.headers.set(std::string(failureHeader), std::string(toString(answer.failure)));
    if (answer.outcome == detour_outcome::resting)
        out.headers.set(std::string(restHeader), std::to_string(milliseconds(answer.rest)));
    if (answer.isClosedByTarget)
        out.headers.set(std::string(closedHeader), std::string(yes));
    if (answer.isUndelimited)
        out.headers.set(std::string(undelimitedHeader), std::string(yes));
    return out;
}

std::optional<detour_answer> decodeDetourAnswer(const http_response_head& head)
{
    const auto name = std::find(outcomeNames.begin(), outcomeNames.end(), head.headers.find(outcomeHeader));
    if (name == outcomeNames.end())
        return std::nullopt;
    detour_answer out;
    out.outcome = static_cast<detour_outcome>(name - outcomeNames.begin());
    if (head.headers.find(failureHeader) == toString(serving::path_failure::silent))
        out.failure = serving::path_failure::silent;
    out.rest = readMilliseconds(head.headers.find(restHeader));
    out.isClosedByTarget = head.headers.find(closedHeader) == yes;
    out.isUndelimited = head.headers.find(undelimitedHeader) == yes;
    out.head = head;
    removeOwn(out.head.headers);
    return out;
}

}
