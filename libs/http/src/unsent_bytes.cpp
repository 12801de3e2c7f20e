// Implements the bound of unsent bytes.
#include "http/unsent_bytes.h"

#include <algorithm>

namespace tamarack {

namespace {

    /// A response may queue this part of what is left of the first half of the total, so a few slow callers cannot use
    /// up that half (dynamic thresholds of shared buffers).
    constexpr std::uint64_t spareDivisor = 8;

}

void unsent_bytes::update(connection_key connection, std::size_t bytes)
{
    const auto known = m_bytes.find(connection);
    const std::size_t before = known == m_bytes.end() ? 0 : known->second;
    if (before == bytes)
        return;
    m_held = m_held - before + bytes;
    if (before > 0)
        m_order.erase({ before, connection });
    if (bytes == 0) {
        m_bytes.erase(known);
        return;
    }
    m_bytes[connection] = bytes;
    m_order.emplace(bytes, connection);
}

std::size_t unsent_bytes::queueLimit() const
{
    if (m_total == 0)
        return maxQueue;
    const std::uint64_t half = m_total / 2;
    const std::uint64_t spare = half > m_held ? half - m_held : 0;
    return std::clamp<std::uint64_t>(spare / spareDivisor, minQueue, maxQueue);
}

}
