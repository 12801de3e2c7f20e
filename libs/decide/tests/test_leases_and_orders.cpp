// Invariants of leases and orders under random interleavings of faults.
#include "control_simulation.h"
#include "decide/control_system.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>

using namespace tamarack;
using namespace tamarack::test;

namespace {

/// Number of simulations; the environment variable TAMARACK_SEEDS overrides it for longer runs.
int seedCount()
{
    constexpr int usual = 300;
    const char* given = std::getenv("TAMARACK_SEEDS");
    return given ? std::atoi(given) : usual;
}

const int seeds = seedCount();

simulation_result total(const simulation_settings& base, int count = seeds)
{
    simulation_result sum;
    for (int seed = 1; seed <= count; ++seed) {
        simulation_settings settings = base;
        settings.seed = static_cast<std::uint64_t>(seed);
        const auto one = control_simulation(settings).run();
        sum.conflicts += one.conflicts;
        sum.staleEffects += one.staleEffects;
        sum.concurrentHolders += one.concurrentHolders;
        sum.orders += one.orders;
        sum.takeOvers += one.takeOvers;
        sum.events += one.events;
        sum.closed += one.closed;
    }
    std::printf(
        "%d simulations: %d orders taken, %d closed by effect, %d terms, %d events, %d conflicts, %d stale effects, "
        "%d double holders\n",
        count, sum.orders, sum.closed, sum.takeOvers, sum.events, sum.conflicts, sum.staleEffects,
        sum.concurrentHolders);
    return sum;
}

}

TEST_CASE("test_checking_targets_never_take_conflicting_orders")
{
    // The holder freezes between its lease check and the write, a successor issues a different order, and the holder
    // resumes. Without a fencing token the engine would accept the outdated order and change to a superseded role.
    simulation_settings settings;
    const auto result = total(settings);
    CHECK(result.conflicts == 0);
    CHECK(result.staleEffects == 0);
    CHECK(result.concurrentHolders == 0);
    CHECK(result.orders > seeds * 5);
    CHECK(result.closed > seeds);
}

TEST_CASE("test_targets_that_ignore_numbers_never_take_conflicting_orders")
{
    // The same scenario at an engine that does not check fencing tokens: a successor must not issue an order while the
    // frozen holder's copy can still arrive.
    simulation_settings settings;
    settings.checksFencing = false;
    const auto result = total(settings);
    CHECK(result.conflicts == 0);
    CHECK(result.staleEffects == 0);
    CHECK(result.concurrentHolders == 0);
    CHECK(result.orders > seeds * 2);
    CHECK(result.closed > seeds);
}

TEST_CASE("test_stale_effects_appear_without_raising_the_fence_first")
{
    // Control for the tests above: without the safeguards the same simulations show the fault.
    simulation_settings settings;
    settings.safeguards.reissueBeforeNew = false;
    settings.safeguards.adoptOpenOrders = false;
    CHECK(total(settings).staleEffects > 0);
}

TEST_CASE("test_conflicts_appear_without_adopting_open_orders")
{
    simulation_settings settings;
    settings.checksFencing = false;
    settings.safeguards.adoptOpenOrders = false;
    CHECK(total(settings).conflicts > 0);
}

TEST_CASE("test_conflicts_appear_with_repeated_delivery")
{
    simulation_settings settings;
    settings.checksFencing = false;
    settings.safeguards.singleDelivery = false;
    CHECK(total(settings).conflicts > 0);
}

TEST_CASE("test_two_holders_appear_without_the_margin")
{
    // If a challenger does not allow for clock drift, two nodes briefly act under the same lease.
    simulation_settings settings;
    settings.margin = -std::chrono::milliseconds(1000);
    CHECK(total(settings).concurrentHolders > 0);
}

TEST_CASE("test_two_holders_appear_when_a_peers_state_does_not_count_as_seen")
{
    // A node freezes, another claims the lease and renews it, and the first node resumes and adopts a peer's state. If
    // it dates the lease's last record from before the freeze, two nodes act under the lease for up to its length.
    simulation_settings settings;
    settings.peerStateCountsAsSeen = false;
    CHECK(total(settings).concurrentHolders > 0);
}

TEST_CASE("test_thawed_node_leaves_the_lease_to_the_holder_it_learns_of")
{
    // A node reads the log, freezes, and resumes after another node's claim, and a peer's state arrives before the log
    // responds. If the lease record in that state did not count as seen, the lease would look vacant, and an engine
    // would receive the same order from two nodes with two fencing tokens.
    const instance_id self { "a", 1 };
    const instance_id other { "b", 1 };
    control_system node({ self, "r", "z" }, {}, instant(fromSeconds(1000)));
    const std::string text = R"({ "deployment": "d", "region": "r", "availability_zones": ["z"], "services": [
        { "name": "s", "kind": "engine", "model": "m", "targets": [
            { "name": "t", "address": "10.0.0.1:1", "availability_zone": "z" } ] } ] })";
    const auto atSecond = [](double seconds) { return instant(fromSeconds(1000 + seconds)); };
    replicated_state truth;
    decoded_page page { { 0 }, { 2 }, {} };
    const auto put = [&](std::int64_t offset, const instance_id& writer, std::uint64_t sequence, record_body body) {
        const log_record record { { offset }, { writer, sequence }, std::move(body) };
        REQUIRE(truth.apply(record) == verdict::valid);
        page.items.push_back({ record.offset, record });
    };
    put(0, other, 1, publication_record { 0, text, "operator" });
    put(1, other, 2, claim_record { "r/s", {} });
    node.onLogPage(page, atSecond(0));
    node.tick(atSecond(0.1));
    put(2, other, 3, renewal_record { "r/s", { 1 } });
    node.onPeerState(truth.data(), atSecond(60));
    const auto isClaim = [](const record_body& body) { return std::holds_alternative<claim_record>(body); };
    const auto claims = [&](double seconds) {
        node.onLogPage({ { 0 }, { 3 }, {} }, atSecond(seconds));
        const auto out = node.tick(atSecond(seconds));
        return std::count_if(out.appends.begin(), out.appends.end(), isClaim);
    };
    CHECK(claims(60) == 0);
    CHECK(claims(64) == 0); // the holder's lease is valid for 6 s from its renewal
    CHECK(claims(67) == 1);
}

TEST_CASE("test_lease_runs_from_the_sending_of_its_record_and_not_from_its_confirmation")
{
    // Guards against two holders: challengers date the record from when they saw it, which may be long before its
    // writer has read it back.
    const instance_id self { "a", 1 };
    lease_settings settings;
    settings.length = std::chrono::seconds(6);
    lease_system leases(self, settings);
    leases.setLeases({ { "l", 0 } });
    const auto atSecond = [](double seconds) { return instant(fromSeconds(1000 + seconds)); };
    replicated_state state;
    const auto appendAndConfirm = [&](std::int64_t offset, record_body body, double sentAt, double confirmedAt) {
        const auto sequence = static_cast<std::uint64_t>(offset + 1);
        leases.onAppendSent(body, sequence, atSecond(sentAt));
        const log_record record { { offset }, { self, sequence }, std::move(body) };
        leases.onLogRecord(record, state.apply(record), atSecond(confirmedAt));
    };
    appendAndConfirm(0, claim_record { "l", {} }, 0, 5);
    CHECK(leases.holds("l", state, atSecond(5.9)));
    CHECK_FALSE(leases.holds("l", state, atSecond(6.1)));
    appendAndConfirm(1, renewal_record { "l", { 0 } }, 7, 12);
    CHECK(leases.holds("l", state, atSecond(12.9)));
    CHECK_FALSE(leases.holds("l", state, atSecond(13.1)));
}

TEST_CASE("test_order_learned_from_a_peer_is_never_sent")
{
    // A node appends an order, loses access to the log, and learns of its own record from a peer's state. It must
    // neither abort because it did not read the record itself nor send the order, which may be outdated.
    const instance_id self { "a", 1 };
    replicated_state state;
    state.apply({ { 0 }, { self, 1 }, claim_record { "l", {} } });
    state.apply(
        { { 1 }, { self, 2 }, order_record { "l", { 0 }, "x", { order_kind::role, "decode" }, false, {}, false, 1 } });
    REQUIRE(state.orders("x").isOpen);
    order_system orders(self, {});
    lease_system leases(self, {});
    leases.setLeases({ { "l", 0 } });
    const instant now(fromSeconds(1000));
    orders.onStateRestored(state, now);
    orders.onTargetView("x", { true, now + std::chrono::seconds(5), 1, false, 0, -1, {} });
    const auto output = orders.step(state, leases, now + std::chrono::seconds(6));
    CHECK(output.deliveries.empty());
    REQUIRE(output.appends.size() == 1);
    CHECK(std::get<order_end_record>(output.appends[0].body).reason == order_end::never_sent);
}
