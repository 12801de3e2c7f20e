// What is learned of engines' pace.
#include "serving/engine_pace.h"

#include "serving_fixture.h"

using namespace tamarack;
using namespace tamarack::serving;
using namespace tamarack::serving::tests;

namespace {

struct pace_world {
    fleet_table fleet { "a" };
    engine_pace pace { fleet };

    target_id add(const std::string& name, target_role role)
    {
        return fleet.put(targetRecord(name, "engines", role, 16));
    }

    /// The engine read a prompt that had it to itself.
    void teach(target_id engine, double secondsPerToken)
    {
        constexpr double work = 10'000;
        const double base = pace.baseSeconds(engine);
        pace.learned(engine, work, 0, fromSeconds(base + work * secondsPerToken));
    }
};

}

TEST_CASE("test_engine_that_taught_nothing_has_the_pace_of_its_like")
{
    // Symptom: prompts wait behind longer ones that were thought not to have begun yet.
    // Sequence: a node meets each of many engines once or twice in half a minute while it reads nothing else.
    // Cause: each engine was learned by itself, so nearly all kept the pace that was assumed at the start.
    pace_world world;
    const auto first = world.add("e1", target_role::prefill);
    const auto other = world.add("e2", target_role::prefill);
    const auto writer = world.add("e3", target_role::decode);
    const double assumed = world.pace.secondsPerToken(writer);
    for (int i = 0; i < 20; ++i)
        world.teach(first, 13e-6);
    CHECK(world.pace.secondsPerToken(other) == Approx(13e-6).epsilon(0.02));
    CHECK(world.pace.secondsPerToken(writer) == assumed);
}

TEST_CASE("test_engine_that_differs_from_its_like_keeps_its_own_pace")
{
    pace_world world;
    const auto fast = world.add("e1", target_role::prefill);
    const auto slow = world.add("e2", target_role::prefill);
    for (int i = 0; i < 400; ++i) {
        world.teach(fast, 13e-6);
        world.teach(slow, 40e-6);
    }
    CHECK(world.pace.secondsPerToken(fast) == Approx(13e-6).epsilon(0.02));
    CHECK(world.pace.secondsPerToken(slow) == Approx(40e-6).epsilon(0.02));
}

TEST_CASE("test_new_engine_in_the_row_of_another_learns_anew")
{
    pace_world world;
    const auto engine = world.add("e1", target_role::prefill);
    const double assumed = world.pace.secondsPerToken(engine);
    world.pace.learned(engine, 10'000, 0.5, 100ms);
    CHECK(world.pace.secondsPerToken(engine) == assumed); // it waited for others, so it tells nothing
    for (int i = 0; i < 20; ++i)
        world.teach(engine, 13e-6);
    world.pace.forget(engine);
    CHECK(world.pace.secondsPerToken(engine) == Approx(13e-6).epsilon(0.02));
}
