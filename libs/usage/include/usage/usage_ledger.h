// Collects the usage reports of all nodes.
#pragma once

#include "usage/usage_report.h"

#include <map>
#include <utility>

namespace tamarack {

class usage_ledger {
public:
    void apply(const usage_report& report);
    /// Whether every part of the final counts of the window has arrived from each of the nodes.
    bool isComplete(std::int64_t window, const std::vector<std::uint32_t>& nodes) const;
    /// Whether any node has reported on the window.
    bool hasReports(std::int64_t window) const { return m_windows.contains(window); }
    /// Requests by account, from all processes of all nodes.
    std::map<std::uint64_t, std::uint64_t> totals(std::int64_t window) const;
    /// Removes the windows before `window`.
    void forgetBefore(std::int64_t window);

private:
    struct process_counts {
        std::map<std::uint64_t, std::uint32_t> requests; // by account
        std::uint32_t total = 0;
        bool isFinal = false;
    };
    using process_key = std::pair<std::uint32_t, std::int64_t>; // node, process

    static bool isWhole(const process_counts& counts);

    std::map<std::int64_t, std::map<process_key, process_counts>> m_windows;
};

}
