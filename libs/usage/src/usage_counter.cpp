// Implements the counts and their reports.
#include "usage/usage_counter.h"

#include "base/hash.h"

#include <algorithm>

namespace tamarack {

namespace {

    /// A report of the final counts is sent this often, because datagrams can be lost.
    constexpr int finalReportCount = 3;
    /// A report stays below the usual path MTU: a count takes 12 bytes.
    constexpr std::size_t maxCountsPerReport = 100;

}

usage_counter::usage_counter(std::uint32_t node, std::int64_t process, usage_windows windows, int keptWindows)
    : m_node(node)
    , m_process(process)
    , m_windows(windows)
    , m_keptWindows(keptWindows)
{
}

void usage_counter::requestBegan(std::string_view account, std::int64_t wallMilliseconds)
{
    const auto window = m_windows.at(wallMilliseconds);
    if (!m_counts.empty() && window < m_counts.rbegin()->first - m_keptWindows)
        return;
    auto& counts = m_counts[window];
    ++counts.requests[stableHash(account)];
    ++counts.total;
    counts.hasChanged = true;
}

std::vector<usage_report> usage_counter::takeReports(std::int64_t wallMilliseconds)
{
    const auto current = m_windows.at(wallMilliseconds);
    // A node without requests reports as well, so that those who collect need not wait for it. Windows in which this
    // process did not run yet are not reported.
    if (!m_counts.empty()) {
        for (auto window = std::max(m_counts.rbegin()->first, current - m_keptWindows); window <= current; ++window)
            m_counts.try_emplace(window);
    }
    m_counts.try_emplace(current);
    std::erase_if(m_counts, [&](const auto& item) { return item.first < current - m_keptWindows; });
    std::vector<usage_report> out;
    for (auto& [window, counts] : m_counts) {
        const bool isFinal = window < current;
        if (!counts.hasChanged && !(isFinal && counts.finalReports < finalReportCount))
            continue;
        counts.hasChanged = false;
        counts.finalReports += isFinal;
        appendReports(window, counts, isFinal, out);
    }
    return out;
}

void usage_counter::appendReports(
    std::int64_t window, const window_counts& counts, bool isFinal, std::vector<usage_report>& out) const
{
    const usage_report empty { m_node, m_process, window, isFinal, counts.total, {} };
    out.push_back(empty);
    for (const auto& [account, requests] : counts.requests) {
        if (out.back().counts.size() == maxCountsPerReport)
            out.push_back(empty);
        out.back().counts.push_back({ account, requests });
    }
}

void usage_counter::repeatAll()
{
    for (auto& [window, counts] : m_counts)
        counts.hasChanged = true;
}

}
