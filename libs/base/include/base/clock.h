// Time as the decisions see it: a count since an arbitrary start that also runs while the VM is suspended.
#pragma once

#include <chrono>

namespace tamarack {

using duration = std::chrono::microseconds;

struct boot_clock {
    using duration = tamarack::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;

    /// Reads CLOCK_BOOTTIME. A clock that stops while the VM is suspended would let a lease holder trust a lapsed
    /// lease.
    static time_point now();
};

using instant = boot_clock::time_point;

/// Wall clock in milliseconds since 1970; for logs and issue times, never for decisions about authority.
std::int64_t wallMilliseconds();

constexpr double seconds(duration d) { return std::chrono::duration<double>(d).count(); }
constexpr duration fromSeconds(double s) { return duration(static_cast<duration::rep>(s * 1e6)); }

}
