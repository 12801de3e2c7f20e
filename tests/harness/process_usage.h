// Reads what a process takes of its machine.
#pragma once

#include <cstdint>

namespace tamarack::harness {

/// Returns the largest resident set that the process has had, in bytes; 0 if it has ended.
std::uint64_t memoryPeak(std::int64_t pid);
/// Returns the number of descriptors that the process has open; 0 if it has ended.
int openDescriptors(std::int64_t pid);

}
