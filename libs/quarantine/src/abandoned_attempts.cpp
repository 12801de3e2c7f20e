// Implements the memory of cancelled attempts.
#include "quarantine/abandoned_attempts.h"

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// A target that has begun to run a request ends within a second, and is noticed by the next attempt at it.
    constexpr duration memory = 2s;
    constexpr std::size_t maxAttempts = 4096;

}

void abandoned_attempts::removeExpired(instant now)
{
    std::erase_if(m_attempts, [now](const attempt& item) { return now >= item.until; });
}

void abandoned_attempts::add(
    const request_trait& trait, const attempt_evidence& evidence, std::uint32_t target, instant now)
{
    if (m_attempts.size() >= maxAttempts)
        removeExpired(now);
    if (m_attempts.size() >= maxAttempts)
        m_attempts.erase(m_attempts.begin());
    m_attempts.push_back({ trait, evidence, target, now + memory });
}

void abandoned_attempts::targetEnded(std::uint32_t target, request_quarantine& quarantine, instant now)
{
    removeExpired(now);
    std::erase_if(m_attempts, [&](const attempt& item) {
        if (item.target != target)
            return false;
        quarantine.targetEnded(item.trait, target, now, item.evidence);
        return true;
    });
}

void abandoned_attempts::forget(std::uint32_t target)
{
    std::erase_if(m_attempts, [target](const attempt& item) { return item.target == target; });
}

}
