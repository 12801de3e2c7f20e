// Sliding windows divided into slices.
#include "serving/retry_limiter.h"

#include <algorithm>

namespace tamarack::serving {

namespace {

    constexpr std::int64_t slicesPerWindow = 20;
    constexpr std::int64_t halfWindow = slicesPerWindow / 2;
    /// Share of the slack that is used. Nodes that were just added are not known to all nodes yet, and retries arrive
    /// with varying delay after they are sent.
    constexpr double usableSlackShare = 0.8;
    /// Weight of each of the two request intervals that determine the quota of a window.
    constexpr double spanWeight = 0.5;

}

retry_limiter::retry_limiter(retry_bound bound, instant startedAt)
    : m_bound(bound)
    , m_startedAt(startedAt)
{
}

std::int64_t retry_limiter::numberOf(instant when) const
{
    return when.time_since_epoch() / (m_bound.window / slicesPerWindow);
}

retry_limiter::slice& retry_limiter::current(instant now)
{
    const auto number = numberOf(now);
    // A window that began one length ago also counts requests from half a length before its start.
    const auto oldest = number - slicesPerWindow - halfWindow;
    while (!m_slices.empty() && m_slices.front().number < oldest)
        m_slices.pop_front();
    if (m_slices.empty() || m_slices.back().number < number)
        m_slices.push_back({ number, 0, 0 });
    return m_slices.back();
}

void retry_limiter::requested(instant now) { ++current(now).requests; }

void retry_limiter::sent(instant now) { ++current(now).sends; }

double retry_limiter::requests(std::int64_t first, std::int64_t last) const
{
    double sum = 0;
    for (const auto& item : m_slices) {
        if (item.number >= first && item.number <= last)
            sum += item.requests;
    }
    return sum;
}

// The slack is granted only one window after the start. Otherwise each incarnation of a node would start with its full
// share, and when all nodes are restarted in turn within one window, their incarnations would together use twice the
// slack. One window after the start, the sends of the previous incarnation are outside of every window that contains a
// send.
double retry_limiter::slackShare(int knownNodes, instant now) const
{
    if (knownNodes <= 0 || now < m_startedAt + m_bound.window)
        return 0;
    return m_bound.slack * usableSlackShare / knownNodes;
}

// All windows that contain the send are checked. With the window that ends now alone, requests may come in a burst and
// then rarely, so that the sends allowed by the burst fall into a window with few requests of its own.
bool retry_limiter::maySend(int knownNodes, instant now) const
{
    const auto last = numberOf(now);
    const double slack = slackShare(knownNodes, now);
    double sends = 1;
    auto slice = m_slices.rbegin();
    // A window may begin anywhere in its first slice. All sends of that slice count, but only requests of slices that
    // lie in the interval wherever it begins.
    for (auto first = last; first >= last - slicesPerWindow; --first) {
        for (; slice != m_slices.rend() && slice->number >= first; ++slice)
            sends += slice->sends;
        const double own = requests(first + 1, last);
        const double before = requests(first - halfWindow + 1, std::min(last, first + halfWindow - 1));
        if (sends > m_bound.ratio * spanWeight * (own + before) + slack)
            return false;
    }
    return true;
}

}
