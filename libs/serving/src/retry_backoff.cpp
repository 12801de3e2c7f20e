// Exponential backoff with a maximum.
#include "serving/retry_backoff.h"

#include <algorithm>

namespace tamarack::serving {

void retry_backoff::setDelays(duration first, duration longest)
{
    m_first = m_next = first;
    m_longest = longest;
}

void retry_backoff::setMaxDelay(duration longest)
{
    m_longest = longest;
    m_next = std::min(m_next, longest);
}

duration retry_backoff::nextDelay()
{
    const duration wait = m_next;
    m_next = std::min(2 * m_next, std::max(m_first, m_longest));
    return wait;
}

}
