// Converts instants of a peer's boot clock to the local boot clock.
#pragma once

#include "base/clock.h"

#include <array>

namespace tamarack::serving {

/// Estimates the clock offset as the minimum of arrival time minus send time, taken from the message with the least
/// delay. A message that a frozen sender delays gives a larger difference, which does not change the minimum. Its send
/// time is converted with the offset of faster messages, so the delay counts as part of its age.
class peer_clock {
public:
    /// Records a message: `sentAt` by the peer's clock, `arrivedAt` by the local one.
    void observed(instant sentAt, instant arrivedAt);
    /// Requires at least one call of observed().
    instant toLocal(instant peerInstant) const;

private:
    /// Minimum per window, current and previous; older samples expire because the clocks drift.
    std::array<duration, 2> m_minOffsets { duration::max(), duration::max() };
    instant m_windowEnd;
};

}
