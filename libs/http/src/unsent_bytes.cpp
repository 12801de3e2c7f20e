// Implements the bound of unsent bytes.
#include "http/unsent_bytes.h"

#include <algorithm>

namespace tamarack {

namespace {

    /// A response may queue this part of what is left of the first half of the total, so a few slow callers cannot use
    /// up that half (dynamic thresholds of shared buffers).
    constexpr std::uint64_t spareDivisor = 8;

}

std::size_t unsent_bytes::queueLimit() const
{
    if (m_total == 0)
        return maxQueue;
    const std::uint64_t half = m_total / 2;
    const std::uint64_t spare = half > held() ? half - held() : 0;
    return std::clamp<std::uint64_t>(spare / spareDivisor, minQueue, maxQueue);
}

}
