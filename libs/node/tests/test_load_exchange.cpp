// Tests the exchange of target loads between nodes.
#include "load_exchange.h"

#include <catch2/catch.hpp>
#include <map>

using namespace tamarack;

namespace {

instant at(double s) { return instant(fromSeconds(1000 + s)); }

target_table tableOf(int targets)
{
    deployment config;
    config.availabilityZones = { "za", "zb" };
    service_entry service;
    service.name = "model";
    for (int i = 0; i < targets; ++i)
        service.targets.push_back({ "t" + std::to_string(i), "10.0.0.1:" + std::to_string(i + 1), "za" });
    config.services.push_back(service);
    target_table table;
    table.assign(config);
    return table;
}

peer_state peer(const std::string& vm, const std::string& zone)
{
    peer_state state;
    state.instance = { vm, 1 };
    state.availabilityZone = zone;
    return state;
}

}

TEST_CASE("test_each_target_has_one_watcher_in_each_zone")
{
    auto table = tableOf(200);
    const std::vector<peer_state> nodes { peer("a1", "za"), peer("a2", "za"), peer("b1", "zb"), peer("b2", "zb") };
    std::map<std::string, int> pollingNodes; // by zone and target
    for (const auto& self : nodes) {
        std::vector<const peer_state*> others;
        for (const auto& other : nodes) {
            if (other.instance.node != self.instance.node)
                others.push_back(&other);
        }
        const load_exchange exchange(self.instance.node, self.availabilityZone, table);
        for (const auto id : exchange.targetsToPoll(others))
            ++pollingNodes[self.availabilityZone + " " + table.name[id.value]];
    }
    CHECK(pollingNodes.size() == 400);
    for (const auto& [name, count] : pollingNodes)
        CHECK(count == 1);
}

TEST_CASE("test_loads_reach_a_node_that_asked_nobody")
{
    auto here = tableOf(100);
    auto there = tableOf(100);
    load_exchange sender("a", "za", here);
    load_exchange receiver("b", "zb", there);
    for (std::uint32_t row = 0; row < 100; ++row)
        here.report({ row }, { at(0), static_cast<std::int32_t>(row), 1000 });
    for (int round = 0; round < 3; ++round)
        receiver.applyEntries(sender.entries(40, at(0.1)), at(0.2));
    for (std::uint32_t row = 0; row < 100; ++row)
        CHECK(there.reported[row].running == static_cast<std::int32_t>(row));
}

TEST_CASE("test_target_that_came_back_is_used_again_by_every_node")
{
    // Guards against a returned target that gets requests only from the few nodes that poll it. This happens if nodes
    // forward that a target is leaving but not that it has returned: all other nodes then keep the outdated flag.
    auto here = tableOf(1);
    auto there = tableOf(1);
    load_exchange sender("a", "za", here);
    load_exchange receiver("b", "zb", there);
    here.report({ 0 }, { at(0), 1, 0 });
    here.isLeaving[0] = 1;
    receiver.applyEntries(sender.entries(10, at(0)), at(0));
    CHECK_FALSE(there.acceptsWork({ 0 }, at(0)));
    here.report({ 0 }, { at(1), 1, 0 });
    here.isLeaving[0] = 0;
    receiver.applyEntries(sender.entries(10, at(1)), at(1));
    CHECK(there.acceptsWork({ 0 }, at(1)));
}
