// Measures how much of its VM's processor this process uses.
#pragma once

#include "base/clock.h"

#include <cstdint>

namespace tamarack {

class processor_load {
public:
    /// `share` is the VM's processor in cores; 0 if unknown.
    explicit processor_load(double share);

    /// Takes a sample if the last one is old enough.
    void update(instant now);
    /// The share of the processor used lately, in percent; at most 100. 0 if the processor's share is not known.
    std::uint8_t busyPercent() const;

private:
    double m_share;
    instant m_sampledAt; // the epoch: never
    double m_usedSeconds = 0; // of processor time, at the last sample
    double m_busy = 0; // smoothed share, 0 to 1
};

}
