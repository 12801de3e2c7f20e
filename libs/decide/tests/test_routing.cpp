// Choice of targets and planning of role changes.
#include "decide/role_planner.h"
#include "decide/router.h"

#include <catch2/catch.hpp>
#include <set>

using namespace tamarack;

namespace {

instant at(double s) { return instant(fromSeconds(1000 + s)); }

deployment engines(int count)
{
    deployment config;
    config.availabilityZones = { "za", "zb", "zc" };
    service_entry service;
    service.name = "model";
    service.kind = service_kind::engine;
    service.model = "model";
    for (int i = 0; i < count; ++i)
        service.targets.push_back({ "e" + std::to_string(i), "10.0.0.1:" + std::to_string(i + 1),
            config.availabilityZones[static_cast<std::size_t>(i) % 3] });
    config.services.push_back(service);
    return config;
}

struct routing_fixture {
    deployment config;
    target_table targets;
    router routes { "vm", "za", 1 };

    explicit routing_fixture(int count)
        : config(engines(count))
    {
        targets.assign(config);
        routes.assign(config, targets);
    }
    routing_choice pick(const routing_request& request, role_set roles = role_set::all())
    {
        return routes.pick(request, roles, config, targets, at(0));
    }
};

routing_request longPrompt(std::uint64_t prefix = 0)
{
    routing_request request;
    request.shape.service = { 0 };
    request.shape.promptTokens = 6000;
    request.shape.outputTokens = 100;
    request.shape.prefixHash = prefix;
    return request;
}

std::vector<planned_engine> splitOf(int prefill, int decode)
{
    std::vector<planned_engine> list;
    for (int i = 0; i < prefill + decode; ++i)
        list.push_back({ "e" + std::to_string(i), "z" + std::to_string(i % 3),
            i < prefill ? engine_role::prefill : engine_role::decode, true, false });
    return list;
}

}

TEST_CASE("test_a_node_looks_at_few_targets_whatever_the_fleet")
{
    routing_fixture f(600);
    const auto& subset = f.routes.subset({ 0 });
    CHECK(subset.size() == router::maxSubset);
    std::set<int> zones;
    for (const auto row : subset)
        zones.insert(f.targets.zone[row]);
    CHECK(zones.size() == 3);
    router other("another-vm", "za", 1);
    other.assign(f.config, f.targets);
    CHECK(other.subset({ 0 }) != subset);
}

TEST_CASE("test_prefix_affinity_yields_to_a_load_gap")
{
    routing_fixture f(6);
    const auto usual = f.pick(longPrompt(77)).target;
    for (int i = 0; i < 20; ++i)
        CHECK(f.pick(longPrompt(77)).target == usual);
    // Two seconds of queued prefill cost more than a cached prefix saves.
    f.targets.ownPrefillTokens[usual.value] = 11'000;
    f.targets.ownRunning[usual.value] = 5;
    int elsewhere = 0;
    for (int i = 0; i < 20; ++i)
        elsewhere += f.pick(longPrompt(77)).target != usual;
    CHECK(elsewhere == 20);
}

TEST_CASE("test_roles_and_full_targets_are_respected")
{
    routing_fixture f(4);
    f.targets.role[0] = engine_role::prefill;
    f.targets.role[1] = engine_role::decode;
    CHECK(f.pick(longPrompt(), { engine_role::prefill }).target.value == 0);
    CHECK(f.pick(longPrompt(), { engine_role::decode }).target.value == 1);
    f.targets.ownRunning[0] = 16;
    CHECK_FALSE(f.pick(longPrompt(), { engine_role::prefill }).target.isValid());
    f.targets.isDraining[1] = 1;
    CHECK_FALSE(f.pick(longPrompt(), { engine_role::decode }).target.isValid());
}

TEST_CASE("test_old_reports_of_others_count_less")
{
    routing_fixture f(1);
    f.targets.report({ 0 }, { at(0), 8, 4000 });
    CHECK(f.targets.runningEstimate({ 0 }, at(0)) == Approx(8));
    CHECK(f.targets.runningEstimate({ 0 }, at(2)) == Approx(4));
    f.targets.report({ 0 }, { at(-1), 100, 0 });
    CHECK(f.targets.runningEstimate({ 0 }, at(0)) == Approx(8));
    f.targets.ownRunning[0] = 3;
    CHECK(f.targets.runningEstimate({ 0 }, at(2)) == Approx(7));
}

TEST_CASE("test_role_changes_need_refusals_and_a_gain")
{
    policy_entry policy;
    policy.roleDwell = 60;
    role_planner planner(policy);
    // There are far too few prefill engines, but nothing is refused, so routing absorbs the load.
    for (int i = 0; i < 60; ++i)
        CHECK_FALSE(planner.plan(splitOf(3, 9), { 8, 2, 0 }, at(i)));
    std::optional<role_change> change;
    for (int i = 60; i < 70 && !change; ++i)
        change = planner.plan(splitOf(3, 9), { 8, 2, 1 }, at(i));
    REQUIRE(change);
    CHECK(change->role == engine_role::prefill);
    auto engines = splitOf(3, 9);
    engines[3].isChanging = true;
    CHECK_FALSE(planner.plan(engines, { 8, 2, 1 }, at(71))); // only one change at a time
}

TEST_CASE("test_the_loss_of_a_zone_leaves_each_role")
{
    // If roles followed a workload with little decode without regard to zones, the last decode engines could end up in
    // one zone, and its loss would leave no engine for decode.
    policy_entry policy;
    policy.roleDwell = 0;
    role_planner planner(policy);
    auto engines = splitOf(9, 2); // decode: e9 in z0, e10 in z1
    for (int i = 0; i < 100; ++i)
        CHECK_FALSE(planner.plan(engines, { 20, 0.1, 5 }, at(i)));
}

TEST_CASE("test_fixed_and_threshold_rules_are_what_they_say")
{
    policy_entry policy;
    role_planner fixed(policy, planning_rule::fixed);
    role_planner threshold(policy, planning_rule::threshold);
    CHECK_FALSE(fixed.plan(splitOf(3, 9), { 8, 2, 1 }, at(0)));
    CHECK(threshold.plan(splitOf(3, 9), { 8, 2, 0 }, at(0)));
}
