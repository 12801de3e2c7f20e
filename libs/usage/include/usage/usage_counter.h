// Counts the requests that this node's targets began to run, by client account and window.
#pragma once

#include "usage/usage_report.h"
#include "usage/usage_windows.h"

#include <map>
#include <string_view>
#include <unordered_map>

namespace tamarack {

class usage_counter {
public:
    /// `keptWindows` is the number of ended windows that are kept for nodes that begin to collect reports.
    usage_counter(std::uint32_t node, std::int64_t process, usage_windows windows, int keptWindows);

    /// A target has begun to run a request at this wall-clock time. Requests of windows that are not kept are ignored.
    void requestBegan(std::string_view account, std::int64_t wallMilliseconds);
    /// Reports that are new since the last call, or due to be repeated because a report may have been lost.
    std::vector<usage_report> takeReports(std::int64_t wallMilliseconds);
    /// Returns all kept windows in the next call of takeReports(), since other nodes collect the reports now.
    void repeatAll();

private:
    struct window_counts {
        std::unordered_map<std::uint64_t, std::uint32_t> requests; // by account
        std::uint32_t total = 0;
        int finalReports = 0; // reports after the end of the window
        bool hasChanged = true;
    };

    void appendReports(
        std::int64_t window, const window_counts& counts, bool isFinal, std::vector<usage_report>& out) const;

    std::uint32_t m_node;
    std::int64_t m_process;
    usage_windows m_windows;
    int m_keptWindows;
    std::map<std::int64_t, window_counts> m_counts;
};

}
