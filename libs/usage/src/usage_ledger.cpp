// Implements the merging of reports.
#include "usage/usage_ledger.h"

#include <algorithm>
#include <limits>

namespace tamarack {

void usage_ledger::apply(const usage_report& report)
{
    auto& counts = m_windows[report.window][{ report.node, report.process }];
    counts.total = std::max(counts.total, report.total);
    counts.isFinal |= report.isFinal;
    for (const auto& item : report.counts) {
        auto& requests = counts.requests[item.account];
        requests = std::max(requests, item.requests);
    }
}

bool usage_ledger::isWhole(const process_counts& counts)
{
    std::uint64_t sum = 0;
    for (const auto& [account, requests] : counts.requests)
        sum += requests;
    return counts.isFinal && sum >= counts.total;
}

bool usage_ledger::isComplete(std::int64_t window, const std::vector<std::uint32_t>& nodes) const
{
    const auto found = m_windows.find(window);
    if (found == m_windows.end())
        return nodes.empty();
    const auto& processes = found->second;
    return std::all_of(nodes.begin(), nodes.end(), [&](std::uint32_t node) {
        const auto first = processes.lower_bound({ node, std::numeric_limits<std::int64_t>::min() });
        const auto last = processes.upper_bound({ node, std::numeric_limits<std::int64_t>::max() });
        return std::any_of(first, last, [](const auto& item) { return isWhole(item.second); });
    });
}

std::map<std::uint64_t, std::uint64_t> usage_ledger::totals(std::int64_t window) const
{
    std::map<std::uint64_t, std::uint64_t> out;
    const auto found = m_windows.find(window);
    if (found == m_windows.end())
        return out;
    for (const auto& [process, counts] : found->second) {
        for (const auto& [account, requests] : counts.requests)
            out[account] += requests;
    }
    return out;
}

void usage_ledger::forgetBefore(std::int64_t window)
{
    m_windows.erase(m_windows.begin(), m_windows.lower_bound(window));
}

}
