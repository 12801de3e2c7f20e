// Reads the CPU time and the resident memory of a process from /proc/PID/stat and /proc/PID/statm.
#include "process_usage.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace tamarack::lab {

process_usage usageOf(std::int64_t pid)
{
    const auto base = "/proc/" + std::to_string(pid);
    std::ifstream stat(base + "/stat");
    std::string line;
    std::getline(stat, line);
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    std::ifstream statm(base + "/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    const double ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
    return { (user + system) / ticks, resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6 };
}

}
