// Implements the measurement from the processor time of the process.
#include "processor_load.h"

#include <algorithm>
#include <cmath>
#include <ctime>

namespace tamarack {

namespace {

    /// Over a shorter time the sample depends on whether a single request fell into it.
    constexpr duration sampleInterval = std::chrono::milliseconds(500);
    /// About the last four samples count.
    constexpr double smoothing = 0.4;

    double usedSeconds()
    {
        std::timespec used {};
        if (::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used) != 0)
            return 0;
        return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
    }

}

processor_load::processor_load(double share)
    : m_share(share)
{
}

void processor_load::update(instant now)
{
    if (m_share <= 0 || (m_sampledAt != instant() && now < m_sampledAt + sampleInterval))
        return;
    const double used = usedSeconds();
    if (m_sampledAt != instant()) {
        const double sample = (used - m_usedSeconds) / (seconds(now - m_sampledAt) * m_share);
        m_busy += smoothing * (std::clamp(sample, 0.0, 1.0) - m_busy);
    }
    m_sampledAt = now;
    m_usedSeconds = used;
}

std::uint8_t processor_load::busyPercent() const { return static_cast<std::uint8_t>(std::lround(m_busy * 100)); }

}
