// Implements the parsing and validation of completion request bodies.
#include "completion_request.h"

#include "base/hash.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace tamarack {

namespace {

    using nlohmann::json;

    constexpr std::int64_t bytesPerToken = 4; // typical of text; used only to estimate work
    constexpr std::int64_t defaultMaxTokens = 256;
    constexpr std::int64_t maxTokensLimit = 1'000'000;

    std::variant<std::string, completion_error> extractPrompt(const json& root, bool isChat)
    {
        if (!isChat) {
            if (!root.contains("prompt") || !root["prompt"].is_string())
                return completion_error { "prompt", "must be a string" };
            return root["prompt"].get<std::string>();
        }
        if (!root.contains("messages") || !root["messages"].is_array() || root["messages"].empty())
            return completion_error { "messages", "must be a list with at least one message" };
        std::string prompt;
        const auto& messages = root["messages"];
        for (std::size_t i = 0; i < messages.size(); ++i) {
            const auto& message = messages[i];
            const bool isMessage = message.is_object() && message.contains("content") && message["content"].is_string();
            if (!isMessage)
                return completion_error { "messages[" + std::to_string(i) + "].content", "must be a string" };
            prompt += message["content"].get<std::string>() + "\n";
        }
        return prompt;
    }

}

std::variant<completion_request, completion_error> parseCompletion(
    const std::string& body, bool isChat, std::int64_t prefixTokens)
{
    const json root = json::parse(body, nullptr, false);
    if (root.is_discarded())
        return completion_error { "", "the body is not valid JSON" };
    if (!root.is_object())
        return completion_error { "", "the body must be a JSON object" };
    completion_request request;
    if (!root.contains("model") || !root["model"].is_string())
        return completion_error { "model", "must be a string" };
    request.model = root["model"];
    request.maxTokens = defaultMaxTokens;
    if (root.contains("max_tokens")) {
        const auto& value = root["max_tokens"];
        if (!value.is_number_integer() || value.get<double>() < 1 || value.get<double>() > maxTokensLimit)
            return completion_error { "max_tokens", "must be a whole number from 1 to 1000000" };
        request.maxTokens = value;
    }
    if (root.contains("stream")) {
        if (!root["stream"].is_boolean())
            return completion_error { "stream", "must be true or false" };
        request.isStream = root["stream"];
    }
    if (root.contains("user") && root["user"].is_string())
        request.user = root["user"];
    const auto prompt = extractPrompt(root, isChat);
    if (const auto* error = std::get_if<completion_error>(&prompt))
        return *error;
    const auto& text = std::get<std::string>(prompt);
    request.promptTokens = static_cast<std::int64_t>(text.size()) / bytesPerToken + 1;
    // A prompt shorter than the prefix length gains too little from a cached prefix to be routed by it.
    const auto prefixBytes = static_cast<std::size_t>(prefixTokens * bytesPerToken);
    if (text.size() >= prefixBytes)
        request.prefixHash = stableHash(std::string_view(text).substr(0, prefixBytes));
    return request;
}

}
