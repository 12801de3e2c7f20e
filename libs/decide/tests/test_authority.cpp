// Proofs about leases and orders under random interleavings of faults.
#include "authority_world.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>

using namespace tamarack;
using namespace tamarack::test;

namespace {

/// TAMARACK_SEEDS runs more worlds than a test run has time for.
int seedCount()
{
    constexpr int usual = 300;
    const char* given = std::getenv("TAMARACK_SEEDS");
    return given ? std::atoi(given) : usual;
}

const int seeds = seedCount();

world_result total(const world_settings& base, int count = seeds)
{
    world_result sum;
    for (int seed = 1; seed <= count; ++seed) {
        world_settings settings = base;
        settings.seed = static_cast<std::uint64_t>(seed);
        const auto one = authority_world(settings).run();
        sum.conflicts += one.conflicts;
        sum.staleEffects += one.staleEffects;
        sum.doubleHolders += one.doubleHolders;
        sum.orders += one.orders;
        sum.takeOvers += one.takeOvers;
        sum.events += one.events;
        sum.closed += one.closed;
    }
    std::printf("%d worlds: %d orders taken, %d closed by effect, %d terms, %d events, %d conflicts, %d stale effects, "
                "%d double holders\n",
        count, sum.orders, sum.closed, sum.takeOvers, sum.events, sum.conflicts, sum.staleEffects, sum.doubleHolders);
    return sum;
}

}

TEST_CASE("test_checking_targets_never_take_conflicting_orders")
{
    // Symptom: an engine changes to a role that was already given up.
    // Sequence: the holder freezes between its check and the write, a successor orders something else, the holder
    // thaws. Cause: nothing told the engine that the first order's number is old.
    world_settings settings;
    const auto result = total(settings);
    CHECK(result.conflicts == 0);
    CHECK(result.staleEffects == 0);
    CHECK(result.doubleHolders == 0);
    CHECK(result.orders > seeds * 5);
    CHECK(result.closed > seeds);
}

TEST_CASE("test_targets_that_ignore_numbers_never_take_conflicting_orders")
{
    // Symptom and sequence as above, at an engine that takes whatever comes.
    // Cause: a successor issued something while the frozen holder's copy could still arrive.
    world_settings settings;
    settings.checksFencing = false;
    const auto result = total(settings);
    CHECK(result.conflicts == 0);
    CHECK(result.staleEffects == 0);
    CHECK(result.doubleHolders == 0);
    CHECK(result.orders > seeds * 2);
    CHECK(result.closed > seeds);
}

TEST_CASE("test_stale_effects_appear_without_raising_the_fence_first")
{
    // The proof's other half: without the mechanism the same worlds show the fault.
    world_settings settings;
    settings.safeguards.reissueBeforeNew = false;
    settings.safeguards.adoptOpenOrders = false;
    CHECK(total(settings).staleEffects > 0);
}

TEST_CASE("test_conflicts_appear_without_adopting_open_orders")
{
    world_settings settings;
    settings.checksFencing = false;
    settings.safeguards.adoptOpenOrders = false;
    CHECK(total(settings).conflicts > 0);
}

TEST_CASE("test_conflicts_appear_with_repeated_delivery")
{
    world_settings settings;
    settings.checksFencing = false;
    settings.safeguards.singleDelivery = false;
    CHECK(total(settings).conflicts > 0);
}

TEST_CASE("test_two_holders_appear_without_the_margin")
{
    // Symptom: two nodes act under one lease for a moment.
    // Cause: their clocks run apart, and the challenger did not allow for it.
    world_settings settings;
    settings.margin = -std::chrono::milliseconds(1000);
    CHECK(total(settings).doubleHolders > 0);
}

TEST_CASE("test_order_learned_from_a_peer_is_never_sent")
{
    // Symptom: a node ends, or sends an order whose turn is long over.
    // Sequence: it appends an order, loses the log, and learns of its own record from a peer's state.
    // Cause: only records that it reads itself were expected.
    const instance_id self { "a", 1 };
    agreed_state state;
    state.apply({ { 0 }, { self, 1 }, claim_record { "l", {} } });
    state.apply(
        { { 1 }, { self, 2 }, order_record { "l", { 0 }, "x", { order_kind::role, "decode" }, false, {}, false, 1 } });
    REQUIRE(state.orders("x").isOpen);
    order_system orders(self, {});
    lease_system leases(self, {});
    leases.setLeases({ { "l", 0 } });
    const instant now(fromSeconds(1000));
    orders.restored(state, now);
    orders.targetSeen("x", { true, now + std::chrono::seconds(5), 1, false, 0, -1, {} });
    const auto output = orders.step(state, leases, now + std::chrono::seconds(6));
    CHECK(output.deliveries.empty());
    REQUIRE(output.appends.size() == 1);
    CHECK(std::get<order_end_record>(output.appends[0].body).reason == order_end::never_sent);
}
