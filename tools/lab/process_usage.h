// Provides the CPU time and the resident memory of a process, as /proc reports them.
#pragma once

#include <cstdint>

namespace tamarack::lab {

struct process_usage {
    double cpuSeconds = 0;
    double residentMegabytes = 0;
};

/// Returns the CPU time that process `pid` has used since its start, and its present resident memory.
process_usage usageOf(std::int64_t pid);

}
