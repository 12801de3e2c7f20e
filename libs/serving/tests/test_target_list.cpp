// Tests which records of the target list are applied.
#include "serving_fixture.h"

#include "serving/target_list.h"

using namespace tamarack;
using namespace tamarack::serving;
using namespace tamarack::serving::tests;

namespace {

constexpr auto grace = 2500ms;

target_record record(std::uint64_t sequence, bool isDraining = false)
{
    auto out = targetRecord("t1", "plain", target_role::plain, 6);
    out.sequence = sequence;
    out.isDraining = isDraining;
    return out;
}

target_record recordStartedAt(std::uint64_t bornAt, std::uint64_t sequence)
{
    auto out = record(sequence);
    out.bornAt = bornAt;
    return out;
}

}

TEST_CASE("test_records_without_changes_are_not_reported")
{
    target_list list(grace);
    CHECK(list.listed(record(1), at(0s)).listed.size() == 1);
    CHECK(list.listed(record(2), at(1s)).listed.empty());
    CHECK(list.listed(record(3, true), at(2s)).listed.size() == 1);
}

TEST_CASE("test_late_record_does_not_bring_a_draining_target_back")
{
    // Guards against requests being sent to a target that has left. It reports that it drains, and an older record that
    // says it accepts work arrives later. Records must not be applied in order of arrival.
    target_list list(grace);
    list.listed(record(5), at(0s));
    list.listed(record(7, true), at(1s));
    CHECK(list.listed(record(6), at(2s)).listed.empty());
}

TEST_CASE("test_late_record_does_not_bring_a_gone_target_back")
{
    target_list list(grace);
    list.listed(record(5), at(0s));
    CHECK(list.dropped("t1", at(1s)).gone.size() == 1);
    CHECK(list.dropped("t1", at(1s)).gone.empty());
    CHECK(list.listed(record(5), at(2s)).listed.empty());
    CHECK(list.listed(record(6), at(3s)).listed.size() == 1);
}

TEST_CASE("test_target_that_starts_again_under_its_name_is_used_at_once")
{
    // Guards against a working target receiving nothing for as long as its former incarnation lasted. It crashes and
    // restarts under the same name, and its sequence starts anew. Sequences of different incarnations must not be
    // compared.
    target_list list(grace);
    list.listed(recordStartedAt(1000, 50), at(0s));
    const auto changes = list.listed(recordStartedAt(2000, 1), at(1s));
    REQUIRE(changes.listed.size() == 1);
    CHECK(changes.listed.front().instance() == "t1/2000");
    REQUIRE(changes.replaced.size() == 1);
    CHECK(changes.replaced.front().instance == "t1/1000");
    CHECK(changes.gone.empty());
}

TEST_CASE("test_target_that_starts_again_after_it_was_gone_is_used_at_once")
{
    target_list list(grace);
    list.listed(recordStartedAt(1000, 50), at(0s));
    list.dropped("t1", at(1s));
    const auto changes = list.listed(recordStartedAt(2000, 1), at(2s));
    CHECK(changes.listed.size() == 1);
    CHECK(changes.replaced.empty());
}

TEST_CASE("test_late_record_of_a_former_incarnation_is_dropped")
{
    // Guards against requests being sent to the former address of a restarted target. A record of its former
    // incarnation, which the store wrote late, arrives after the new one and must not be applied.
    target_list list(grace);
    list.listed(recordStartedAt(1000, 50), at(0s));
    list.listed(recordStartedAt(2000, 1), at(1s));
    list.listed(recordStartedAt(3000, 1), at(2s));
    for (const std::uint64_t former : { 1000, 2000 }) {
        const auto late = list.listed(recordStartedAt(former, 60), at(3s));
        CHECK(late.listed.empty());
        CHECK(late.replaced.empty());
        CHECK(late.gone.empty());
    }
    CHECK(list.listed(recordStartedAt(3000, 2), at(4s)).listed.empty()); // only its sequence has changed
}

TEST_CASE("test_earlier_start_time_is_a_new_incarnation")
{
    // Guards against a target that is never used again after it restarted with its clock set back. Start times need not
    // increase.
    target_list list(grace);
    list.listed(recordStartedAt(5000, 50), at(0s));
    CHECK(list.listed(recordStartedAt(4000, 1), at(1s)).listed.size() == 1);
    // A later record of the incarnation with the higher start time is not a delayed record: this incarnation is the
    // current one.
    CHECK(list.listed(recordStartedAt(5000, 51), at(2s)).listed.size() == 1);
}

TEST_CASE("test_record_without_a_start_time_is_not_of_a_target_that_reported_one")
{
    target_list list(grace);
    list.listed(recordStartedAt(1000, 5), at(0s));
    CHECK(list.listed(recordStartedAt(0, 6), at(1s)).gone.size() == 1);
    CHECK(list.listed(recordStartedAt(1000, 6), at(2s)).listed.size() == 1);
}

TEST_CASE("test_entries_that_lapsed_while_the_store_was_away_may_come_back")
{
    // Guards against every request being refused after an outage of the store although all targets work. The outage
    // lasts longer than the entries, so the list is empty until the targets have written again. A missing entry must
    // not end its target immediately.
    target_list list(grace);
    list.listed(record(5), at(0s));
    list.storeReturned(at(10s));
    CHECK(list.dropped("t1", at(10s)).gone.empty());
    CHECK(list.tick(at(11s)).gone.empty());
    list.listed(record(6), at(12s));
    CHECK(list.tick(at(20s)).gone.empty());
}

TEST_CASE("test_entries_that_stay_missing_after_an_outage_are_gone")
{
    target_list list(grace);
    list.listed(record(5), at(0s));
    list.storeReturned(at(10s));
    CHECK(list.snapshot({}, at(10s)).gone.empty());
    CHECK(list.tick(at(12s)).gone.empty());
    CHECK(list.tick(at(13s)).gone == std::vector<ended_target> { { "t1", "t1" } });
}

TEST_CASE("test_node_that_reads_infrequently_waits_for_a_confirmation")
{
    // Guards against a node refusing requests after an outage of the store that it did not notice. It reads the list
    // every few seconds, and the store was unreachable and entries expired between two reads. A missing entry must not
    // end its target immediately.
    target_list list(grace);
    list.setReadsInfrequently(true);
    list.listed(record(5), at(0s));
    CHECK(list.dropped("t1", at(1s)).gone.empty());
    CHECK(list.tick(at(3s)).gone.empty());
    CHECK(list.confirmedGone("t1", at(3s)).gone.size() == 1);
    list.listed(record(6), at(4s));
    CHECK(list.dropped("t1", at(5s)).gone.empty());
    CHECK(list.tick(at(8s)).gone.size() == 1);
}

TEST_CASE("test_snapshot_says_what_is_gone")
{
    target_list list(grace);
    list.listed(record(5), at(0s));
    auto other = targetRecord("t2", "plain", target_role::plain, 6);
    const auto changes = list.snapshot({ other }, at(1s));
    CHECK(changes.gone == std::vector<ended_target> { { "t1", "t1" } });
    REQUIRE(changes.listed.size() == 1);
    CHECK(changes.listed.front().name == "t2");
}
