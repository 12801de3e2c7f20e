// Sliding windows in slices.
#include "serving/retry_allowance.h"

#include <algorithm>

namespace tamarack::serving {

namespace {

    constexpr std::int64_t slicesPerWindow = 20;
    constexpr std::int64_t halfWindow = slicesPerWindow / 2;
    /// Of the slack: nodes that were just added are not known to all yet, and what is sent arrives later by turns.
    constexpr double sharedPart = 0.8;
    /// Each of the two spans of requests that a window's sends are taken from.
    constexpr double spanWeight = 0.5;

}

retry_allowance::retry_allowance(retry_bound bound, instant startedAt)
    : m_bound(bound)
    , m_startedAt(startedAt)
{
}

std::int64_t retry_allowance::numberOf(instant when) const
{
    return when.time_since_epoch() / (m_bound.window / slicesPerWindow);
}

retry_allowance::slice& retry_allowance::current(instant now)
{
    const auto number = numberOf(now);
    // A window that began a length ago takes requests from half a length before that.
    const auto oldest = number - slicesPerWindow - halfWindow;
    while (!m_slices.empty() && m_slices.front().number < oldest)
        m_slices.pop_front();
    if (m_slices.empty() || m_slices.back().number < number)
        m_slices.push_back({ number, 0, 0 });
    return m_slices.back();
}

void retry_allowance::requested(instant now) { ++current(now).requests; }

void retry_allowance::sent(instant now) { ++current(now).sends; }

double retry_allowance::requests(std::int64_t first, std::int64_t last) const
{
    double sum = 0;
    for (const auto& item : m_slices) {
        if (item.number >= first && item.number <= last)
            sum += item.requests;
    }
    return sum;
}

// What goes wrong otherwise: each life of a node begins with its whole part, and while all nodes are started anew in
// turn, within one window, their lives together take twice the slack. What the former life sent is out of every window
// that holds a send of one whole window after the start.
double retry_allowance::slackPart(int knownNodes, instant now) const
{
    if (knownNodes <= 0 || now < m_startedAt + m_bound.window)
        return 0;
    return m_bound.slack * sharedPart / knownNodes;
}

// What goes wrong with the window that ends now alone: requests come in a crowd and then seldom, and the sends that the
// crowd allowed fall into a window with few requests of its own.
bool retry_allowance::maySend(int knownNodes, instant now) const
{
    const auto last = numberOf(now);
    const double slack = slackPart(knownNodes, now);
    double sends = 1;
    auto slice = m_slices.rbegin();
    // A window may begin anywhere in its first slice: the sends of all of that slice count, and only the requests of
    // slices that lie in the span wherever it begins.
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
