// Token buckets in a set-associative table.
#include "decide/account_limiter.h"

#include <algorithm>

namespace tamarack {

account_limiter::account_limiter(std::size_t capacity)
    : m_account((capacity / ways + 1) * ways, 0)
    , m_tokens(m_account.size(), 0)
    , m_updated(m_account.size())
{
}

void account_limiter::setLimit(double perSecond, double burst)
{
    m_perSecond = perSecond;
    m_burst = burst;
}

std::size_t account_limiter::slotFor(std::uint64_t account, instant now)
{
    const std::size_t first = account % (m_account.size() / ways) * ways;
    std::size_t oldest = first;
    for (std::size_t slot = first; slot < first + ways; ++slot) {
        if (m_account[slot] == account && m_updated[slot] != instant())
            return slot;
        if (m_updated[slot] < m_updated[oldest])
            oldest = slot;
    }
    m_account[oldest] = account;
    m_tokens[oldest] = m_burst;
    m_updated[oldest] = now;
    return oldest;
}

duration account_limiter::take(std::uint64_t account, instant now)
{
    const auto slot = slotFor(account, now);
    const double refill = seconds(now - m_updated[slot]) * m_perSecond;
    m_tokens[slot] = std::min(m_burst, m_tokens[slot] + refill);
    m_updated[slot] = now;
    if (m_tokens[slot] < 1)
        return fromSeconds((1 - m_tokens[slot]) / m_perSecond);
    m_tokens[slot] -= 1;
    return duration::zero();
}

}
