// Doubling with a bound.
#include "serving/retry_pace.h"

#include <algorithm>

namespace tamarack::serving {

void retry_pace::setPauses(duration first, duration longest)
{
    m_first = m_next = first;
    m_longest = longest;
}

void retry_pace::setLongest(duration longest)
{
    m_longest = longest;
    m_next = std::min(m_next, longest);
}

duration retry_pace::afterFailure()
{
    const duration wait = m_next;
    m_next = std::min(2 * m_next, std::max(m_first, m_longest));
    return wait;
}

}
