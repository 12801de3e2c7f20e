// Tests what a node reports of its own requests.
#include "usage/usage_counter.h"

#include "base/hash.h"
#include "usage/usage_ledger.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace tamarack;

namespace {

constexpr std::int64_t windowLength = 5000;
constexpr std::int64_t start = 200 * windowLength;

usage_counter counter() { return { 7, 1, usage_windows(windowLength), 3 }; }

const usage_report* find(const std::vector<usage_report>& reports, std::int64_t window)
{
    const auto found
        = std::find_if(reports.begin(), reports.end(), [&](const auto& report) { return report.window == window; });
    return found == reports.end() ? nullptr : &*found;
}

}

TEST_CASE("test_requests_are_counted_in_the_window_in_which_they_began")
{
    auto node = counter();
    node.requestBegan("huka", start + 4999);
    node.requestBegan("huka", start + 5000);
    node.requestBegan("puhu", start + 5000);
    const auto reports = node.takeReports(start + 5100);
    REQUIRE(find(reports, 200));
    REQUIRE(find(reports, 201));
    CHECK(find(reports, 200)->isFinal);
    CHECK(find(reports, 200)->total == 1);
    CHECK_FALSE(find(reports, 201)->isFinal);
    CHECK(find(reports, 201)->total == 2);
}

// Guards against a collector that waits for a node without requests.
TEST_CASE("test_a_node_without_requests_reports_empty_windows")
{
    auto node = counter();
    node.takeReports(start + 100);
    const auto reports = node.takeReports(start + 3 * windowLength + 100);
    for (std::int64_t window = 200; window <= 203; ++window) {
        REQUIRE(find(reports, window));
        CHECK(find(reports, window)->total == 0);
        CHECK(find(reports, window)->isFinal == (window < 203));
    }
}

// Guards against a process that reports on windows in which a former process of its node ran.
TEST_CASE("test_a_node_does_not_report_windows_before_its_start")
{
    auto node = counter();
    const auto reports = node.takeReports(start + 100);
    CHECK(reports.size() == 1);
    CHECK(reports.front().window == 200);
}

TEST_CASE("test_unchanged_counts_are_reported_again_only_after_the_end_of_their_window")
{
    auto node = counter();
    node.requestBegan("huka", start);
    CHECK(node.takeReports(start + 100).size() == 1);
    CHECK(node.takeReports(start + 200).empty());
    int finals = 0;
    for (int i = 0; i < 10; ++i)
        finals += find(node.takeReports(start + 5000 + i * 500), 200) != nullptr;
    CHECK(finals == 3);
    node.repeatAll();
    CHECK(find(node.takeReports(start + 10'100), 200));
}

TEST_CASE("test_many_accounts_are_reported_in_parts_that_add_up")
{
    auto node = counter();
    for (int i = 0; i < 1000; ++i)
        node.requestBegan("account-" + std::to_string(i), start);
    const auto reports = node.takeReports(start + 5000);
    usage_ledger ledger;
    std::size_t parts = 0;
    for (const auto& report : reports) {
        CHECK(report.counts.size() <= 100);
        CHECK_FALSE(ledger.isComplete(200, { 7 }));
        ledger.apply(report);
        ++parts;
        if (report.window == 200 && ledger.totals(200).size() == 1000)
            break;
    }
    CHECK(parts == 10);
    CHECK(ledger.isComplete(200, { 7 }));
    CHECK(ledger.totals(200)[stableHash("account-17")] == 1);
}
