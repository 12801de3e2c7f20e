// A sliding window in slices.
#include "serving/retry_allowance.h"

#include <algorithm>

namespace tamarack::serving {

namespace {

    constexpr int slicesPerWindow = 20;
    /// Of the slack: nodes that were just added are not known to all yet.
    constexpr double sharedPart = 0.8;

}

retry_allowance::retry_allowance(retry_bound bound)
    : m_bound(bound)
{
}

retry_allowance::slice& retry_allowance::current(instant now)
{
    const duration length = m_bound.window / slicesPerWindow;
    while (!m_slices.empty() && m_slices.front().begin + length <= now - m_bound.window)
        m_slices.pop_front();
    if (m_slices.empty() || now >= m_slices.back().begin + length)
        m_slices.push_back({ now, 0, 0 });
    return m_slices.back();
}

void retry_allowance::requested(instant now) { ++current(now).requests; }

void retry_allowance::sent(instant now) { ++current(now).sends; }

bool retry_allowance::maySend(int knownNodes, instant now) const
{
    double requests = 0;
    double sends = 1;
    // A slice that lies partly outside of the window counts for the sends, and not for the requests that allow them.
    for (const auto& item : m_slices) {
        if (item.begin >= now - m_bound.window)
            requests += item.requests;
        if (item.begin + m_bound.window / slicesPerWindow > now - m_bound.window)
            sends += item.sends;
    }
    const double slack = m_bound.slack * sharedPart / std::max(1, knownNodes);
    return sends <= m_bound.ratio * requests + slack;
}

}
