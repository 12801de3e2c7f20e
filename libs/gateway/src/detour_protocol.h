// Calls to a target that a peer passes on: the headers by which the two nodes speak with each other. The call itself
// stays as it would go to the target.
#pragma once

#include "http/http_message.h"
#include "serving/target_paths.h"

#include <optional>
#include <string>

namespace tamarack {

/// What the peer has to know besides the call.
struct detour_call {
    std::string target; ///< the target's instance
    std::string key; ///< the peer's, see node_state::detourKey
    std::string requestId; ///< to recognize late responses to other requests; empty: there is none
    /// Connections to the target that have been idle for longer are not used; zero: only a new one is.
    duration longestIdle = duration::zero();
};

/// What the peer says about a call. All but `answered` and `broken` state that nothing was sent to the target.
enum class detour_outcome : unsigned char {
    answered, ///< the response is the target's
    unreached, ///< the peer does not reach the target, either
    refused, ///< the peer takes no calls now, or not with this key
    unknown_target, ///< the peer's target list does not have the target
    resting, ///< the target has asked the peer for rest
    leaving, ///< the target has declared that it leaves
    broken, ///< the target may have taken the call and has sent no usable response
    count
};

struct detour_answer {
    detour_outcome outcome = detour_outcome::answered;
    serving::path_failure failure = serving::path_failure::refused; ///< `unreached` only
    duration rest = duration::zero(); ///< `resting` only
    bool isClosedByTarget = false; ///< `broken` only: the target has closed or reset the connection
    bool isUndelimited = false; ///< `answered` only: the target ends the body with its connection
    http_response_head head; ///< `answered` only
};

/// Returns the call with the headers for the peer.
http_request encodeDetourCall(http_request call, const detour_call& detour);
/// Removes the headers for the peer from the call. Returns nothing if it names no target.
std::optional<detour_call> takeDetourCall(http_request& call);
/// Returns the head of the peer's response. For outcomes other than `answered` it has no body.
http_response_head encodeDetourAnswer(const detour_answer& answer);
/// Returns nothing if the response is not that of a peer which passes calls on.
std::optional<detour_answer> decodeDetourAnswer(const http_response_head& head);

}
