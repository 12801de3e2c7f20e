// Tests the choice of entry addresses on VMs and in availability zones that differ.
#include "serving/entry_choice.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace tamarack;
using namespace tamarack::serving;

namespace {

constexpr std::size_t maxEntries = 64;

/// Nodes of three zones: per zone 2 with 0.5 core, 5 with 0.3 and 13 with 0.09.
class uneven_nodes {
public:
    uneven_nodes()
    {
        for (const char* zone : { "a", "b", "c" }) {
            add(zone, 2, { 0.5, 200, 8192 });
            add(zone, 5, { 0.3, 25, 10250 });
            add(zone, 13, { 0.09, 10, 3075 });
        }
    }

    /// The share of its callers that a zone sends to each address, over answers of all its nodes.
    std::map<std::string, double> shares(const std::string& zone, int answersPerNode = 25) const
    {
        std::map<std::string, double> out;
        int answers = 0;
        for (const auto& node : ready) {
            if (node.availabilityZone != zone)
                continue;
            entry_choice choice(std::hash<std::string>()(node.vm));
            for (int i = 0; i < answersPerNode; ++i) {
                const auto entries = choice.choose(ready, zone, maxEntries);
                for (const auto& entry : entries)
                    out[entry] += 1.0 / static_cast<double>(entries.size());
                ++answers;
            }
        }
        for (auto& [address, share] : out)
            share /= answers;
        return out;
    }

    double shareOf(const std::string& from, const std::string& to) const
    {
        const auto all = shares(from);
        double sum = 0;
        for (const auto& node : ready) {
            const auto found = all.find(addressOf(node));
            if (node.availabilityZone == to && found != all.end())
                sum += found->second;
        }
        return sum;
    }

    void setBusy(const std::string& zone, int percent)
    {
        for (auto& node : ready) {
            if (node.availabilityZone == zone)
                node.busyPercent = static_cast<std::uint8_t>(percent);
        }
    }

    static std::string addressOf(const node_state& node)
    {
        return node.address + ":" + std::to_string(node.callerPort);
    }

    std::vector<node_state> ready;

private:
    void add(const std::string& zone, int count, const vm_resources& resources)
    {
        for (int i = 0; i < count; ++i) {
            node_state node;
            node.vm = "n" + std::to_string(ready.size());
            node.availabilityZone = zone;
            node.address = "10.0.0." + std::to_string(ready.size());
            node.callerPort = 80;
            node.isReady = true;
            node.requestsPerSecond = requestCapacity(resources);
            ready.push_back(std::move(node));
        }
    }
};

}

TEST_CASE("test_capacity_is_that_of_the_resource_that_runs_out_first")
{
    CHECK(requestCapacity({}) == 0);
    CHECK(requestCapacity({ 0.5, 200, 8192 }) == 250);
    CHECK(requestCapacity({ 0.5, 1, 8192 }) < 20);
    CHECK(requestCapacity({ 0.5, 200, 100 }) == 10);
    CHECK(requestCapacity({ 1e-9, 0, 0 }) == 1);
}

TEST_CASE("test_large_nodes_get_more_callers_than_small_ones")
{
    // Guards against a node with a sixth of the processor of another getting as many callers.
    const uneven_nodes nodes;
    const auto shares = nodes.shares("b");
    double largest = 0;
    double smallest = 1;
    double small = 0;
    for (const auto& node : nodes.ready) {
        if (node.availabilityZone != "b")
            continue;
        const double share = shares.at(uneven_nodes::addressOf(node));
        largest = std::max(largest, share);
        smallest = std::min(smallest, share);
        small += node.requestsPerSecond == requestCapacity({ 0.09, 10, 3075 }) ? share : 0;
    }
    CHECK(largest >= 2 * smallest);
    CHECK(small <= 0.5); // 13 of 20 nodes
    CHECK(smallest > 0);
}

TEST_CASE("test_callers_stay_in_their_zone_and_know_nodes_of_all_others")
{
    const uneven_nodes nodes;
    CHECK(nodes.shareOf("a", "a") >= 0.8);
    entry_choice choice(7);
    for (int i = 0; i < 200; ++i) {
        const auto entries = choice.choose(nodes.ready, "a", maxEntries);
        std::set<std::string> zones;
        for (const auto& node : nodes.ready) {
            if (std::count(entries.begin(), entries.end(), uneven_nodes::addressOf(node)) > 0)
                zones.insert(node.availabilityZone);
        }
        CHECK(zones.size() == 3); // a zone that is lost leaves its callers with an address
        CHECK(std::set(entries.begin(), entries.end()).size() == entries.size());
        CHECK(entries.size() <= maxEntries);
    }
}

TEST_CASE("test_busy_zone_sends_callers_to_zones_that_are_free")
{
    // Guards against a zone whose demand doubles while the nodes of others idle.
    uneven_nodes nodes;
    nodes.setBusy("a", 95);
    CHECK(nodes.shareOf("a", "a") <= 0.5);
    CHECK(nodes.shareOf("b", "a") <= 0.1);
    nodes.setBusy("b", 95);
    nodes.setBusy("c", 95);
    CHECK(nodes.shareOf("a", "a") >= 0.8); // nowhere is it better
}

TEST_CASE("test_wrong_report_of_a_nodes_load_neither_starves_nor_floods_it")
{
    uneven_nodes nodes;
    auto& node = nodes.ready.front();
    const auto before = nodes.shares("a").at(uneven_nodes::addressOf(node));
    node.busyPercent = 255;
    const auto busy = nodes.shares("a").at(uneven_nodes::addressOf(node));
    CHECK(busy > 0);
    CHECK(busy < before);
}

TEST_CASE("test_nodes_without_known_or_different_capacities_are_named_in_turn")
{
    // Guards against a changed distribution where nothing says that nodes differ.
    uneven_nodes nodes;
    for (auto& node : nodes.ready)
        node.requestsPerSecond = 50;
    entry_choice equal(3);
    for (std::size_t turn = 0; turn < 5; ++turn)
        CHECK(equal.choose(nodes.ready, "a", 10) == entryAddresses(nodes.ready, 10, turn));
    nodes.ready.front().requestsPerSecond = 0;
    nodes.ready.back().requestsPerSecond = 90;
    entry_choice unknown(3);
    CHECK(unknown.choose(nodes.ready, "a", 10) == entryAddresses(nodes.ready, 10, 0));
}

TEST_CASE("test_callers_of_a_zone_without_ready_nodes_get_those_of_others")
{
    uneven_nodes nodes;
    std::erase_if(nodes.ready, [](const node_state& node) { return node.availabilityZone == "a"; });
    entry_choice choice(3);
    CHECK(choice.choose(nodes.ready, "a", maxEntries).size() == nodes.ready.size());
    CHECK(choice.choose({}, "a", maxEntries).empty());
    nodes.ready.resize(1);
    CHECK(choice.choose(nodes.ready, "b", maxEntries).size() == 1);
}
