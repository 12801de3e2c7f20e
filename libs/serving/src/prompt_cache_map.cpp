// Implements the map of cached and pending parts by engine.
#include "serving/prompt_cache_map.h"

#include <algorithm>

namespace tamarack::serving {

prompt_cache_map::part_map& prompt_cache_map::partsOf(target_id engine)
{
    if (engine.value >= m_byRow.size())
        m_byRow.resize(engine.value + 1);
    return m_byRow[engine.value];
}

void prompt_cache_map::addPending(target_id engine, const prompt_part& part)
{
    auto& parts = partsOf(engine);
    m_pendingByAge.resize(m_byRow.size());
    if (part.tokens < minPartTokens || !parts.try_emplace(part.id, part_state { part.tokens, false }).second)
        return;
    auto& byAge = m_pendingByAge[engine.value];
    byAge.push_back(part.id);
    if (byAge.size() <= maxPendingParts)
        return;
    const auto oldest = parts.find(byAge.front());
    if (oldest != parts.end() && !oldest->second.isCached)
        parts.erase(oldest);
    byAge.pop_front();
}

// The last part belongs to this request only and will not be requested again.
void prompt_cache_map::addPendingPrompt(target_id engine, const prompt& text)
{
    for (std::size_t i = 0; i + 1 < text.parts.size(); ++i)
        addPending(engine, text.parts[i]);
}

prompt_part prompt_cache_map::longestUncachedPart(target_id engine, const prompt& text) const
{
    prompt_part longest;
    for (std::size_t i = 0; i + 1 < text.parts.size(); ++i) {
        const bool isKnown = engine.value < m_byRow.size() && m_byRow[engine.value].contains(text.parts[i].id);
        if (!isKnown && text.parts[i].tokens >= minPartTokens && text.parts[i].tokens > longest.tokens)
            longest = text.parts[i];
    }
    return longest;
}

void prompt_cache_map::addPendingPart(target_id engine, const prompt_part& part) { addPending(engine, part); }

void prompt_cache_map::markCached(target_id engine, const prompt& text)
{
    auto& parts = partsOf(engine);
    for (std::size_t i = 0; i + 1 < text.parts.size(); ++i) {
        if (text.parts[i].tokens >= minPartTokens)
            parts[text.parts[i].id] = { text.parts[i].tokens, true };
    }
}

void prompt_cache_map::applyEvents(target_id engine, const std::vector<cache_event>& events)
{
    auto& parts = partsOf(engine);
    for (const auto& event : events) {
        if (event.tokens >= minPartTokens)
            parts[event.part] = { event.tokens, true };
        else
            parts.erase(event.part);
    }
}

// Pending parts are kept, because their prefill has yet to end.
void prompt_cache_map::replaceParts(target_id engine, const std::vector<cache_event>& parts)
{
    std::erase_if(partsOf(engine), [](const auto& item) { return item.second.isCached; });
    applyEvents(engine, parts);
}

std::vector<prompt_part> prompt_cache_map::cachedParts(target_id engine) const
{
    std::vector<prompt_part> out;
    if (engine.value >= m_byRow.size())
        return out;
    for (const auto& [part, kept] : m_byRow[engine.value]) {
        if (kept.isCached)
            out.push_back({ part, kept.tokens });
    }
    return out;
}

std::int64_t prompt_cache_map::countTokens(target_id engine, const prompt& text, bool onlyCached) const
{
    if (engine.value >= m_byRow.size())
        return 0;
    const auto& parts = m_byRow[engine.value];
    std::int64_t kept = 0;
    for (std::size_t i = 0; i + 1 < text.parts.size(); ++i) {
        const auto& part = text.parts[i];
        if (part.tokens < minPartTokens)
            continue; // too short to be tracked; counts as cached
        const auto found = parts.find(part.id);
        if (found == parts.end() || (onlyCached && !found->second.isCached))
            break;
        kept += std::min(found->second.tokens, part.tokens);
        if (found->second.tokens < part.tokens)
            break;
    }
    return kept;
}

std::int64_t prompt_cache_map::reusableTokens(target_id engine, const prompt& text) const
{
    return countTokens(engine, text, false);
}

std::int64_t prompt_cache_map::fetchableTokens(target_id engine, const prompt& text) const
{
    return countTokens(engine, text, true);
}

void prompt_cache_map::forget(target_id engine)
{
    if (engine.value < m_byRow.size())
        m_byRow[engine.value].clear();
    if (engine.value < m_pendingByAge.size())
        m_pendingByAge[engine.value].clear();
}

}
