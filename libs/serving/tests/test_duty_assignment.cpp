// Who reads for whom, and how often a store that is away is asked.
#include "serving/duty_assignment.h"
#include "serving/retry_backoff.h"

#include <catch2/catch.hpp>
#include <set>

using namespace tamarack;
using namespace tamarack::serving;
using namespace std::chrono_literals;

namespace {

node_state node(int number, std::string_view zone, store_reach reach)
{
    node_state out;
    out.vm = "n" + std::to_string(number);
    out.availabilityZone = zone;
    out.storeReach = reach;
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
        nodes.push_back(node(i, i % 2 ? "a" : "b", store_reach::reached));
    CHECK(readersIn(nodes, "a") == 1);
    CHECK(readersIn(nodes, "b") == 1);
    for (auto& one : nodes)
        one.storeReach = store_reach::lost;
    CHECK(readersIn(nodes, "a") == 1);
    CHECK(readersIn(nodes, "b") == 1);
    nodes[7].storeReach = store_reach::reached; // which turns some nodes away and serves others
    CHECK(readersIn(nodes, "a") == 1);
    CHECK(readsForZone(nodes[7], { nodes[1], nodes[3], nodes[5] }));
    CHECK(readsForZone(nodes[1], {}));
}

TEST_CASE("test_nodes_that_never_asked_the_store_read_when_the_readers_lose_it")
{
    // Symptom: for 5 s after a version is acknowledged, most nodes have the one before in force.
    // Sequence: nodes that start are told by peers what the store would tell; the readers of all zones are cut off from
    // the store, but not from the others.
    // Cause: a node that has never asked the store counted as one that does not reach it, so the readers that had lost
    // it went on being the ones to ask.
    std::vector<node_state> nodes;
    for (int i = 0; i < 20; ++i)
        nodes.push_back(node(i, "a", store_reach::unknown));
    const auto isReader = [&](std::size_t at) {
        auto others = nodes;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(at));
        return readsForZone(nodes[at], others);
    };
    // Each that is found to be cut off is followed by one that was not tried.
    std::set<std::size_t> tried;
    for (std::size_t turn = 0; turn < nodes.size(); ++turn) {
        CHECK(readersIn(nodes, "a") == 1);
        for (std::size_t at = 0; at < nodes.size(); ++at) {
            nodes[at].readsForOthers = isReader(at);
            if (!nodes[at].readsForOthers)
                continue;
            CHECK(tried.insert(at).second);
            nodes[at].storeReach = store_reach::lost;
            break;
        }
    }
    CHECK(tried.size() == nodes.size());
    nodes[5].storeReach = store_reach::reached;
    CHECK(isReader(5));
}

TEST_CASE("test_version_that_only_a_narrow_link_has_is_taken_from_there")
{
    // Symptom: nodes that know of a newer version ask one that lacks it, three times a second.
    // Sequence: the one node that reads it has a narrow link.
    // Cause: only nodes with the widest link of all were asked.
    auto narrow = node(1, "a", store_reach::reached);
    narrow.linkMegabits = 10;
    narrow.adminPort = 1;
    narrow.configurationVersion = 5;
    auto wide = node(2, "a", store_reach::unknown);
    wide.linkMegabits = 200;
    wide.adminPort = 1;
    wide.configurationVersion = 2;
    const auto self = node(3, "a", store_reach::unknown);
    const auto isNewer = [](const node_state& peer) { return peer.configurationVersion > 2; };
    std::vector<node_state> alive { narrow, wide };
    const auto* asked = peerToAsk(self, alive, isNewer);
    REQUIRE(asked);
    CHECK(asked->vm == narrow.vm);
    alive[1].configurationVersion = 5;
    asked = peerToAsk(self, alive, isNewer);
    REQUIRE(asked);
    CHECK(asked->vm == wide.vm);
}

TEST_CASE("test_reader_goes_on_until_its_successor_reads")
{
    // Symptom: for a second after the start of a node, no node of its zone follows the list of targets.
    // Sequence: the node that starts is the one to read for the others; it listens first, and they know it at once.
    // Cause: the former reader left when it heard of the successor, not when that one began.
    for (int heavier = 0; heavier < 2; ++heavier) {
        auto former = node(heavier, "a", store_reach::reached);
        auto starting = node(1 - heavier, "a", store_reach::reached);
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
        nodes.push_back(node(i, "a", store_reach::reached));
        nodes.back().linkMegabits = i % 10 == 0 ? 200 : 10;
    }
    CHECK(readersIn(nodes, "a") == 1);
    CHECK(readsForZone(nodes[0], { nodes[1], nodes[2] }));
    nodes[0].storeReach = nodes[10].storeReach = store_reach::lost;
    CHECK(readersIn(nodes, "a") == 1);
}

TEST_CASE("test_failing_store_is_asked_less_and_less_often")
{
    retry_backoff pace(150ms, 600ms);
    CHECK(pace.nextDelay() == 150ms);
    CHECK(pace.nextDelay() == 300ms);
    CHECK(pace.nextDelay() == 600ms);
    CHECK(pace.nextDelay() == 600ms);
    pace.setMaxDelay(5s);
    duration waited = 0s;
    int calls = 0;
    for (; waited < 60s; ++calls)
        waited += pace.nextDelay();
    CHECK(calls <= 15);
    pace.setMaxDelay(600ms);
    CHECK(pace.nextDelay() == 600ms);
    pace.succeeded();
    CHECK(pace.nextDelay() == 150ms);
}

TEST_CASE("test_each_duty_has_its_nodes_in_its_zone")
{
    std::vector<node_state> nodes;
    for (int i = 0; i < 30; ++i)
        nodes.push_back(node(i, i % 3 == 0 ? "a" : "b", store_reach::reached));
    for (const char* zone : { "a", "b", "c" }) {
        for (int duty = 0; duty < 50; ++duty) {
            int onDuty = 0;
            for (const auto& self : nodes) {
                std::vector<node_state> alive;
                std::copy_if(nodes.begin(), nodes.end(), std::back_inserter(alive),
                    [&](const node_state& other) { return other.vm != self.vm; });
                const bool isOnDuty = zone_duties(self, alive).isOnDuty("e" + std::to_string(duty), zone, 2);
                onDuty += isOnDuty;
                const bool isElsewhere = self.availabilityZone != zone && std::string_view(zone) != "c";
                CHECK_FALSE((isOnDuty && isElsewhere)); // nobody is in zone c, so any node will do
            }
            CHECK(onDuty == 2);
        }
    }
}
