// What a process has used so far, from /proc.
#pragma once

#include <cstdint>

namespace tamarack::lab {

struct process_usage {
    double cpuSeconds = 0;
    double residentMegabytes = 0;
};

process_usage usageOf(std::int64_t pid);

}
