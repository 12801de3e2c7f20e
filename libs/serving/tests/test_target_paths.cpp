// Tests what a node concludes about its paths to the targets.
#include "serving_fixture.h"

using namespace tamarack;
using namespace tamarack::serving;
using namespace tamarack::serving::tests;

namespace {

struct path_world {
    fleet_table fleet { "a" };
    target_paths paths { fleet, "n1", "a" };

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

namespace {

std::vector<detour_peer> peersNamed(int count, const std::string& zone = "a")
{
    std::vector<detour_peer> out;
    for (int i = 0; i < count; ++i)
        out.push_back({ "peer-" + std::to_string(i), zone, "10.0.1." + std::to_string(i) + ":7660" });
    return out;
}

path_report lossOf(const std::string& vm, const std::vector<std::string>& instances)
{
    path_report out;
    out.node = shortHash(vm);
    out.lostCount = static_cast<std::uint16_t>(instances.size());
    for (const auto& instance : instances)
        out.lost.push_back(shortHash(instance));
    return out;
}

}

TEST_CASE("test_lost_path_takes_a_detour_by_a_peer_that_reaches_the_target")
{
    // Guards against detours by peers that have lost the target, too.
    path_world world;
    const auto target = world.add("p1");
    const auto other = world.add("p2");
    world.paths.setPeers(peersNamed(3));
    CHECK_FALSE(world.paths.detourFor(target, at(0s)));
    world.paths.failed(target, path_failure::refused, at(0s), at(0s));
    world.paths.applyReport(lossOf("peer-0", { "p1", "p2" }), at(0s));
    world.paths.applyReport(lossOf("peer-1", { "p1" }), at(0s));
    for (int i = 0; i < 20; ++i) {
        const auto* detour = world.paths.detourFor(target, at(10ms));
        REQUIRE(detour);
        CHECK(detour->vm == "peer-2");
    }
    CHECK_FALSE(world.paths.detourFor(other, at(10ms)));
    world.paths.applyReport(lossOf("peer-2", { "p1" }), at(20ms));
    CHECK_FALSE(world.paths.detourFor(target, at(20ms)));
    world.paths.applyReport(lossOf("peer-0", {}), at(30ms));
    REQUIRE(world.paths.detourFor(target, at(30ms)));
    CHECK(world.paths.detourFor(target, at(30ms))->vm == "peer-0");
}

TEST_CASE("test_peer_that_has_lost_more_paths_than_it_reports_gets_no_calls")
{
    path_world world;
    const auto target = world.add("p1");
    world.paths.setPeers(peersNamed(1));
    world.paths.failed(target, path_failure::refused, at(0s), at(0s));
    path_report many;
    many.node = shortHash("peer-0");
    many.lostCount = target_paths::maxReportedPaths + 1;
    world.paths.applyReport(many, at(0s));
    CHECK_FALSE(world.paths.detourFor(target, at(0s)));
}

TEST_CASE("test_peer_that_fails_gets_no_calls_for_a_while")
{
    // Guards against a request that is sent to the same dead peer again and again.
    path_world world;
    const auto target = world.add("p1");
    const auto other = world.add("p2");
    world.paths.setPeers(peersNamed(1));
    world.paths.failed(target, path_failure::refused, at(0s), at(0s));
    world.paths.failed(other, path_failure::refused, at(0s), at(0s));
    world.paths.detourFailed(target, "peer-0", at(0s));
    CHECK_FALSE(world.paths.detourFor(target, at(500ms)));
    CHECK(world.paths.detourFor(other, at(500ms)));
    CHECK(world.paths.detourFor(target, at(1s)));
    world.paths.peerFailed("peer-0", 1s, at(1s));
    CHECK_FALSE(world.paths.detourFor(other, at(1500ms)));
    CHECK(world.paths.detourFor(other, at(2s)));
}

TEST_CASE("test_detours_of_many_cut_nodes_spread_over_the_peers_that_reach_the_targets")
{
    // Guards against peers that are all chosen by the same rank: at each size the busiest one gets little above the
    // mean.
    struct fleet_size {
        int nodes;
        int cut;
    };
    constexpr int callsOfEach = 40;
    for (const auto& [nodes, cut] : { fleet_size { 6, 4 }, { 9, 6 }, { 90, 30 }, { 300, 100 }, { 300, 299 } }) {
        std::map<std::string, int> calls;
        for (int self = 0; self < cut; ++self) {
            fleet_table fleet { "a" };
            target_paths paths { fleet, "peer-" + std::to_string(self), "a" };
            const auto target = fleet.upsert(targetRecord("p1", "plain", target_role::plain, 6));
            auto peers = peersNamed(nodes);
            peers.erase(peers.begin() + self);
            paths.setPeers(std::move(peers));
            for (int other = 0; other < cut; ++other)
                paths.applyReport(lossOf("peer-" + std::to_string(other), { "p1" }), at(0s));
            paths.failed(target, path_failure::refused, at(0s), at(0s));
            for (int i = 0; i < callsOfEach; ++i) {
                const auto* detour = paths.detourFor(target, at(0s));
                REQUIRE(detour);
                paths.detourBegan(detour->vm);
                ++calls[detour->vm];
            }
        }
        int most = 0;
        for (const auto& [vm, count] : calls) {
            CHECK(std::stoi(vm.substr(5)) >= cut);
            most = std::max(most, count);
        }
        const double mean = static_cast<double>(cut * callsOfEach) / (nodes - cut);
        INFO(nodes << " nodes, " << cut << " cut");
        CHECK(most <= 3 * mean);
    }
}

TEST_CASE("test_lost_path_is_checked_in_growing_pauses_until_it_works")
{
    path_world world;
    const auto target = world.add("p1");
    world.paths.failed(target, path_failure::silent, at(0s), at(0s));
    int checks = 0;
    instant last = at(0s);
    for (duration when = 0ms; when < 20s; when += 20ms) {
        for (const auto id : world.paths.takeDueChecks(at(when))) {
            CHECK(id == target);
            CHECK(at(when) >= last + 500ms);
            last = at(when);
            world.paths.failed(id, path_failure::silent, at(when), at(when));
            ++checks;
        }
    }
    CHECK(checks >= 8);
    CHECK(checks <= 14);
    world.paths.reached(target, at(20s));
    CHECK_FALSE(world.paths.isLost(target));
    CHECK(world.paths.takeDueChecks(at(30s)).empty());
}

TEST_CASE("test_two_lost_paths_put_the_others_in_doubt")
{
    // Guards against requests that find each lost path one after the other, on connections that are dead.
    path_world world;
    std::vector<target_id> targets;
    for (int i = 0; i < 100; ++i)
        targets.push_back(world.add("p" + std::to_string(i)));
    world.paths.reached(targets[2], at(0s));
    world.paths.failed(targets[0], path_failure::refused, at(1s), at(1s));
    CHECK_FALSE(world.paths.isDoubtful(targets[2]));
    CHECK(world.paths.takeDueChecks(at(1s)).empty());
    world.paths.failed(targets[1], path_failure::refused, at(1s), at(1100ms));
    CHECK(world.paths.isDoubtful(targets[2]));
    const auto due = world.paths.takeDueChecks(at(1100ms));
    CHECK(due.size() >= 20);
    CHECK(due.size() <= 50); // bounded, whatever the size of the fleet
    world.paths.reached(targets[2], at(1200ms));
    CHECK_FALSE(world.paths.isDoubtful(targets[2]));
}

TEST_CASE("test_reused_row_has_no_lost_path")
{
    path_world world;
    const auto target = world.add("p1");
    world.paths.failed(target, path_failure::refused, at(0s), at(0s));
    world.paths.forget(target);
    CHECK_FALSE(world.paths.isLost(target));
    CHECK(world.paths.report(at(1s)).lostCount == 0);
}

namespace {

/// Two plain targets, one peer, and a request whose first attempt did not reach its target.
struct unreached_world : dispatch_world {
    request_id request;
    start_attempt first;
    command_list out;

    explicit unreached_world(bool hasPeer = true)
    {
        addPlain("p1");
        addPlain("p2");
        if (hasPeer)
            decisions.paths().setPeers(peersNamed(1));
    }
    const start_attempt* submitAndFail(std::size_t route, duration now)
    {
        out.clear();
        request = decisions.submit(make(route), at(now), out);
        const auto* start = find<start_attempt>(out);
        if (!start)
            return nullptr;
        first = *start;
        failNow(first, now + 1ms);
        return find<start_attempt>(out);
    }
    void failNow(const start_attempt& attempt, duration now)
    {
        out.clear();
        decisions.targetUnreached(attempt.request, attempt.attempt, path_failure::refused, at(now));
        decisions.attemptEnded(attempt.request, attempt.attempt, attempt_result::unreached, {}, at(now), out);
    }
};

}

TEST_CASE("test_request_of_a_node_that_has_lost_all_targets_goes_by_a_peer")
{
    // Guards against refusals by a node whose peers reach the targets that it has lost.
    for (const std::size_t route : { 0, 1 }) {
        unreached_world world;
        const auto* second = world.submitAndFail(route, 0ms);
        REQUIRE(second);
        CHECK_FALSE(second->detour);
        world.failNow(start_attempt(*second), 2ms);
        const auto* third = find<start_attempt>(world.out);
        REQUIRE(third);
        REQUIRE(third->detour);
        CHECK(third->detour->vm == "peer-0");
        CHECK(find<refuse_request>(world.out) == nullptr);
    }
}

TEST_CASE("test_node_that_has_lost_its_paths_reports_no_failing_targets")
{
    // Guards against peers that take sound targets for failing because a node has lost its paths to them.
    unreached_world world;
    const auto* second = world.submitAndFail(0, 0ms);
    REQUIRE(second);
    world.failNow(start_attempt(*second), 2ms);
    CHECK(world.decisions.takeHealthReports(at(3ms)).empty());
    unreached_world alone(false);
    alone.submitAndFail(0, 0ms);
    CHECK_FALSE(alone.decisions.takeHealthReports(at(3ms)).empty());
}

TEST_CASE("test_lost_paths_block_no_target_that_peers_reach")
{
    // Guards against a target that stays blocked for seconds after a cut, although a detour works.
    unreached_world world;
    std::vector<start_attempt> attempts;
    for (int i = 0; i < 8; ++i) {
        command_list out;
        world.decisions.submit(world.make(1), at(0ms), out);
        if (const auto* start = find<start_attempt>(out))
            attempts.push_back(*start);
    }
    for (const auto& attempt : attempts)
        world.failNow(attempt, 150ms);
    CHECK(world.decisions.takeLostPaths().size() == 2);
    CHECK(world.decisions.takeLostPaths().empty());
    CHECK(world.decisions.takeHealthChanges().empty());
    command_list out;
    world.decisions.submit(world.make(1), at(160ms), out);
    REQUIRE(find<start_attempt>(out));
    CHECK(find<start_attempt>(out)->detour);
}

TEST_CASE("test_request_that_a_peer_may_have_passed_on_is_not_repeated")
{
    // Guards against a second run of a request that may run once, after the peer of its detour has died.
    unreached_world world;
    const auto* second = world.submitAndFail(1, 0ms);
    REQUIRE(second);
    world.failNow(start_attempt(*second), 2ms);
    const auto* detoured = find<start_attempt>(world.out);
    REQUIRE(detoured);
    const auto attempt = *detoured;
    command_list out;
    world.decisions.detourRefused(attempt.request, attempt.attempt, 1s, at(50ms));
    world.decisions.attemptEnded(attempt.request, attempt.attempt, attempt_result::broken, {}, at(50ms), out);
    CHECK(find<start_attempt>(out) == nullptr);
    const auto* refusal = find<refuse_request>(out);
    REQUIRE(refusal);
    CHECK(refusal->kind == error_kind::outcome_unknown);
}

TEST_CASE("test_request_that_a_peer_has_not_taken_is_sent_by_another")
{
    unreached_world world;
    world.decisions.paths().setPeers(peersNamed(2));
    const auto* second = world.submitAndFail(1, 0ms);
    REQUIRE(second);
    world.failNow(start_attempt(*second), 2ms);
    const auto attempt = *find<start_attempt>(world.out);
    command_list out;
    world.decisions.detourRefused(attempt.request, attempt.attempt, 1s, at(10ms));
    world.decisions.attemptEnded(attempt.request, attempt.attempt, attempt_result::not_passed_on, {}, at(10ms), out);
    const auto* next = find<start_attempt>(out);
    REQUIRE(next);
    REQUIRE(next->detour);
    CHECK(next->detour->vm != attempt.detour->vm);
}

TEST_CASE("test_request_that_a_silent_target_stays_with_has_its_path_checked")
{
    // Guards against a node that takes a path for sound as long as its open connections say nothing.
    dispatch_world world;
    world.addPlain("p1");
    command_list out;
    world.decisions.submit(world.make(1), at(0ms), out);
    for (duration when = 0ms; when <= 200ms; when += 20ms)
        world.decisions.tick(at(when), out);
    CHECK(world.decisions.paths().takeDueChecks(at(200ms)).size() == 1);
}

TEST_CASE("test_request_for_a_service_that_nobody_reaches_is_refused_at_once")
{
    // Guards against callers that wait for targets which are known to be out of reach.
    unreached_world alone(false);
    alone.submitAndFail(1, 0ms);
    REQUIRE(find<start_attempt>(alone.out));
    alone.failNow(start_attempt(*find<start_attempt>(alone.out)), 2ms);
    command_list out = alone.out;
    constexpr int maxAttempts = 10;
    for (int i = 0; i < maxAttempts && find<start_attempt>(out); ++i) {
        const auto attempt = *find<start_attempt>(out);
        out.clear();
        alone.decisions.targetUnreached(attempt.request, attempt.attempt, path_failure::refused, at(3ms));
        alone.decisions.attemptEnded(attempt.request, attempt.attempt, attempt_result::unreached, {}, at(3ms), out);
    }
    const auto* refusal = find<refuse_request>(out);
    REQUIRE(refusal);
    CHECK(refusal->kind == error_kind::no_target);
    CHECK(refusal->retryAfter > 0ms);
    out.clear();
    alone.decisions.submit(alone.make(1), at(10ms), out);
    REQUIRE(find<refuse_request>(out));
    CHECK(alone.decisions.paths().isCutOff(at(10ms)));
    alone.decisions.paths().setPeers(peersNamed(1));
    CHECK_FALSE(alone.decisions.paths().isCutOff(at(20ms)));
}

TEST_CASE("test_report_of_a_node_without_any_path_holds_until_the_next_one")
{
    path_world world;
    const auto target = world.add("p1");
    world.paths.failed(target, path_failure::refused, at(0s), at(0s));
    CHECK(world.paths.report(at(0s)).isCutOff);
    path_report report = lossOf("peer-0", { "p1" });
    report.isCutOff = true;
    world.paths.applyReport(report, at(0s));
    CHECK(world.paths.isPeerCutOff("peer-0", at(1s)));
    CHECK_FALSE(world.paths.isPeerCutOff("peer-0", at(10s)));
    world.paths.applyReport(lossOf("peer-0", {}), at(2s));
    CHECK_FALSE(world.paths.isPeerCutOff("peer-0", at(2s)));
}
