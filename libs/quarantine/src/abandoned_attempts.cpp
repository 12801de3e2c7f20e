// Implements the memory of cancelled attempts.
#include "quarantine/abandoned_attempts.h"

#include <algorithm>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// A target that has begun to run a request ends within a second, and is noticed by the next attempt at it.
    constexpr duration memory = 2s;
    constexpr std::size_t maxAttempts = 1024;

}

void abandoned_attempts::removeExpired(instant now)
{
    std::erase_if(m_attempts, [now](const attempt& item) { return now >= item.until; });
}

void abandoned_attempts::add(const request_digest& digest, std::uint32_t target, instant now)
{
    if (m_attempts.size() >= maxAttempts)
        removeExpired(now);
    if (m_attempts.size() >= maxAttempts)
        m_attempts.erase(m_attempts.begin());
    m_attempts.push_back({ digest, target, now + memory });
}

std::vector<request_digest> abandoned_attempts::takeAt(std::uint32_t target, instant now)
{
    removeExpired(now);
    std::vector<request_digest> out;
    std::erase_if(m_attempts, [&](const attempt& item) {
        if (item.target != target)
            return false;
        out.push_back(item.digest);
        return true;
    });
    return out;
}

}
