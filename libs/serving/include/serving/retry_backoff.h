// Computes the delay before a failed call to the store is repeated.
#pragma once

#include "base/clock.h"

namespace tamarack::serving {

/// Exponential backoff for calls to the store. With a fixed delay, every node would call the store several times a
/// second during an outage, and each call is billed: with 82 nodes and a delay of 0.15 s, an outage of 9 s caused about
/// 5,000 calls, six times those of a day without outages. The first delay is short, since most failures affect a single
/// call, and each further delay is twice as long.
class retry_backoff {
public:
    retry_backoff(duration firstDelay, duration maxDelay)
        : m_firstDelay(firstDelay)
        , m_maxDelay(maxDelay)
        , m_nextDelay(firstDelay)
    {
    }

    /// Sets both delays and resets the next delay to `firstDelay`.
    void setDelays(duration firstDelay, duration maxDelay);
    /// Sets the maximum and shortens the next delay if it is longer.
    void setMaxDelay(duration maxDelay);
    /// Returns the delay after a failure and doubles the next one up to the maximum.
    duration nextDelay();
    void succeeded() { m_nextDelay = m_firstDelay; }

private:
    duration m_firstDelay;
    duration m_maxDelay;
    duration m_nextDelay; // between m_firstDelay and m_maxDelay
};

}
