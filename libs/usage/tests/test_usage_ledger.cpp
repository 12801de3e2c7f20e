// Tests the merging of the reports of all nodes.
#include "usage/usage_ledger.h"

#include <catch2/catch.hpp>

using namespace tamarack;

namespace {

usage_report report(std::uint32_t node, std::int64_t process, std::uint32_t requests, bool isFinal)
{
    return { node, process, 200, isFinal, requests, { { 1, requests } } };
}

}

TEST_CASE("test_reports_may_come_twice_or_in_another_order")
{
    usage_ledger ledger;
    ledger.apply(report(7, 1, 5, true));
    ledger.apply(report(7, 1, 3, false));
    ledger.apply(report(7, 1, 5, true));
    ledger.apply(report(8, 1, 2, true));
    CHECK(ledger.totals(200)[1] == 7);
    CHECK(ledger.isComplete(200, { 7, 8 }));
    CHECK_FALSE(ledger.isComplete(200, { 7, 8, 9 }));
}

// Guards against the loss of what a process had counted before it was restarted.
TEST_CASE("test_counts_of_a_former_process_are_kept")
{
    usage_ledger ledger;
    ledger.apply(report(7, 1, 5, false));
    ledger.apply(report(7, 2, 1, true));
    CHECK(ledger.totals(200)[1] == 6);
    CHECK(ledger.isComplete(200, { 7 }));
}

TEST_CASE("test_windows_that_are_over_are_forgotten")
{
    usage_ledger ledger;
    ledger.apply(report(7, 1, 5, true));
    ledger.forgetBefore(200);
    CHECK(ledger.hasReports(200));
    ledger.forgetBefore(201);
    CHECK_FALSE(ledger.hasReports(200));
    CHECK(ledger.totals(200).empty());
}
