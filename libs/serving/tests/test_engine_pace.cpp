// Tests how the pace and the slowness of engines are estimated.
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

    /// The engine prefills prompts of all sizes; a share of `delayedShare` of them is delayed by requests that this
    /// node has no report of.
    void addPrefills(target_id engine, int prompts, double base, double secondsPerToken, double delayedShare = 0)
    {
        for (int i = 0; i < prompts; ++i) {
            const double work = 200 + 12'000 * random.unit() * random.unit();
            const double hiddenDelay = random.unit() < delayedShare ? 0.3 * random.unit() : 0;
            pace.recordPrefill(engine, work, 0, fromSeconds(base + work * secondsPerToken + hiddenDelay), now);
            now += 100ms;
        }
    }
};

}

TEST_CASE("test_engine_without_samples_has_the_pace_of_its_kind")
{
    // With many nodes a node finds each engine without other work only once or twice in half a minute. If each engine
    // is estimated by itself, nearly all keep the initial pace, and prompts wait behind longer ones that are taken for
    // not started yet.
    pace_world world;
    const auto first = world.add("e1", target_role::prefill);
    const auto other = world.add("e2", target_role::prefill);
    const auto decodeEngine = world.add("e3", target_role::decode);
    const double assumed = world.pace.typicalSecondsPerToken(decodeEngine);
    world.addPrefills(first, 300, 0.01, 13e-6);
    CHECK(world.pace.secondsPerToken(other, world.now) == Approx(13e-6).epsilon(0.1));
    CHECK(world.pace.prefillOverheadSeconds(other) == Approx(0.01).margin(0.006));
    CHECK(world.pace.typicalSecondsPerToken(decodeEngine) == assumed);
}

TEST_CASE("test_pace_is_learned_from_any_initial_estimate_and_despite_unreported_load")
{
    // The engines are three times as fast as the initial estimates, or three times as slow. If only prompts without a
    // predicted wait counted, none would at the initial pace, and most prompts of a new fleet would be taken for late
    // and be refused.
    for (const double secondsPerToken : { 6e-6, 20e-6, 60e-6 }) {
        for (const double base : { 0.005, 0.1 }) {
            INFO(secondsPerToken << " " << base);
            pace_world world;
            const auto engine = world.add("e1", target_role::prefill);
            world.addPrefills(engine, 400, base, secondsPerToken, 0.5);
            const auto predicted = [&](double work) {
                return world.pace.prefillOverheadSeconds(engine) + work * world.pace.typicalSecondsPerToken(engine);
            };
            for (const double work : { 1'000.0, 4'000.0, 9'000.0 })
                CHECK(predicted(work) == Approx(base + work * secondsPerToken).epsilon(0.25).margin(0.015));
        }
    }
}

TEST_CASE("test_prompts_prefilled_sooner_than_predicted_count_despite_a_predicted_wait")
{
    pace_world world;
    const auto engine = world.add("e1", target_role::prefill);
    for (int i = 0; i < 200; ++i)
        world.pace.recordPrefill(engine, 6'000, 10, 70ms, world.now); // 10 s of predicted wait
    CHECK(world.pace.prefillOverheadSeconds(engine) + 6'000 * world.pace.typicalSecondsPerToken(engine) < 0.08);
}

TEST_CASE("test_slowness_of_an_engine_is_detected_and_decays")
{
    // The engine takes five times as long as before for some seconds. If its slowness followed samples as slowly as the
    // pace does, requests there would be late for as long as it lasts.
    pace_world world;
    const auto slow = world.add("e1", target_role::prefill);
    const auto other = world.add("e2", target_role::prefill);
    world.addPrefills(slow, 100, 0.01, 15e-6);
    world.addPrefills(other, 100, 0.01, 15e-6);
    world.addPrefills(slow, 6, 0.01, 75e-6);
    CHECK(world.pace.slowness(slow, world.now) > 2);
    CHECK(world.pace.slowness(other, world.now) == Approx(1).margin(0.1));
    CHECK(world.pace.slowness(slow, world.now + 30s) == Approx(1).margin(0.1));
}

TEST_CASE("test_lasting_slowness_of_an_engine_is_remembered")
{
    // One of three engines takes a third longer for everything and gets nothing for half a minute. If its slowness
    // decayed completely meanwhile, slower engines would have long queues, and requests there would be late.
    pace_world world;
    const auto slow = world.add("e1", target_role::prefill);
    const auto other = world.add("e2", target_role::prefill);
    for (int round = 0; round < 150; ++round) {
        world.addPrefills(slow, 1, 0.01, 20e-6);
        world.addPrefills(other, 2, 0.01, 15e-6);
    }
    world.now += 30s;
    const double ratio = world.pace.secondsPerToken(slow, world.now) / world.pace.secondsPerToken(other, world.now);
    CHECK(ratio == Approx(1.33).margin(0.1));
}

TEST_CASE("test_load_that_delays_all_engines_makes_none_of_them_slow")
{
    // All engines prefill prompts of other nodes without reports between this node's prompts. If a delay shared by all
    // engines of a kind counted as slowness of each, it would count twice, and at full load long prompts would be taken
    // for late and go behind all others.
    pace_world world;
    std::vector<target_id> engines;
    for (int i = 0; i < 6; ++i)
        engines.push_back(world.add("e" + std::to_string(i), target_role::prefill));
    for (int round = 0; round < 60; ++round) {
        for (const auto engine : engines)
            world.addPrefills(engine, 1, 0.01, 15e-6, 0.8);
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
    world.addPrefills(engine, 50, 0.01, 100e-6);
    world.pace.forget(engine);
    CHECK(world.pace.slowness(engine, world.now) == 1);
}

TEST_CASE("test_step_time_follows_stream_events_with_little_prefill")
{
    pace_world world;
    const auto engine = world.add("e1", target_role::decode);
    for (int i = 0; i < 300; ++i)
        // every other event is delayed by a prefill
        world.pace.recordStreamEvent(engine, 10, i % 2 == 0 ? 40ms : 120ms);
    CHECK(world.pace.stepSeconds(engine) == Approx(0.0045).margin(0.0007));
}
