// Limits how often this node sends requests to a further target. Each node applies its share of a limit for the whole
// fleet.
#pragma once

#include "base/clock.h"

#include <deque>

namespace tamarack::serving {

struct retry_bound {
    double ratio = 0.2; ///< further sends for each request, in any window
    double slack = 0; ///< further sends in any window, for all nodes together
    duration window = std::chrono::seconds(10);
};

/// Enforces the bound in every window that contains the send, not only in the window that ends with it. Half of the
/// weight comes from requests of the window itself, and half from requests of the window that starts half a length
/// earlier. The quota of a node is a sum over its own requests, so the sum over all nodes and over restarts of a node
/// keeps the bound however the requests are distributed.
///
/// The slack is divided among the known nodes, not among those that seem alive: with a network partition, each side
/// would otherwise use the share of the other. A node may use its share only one window after its start.
class retry_limiter {
public:
    retry_limiter(retry_bound bound, instant startedAt);

    void requested(instant now);
    /// Whether a retry may be sent now. `knownNodes` includes this node and is 0 while the number is unknown.
    bool maySend(int knownNodes, instant now) const;
    void sent(instant now);

private:
    /// Counts for one slice of the window.
    struct slice {
        std::int64_t number = 0; ///< slice index since the epoch of the clock
        int requests = 0;
        int sends = 0;
    };

    std::int64_t numberOf(instant when) const;
    slice& current(instant now);
    /// Requests in the slices from `first` to `last`.
    double requests(std::int64_t first, std::int64_t last) const;
    double slackShare(int knownNodes, instant now) const;

    retry_bound m_bound;
    instant m_startedAt;
    std::deque<slice> m_slices; // oldest first; expired slices are removed
};

}
