// Tracks which parts of prompts each engine has in its KV cache, from the engine's cache events and from the requests
// that the nodes send to it.
#pragma once

#include "base/ids.h"
#include "serving/serving_request.h"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace tamarack::serving {

/// One event of an engine's KV cache.
struct cache_event {
    std::uint64_t part = 0;
    std::int64_t tokens = 0; ///< cached after the event; 0: the part was evicted
};

/// Callers name the parts, so what is pending at an engine is bounded; beyond that, other pending parts are forgotten.
///
/// Parts shorter than `minPartTokens` are not tracked: there are very many of them, and prefilling one again takes only
/// some milliseconds. Events arrive late and a few are lost, so the map can be wrong in both directions.
class prompt_cache_map {
public:
    static constexpr std::int64_t minPartTokens = 512;
    /// Pending parts of an engine. It has room for some hundreds.
    static constexpr std::size_t maxPendingParts = 4096;

    /// Records that this node has sent the prompt to the engine, which will prefill it before any prompt sent later.
    void addPendingPrompt(target_id engine, const prompt& text);
    /// The longest shared part of the prompt that the engine is not expected to have; 0 tokens if there is none.
    prompt_part longestUncachedPart(target_id engine, const prompt& text) const;
    /// Records that a peer has sent a prompt with this part to the engine.
    void addPendingPart(target_id engine, const prompt_part& part);
    /// Records that the engine has prefilled the prompt.
    void markCached(target_id engine, const prompt& text);
    void applyEvents(target_id engine, const std::vector<cache_event>& events);
    /// Replaces the cached parts of the engine by `parts`; pending parts stay.
    void replaceParts(target_id engine, const std::vector<cache_event>& parts);
    /// The parts that the engine has cached now.
    std::vector<prompt_part> cachedParts(target_id engine) const;
    /// The length in tokens of the prompt's prefix that the engine need not prefill again, pending parts included. A
    /// part counts only if all parts before it do.
    std::int64_t reusableTokens(target_id engine, const prompt& text) const;
    /// The same without pending parts: the length of the prefix that another engine can fetch now.
    std::int64_t fetchableTokens(target_id engine, const prompt& text) const;
    /// Removes all parts, because the engine has lost its cache or the row now belongs to another engine.
    void forget(target_id engine);

private:
    struct part_state {
        std::int64_t tokens = 0;
        bool isCached = false; // false: pending, its prefill has not ended yet
    };
    using part_map = std::unordered_map<std::uint64_t, part_state>;

    part_map& partsOf(target_id engine);
    void addPending(target_id engine, const prompt_part& part);
    std::int64_t countTokens(target_id engine, const prompt& text, bool onlyCached) const;

    std::vector<part_map> m_byRow;
    std::vector<std::deque<std::uint64_t>> m_pendingByAge; // by row; some are cached or forgotten meanwhile
};

}
