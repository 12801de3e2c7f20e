// Counts this node's requests by client account and collects the counts of all nodes.
#pragma once

#include "serving/node_directory.h"
#include "serving/serving_configuration.h"
#include "usage/usage_counter.h"
#include "usage/usage_ledger.h"

#include "duties/duty_statement.h"

#include "base/clock.h"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// A few nodes collect the counts of all others, so that the counts of a node survive it, and those of a collector too.
class usage_collection {
public:
    using report_sender
        = std::function<void(const std::vector<serving::node_state>& to, const std::vector<usage_report>& reports)>;

    /// `window` is the length of a window; zero: nothing is counted. `lateness` is the time for which counts are kept
    /// after the end of their window.
    usage_collection(
        const std::string& vm, std::int64_t process, duration window, duration lateness, report_sender send);

    bool isEnabled() const { return m_isEnabled; }
    /// A target has begun to run a request of the account.
    void requestBegan(const std::string& account);
    /// A peer's report.
    void apply(const usage_report& report) { m_ledger.apply(report); }
    /// Names of accounts are kept, because counts of an account may arrive after it was removed.
    void configure(const serving::serving_configuration& configuration);
    /// Sends what is new to the nodes that collect.
    void tick(const serving::node_state& self, const std::vector<serving::node_state>& alive, instant now);

    struct window_usage {
        usage_statement statement;
        bool isComplete = false; ///< all nodes that are alive have reported after the end of the window
    };
    /// Returns nothing if no node has reported on the window.
    std::optional<window_usage> usageOf(std::int64_t window, const std::vector<serving::node_state>& alive) const;
    const usage_windows& windows() const { return m_windows; }

private:
    bool m_isEnabled;
    usage_windows m_windows;
    int m_keptWindows;
    std::uint32_t m_ownHash;
    usage_counter m_counter;
    usage_ledger m_ledger;
    report_sender m_send;
    std::unordered_map<std::uint64_t, std::string> m_names; // of accounts, by stableHash()
    std::vector<std::string> m_collectors; // VMs to which the last reports were sent
    instant m_nextReportAt;
    std::int64_t m_lastWindow = 0; // window of the last report
};

}
