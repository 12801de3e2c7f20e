// Tests registrations, heartbeats and liveness in the node directory.
#include "serving_fixture.h"

#include "serving/node_directory.h"
#include "serving/peer_clock.h"

using namespace tamarack;
using namespace tamarack::serving;
using namespace tamarack::serving::tests;

namespace {

node_state node(const std::string& vm, std::uint64_t incarnation = 1, bool isReady = true)
{
    node_state out;
    out.vm = vm;
    out.incarnation = incarnation;
    out.address = "10.0.0." + vm.substr(vm.size() - 1);
    out.callerPort = 80;
    out.isReady = isReady;
    return out;
}

}

TEST_CASE("test_registered_node_is_known_but_not_alive_until_its_heartbeat")
{
    node_directory nodes("n0", {});
    nodes.applyRegistration(node("n1"), at(0s));
    CHECK(nodes.knownCount() == 2);
    CHECK(nodes.alive(at(0s)).empty());
    CHECK(nodes.takeNodesToProbe(at(1s)).size() == 1);
    nodes.applyHeartbeat(node("n1"), at(1s));
    CHECK(nodes.alive(at(1s)).size() == 1);
    CHECK(nodes.alive(at(3s)).empty());
    CHECK(nodes.knownCount() == 2);
}

TEST_CASE("test_heartbeat_of_a_former_incarnation_has_no_effect")
{
    // Guards against callers being sent to a node that has just stopped. A node restarts, and a heartbeat of its former
    // incarnation, which reported it ready, arrives late. Heartbeats must not be applied in order of arrival.
    node_directory nodes("n0", {});
    nodes.applyHeartbeat(node("n1", 8, false), at(0s));
    nodes.applyHeartbeat(node("n1", 7, true), at(10ms));
    REQUIRE(nodes.alive(at(20ms)).size() == 1);
    CHECK_FALSE(nodes.alive(at(20ms)).front().isReady);
}

TEST_CASE("test_heartbeat_without_an_incarnation_is_accepted")
{
    node_directory nodes("n0", {});
    nodes.applyHeartbeat(node("n1", 8), at(0s));
    nodes.applyHeartbeat(node("n1", 0), at(1s));
    CHECK(nodes.alive(at(1s)).size() == 1);
}

TEST_CASE("test_registration_carried_out_late_does_not_move_a_living_node")
{
    node_directory nodes("n0", {});
    nodes.applyHeartbeat(node("n1", 8), at(0s));
    auto late = node("n1");
    late.address = "10.9.9.9";
    nodes.applyRegistration(late, at(100ms));
    CHECK(nodes.alive(at(100ms)).front().address == "10.0.0.1");
}

TEST_CASE("test_unreachable_nodes_are_probed_rarely")
{
    node_directory nodes("n0", {});
    nodes.applyRegistration(node("n1"), at(0s));
    int sent = 0;
    for (int i = 0; i < 50; ++i)
        sent += static_cast<int>(nodes.takeNodesToProbe(at(i * 100ms)).size());
    CHECK(sent == 5);
}

TEST_CASE("test_entry_addresses_are_bounded_and_take_turns")
{
    std::vector<node_state> ready;
    for (int i = 0; i < 5; ++i)
        ready.push_back(node("n" + std::to_string(i)));
    CHECK(entryAddresses(ready, 64, 0).size() == 5);
    const auto first = entryAddresses(ready, 2, 0);
    const auto second = entryAddresses(ready, 2, 1);
    CHECK(first.size() == 2);
    CHECK(first != second);
    CHECK(entryAddresses({}, 64, 0).empty());
}

TEST_CASE("test_status_of_a_registered_node_counts_as_heartbeat")
{
    node_directory nodes("self", {});
    auto state = node("n1", 5);
    CHECK(nodes.applyStatus(nodeStatusOf(state), at(0s)).state == nullptr); // the address of the node is not known yet
    nodes.applyRegistration(state, at(0s));
    state.isReady = true;
    state.configurationVersion = 9;
    const auto sender = nodes.applyStatus(nodeStatusOf(state), at(1s));
    REQUIRE(sender.state);
    CHECK(sender.wasUnreachable);
    CHECK(sender.state->vm == "n1");
    CHECK(sender.state->configurationVersion == 9);
    CHECK(sender.state->isReady);
    CHECK_FALSE(nodes.applyStatus(nodeStatusOf(state), at(1100ms)).wasUnreachable);
    CHECK(nodes.isAlive("n1", at(1200ms)));
    CHECK(nodes.newestVersion(at(1200ms)) == 9);
}

TEST_CASE("test_status_of_a_former_incarnation_has_no_effect")
{
    // Guards against callers being sent to a stopping node and against peers returning to an older state of it. A node
    // is restarted, and a status of its former incarnation was delayed.
    node_directory nodes("self", {});
    auto state = node("n1", 5);
    state.isReady = true;
    CHECK(nodes.applyHeartbeat(state, at(0s)));
    auto former = state;
    former.incarnation = 4;
    former.isStopping = true;
    CHECK(nodes.applyStatus(nodeStatusOf(former), at(100ms)).state == nullptr);
    CHECK_FALSE(nodes.alive(at(100ms)).front().isStopping);
}

TEST_CASE("test_nodes_that_have_registered_again_have_not_all_started_once")
{
    // Guards against a restart of all nodes that counts as their first start.
    node_directory nodes("n0", {});
    CHECK_FALSE(nodes.haveAllStartedOnce(0));
    CHECK(nodes.haveAllStartedOnce(1));
    nodes.applyRegistration(node("n1", 0), at(0s));
    CHECK_FALSE(nodes.haveAllStartedOnce(1));
    nodes.applyHeartbeat(node("n1", 2), at(1s));
    CHECK(nodes.haveAllStartedOnce(1));
    CHECK_FALSE(nodes.haveAllStartedOnce(3));
    nodes.applyHeartbeat(node("n2", 4), at(1s));
    CHECK_FALSE(nodes.haveAllStartedOnce(1));
}

TEST_CASE("test_list_positions_are_known_while_all_nodes_are_alive")
{
    node_directory nodes("n0", {});
    const auto heard = [&](const std::string& vm, instant now) {
        nodes.applyHeartbeat(node(vm), now);
        nodes.applyListPosition(shortHash(vm), now);
    };
    CHECK(nodes.oldestListPosition(at(0s)) == at(0s));
    heard("n1", at(1s));
    heard("n2", at(1200ms));
    CHECK(nodes.oldestListPosition(at(1300ms)) == at(1s));
    CHECK_FALSE(nodes.oldestListPosition(at(1800ms)));
    heard("n1", at(1800ms));
    CHECK(nodes.oldestListPosition(at(1800ms)) == at(1200ms));
    nodes.applyRegistration(node("n3"), at(1800ms));
    CHECK_FALSE(nodes.oldestListPosition(at(1800ms)));
}

// Guards against an old state of the target list that counts as the present one because its message waited on its way.
TEST_CASE("test_list_position_that_waited_in_a_socket_counts_from_when_it_was_sent")
{
    node_directory nodes("n0", {});
    peer_clock clock;
    const auto offset = 40s; // between the clocks of the two nodes
    const auto arrives = [&](instant sentAt, instant now) {
        clock.observed(sentAt + offset, now);
        nodes.applyHeartbeat(node("n1"), now);
        nodes.applyListPosition(shortHash("n1"), clock.toLocal(sentAt + offset));
    };
    arrives(at(1s), at(1s) + 2ms);
    REQUIRE(nodes.oldestListPosition(at(1100ms)));
    for (int i = 1; i <= 20; ++i)
        arrives(at(1s) + i * 100ms, at(5s)); // read at once by a process that was frozen
    REQUIRE(nodes.oldestListPosition(at(5s)));
    CHECK(*nodes.oldestListPosition(at(5s)) <= at(3s) + 2ms);
    arrives(at(5100ms), at(5101ms));
    CHECK(*nodes.oldestListPosition(at(5101ms)) >= at(5100ms));
}
