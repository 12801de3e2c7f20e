// Reads what routing needs from an OpenAI-style completion request.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace tamarack {

struct completion_request {
    std::string model;
    std::string user; ///< the body's `user`, if any
    std::int64_t promptTokens = 0; ///< estimated
    std::int64_t maxTokens = 0;
    std::uint64_t prefixHash = 0; ///< of the prompt's beginning
    bool isStream = false;
};

struct completion_error {
    std::string field;
    std::string message;
};

/// `prefixTokens` is the size of the piece whose hash steers a prompt to the engine that has it cached.
std::variant<completion_request, completion_error> readCompletion(
    const std::string& body, bool isChat, std::int64_t prefixTokens);

}
