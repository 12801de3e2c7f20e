// Tests what a node concludes about its paths to the targets.
#include "serving_fixture.h"

using namespace tamarack;
using namespace tamarack::serving;
using namespace tamarack::serving::tests;

namespace {

struct path_world {
    fleet_table fleet { "a" };
    target_paths paths { fleet };

    target_id add(const std::string& instance)
    {
        return fleet.upsert(targetRecord(instance, "plain", target_role::plain, 6));
    }
};

}

TEST_CASE("test_lost_paths_to_all_targets_of_a_service_are_reported_once")
{
    path_world world;
    const auto first = world.add("p1");
    const auto second = world.add("p2");
    world.paths.failed(first, path_failure::silent, at(0s), at(1s));
    CHECK(world.paths.takeServiceChanges(at(1s)).empty());
    world.paths.failed(second, path_failure::refused, at(2s), at(2s));
    const auto lost = world.paths.takeServiceChanges(at(3s));
    REQUIRE(lost.size() == 1);
    CHECK(lost.front().isLost);
    CHECK(lost.front().targets == 2);
    CHECK(lost.front().failure == path_failure::refused);
    CHECK(lost.front().length == 2s);
    CHECK(world.paths.countLost("plain") == 2);
    CHECK(world.paths.takeServiceChanges(at(4s)).empty());
    world.paths.reached(first, at(5s));
    const auto returned = world.paths.takeServiceChanges(at(6s));
    REQUIRE(returned.size() == 1);
    CHECK_FALSE(returned.front().isLost);
    CHECK(returned.front().length == 5s);
    CHECK(world.paths.countLost("plain") == 1);
}

TEST_CASE("test_call_that_fails_after_a_later_one_has_reached_the_target_loses_no_path")
{
    path_world world;
    const auto target = world.add("p1");
    world.paths.reached(target, at(100ms));
    world.paths.failed(target, path_failure::silent, at(0ms), at(150ms));
    CHECK_FALSE(world.paths.isLost(target));
}
