// Implements the clocks of base/clock.h with the clocks of the operating system.
#include "base/clock.h"

#include <ctime>

namespace tamarack {

instant boot_clock::now()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    const auto sinceBoot = std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
    return instant(std::chrono::duration_cast<duration>(sinceBoot));
}

std::int64_t wallMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}
