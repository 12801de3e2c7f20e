// Answers made from hashes.
#include "standins/answer_text.h"

#include "base/hash.h"

#include <cstdio>

namespace tamarack::standins {

std::int64_t answerTokens(const std::string& prompt, std::int64_t maxTokens)
{
    constexpr std::uint64_t shortestShare = 40; // per cent
    const auto percent = static_cast<std::int64_t>(shortestShare + stableHash(prompt) % (101 - shortestShare));
    return std::max<std::int64_t>(1, maxTokens * percent / 100);
}

std::string answerToken(const std::string& prompt, std::int64_t index)
{
    char text[16];
    const auto hash = stableHash(prompt, static_cast<std::uint64_t>(index) + 1);
    std::snprintf(text, sizeof text, "w%05x ", static_cast<unsigned>(hash & 0xfffff));
    return text;
}

std::string answerEvent(const std::string& prompt, std::int64_t index)
{
    return "id: " + std::to_string(index) + "\ndata: {\"choices\":[{\"index\":0,\"text\":\""
        + answerToken(prompt, index) + "\"}]}\n\n";
}

std::string answerStream(const std::string& prompt, std::int64_t maxTokens, std::int64_t first)
{
    std::string stream;
    const auto count = answerTokens(prompt, maxTokens);
    for (std::int64_t i = first; i < count; ++i)
        stream += answerEvent(prompt, i);
    return stream + "data: [DONE]\n\n";
}

}
