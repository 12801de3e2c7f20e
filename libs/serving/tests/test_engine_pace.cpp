// What is learned of engines' pace.
#include "serving/engine_pace.h"

#include "serving_fixture.h"

#include "base/random_source.h"

using namespace tamarack;
using namespace tamarack::serving;
using namespace tamarack::serving::tests;

namespace {

struct pace_world {
    fleet_table fleet { "a" };
    engine_pace pace { fleet };
    random_source random { 7 };
    instant now = at(0s);

    target_id add(const std::string& name, target_role role)
    {
        return fleet.upsert(targetRecord(name, "engines", role, 16));
    }

    /// The engine read prompts of all sizes; others were in the way of `crowded` of them, and nobody knew.
    void teach(target_id engine, int prompts, double base, double secondsPerToken, double crowded = 0)
    {
        for (int i = 0; i < prompts; ++i) {
            const double work = 200 + 12'000 * random.unit() * random.unit();
            const double unknown = random.unit() < crowded ? 0.3 * random.unit() : 0;
            pace.recordPrefill(engine, work, 0, fromSeconds(base + work * secondsPerToken + unknown), now);
            now += 100ms;
        }
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
    const double assumed = world.pace.typicalSecondsPerToken(writer);
    world.teach(first, 300, 0.01, 13e-6);
    CHECK(world.pace.secondsPerToken(other, world.now) == Approx(13e-6).epsilon(0.1));
    CHECK(world.pace.prefillOverheadSeconds(other) == Approx(0.01).margin(0.006));
    CHECK(world.pace.typicalSecondsPerToken(writer) == assumed);
}

TEST_CASE("test_pace_is_learned_whatever_was_assumed_and_although_others_are_in_the_way")
{
    // Symptom: most prompts of a fleet nobody had seen before are thought to be late from the start, and refused.
    // Sequence: its engines are three times as fast as those that the first values are from, or three times as slow.
    // Cause: only prompts taught that were thought to wait for nothing; at the assumed pace all were thought to wait.
    for (const double secondsPerToken : { 6e-6, 20e-6, 60e-6 }) {
        for (const double base : { 0.005, 0.1 }) {
            INFO(secondsPerToken << " " << base);
            pace_world world;
            const auto engine = world.add("e1", target_role::prefill);
            world.teach(engine, 400, base, secondsPerToken, 0.5);
            const auto predicted = [&](double work) {
                return world.pace.prefillOverheadSeconds(engine) + work * world.pace.typicalSecondsPerToken(engine);
            };
            for (const double work : { 1'000.0, 4'000.0, 9'000.0 })
                CHECK(predicted(work) == Approx(base + work * secondsPerToken).epsilon(0.25).margin(0.015));
        }
    }
}

TEST_CASE("test_prompts_that_were_read_sooner_than_thought_teach_although_they_were_thought_to_wait")
{
    pace_world world;
    const auto engine = world.add("e1", target_role::prefill);
    for (int i = 0; i < 200; ++i)
        world.pace.recordPrefill(engine, 6'000, 10, 70ms, world.now); // was to wait for 10 s
    CHECK(world.pace.prefillOverheadSeconds(engine) + 6'000 * world.pace.typicalSecondsPerToken(engine) < 0.08);
}

TEST_CASE("test_engine_that_turned_slow_is_known_for_it_and_forgiven")
{
    // Symptom: requests at an engine that has turned slow are late for as long as it is.
    // Sequence: it takes five times as long as before, for some seconds.
    // Cause: what it showed was followed as slowly as its usual pace.
    pace_world world;
    const auto slow = world.add("e1", target_role::prefill);
    const auto other = world.add("e2", target_role::prefill);
    world.teach(slow, 100, 0.01, 15e-6);
    world.teach(other, 100, 0.01, 15e-6);
    world.teach(slow, 6, 0.01, 75e-6);
    CHECK(world.pace.slowness(slow, world.now) > 2);
    CHECK(world.pace.slowness(other, world.now) == Approx(1).margin(0.1));
    CHECK(world.pace.slowness(slow, world.now + 30s) == Approx(1).margin(0.1));
}

TEST_CASE("test_engine_that_is_slower_than_its_like_for_good_is_known_for_it")
{
    // Symptom: slower engines have long queues, and what waits there is late.
    // Sequence: one of three engines takes a third more for everything; nothing is sent there for half a minute.
    // Cause: what an engine had shown was forgotten after some seconds.
    pace_world world;
    const auto slow = world.add("e1", target_role::prefill);
    const auto other = world.add("e2", target_role::prefill);
    for (int round = 0; round < 150; ++round) {
        world.teach(slow, 1, 0.01, 20e-6);
        world.teach(other, 2, 0.01, 15e-6);
    }
    world.now += 30s;
    const double ratio = world.pace.secondsPerToken(slow, world.now) / world.pace.secondsPerToken(other, world.now);
    CHECK(ratio == Approx(1.33).margin(0.1));
}

TEST_CASE("test_load_that_delays_all_engines_makes_none_of_them_slow")
{
    // Symptom: at full load long prompts are thought to be late, and go behind all others.
    // Sequence: all engines read for others, of whom nobody knows, between the prompts of this node.
    // Cause: what delayed every engine of the kind was taken for the slowness of each, and counted twice.
    pace_world world;
    std::vector<target_id> engines;
    for (int i = 0; i < 6; ++i)
        engines.push_back(world.add("e" + std::to_string(i), target_role::prefill));
    for (int round = 0; round < 60; ++round) {
        for (const auto engine : engines)
            world.teach(engine, 1, 0.01, 15e-6, 0.8);
    }
    double sum = 0;
    for (const auto engine : engines)
        sum += world.pace.slowness(engine, world.now);
    CHECK(sum / 6 == Approx(1).margin(0.1));
    CHECK(world.pace.typicalSecondsPerToken(engines.front()) == Approx(15e-6).epsilon(0.25));
}

TEST_CASE("test_new_engine_in_the_row_of_another_learns_anew")
{
    pace_world world;
    const auto engine = world.add("e1", target_role::prefill);
    world.teach(engine, 50, 0.01, 100e-6);
    world.pace.forget(engine);
    CHECK(world.pace.slowness(engine, world.now) == 1);
}

TEST_CASE("test_time_for_a_step_is_what_streams_show_while_little_is_read")
{
    pace_world world;
    const auto engine = world.add("e1", target_role::decode);
    for (int i = 0; i < 300; ++i)
        world.pace.recordStreamEvent(engine, 10, i % 2 == 0 ? 40ms : 120ms); // read in between
    CHECK(world.pace.stepSeconds(engine) == Approx(0.0045).margin(0.0007));
}
