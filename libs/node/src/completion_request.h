// Provides the parsing of OpenAI-style completion requests into the fields that routing needs.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace tamarack {

/// The fields of a completion request that affect routing.
struct completion_request {
    std::string model;
    std::string user; ///< the body's `user`; empty if absent
    std::int64_t promptTokens = 0; ///< estimated from the length of the text
    std::int64_t maxTokens = 0;
    std::uint64_t prefixHash = 0; ///< hash of the prompt's prefix; 0 if the prompt is shorter
    bool isStream = false;
};

/// Describes why a body is invalid.
struct completion_error {
    std::string field; ///< path of the invalid field; empty if the whole body is invalid
    std::string message;
};

/// Parses a request body. `prefixTokens` is the length of the prompt prefix whose hash routes a prompt to an engine
/// that has the prefix cached.
std::variant<completion_request, completion_error> parseCompletion(
    const std::string& body, bool isChat, std::int64_t prefixTokens);

}
