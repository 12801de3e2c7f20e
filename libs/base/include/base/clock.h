// Provides the clock that all decisions use: time since an arbitrary origin, which also advances while the VM is
// suspended.
#pragma once

#include <chrono>

namespace tamarack {

using duration = std::chrono::microseconds;

struct boot_clock {
    using duration = tamarack::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;

    /// Returns the time of CLOCK_BOOTTIME. With a clock that stops while the VM is suspended, a lease holder would
    /// still consider a lease valid that has expired in the meantime.
    static time_point now();
};

using instant = boot_clock::time_point;

/// Returns the wall-clock time in milliseconds since the Unix epoch. It is for logs and issue times only; decisions
/// about leases and other authority must not depend on it.
std::int64_t wallMilliseconds();

constexpr double seconds(duration d) { return std::chrono::duration<double>(d).count(); }
constexpr duration fromSeconds(double s) { return duration(static_cast<duration::rep>(s * 1e6)); }

}
