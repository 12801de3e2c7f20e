// Which beginnings of prompts each engine is thought to keep in its memory.
#pragma once

#include "base/ids.h"
#include "serving/serving_request.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace tamarack::serving {

/// A prompt's beginning that requests share: all its parts but the last.
struct shared_beginning {
    std::uint64_t key = 0; ///< over its parts in order; 0 if there is none worth steering by
    std::int64_t tokens = 0;
};

shared_beginning sharedBeginningOf(const prompt& text);

/// Learned from what this node itself had read where. Each engine's beginnings are bounded by its memory; the least
/// recently used yield, as they do at the engine.
class prompt_cache_map {
public:
    /// `capacityTokens` is the part of an engine's memory that beginnings may take.
    void wasRead(target_id engine, const shared_beginning& beginning, std::int64_t capacityTokens, instant now);
    bool isThere(target_id engine, const shared_beginning& beginning) const;
    /// The engine has lost its memory, or the row is another engine's now.
    void forget(target_id engine);

private:
    struct kept_beginning {
        std::int64_t tokens = 0;
        instant usedAt;
    };
    struct engine_memory {
        std::unordered_map<std::uint64_t, kept_beginning> beginnings;
        std::int64_t tokens = 0; // of all of them
    };

    std::vector<engine_memory> m_byRow;
};

}
