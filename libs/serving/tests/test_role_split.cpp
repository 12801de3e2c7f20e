// Tests which engines change their role, and when.
#include "serving/role_split.h"

#include "serving_fixture.h"

#include <set>

using namespace tamarack;
using namespace tamarack::serving;
using namespace tamarack::serving::tests;

namespace {

struct split_world {
    fleet_table fleet { "a" };
    role_split split { fleet, { 0.5 } };

    void add(int count, int prefillEngines, const std::string& prefix = "e")
    {
        for (int i = 0; i < count; ++i) {
            const auto role = i < prefillEngines ? target_role::prefill : target_role::decode;
            fleet.upsert(targetRecord(prefix + std::to_string(i), "engines", role, 16, std::string(1, "abc"[i % 3])));
        }
    }

    /// The changes that are due after the fleet has not changed for a while.
    std::vector<role_change> settled(duration since, double prefillWaitSeconds = 0.2)
    {
        split.dueChanges(at(since), prefillWaitSeconds);
        return split.dueChanges(at(since + 2s), prefillWaitSeconds);
    }

    void makeBusy()
    {
        for (std::uint32_t row = 0; row < fleet.size(); ++row)
            fleet.addRunning({ row });
    }

    void carryOut(const role_change& change)
    {
        auto record = targetRecord(fleet.instance[change.engine.value], "engines", change.role, 16);
        record.availabilityZone = fleet.zone[change.engine.value];
        fleet.upsert(record);
    }
};

}

TEST_CASE("test_idle_engines_change_together_until_the_split_fits")
{
    split_world world;
    world.add(18, 5);
    CHECK(world.split.dueChanges(at(0s), 0.2).empty()); // the target list may still be incomplete
    const auto changes = world.settled(0s);
    REQUIRE(changes.size() == 4); // half of 18
    std::set<std::uint32_t> engines;
    for (const auto& change : changes) {
        CHECK(change.role == target_role::prefill);
        engines.insert(change.engine.value);
        world.split.recordOrder(change.engine, change.role, at(2s));
    }
    CHECK(engines.size() == 4);
    CHECK(world.settled(3s).empty()); // the changes are in progress
    for (const auto& change : changes)
        world.carryOut(change);
    CHECK(world.settled(6s).empty());
}

TEST_CASE("test_engines_at_work_change_few_at_a_time")
{
    // Each engine that changes its role is out of service for 3 s. If all missing engines of a role were ordered at
    // once, too few would be left meanwhile, and answers would be late for some seconds after engines were replaced.
    split_world world;
    world.add(40, 8);
    world.makeBusy();
    const auto changes = world.settled(0s);
    REQUIRE(changes.size() == 4); // a tenth
    for (const auto& change : changes)
        world.split.recordOrder(change.engine, change.role, at(2s));
    CHECK(world.settled(3s).empty());
    for (const auto& change : changes)
        world.carryOut(change);
    CHECK(world.settled(6s).size() == 4);
}

TEST_CASE("test_engine_whose_order_was_not_answered_gets_no_other_soon")
{
    // An order gets no answer, another one is given, and then the first is carried out. If an order without an answer
    // counted as one without effect, an engine would change its role twice within seconds.
    split_world world;
    world.add(3, 0);
    const auto changes = world.settled(0s);
    REQUIRE(changes.size() == 1);
    world.split.recordOrder(changes.front().engine, changes.front().role, at(2s));
    for (int second = 11; second < 20; ++second) {
        for (const auto& change : world.settled(std::chrono::seconds(second)))
            CHECK(change.engine != changes.front().engine);
    }
    world.split.recordRefusal(changes.front().engine, at(20s));
    CHECK(world.settled(21s).size() == 1);
}

TEST_CASE("test_new_engines_are_changed_before_those_with_full_caches")
{
    split_world world;
    world.add(10, 5);
    world.makeBusy();
    CHECK(world.settled(0s).empty());
    world.add(4, 0, "new");
    const auto changes = world.settled(10s);
    REQUIRE(changes.size() == 1);
    CHECK(world.fleet.instance[changes.front().engine.value].starts_with("new"));
}

TEST_CASE("test_split_stays_when_decode_engines_are_away_for_some_seconds")
{
    split_world world;
    world.add(20, 10);
    world.makeBusy();
    CHECK(world.settled(0s).empty());
    for (int i = 10; i < 20; ++i)
        world.fleet.remove("e" + std::to_string(i));
    CHECK(world.settled(3s).empty());
    CHECK(world.settled(5s).empty());
    const auto changes = world.settled(14s);
    REQUIRE_FALSE(changes.empty()); // they do not come back
    CHECK(changes.front().role == target_role::decode);
}

TEST_CASE("test_split_stays_when_prefill_engines_crash")
{
    // Two of five prefill engines crash under load and are back 5 s later. If they were replaced at once, engines would
    // change to prefill and back within ten seconds.
    split_world world;
    world.add(9, 5);
    world.makeBusy();
    CHECK(world.settled(0s).empty());
    world.fleet.remove("e0");
    world.fleet.remove("e1");
    for (int second = 3; second < 10; ++second)
        CHECK(world.settled(std::chrono::seconds(second)).empty());
    CHECK(world.settled(14s).size() == 1); // they do not come back
}

TEST_CASE("test_split_is_made_right_while_engines_are_replaced")
{
    // Every second an announced prefill engine leaves and a new engine comes that decodes. If a shortage had to stay
    // the same for a while, it would be a new one with each engine, and nothing would change for the half minute in
    // which half of the engines are replaced, while prefill engines are short.
    split_world world;
    world.add(18, 9);
    world.makeBusy();
    std::vector<role_change> changes;
    for (int second = 0; second < 6 && changes.empty(); ++second) {
        const auto leaving = "e" + std::to_string(second);
        world.fleet.upsert([&] {
            auto record = targetRecord(leaving, "engines", target_role::prefill, 16, "a");
            record.isDraining = true;
            return record;
        }());
        world.add(1, 0, "new" + std::to_string(second) + "-");
        world.split.dueChanges(at(std::chrono::seconds(second)), 0.2);
        world.fleet.remove(leaving);
        changes = world.split.dueChanges(at(std::chrono::seconds(second) + 500ms), 0.2);
    }
    REQUIRE_FALSE(changes.empty());
    CHECK(changes.front().role == target_role::prefill);
}

TEST_CASE("test_prefill_engine_decodes_again_when_a_decode_engine_leaves")
{
    // Of 4 decode engines beside 5 prefill engines one announces that it leaves. If one prefill engine too many were
    // tolerated as in a large fleet, long answers would take longer than their callers wait.
    split_world world;
    world.add(9, 5);
    world.makeBusy();
    CHECK(world.settled(0s).empty());
    auto leaving = targetRecord("e8", "engines", target_role::decode, 16, "c");
    leaving.isDraining = true;
    world.fleet.upsert(leaving);
    const auto changes = world.settled(3s);
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().role == target_role::decode);
}

// Guards against a split that counts on an engine which has declared that it leaves, and against orders to it.
TEST_CASE("test_engine_that_declared_to_leave_counts_as_draining_in_the_split")
{
    split_world world;
    world.add(9, 5);
    world.makeBusy();
    CHECK(world.settled(0s).empty());
    world.fleet.recordLeaving("e8");
    const auto changes = world.settled(3s);
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().role == target_role::decode);
    CHECK(world.fleet.instance[changes.front().engine.value] != "e8");
}

TEST_CASE("test_two_engines_always_decode")
{
    // Of three engines two prefill and the third one hangs. With a split by shares alone no request would be answered
    // although most engines work.
    for (int engines = 1; engines <= 6; ++engines) {
        split_world world;
        world.add(engines, 0);
        const auto changes = static_cast<int>(world.settled(0s).size());
        CHECK(engines - changes >= std::min(engines, 2));
    }
}

TEST_CASE("test_few_engines_change_before_there_is_any_load")
{
    // A fleet of hundreds of engines starts before a light load. If the split were corrected at once, engines would be
    // out of service at the start although nothing needs them in their new role.
    split_world world;
    world.add(300, 100);
    const auto changes = world.settled(0s);
    REQUIRE(changes.size() == 12);
    for (const auto& change : changes) {
        world.split.recordOrder(change.engine, change.role, at(2s));
        world.carryOut(change);
    }
    CHECK(world.settled(10s).empty());
    world.makeBusy();
    CHECK(world.settled(30s, 0.0).empty()); // nothing waits for prefill engines
    CHECK(world.settled(40s, 0.2).size() == 30);
}
