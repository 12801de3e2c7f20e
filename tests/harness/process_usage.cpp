// Implements the reading of /proc.
#include "harness/process_usage.h"

#include <filesystem>
#include <fstream>
#include <string>
#include <string_view>

namespace tamarack::harness {

namespace {

    std::string directoryOf(std::int64_t pid) { return "/proc/" + std::to_string(pid); }

}

std::uint64_t memoryPeak(std::int64_t pid)
{
    constexpr std::uint64_t bytesPerKilobyte = 1024;
    constexpr std::string_view field = "VmHWM:";
    std::ifstream status(directoryOf(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field))
            return std::stoull(line.substr(field.size())) * bytesPerKilobyte;
    }
    return 0;
}

int openDescriptors(std::int64_t pid)
{
    std::error_code error;
    int count = 0;
    for (std::filesystem::directory_iterator entry(directoryOf(pid) + "/fd", error), end; !error && entry != end;
         entry.increment(error))
        ++count;
    return count;
}

}
