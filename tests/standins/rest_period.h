// A time in which a stand-in turns all work away and says when to come back.
#pragma once

#include "base/clock.h"

#include <optional>

namespace tamarack::standins {

/// Begins with the first work that arrives after ask().
class rest_period {
public:
    void ask(duration length) { m_asked = length; }

    /// The time for which the work that arrives now is to stay away; nothing if it is taken.
    std::optional<duration> turnAway(instant now)
    {
        if (m_asked > duration::zero()) {
            m_began = now;
            m_until = now + m_asked;
            m_asked = duration::zero();
        }
        if (now >= m_until)
            return std::nullopt;
        m_lateArrivals += now >= m_began + transitTime;
        return m_until - now;
    }

    /// Work that arrived after its sender must have known of the rest.
    int lateArrivals() const { return m_lateArrivals; }

private:
    static constexpr duration transitTime = std::chrono::milliseconds(500); // for work that is on its way
    duration m_asked = duration::zero();
    instant m_began;
    instant m_until;
    int m_lateArrivals = 0;
};

}
