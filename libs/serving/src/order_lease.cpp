// Claims on the order lease.
#include "serving/order_lease.h"

namespace tamarack::serving {

namespace {

    /// Delay after a claim without a known outcome, when the store is slow or unreachable.
    constexpr duration failurePause = std::chrono::seconds(1);

}

order_lease::order_lease(order_lease_settings settings)
    : m_settings(settings)
{
}

// A node without any knowledge tries offset 0. The claim succeeds if no node has ever claimed; otherwise the rejection
// returns the end offset.
std::optional<std::int64_t> order_lease::claimAt(instant now) const
{
    if (m_isPending || now < m_notBefore)
        return std::nullopt;
    const auto wait = m_settings.length + m_settings.orderSpacing + m_settings.margin;
    if (m_hasLearned && !m_isOwn && now < m_learnedAt + wait)
        return std::nullopt;
    return m_end;
}

void order_lease::claimSent(instant now)
{
    m_isPending = true;
    m_sentAt = now;
}

void order_lease::claimed(std::int64_t offset)
{
    m_isPending = false;
    m_isOwn = true;
    m_end = offset + 1;
}

void order_lease::foundEnd(std::int64_t end, instant now)
{
    // The claim that ends the topic was made before its end was learned for the first time.
    const bool isKnown = m_hasLearned && !m_isOwn && end == m_end;
    m_isPending = false;
    m_isOwn = false;
    m_hasLearned = true;
    if (!isKnown)
        m_learnedAt = now;
    m_end = end;
}

void order_lease::foundOwnEnd(std::int64_t end)
{
    m_isPending = false;
    m_isOwn = true;
    m_end = end;
    m_sentAt = instant();
}

void order_lease::claimRejected()
{
    m_isPending = false;
    m_isOwn = false;
    m_hasLearned = false;
}

// The known end is tried again. If the failed claim was executed after all, the store returns the new end.
void order_lease::claimFailed(instant now)
{
    m_isPending = false;
    m_isOwn = false;
    m_hasLearned = true;
    m_learnedAt = now;
    m_notBefore = now + failurePause;
}

bool order_lease::holdsFor(duration length, instant now) const
{
    return m_isOwn && !m_isPending && now + length < m_sentAt + m_settings.length;
}

}
