// Implements the table of origins.
#include "serving/origin_table.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace tamarack::serving {

stream_key streamKey(std::string_view account, std::string_view callId)
{
    const auto hash = stableHash(callId, stableHash(account));
    return { hash == stream_key::invalidValue ? 0 : hash };
}

origin_table::origin_table(std::size_t capacity)
    : m_capacity(capacity)
{
}

void origin_table::add(const origin_note& note, bool isUntold, instant now)
{
    dropExpired(now);
    const auto [at, isNew] = m_entries.try_emplace(note.stream);
    auto& known = at->second;
    if (isNew) {
        known = { note.build, now + note.lifetime, isUntold };
        m_byAge.push_back(note.stream);
    } else {
        if (known.build != note.build)
            known.build = {};
        known.expiresAt = std::max(known.expiresAt, now + note.lifetime);
    }
    if (m_entries.size() > m_capacity) {
        m_entries.erase(m_byAge.front());
        m_byAge.pop_front();
    }
}

void origin_table::dropExpired(instant now)
{
    while (!m_byAge.empty()) {
        const auto found = m_entries.find(m_byAge.front());
        if (found->second.expiresAt > now)
            return;
        m_entries.erase(found);
        m_byAge.pop_front();
    }
}

std::optional<build_id> origin_table::find(stream_key stream, instant now) const
{
    const auto found = m_entries.find(stream);
    if (found == m_entries.end() || found->second.expiresAt <= now || !found->second.build.isValid())
        return std::nullopt;
    return found->second.build;
}

std::vector<origin_note> origin_table::takeUntold(instant now)
{
    std::vector<origin_note> out;
    for (auto& [stream, known] : m_entries) {
        const bool isUntold = std::exchange(known.isUntold, false);
        if (isUntold && known.expiresAt > now && known.build.isValid())
            out.push_back({ stream, known.build, known.expiresAt - now });
    }
    return out;
}

}
