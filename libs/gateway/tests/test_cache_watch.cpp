// What engines keep, from their events, their lists and peers.
#include "cache_watch.h"
#include "fake_ports.h"

#include "http/http_server.h"
#include "serving/duty_assignment.h"

using namespace tamarack;
using namespace tamarack::tests;

namespace {

/// `/events` says that events were missed, `/list` names one part.
class plain_caches : public fake_targets {
public:
    http_request cacheEvents(std::uint64_t, duration, std::string_view) const override
    {
        return { "GET", "/events", {}, {} };
    }
    std::optional<cache_report> decodeCacheEvents(std::string_view body) const override
    {
        return cache_report { 1, 5, body == "missed", { { 20, 900 } } };
    }
    http_request cacheList(std::string_view) const override { return { "GET", "/list", {}, {} }; }
    std::optional<cache_report> decodeCacheList(std::string_view) const override
    {
        return cache_report { 1, 9, false, { { 30, 700 } } };
    }
};

/// An engine and a peer at one address.
struct asked_places {
    int lists = 0;
    int peerQuestions = 0;
    cache_snapshot peerKnows;
    http_server server;

    asked_places()
        : server(
            {},
            [this](const http_request& request, const std::shared_ptr<response_writer>& writer) {
                if (request.path() == "/caches") {
                    ++peerQuestions;
                    return writer->sendWhole({ 200, {}, encodeCaches(peerKnows) });
                }
                lists += request.path() == "/list";
                writer->sendWhole({ 200, {}, lists == 0 ? "missed" : "all" });
            },
            [](error_kind, std::string_view) { return http_response {}; })
    {
        REQUIRE(server.listen(QHostAddress::LocalHost, 0));
    }
};

struct watching_node {
    asked_places places;
    plain_caches protocol;
    serving::dispatcher decisions { {} };
    metrics counters;
    logger log { quietLog() };
    http_client client;
    std::vector<cache_update> announced; // to peers, without waiting for the next heartbeat
    cache_monitor caches { client, protocol, decisions, counters, log, [this](const std::vector<cache_update>& listed) {
                              announced.insert(announced.end(), listed.begin(), listed.end());
                          } };
    std::vector<serving::node_state> peers;
    serving::node_state self;

    watching_node()
    {
        serving::target_record record;
        record.name = "e1";
        record.service = "engines";
        record.address = "127.0.0.1:" + std::to_string(places.server.port());
        record.role = serving::target_role::decode;
        decisions.targetListed(record);
        self.vm = "n1";
    }
    void tick() { caches.tick(self, peers, boot_clock::now()); }
    void addPeer()
    {
        serving::node_state peer;
        peer.vm = "n2";
        peer.isReady = true;
        peer.address = "127.0.0.1";
        peer.adminPort = places.server.port();
        peers = { peer };
    }
    bool keeps(std::uint64_t part) const
    {
        const auto parts = decisions.cachedParts(decisions.fleet().find("e1"));
        return std::any_of(parts.begin(), parts.end(), [part](const auto& item) { return item.id == part; });
    }
    template <class Condition> bool tickUntil(Condition condition)
    {
        return spinUntil([&] {
            tick();
            return condition();
        });
    }
};

}

TEST_CASE("test_missed_events_are_made_good_by_a_list")
{
    // Symptom: beginnings that an engine keeps are read again.
    // Sequence: all nodes are lost; the first answer of an engine says that events before it are not kept any more.
    // Cause: only what changes from then on was known.
    watching_node node;
    REQUIRE(node.tickUntil([&] { return node.keeps(30); }));
    CHECK(node.places.lists == 1);
    CHECK_FALSE(node.keeps(20)); // told before the list, and not in it
    CHECK(node.announced.empty()); // each node watches by itself
}

TEST_CASE("test_what_an_engine_lists_is_told_at_once_where_few_nodes_watch_it")
{
    // Symptom: for five seconds after the loss of all nodes, beginnings that the fleet keeps are read again.
    // Sequence: the watchers of each engine list what it keeps, some thousand parts in all.
    // Cause: they were told by heartbeats, a dozen in each.
    watching_node node;
    for (int i = 2; i <= 12; ++i)
        node.peers.emplace_back().vm = "n" + std::to_string(i);
    const auto instance = node.decisions.fleet().instance[0];
    for (int i = 0; !serving::zone_duties(node.self, node.peers).isOnDuty(instance, {}, 1); ++i)
        node.self.vm = "watcher-" + std::to_string(i);
    REQUIRE(node.tickUntil([&] { return node.keeps(30); }));
    REQUIRE(node.announced.size() == 1);
    CHECK(node.announced.front().part == 30);
}

TEST_CASE("test_node_that_starts_with_its_peers_asks_again_what_engines_keep")
{
    // Symptom: after the loss of all nodes each knows a few engines' memories for seconds.
    // Sequence: a node asks a peer that has started at the same time, and is told what that one has listed so far.
    // Cause: any answer was taken for all that there is to know.
    watching_node node;
    node.places.peerKnows = { { { serving::shortHash("e1"), 40, 800 } }, false };
    node.addPeer();
    REQUIRE(node.tickUntil([&] { return node.keeps(40); }));
    node.places.peerKnows = { { { serving::shortHash("e1"), 41, 800 } }, true };
    REQUIRE(node.tickUntil([&] { return node.keeps(41); }));
    CHECK(node.places.peerQuestions == 2);
    CHECK(node.caches.snapshot(boot_clock::now()).isComplete);
}

TEST_CASE("test_node_that_starts_asks_a_peer_what_engines_keep")
{
    watching_node node;
    node.places.peerKnows
        = { { { serving::shortHash("e1"), 40, 800 }, { serving::shortHash("unknown"), 41, 800 } }, true };
    node.addPeer();
    REQUIRE(node.tickUntil([&] { return node.keeps(40); }));
    CHECK(!node.caches.snapshot(boot_clock::now()).parts.empty());
    for (int i = 0; i < 5; ++i)
        node.tick();
    CHECK(node.places.peerQuestions == 1);
}
