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

/// Counts over a sliding window. The ratio is taken from this node's own requests, and the slack is shared by the nodes
/// that are known, not by those that seem alive: nodes cut off from each other would each take the others' part.
class retry_allowance {
public:
    explicit retry_allowance(retry_bound bound);

    void requested(instant now);
    bool maySend(int knownNodes, instant now) const;
    void sent(instant now);

private:
    /// Counts of one slice of the window.
    struct slice {
        instant begin;
        int requests = 0;
        int sends = 0;
    };

    slice& current(instant now);

    retry_bound m_bound;
    std::deque<slice> m_slices; // the oldest first; older ones than a window are dropped
};

}
