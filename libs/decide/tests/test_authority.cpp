// Proofs about leases and orders under random interleavings of faults.
#include "authority_world.h"
#include "decide/control_system.h"

#include <algorithm>
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

TEST_CASE("test_two_holders_appear_when_a_peers_state_is_no_sight_of_the_lease")
{
    // Symptom: two nodes act under one lease for up to its length.
    // Sequence: a node freezes, another takes the lease and renews it, the first thaws and learns of it from a peer.
    // Cause: it knows the lease's last record, but takes it for as old as what it read before the freeze.
    world_settings settings;
    settings.offeredStateIsSight = false;
    CHECK(total(settings).doubleHolders > 0);
}

TEST_CASE("test_thawed_node_leaves_the_lease_to_the_holder_it_learns_of")
{
    // Symptom: an engine gets one order under two numbers, from two nodes.
    // Sequence: a node reads the log, freezes, thaws after another's claim, and a peer's state arrives first.
    // Cause: a state that a peer offers was no sight of the lease's record, so the lease looked vacant.
    const instance_id self { "a", 1 };
    const instance_id other { "b", 1 };
    control_system node({ self, "r", "z" }, {}, instant(fromSeconds(1000)));
    const std::string text = R"({ "deployment": "d", "region": "r", "availability_zones": ["z"], "services": [
        { "name": "s", "kind": "engine", "model": "m", "targets": [
            { "name": "t", "address": "10.0.0.1:1", "availability_zone": "z" } ] } ] })";
    const auto atSecond = [](double seconds) { return instant(fromSeconds(1000 + seconds)); };
    agreed_state truth;
    decoded_page page { { 0 }, { 2 }, {} };
    const auto put = [&](std::int64_t offset, const instance_id& writer, std::uint64_t sequence, record_body body) {
        const log_record record { { offset }, { writer, sequence }, std::move(body) };
        REQUIRE(truth.apply(record) == verdict::valid);
        page.items.push_back({ record.offset, record });
    };
    put(0, other, 1, publication_record { 0, text, "operator" });
    put(1, other, 2, claim_record { "r/s", {} });
    node.pageRead(page, atSecond(0));
    node.tick(atSecond(0.1));
    put(2, other, 3, renewal_record { "r/s", { 1 } });
    node.stateOffered(truth.data(), atSecond(60));
    const auto isClaim = [](const record_body& body) { return std::holds_alternative<claim_record>(body); };
    const auto claims = [&](double seconds) {
        node.pageRead({ { 0 }, { 3 }, {} }, atSecond(seconds));
        const auto out = node.tick(atSecond(seconds));
        return std::count_if(out.appends.begin(), out.appends.end(), isClaim);
    };
    CHECK(claims(60) == 0);
    CHECK(claims(64) == 0); // the holder may trust itself for 6 s since its renewal
    CHECK(claims(67) == 1);
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
