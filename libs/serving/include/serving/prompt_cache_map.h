// Which parts of prompts each engine keeps in its memory, as its cache events tell it and as this node's own requests
// make likely.
#pragma once

#include "base/ids.h"
#include "serving/serving_request.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace tamarack::serving {

/// One event of an engine's cache.
struct cache_event {
    std::uint64_t part = 0;
    std::int64_t tokens = 0; ///< kept after the event; 0: the part is gone
};

/// Parts below `fewestTokens` are not followed: reading them again takes some milliseconds, and there are very many.
/// Events come late and a few never come, so what is thought here can be wrong either way.
class prompt_cache_map {
public:
    static constexpr std::int64_t fewestTokens = 512;

    /// This node has sent the prompt there, and it will be read before what is sent after it.
    void sent(target_id engine, const prompt& text);
    /// The longest shared part of the prompt that the engine is not thought to keep; no tokens if there is none.
    prompt_part longestMissing(target_id engine, const prompt& text) const;
    /// A peer has sent a prompt with this part there.
    void peerSent(target_id engine, const prompt_part& part);
    /// The engine has read the prompt.
    void wasRead(target_id engine, const prompt& text);
    void told(target_id engine, const std::vector<cache_event>& events);
    /// The engine has just these parts.
    void listed(target_id engine, const std::vector<cache_event>& parts);
    /// The parts that the engine has now.
    std::vector<prompt_part> partsThere(target_id engine) const;
    /// Tokens of the prompt's beginning that need not be read again; parts count only if all before them are kept.
    std::int64_t keptTokens(target_id engine, const prompt& text) const;
    /// The same for what the engine has now, so that another one can fetch it.
    std::int64_t fetchableTokens(target_id engine, const prompt& text) const;
    /// The engine has lost its memory, or the row is another engine's now.
    void forget(target_id engine);

private:
    struct kept_part {
        std::int64_t tokens = 0;
        bool isThere = false; // else it is still to be read
    };
    using kept_parts = std::unordered_map<std::uint64_t, kept_part>;

    kept_parts& partsOf(target_id engine);
    std::int64_t countTokens(target_id engine, const prompt& text, bool onlyThere) const;

    std::vector<kept_parts> m_byRow;
};

}
