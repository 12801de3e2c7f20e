// Who reads for whom, and how often a store that is away is asked.
#include "serving/duty_roster.h"
#include "serving/retry_pace.h"

#include <catch2/catch.hpp>

using namespace tamarack;
using namespace tamarack::serving;
using namespace std::chrono_literals;

namespace {

node_state node(int number, std::string_view zone, bool isStoreReachable)
{
    node_state out;
    out.vm = "n" + std::to_string(number);
    out.availabilityZone = zone;
    out.isStoreReachable = isStoreReachable;
    return out;
}

/// How many nodes of a zone read closely, if all hear each other.
int readersIn(const std::vector<node_state>& nodes, std::string_view zone)
{
    int readers = 0;
    for (const auto& self : nodes) {
        std::vector<node_state> alive;
        std::copy_if(nodes.begin(), nodes.end(), std::back_inserter(alive),
            [&](const node_state& other) { return other.vm != self.vm; });
        readers += self.availabilityZone == zone && readsForZone(self, alive);
    }
    return readers;
}

}

TEST_CASE("test_one_node_of_each_zone_reads_whatever_the_store_does")
{
    // Symptom: while the store is away, calls to it rise to many times those of a calm day.
    // Sequence: no node reaches the store any more.
    // Cause: the one that reads for all was chosen among those that reach it, and without any each took itself for it.
    std::vector<node_state> nodes;
    for (int i = 0; i < 30; ++i)
        nodes.push_back(node(i, i % 2 ? "a" : "b", true));
    CHECK(readersIn(nodes, "a") == 1);
    CHECK(readersIn(nodes, "b") == 1);
    for (auto& one : nodes)
        one.isStoreReachable = false;
    CHECK(readersIn(nodes, "a") == 1);
    CHECK(readersIn(nodes, "b") == 1);
    nodes[7].isStoreReachable = true; // which turns some nodes away and serves others
    CHECK(readersIn(nodes, "a") == 1);
    CHECK(readsForZone(nodes[7], { nodes[1], nodes[3], nodes[5] }));
    CHECK(readsForZone(nodes[1], {}));
}

TEST_CASE("test_reader_goes_on_until_its_successor_reads")
{
    // Symptom: for a second after the start of a node, no node of its zone follows the list of targets.
    // Sequence: the node that starts is the one to read for the others; it listens first, and they know it at once.
    // Cause: the former reader left when it heard of the successor, not when that one began.
    for (int heavier = 0; heavier < 2; ++heavier) {
        auto former = node(heavier, "a", true);
        auto starting = node(1 - heavier, "a", true);
        former.readsForOthers = true;
        CHECK(readsForZone(former, { starting }));
        const bool isSuccessor = readsForZone(starting, { former });
        starting.readsForOthers = isSuccessor;
        CHECK(readsForZone(former, { starting }) == !isSuccessor);
    }
}

TEST_CASE("test_nodes_with_wide_links_read_for_the_others")
{
    // Symptom: of the notes on many changes at once some peers get none.
    // Cause: the node that sends them has a link on which they take as long as its queue holds.
    std::vector<node_state> nodes;
    for (int i = 0; i < 20; ++i) {
        nodes.push_back(node(i, "a", true));
        nodes.back().linkMegabits = i % 10 == 0 ? 200 : 10;
    }
    CHECK(readersIn(nodes, "a") == 1);
    CHECK(readsForZone(nodes[0], { nodes[1], nodes[2] }));
    nodes[0].isStoreReachable = nodes[10].isStoreReachable = false;
    CHECK(readersIn(nodes, "a") == 1);
}

TEST_CASE("test_failing_store_is_asked_less_and_less_often")
{
    retry_pace pace(150ms, 600ms);
    CHECK(pace.afterFailure() == 150ms);
    CHECK(pace.afterFailure() == 300ms);
    CHECK(pace.afterFailure() == 600ms);
    CHECK(pace.afterFailure() == 600ms);
    pace.setLongest(5s);
    duration waited = 0s;
    int calls = 0;
    for (; waited < 60s; ++calls)
        waited += pace.afterFailure();
    CHECK(calls <= 15);
    pace.setLongest(600ms);
    CHECK(pace.afterFailure() == 600ms);
    pace.succeeded();
    CHECK(pace.afterFailure() == 150ms);
}

TEST_CASE("test_each_duty_has_its_nodes_in_its_zone")
{
    std::vector<node_state> nodes;
    for (int i = 0; i < 30; ++i)
        nodes.push_back(node(i, i % 3 == 0 ? "a" : "b", true));
    for (const char* zone : { "a", "b", "c" }) {
        for (int duty = 0; duty < 50; ++duty) {
            int onDuty = 0;
            for (const auto& self : nodes) {
                std::vector<node_state> alive;
                std::copy_if(nodes.begin(), nodes.end(), std::back_inserter(alive),
                    [&](const node_state& other) { return other.vm != self.vm; });
                const bool isOnDuty = zone_roster(self, alive).isOnDuty("e" + std::to_string(duty), zone, 2);
                onDuty += isOnDuty;
                const bool isElsewhere = self.availabilityZone != zone && std::string_view(zone) != "c";
                CHECK_FALSE((isOnDuty && isElsewhere)); // nobody is in zone c, so any node will do
            }
            CHECK(onDuty == 2);
        }
    }
}
