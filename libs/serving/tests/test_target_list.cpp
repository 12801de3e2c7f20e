// Which records of targets are believed.
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

target_record bornRecord(std::uint64_t bornAt, std::uint64_t sequence)
{
    auto out = record(sequence);
    out.bornAt = bornAt;
    return out;
}

}

TEST_CASE("test_records_that_change_nothing_are_not_told")
{
    target_list list(grace);
    CHECK(list.listed(record(1), at(0s)).listed.size() == 1);
    CHECK(list.listed(record(2), at(1s)).listed.empty());
    CHECK(list.listed(record(3, true), at(2s)).listed.size() == 1);
}

TEST_CASE("test_late_record_does_not_bring_a_draining_target_back")
{
    // Symptom: a target that has left gets requests, which are lost with it.
    // Sequence: it says that it drains; an older record, which said that it takes work, arrives after that one.
    // Cause: records are believed in the order in which they arrive.
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
    // Symptom: a target that works gets nothing for as long as its former life had lasted.
    // Sequence: it crashes and starts again under its name; its records count from the beginning.
    // Cause: records of different lives compared by their sequence.
    target_list list(grace);
    list.listed(bornRecord(1000, 50), at(0s));
    const auto changes = list.listed(bornRecord(2000, 1), at(1s));
    REQUIRE(changes.listed.size() == 1);
    CHECK(changes.listed.front().instance() == "t1/2000");
    REQUIRE(changes.replaced.size() == 1);
    CHECK(changes.replaced.front().instance == "t1/1000");
    CHECK(changes.gone.empty());
}

TEST_CASE("test_target_that_starts_again_after_it_was_gone_is_used_at_once")
{
    target_list list(grace);
    list.listed(bornRecord(1000, 50), at(0s));
    list.dropped("t1", at(1s));
    const auto changes = list.listed(bornRecord(2000, 1), at(2s));
    CHECK(changes.listed.size() == 1);
    CHECK(changes.replaced.empty());
}

TEST_CASE("test_late_record_of_a_former_life_is_dropped")
{
    // Symptom: a target that works is left; requests go where it was before.
    // Sequence: it starts again; a record of its former life, which the store took late, comes after that.
    // Cause: whatever the list says last is believed.
    target_list list(grace);
    list.listed(bornRecord(1000, 50), at(0s));
    list.listed(bornRecord(2000, 1), at(1s));
    list.listed(bornRecord(3000, 1), at(2s));
    for (const std::uint64_t former : { 1000, 2000 }) {
        const auto late = list.listed(bornRecord(former, 60), at(3s));
        CHECK(late.listed.empty());
        CHECK(late.replaced.empty());
        CHECK(late.gone.empty());
    }
    CHECK(list.listed(bornRecord(3000, 2), at(4s)).listed.empty()); // nothing but its count has changed
}

TEST_CASE("test_birth_that_goes_back_is_a_new_life")
{
    // Symptom: a target is never used again.
    // Sequence: it starts again after its clock was set back.
    // Cause: births taken for rising.
    target_list list(grace);
    list.listed(bornRecord(5000, 50), at(0s));
    CHECK(list.listed(bornRecord(4000, 1), at(1s)).listed.size() == 1);
    // What was the newer life by its word is no late record of a former one: it is the one that goes on.
    CHECK(list.listed(bornRecord(5000, 51), at(2s)).listed.size() == 1);
}

TEST_CASE("test_record_without_a_birth_is_not_that_of_a_target_that_told_one")
{
    target_list list(grace);
    list.listed(bornRecord(1000, 5), at(0s));
    CHECK(list.listed(bornRecord(0, 6), at(1s)).gone.size() == 1);
    CHECK(list.listed(bornRecord(1000, 6), at(2s)).listed.size() == 1);
}

TEST_CASE("test_entries_that_lapsed_while_the_store_was_away_may_come_back")
{
    // Symptom: after an outage of the store every request is refused, although all targets work.
    // Sequence: the store is away for longer than entries last; it returns; its list is empty until the targets have
    // written again.
    // Cause: a missing entry is taken for a target that is gone.
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

TEST_CASE("test_node_that_reads_seldom_waits_for_a_confirmation")
{
    // Symptom: a node that was not told of an outage of the store refuses requests right after it.
    // Sequence: it reads the list every few seconds; between two reads the store was away and entries lapsed.
    // Cause: a missing entry is taken for a target that is gone.
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
