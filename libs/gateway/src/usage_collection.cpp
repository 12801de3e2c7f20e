// Implements the exchange of usage reports.
#include "usage_collection.h"

#include "base/hash.h"
#include "serving/duty_assignment.h"
#include "serving/fleet_table.h"

#include <algorithm>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// The node that reports the usage, and those that would follow it. All of them have to be lost at once for counts
    /// to be lost.
    constexpr std::size_t collectorCount = 3;
    /// What a node has counted since its last report is lost with it.
    constexpr duration reportInterval = 500ms;
    /// Reports that a collector receives per second; with more nodes they are sent less often.
    constexpr double maxReportsPerSecond = 200;
    /// Account names beyond those of the configuration in force.
    constexpr std::size_t maxFormerNames = 1000;

    std::int64_t milliseconds(duration d) { return std::chrono::duration_cast<std::chrono::milliseconds>(d).count(); }

}

usage_collection::usage_collection(
    const std::string& vm, std::int64_t process, duration window, duration lateness, report_sender send)
    : m_isEnabled(window > duration::zero())
    , m_windows(std::max<std::int64_t>(1, milliseconds(window)))
    , m_keptWindows(static_cast<int>(m_windows.at(milliseconds(lateness))) + 1)
    , m_ownHash(serving::shortHash(vm))
    , m_counter(m_ownHash, process, m_windows, m_keptWindows)
    , m_send(std::move(send))
{
}

void usage_collection::requestBegan(const std::string& account)
{
    if (m_isEnabled && !account.empty())
        m_counter.requestBegan(account, wallMilliseconds());
}

void usage_collection::configure(const serving::serving_configuration& configuration)
{
    if (!m_isEnabled || !configuration.accounts())
        return;
    const auto& accounts = configuration.accounts()->accounts();
    if (m_names.size() > accounts.size() + maxFormerNames)
        m_names.clear();
    for (const auto& account : accounts)
        m_names[stableHash(account.name)] = account.name;
}

void usage_collection::tick(const serving::node_state& self, const std::vector<serving::node_state>& alive, instant now)
{
    if (!m_isEnabled)
        return;
    const auto wall = wallMilliseconds();
    const auto window = m_windows.at(wall);
    if (now < m_nextReportAt && window == m_lastWindow)
        return;
    m_lastWindow = window;
    const double crowded = static_cast<double>(alive.size() + 1) / maxReportsPerSecond;
    m_nextReportAt = now + std::max(reportInterval, fromSeconds(crowded));
    m_ledger.forgetBefore(window - m_keptWindows);
    auto collectors = serving::platformDutyNodes(self, alive, collectorCount);
    std::vector<std::string> names;
    for (const auto& node : collectors)
        names.push_back(node.vm);
    if (names != m_collectors)
        m_counter.repeatAll();
    m_collectors = std::move(names);
    const auto reports = m_counter.takeReports(wall);
    for (const auto& report : reports)
        m_ledger.apply(report);
    std::erase_if(collectors, [&](const auto& node) { return node.vm == self.vm; });
    m_send(collectors, reports);
}

std::optional<usage_collection::window_usage> usage_collection::usageOf(
    std::int64_t window, const std::vector<serving::node_state>& alive) const
{
    if (!m_ledger.hasReports(window))
        return std::nullopt;
    window_usage out;
    out.statement.window = window;
    std::vector<std::uint32_t> nodes { m_ownHash };
    for (const auto& node : alive)
        nodes.push_back(serving::shortHash(node.vm));
    out.isComplete = m_ledger.isComplete(window, nodes);
    for (const auto& [account, requests] : m_ledger.totals(window)) {
        if (const auto name = m_names.find(account); name != m_names.end())
            out.statement.counts[name->second] += requests;
    }
    return out;
}

}
