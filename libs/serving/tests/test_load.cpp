// Plays the users' loads on the decisions of all nodes, and checks what callers get.
#include "random_fleets.h"
#include "users_fleets.h"

#include <catch2/catch.hpp>
#include <cstdio>

using namespace tamarack;
using namespace tamarack::serving::tests;

namespace {

constexpr std::size_t longPrompts = 0;
constexpr std::size_t smallPrompts = 1;

struct played_load {
    double longEarned = 0; ///< of what was owed
    double smallEarned = 0;
    double readAgain = 0; ///< million tokens of beginnings
};

/// Two days of 34 s; the swings of the mix as on the users' days.
played_load play(const fleet_sheet& sheet)
{
    played_load sum;
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        const auto result = fleet_model(sheet, seed).run(std::chrono::seconds(34));
        sum.longEarned += result.kinds[longPrompts].earned / result.kinds[longPrompts].owed / 2;
        sum.smallEarned += result.kinds[smallPrompts].earned / result.kinds[smallPrompts].owed / 2;
        sum.readAgain += result.beginningsReadAgain / 1e6;
    }
    std::printf("earned: long %.4f, small %.4f; %.2f million tokens read again\n", sum.longEarned, sum.smallEarned,
        sum.readAgain);
    return sum;
}

}

TEST_CASE("test_beginnings_stay_in_the_engines_memory_under_load")
{
    // Symptom: a quarter of the engines' reading is of beginnings that they had read some seconds before.
    // Sequence: requests go to whichever engine is idle, which fetches the beginning from another one.
    // Cause: each copy takes the place of another beginning, until the last copy of one is gone.
    // With a copy taken for nearly free 0.753 of the long prompts' worth was earned, and 8.5 million tokens were read
    // again; with its place in memory counted 0.784 and 6.1 million.
    const auto played = play(ahnenhausGrownFleet());
    CHECK(played.readAgain <= 7);
    CHECK(played.longEarned >= 0.77);
}

TEST_CASE("test_engines_pace_is_learned_although_each_node_seldom_meets_an_idle_one")
{
    // Symptom: with many nodes, prompts wait behind longer ones that were thought not to have begun, and small ones are
    // late in crowds.
    // Sequence: each node sends an engine a prompt now and then, mostly while others are read there.
    // Cause: a node learned the pace of an engine only from prompts that had that engine to themselves, of which there
    // were one or two in half a minute; until then it took engines for a third slower than they are.
    // Each engine by itself: 0.905 of the small prompts' worth earned; all of a kind together: 0.956.
    const auto played = play(ahnenhausGrownFleet());
    CHECK(played.smallEarned >= 0.94);
}

TEST_CASE("test_nodes_that_start_anew_learn_what_engines_keep")
{
    // Symptom: for the rest of the day after a restart of the nodes, beginnings that the fleet keeps are read again.
    // Sequence: most nodes are started anew, one after the other or at once; none of them has seen the events before.
    // Cause: a node learned only what changed while it was there. Nobody told: 13 million tokens read again and 0.806
    // of the long prompts' worth earned; told by a peer 4.3 million and 0.864.
    auto sheet = ahnenhausGrownFleet();
    sheet.prefillShare = 0.5;
    sheet.restarts = { { std::chrono::seconds(17), 0.9, true } };
    const auto played = play(sheet);
    CHECK(played.readAgain <= 6);
    CHECK(played.longEarned >= 0.85);
}

TEST_CASE("test_streams_stay_smooth_while_many_small_prompts_are_read")
{
    // Symptom: half of all streams pause for too long although no engine is short of time.
    // Sequence: small prompts, each of which makes no pause by itself, are read at the engines that write; several fall
    // into the time of one event.
    // Cause: each prompt was asked alone whether it makes a pause, and never what the engine reads for others.
    // Streams that paused for too long: 0.46 of all, of the small prompts 0.55; with the sum counted 0.35 at most.
    fleet_result sum;
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        auto sheet = larrainFleet();
        const auto result = fleet_model(std::move(sheet), seed).run(std::chrono::seconds(20));
        sum.kinds.resize(result.kinds.size());
        for (std::size_t kind = 0; kind < result.kinds.size(); ++kind) {
            sum.kinds[kind].asked += result.kinds[kind].asked;
            sum.kinds[kind].lateForPause += result.kinds[kind].lateForPause;
        }
    }
    for (const auto& kind : sum.kinds) {
        const double paused = static_cast<double>(kind.lateForPause) / static_cast<double>(kind.asked);
        std::printf("streams that paused for too long: %.3f\n", paused);
        CHECK(paused <= 0.4);
    }
}

TEST_CASE("test_streams_stay_smooth_when_readers_are_short")
{
    // Symptom: in the crowded turn of the mix nearly every stream pauses for too long.
    // Sequence: prompts that would be late at the engines that read are read where answers are written, each to be in
    // time itself; some twenty streams there pause for it.
    // Cause: making all streams of an engine pause weighed half as much as one late request.
    // A quarter more than the usual load, streams of long prompts that paused for too long: 0.22 of all; weighed by
    // their number 0.13, and no more of them were late for the first event.
    std::int64_t asked = 0;
    std::int64_t paused = 0;
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        auto sheet = larrainFleet();
        for (auto& kind : sheet.kinds)
            kind.perSecond *= 1.25;
        const auto result = fleet_model(std::move(sheet), seed).run(std::chrono::seconds(20));
        asked += result.kinds[longPrompts].asked;
        paused += result.kinds[longPrompts].lateForPause;
    }
    const double share = static_cast<double>(paused) / static_cast<double>(asked);
    std::printf("streams that paused for too long, readers short: %.3f\n", share);
    CHECK(share <= 0.18);
}

TEST_CASE("test_many_nodes_use_their_connections_to_many_engines_again")
{
    // Symptom: more than one new connection for every two requests, each of which an engine has to take.
    // Sequence: 77 nodes before 140 engines; each pair meets once in some seconds, and what is kept has lapsed by then.
    // Cause: of engines that are alike the one to which a connection is kept was taken no more often than the others.
    // 1.38 connections for each request; where a kept one counts for a little 0.70, and as much is earned.
    const auto result = fleet_model(larrainGrownFleet(), 1).run(std::chrono::seconds(20));
    std::int64_t asked = 0;
    for (const auto& kind : result.kinds)
        asked += kind.asked;
    const double perRequest = static_cast<double>(result.connections) / static_cast<double>(asked);
    std::printf("connections for each request: %.3f; earned %.4f\n", perRequest, result.earned / result.owed);
    CHECK(perRequest <= 0.85);
    CHECK(result.earned / result.owed >= 0.87);
}

TEST_CASE("test_random_fleets_are_played_alike_for_the_same_seed")
{
    constexpr auto length = std::chrono::seconds(5);
    for (const std::uint64_t seed : { 6, 15, 26 }) {
        const auto once = fleet_model(randomFleet(seed, length), seed).run(length);
        const auto again = fleet_model(randomFleet(seed, length), seed).run(length);
        CHECK(once.owed > 0);
        CHECK(once.owed == again.owed);
        CHECK(once.earned == again.earned);
    }
}
