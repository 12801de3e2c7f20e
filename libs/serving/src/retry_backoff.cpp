// Exponential backoff with a maximum.
#include "serving/retry_backoff.h"

#include <algorithm>

namespace tamarack::serving {

void retry_backoff::setDelays(duration firstDelay, duration maxDelay)
{
    m_firstDelay = m_nextDelay = firstDelay;
    m_maxDelay = maxDelay;
}

void retry_backoff::setMaxDelay(duration maxDelay)
{
    m_maxDelay = maxDelay;
    m_nextDelay = std::min(m_nextDelay, maxDelay);
}

duration retry_backoff::nextDelay()
{
    const duration delay = m_nextDelay;
    m_nextDelay = std::min(2 * m_nextDelay, std::max(m_firstDelay, m_maxDelay));
    return delay;
}

}
