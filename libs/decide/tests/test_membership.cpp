// Membership by heartbeats and VM list, and readiness states.
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

TEST_CASE("test_late_heartbeat_of_an_older_incarnation_has_no_effect")
{
    membership members("self", {}, 1);
    members.applyHeartbeat(peer("b", 2), at(0));
    members.applyHeartbeat(peer("b", 1), at(1));
    CHECK(members.newestInstance("b").incarnation == 2);
    CHECK(members.isAlive("b", at(2)));
    CHECK_FALSE(members.isAlive("b", at(3.5)));
}

TEST_CASE("test_listed_node_gets_heartbeats_before_its_first_own")
{
    membership members("self", {}, 1);
    members.updateVmList(
        { { "b", "10.0.0.1", "z", "entry", 1, 2, false }, { "self", "10.0.0.2", "z", "entry", 1, 2, false },
            { "t", "10.0.0.3", "z", "target", 0, 0, false } },
        at(0));
    const auto to = members.heartbeatRecipients(at(0));
    REQUIRE(to.size() == 1);
    CHECK(to[0].vm == "b");
    CHECK(members.alive(at(0)).empty());
    CHECK_FALSE(members.isLeaving("b"));
    members.updateVmList({ { "b", "10.0.0.1", "z", "entry", 1, 2, true } }, at(1));
    CHECK(members.isLeaving("b"));
}

TEST_CASE("test_heartbeats_per_round_do_not_grow_with_the_fleet")
{
    membership members("self", {}, 1);
    for (int i = 0; i < 390; ++i)
        members.applyHeartbeat(peer("n" + std::to_string(i), 1), at(0));
    CHECK(members.heartbeatRecipients(at(0)).size() == 3);
}

TEST_CASE("test_readiness_table")
{
    readiness ready({ 5s, 3s }, at(0));
    CHECK(ready.state(at(1)) == readiness_state::starting);
    SECTION("ready once the log was read to its end")
    {
        ready.setAppliedVersion(4, at(1));
        CHECK(ready.state(at(1)) == readiness_state::starting);
        ready.onLogResponse(true, at(1));
        CHECK(ready.state(at(1)) == readiness_state::ready);
        SECTION("a newer version at a peer is tolerated for some time")
        {
            ready.onPeerHeartbeat(5, at(2));
            CHECK(ready.state(at(4)) == readiness_state::ready);
            ready.onLogResponse(true, at(5));
            CHECK(ready.state(at(6)) == readiness_state::behind);
            ready.setAppliedVersion(5, at(6));
            CHECK(ready.state(at(6)) == readiness_state::ready);
        }
        SECTION("cut off from the log and all peers, it refuses")
        {
            ready.setHasPeers(true);
            ready.onPeerHeartbeat(4, at(2));
            CHECK(ready.state(at(6.5)) == readiness_state::ready);
            CHECK(ready.state(at(7.5)) == readiness_state::cut_off);
        }
        SECTION("peers without access to the log stay ready while they exchange heartbeats")
        {
            ready.setHasPeers(true);
            for (int i = 2; i < 60; ++i)
                ready.onPeerHeartbeat(4, at(i));
            CHECK(ready.state(at(60)) == readiness_state::ready);
        }
    }
    SECTION("started during an outage, it takes the peers' version")
    {
        ready.onPeerHeartbeat(7, at(1));
        ready.setAppliedVersion(7, at(1));
        CHECK(ready.state(at(2)) == readiness_state::starting);
        ready.onPeerHeartbeat(7, at(3));
        CHECK(ready.state(at(4)) == readiness_state::ready);
    }
}
