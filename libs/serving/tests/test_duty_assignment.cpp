// Tests the assignment of duties to nodes and the backoff of calls to the store.
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

/// Number of nodes of a zone that poll the target list at short intervals, if all nodes receive each other's
/// heartbeats.
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
    // Guards against a multiple of the usual calls to the store during an outage. The reader was chosen among the nodes
    // that reach the store, so without any such node each one considered itself the reader.
    std::vector<node_state> nodes;
    for (int i = 0; i < 30; ++i)
        nodes.push_back(node(i, i % 2 ? "a" : "b", store_reach::reached));
    CHECK(readersIn(nodes, "a") == 1);
    CHECK(readersIn(nodes, "b") == 1);
    for (auto& one : nodes)
        one.storeReach = store_reach::lost;
    CHECK(readersIn(nodes, "a") == 1);
    CHECK(readersIn(nodes, "b") == 1);
    nodes[7].storeReach = store_reach::reached; // the store rejects some nodes and serves others
    CHECK(readersIn(nodes, "a") == 1);
    CHECK(readsForZone(nodes[7], { nodes[1], nodes[3], nodes[5] }));
    CHECK(readsForZone(nodes[1], {}));
}

TEST_CASE("test_nodes_that_never_asked_the_store_read_when_the_readers_lose_it")
{
    // Guards against an old version being in force on most nodes for 5 s after a new one is acknowledged. Starting
    // nodes receive the data of the store from peers, then the readers of all zones lose the store but not their peers.
    // A node that had never called the store counted as one that cannot reach it, so the readers without the store
    // remained readers.
    std::vector<node_state> nodes;
    for (int i = 0; i < 20; ++i)
        nodes.push_back(node(i, "a", store_reach::unknown));
    const auto isReader = [&](std::size_t at) {
        auto others = nodes;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(at));
        return readsForZone(nodes[at], others);
    };
    // When a reader loses the store, a node that has not been tried takes over.
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
    // Guards against nodes querying a peer that lacks the newer version, three times a second. The only node with the
    // version has a narrow link, and only nodes with the widest link were queried.
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
    // Guards against a zone without a reader for one second after the start of a node. The starting node is the
    // assigned reader but collects state first. The former reader stepped down when it learned of the successor rather
    // than when the successor became active.
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
    // Guards against batches with many changes not reaching some peers. They were sent by a node whose narrow link
    // holds no more than its send queue.
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
    retry_backoff backoff(150ms, 600ms);
    CHECK(backoff.nextDelay() == 150ms);
    CHECK(backoff.nextDelay() == 300ms);
    CHECK(backoff.nextDelay() == 600ms);
    CHECK(backoff.nextDelay() == 600ms);
    backoff.setMaxDelay(5s);
    duration waited = 0s;
    int calls = 0;
    for (; waited < 60s; ++calls)
        waited += backoff.nextDelay();
    CHECK(calls <= 15);
    backoff.setMaxDelay(600ms);
    CHECK(backoff.nextDelay() == 600ms);
    backoff.succeeded();
    CHECK(backoff.nextDelay() == 150ms);
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
                CHECK_FALSE((isOnDuty && isElsewhere)); // no node is in zone c, so any node may be assigned
            }
            CHECK(onDuty == 2);
        }
    }
}

// Guards against a holder that changes with each node that finds the store again after an outage.
TEST_CASE("test_platform_duties_stay_with_the_readers_of_the_store")
{
    std::vector<node_state> nodes;
    for (int i = 0; i < 20; ++i) {
        node_state node;
        node.vm = "vm-" + std::to_string(i);
        node.isReady = true;
        node.storeReach = store_reach::lost;
        nodes.push_back(node);
    }
    CHECK(platformDutyNodes(nodes[0], nodes, 3).empty());
    nodes[3].readsForOthers = true;
    nodes[3].storeReach = store_reach::reached;
    for (auto& node : nodes) {
        node.storeReach = store_reach::reached;
        const auto assigned = platformDutyNodes(nodes[0], nodes, 3);
        REQUIRE_FALSE(assigned.empty());
        CHECK(assigned.front().vm == "vm-3");
    }
    nodes[3].isStopping = true;
    const auto successors = platformDutyNodes(nodes[0], nodes, 3);
    CHECK(successors.size() == 3);
    CHECK(successors.front().vm != "vm-3");
    for (const auto& node : nodes)
        CHECK(platformDutyNodes(node, nodes, 1).front().vm == successors.front().vm);
}
