// Beginnings by engine, least recently used first to go.
#include "serving/prompt_cache_map.h"

#include "base/hash.h"

#include <algorithm>

namespace tamarack::serving {

namespace {

    /// Reading fewer tokens again takes some milliseconds; balance between engines is worth more.
    constexpr std::int64_t fewestTokens = 512;

}

shared_beginning sharedBeginningOf(const prompt& text)
{
    shared_beginning beginning;
    for (std::size_t i = 0; i + 1 < text.parts.size(); ++i) {
        const auto& part = text.parts[i];
        const std::string_view id(reinterpret_cast<const char*>(&part.id), sizeof part.id);
        beginning.key = stableHash(id, beginning.key);
        beginning.tokens += part.tokens;
    }
    if (beginning.tokens < fewestTokens)
        return {};
    return beginning;
}

void prompt_cache_map::wasRead(
    target_id engine, const shared_beginning& beginning, std::int64_t capacityTokens, instant now)
{
    if (beginning.key == 0)
        return;
    if (engine.value >= m_byRow.size())
        m_byRow.resize(engine.value + 1);
    auto& memory = m_byRow[engine.value];
    auto& kept = memory.beginnings[beginning.key];
    memory.tokens += beginning.tokens - kept.tokens;
    kept = { beginning.tokens, now };
    while (memory.tokens > capacityTokens && memory.beginnings.size() > 1) {
        const auto oldest = std::min_element(memory.beginnings.begin(), memory.beginnings.end(),
            [](const auto& a, const auto& b) { return a.second.usedAt < b.second.usedAt; });
        memory.tokens -= oldest->second.tokens;
        memory.beginnings.erase(oldest);
    }
}

bool prompt_cache_map::isThere(target_id engine, const shared_beginning& beginning) const
{
    return engine.value < m_byRow.size() && m_byRow[engine.value].beginnings.contains(beginning.key);
}

void prompt_cache_map::forget(target_id engine)
{
    if (engine.value < m_byRow.size())
        m_byRow[engine.value] = {};
}

}
