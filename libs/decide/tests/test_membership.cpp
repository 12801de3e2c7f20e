// Which nodes are known, and when a node may take new work.
#include "decide/membership.h"
#include "decide/readiness.h"

#include <catch2/catch.hpp>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

instant at(double s) { return instant(fromSeconds(1000 + s)); }

peer_state peer(const std::string& vm, std::uint64_t incarnation)
{
    peer_state state;
    state.instance = { vm, incarnation };
    state.address = "127.0.0.1";
    state.peerPort = 1;
    state.isReady = true;
    return state;
}

}

TEST_CASE("test_late_heartbeat_of_a_former_life_has_no_effect")
{
    membership members("self", {}, 1);
    members.heard(peer("b", 2), at(0));
    members.heard(peer("b", 1), at(1));
    CHECK(members.newest("b").incarnation == 2);
    CHECK(members.isAlive("b", at(2)));
    CHECK_FALSE(members.isAlive("b", at(3.5)));
}

TEST_CASE("test_listed_node_gets_heartbeats_before_it_was_heard")
{
    membership members("self", {}, 1);
    members.listed({ { "b", "10.0.0.1", "z", "entry", 1, 2, false }, { "self", "10.0.0.2", "z", "entry", 1, 2, false },
                       { "t", "10.0.0.3", "z", "target", 0, 0, false } },
        at(0));
    const auto to = members.recipients(at(0));
    REQUIRE(to.size() == 1);
    CHECK(to[0].vm == "b");
    CHECK(members.alive(at(0)).empty());
    CHECK_FALSE(members.isLeaving("b"));
    members.listed({ { "b", "10.0.0.1", "z", "entry", 1, 2, true } }, at(1));
    CHECK(members.isLeaving("b"));
}

TEST_CASE("test_heartbeats_per_round_do_not_grow_with_the_fleet")
{
    membership members("self", {}, 1);
    for (int i = 0; i < 390; ++i)
        members.heard(peer("n" + std::to_string(i), 1), at(0));
    CHECK(members.recipients(at(0)).size() == 3);
}

TEST_CASE("test_readiness_table")
{
    readiness ready({ 5s, 3s }, at(0));
    CHECK(ready.state(at(1)) == readiness_state::starting);
    SECTION("ready once the log was read to its end")
    {
        ready.versionInForce(4, at(1));
        CHECK(ready.state(at(1)) == readiness_state::starting);
        ready.logAnswered(true, at(1));
        CHECK(ready.state(at(1)) == readiness_state::ready);
        SECTION("a newer version elsewhere is given some time")
        {
            ready.peerHeard(5, at(2));
            CHECK(ready.state(at(4)) == readiness_state::ready);
            ready.logAnswered(true, at(5));
            CHECK(ready.state(at(6)) == readiness_state::behind);
            ready.versionInForce(5, at(6));
            CHECK(ready.state(at(6)) == readiness_state::ready);
        }
        SECTION("cut off from the log and all peers, it refuses")
        {
            ready.setOthersKnown(true);
            ready.peerHeard(4, at(2));
            CHECK(ready.state(at(6.5)) == readiness_state::ready);
            CHECK(ready.state(at(7.5)) == readiness_state::cut_off);
        }
        SECTION("peers that lack the log too keep each other going")
        {
            ready.setOthersKnown(true);
            for (int i = 2; i < 60; ++i)
                ready.peerHeard(4, at(i));
            CHECK(ready.state(at(60)) == readiness_state::ready);
        }
    }
    SECTION("started during an outage, it takes the peers' version")
    {
        ready.peerHeard(7, at(1));
        ready.versionInForce(7, at(1));
        CHECK(ready.state(at(2)) == readiness_state::starting);
        ready.peerHeard(7, at(3));
        CHECK(ready.state(at(4)) == readiness_state::ready);
    }
}
