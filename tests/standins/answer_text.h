// The answer that every stand-in engine gives to a prompt: the same everywhere, so that a caller can check each byte.
#pragma once

#include <cstdint>
#include <string>

namespace tamarack::standins {

/// How many tokens the answer to `prompt` has, at most `maxTokens` and at least 1.
std::int64_t answerTokens(const std::string& prompt, std::int64_t maxTokens);
/// Token number `index` of the answer.
std::string answerToken(const std::string& prompt, std::int64_t index);
/// The server-sent event that carries it.
std::string answerEvent(const std::string& prompt, std::int64_t index);
/// The whole stream, from event `first` on.
std::string answerStream(const std::string& prompt, std::int64_t maxTokens, std::int64_t first = 0);

}
