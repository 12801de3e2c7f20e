// How often this node may send requests to a further target: its part of a bound that all nodes keep together.
#pragma once

#include "base/clock.h"

#include <deque>

namespace tamarack::serving {

struct retry_bound {
    double ratio = 0.2; ///< further sends for each request, in any window
    double slack = 0; ///< further sends in any window, for all nodes together
    duration window = std::chrono::seconds(10);
};

/// Keeps the bound in every window that contains the send, not only in the one that ends with it. In a window the
/// requests of the window itself count one half, and those of the window half a length before it the other half: what
/// each node may send is a sum over its own requests, so the sum over nodes, and over the lives of a node, keeps the
/// bound however the requests are spread.
///
/// The slack is shared by the nodes that are known, not by those that seem alive: nodes cut off from each other would
/// each take the others' part. A node has its part from one window after its start on.
class retry_allowance {
public:
    retry_allowance(retry_bound bound, instant startedAt);

    void requested(instant now);
    /// `knownNodes`: this one included; 0 while it is not known how many there are.
    bool maySend(int knownNodes, instant now) const;
    void sent(instant now);

private:
    /// Counts of one slice of the window.
    struct slice {
        std::int64_t number = 0; ///< of slices since the clock's beginning
        int requests = 0;
        int sends = 0;
    };

    std::int64_t numberOf(instant when) const;
    slice& current(instant now);
    /// Requests in the slices from `first` to `last`.
    double requests(std::int64_t first, std::int64_t last) const;
    double slackPart(int knownNodes, instant now) const;

    retry_bound m_bound;
    instant m_startedAt;
    std::deque<slice> m_slices; // the oldest first; older ones than matter are dropped
};

}
