// Tests how the contents of engines' caches are learned from events, listings and peers.
#include "cache_monitor.h"
#include "fake_ports.h"

#include "http/http_server.h"
#include "serving/duty_assignment.h"

using namespace tamarack;
using namespace tamarack::tests;

namespace {

/// `/events` may report missed events; `/list` returns one prefix.
class fake_cache_protocol : public fake_targets {
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

/// HTTP server that acts as an engine and as a peer.
struct engine_and_peer_server {
    int lists = 0;
    int peerRequests = 0;
    std::string leavingPath; // an answer to a call of this path declares that the engine leaves
    int status = 200;
    cache_snapshot peerSnapshot;
    http_server server;

    engine_and_peer_server()
        : server(
            {},
            [this](const http_request& request, const std::shared_ptr<response_writer>& writer) {
                if (request.path() == "/caches") {
                    ++peerRequests;
                    return writer->sendWhole({ 200, {}, encodeCaches(peerSnapshot) });
                }
                lists += request.path() == "/list";
                http_response response { status, {}, lists == 0 ? "missed" : "all" };
                if (request.path() == leavingPath)
                    response.headers.set("leaving", "1");
                writer->sendWhole(response);
            },
            [](error_kind, std::string_view) { return http_response {}; })
    {
        REQUIRE(server.listen(QHostAddress::LocalHost, 0));
    }
};

struct monitoring_node {
    engine_and_peer_server places;
    fake_cache_protocol protocol;
    serving::dispatcher decisions { {} };
    metrics counters;
    logger log { quietLog() };
    http_client client;
    std::vector<cache_update> announced; // sent to peers without waiting for the next heartbeat
    target_notices notices { protocol, decisions, counters, log };
    cache_monitor caches { client, protocol, decisions, counters, log, notices,
        [this](const std::vector<cache_update>& listed) {
            announced.insert(announced.end(), listed.begin(), listed.end());
        } };
    std::vector<serving::node_state> peers;
    serving::node_state self;

    monitoring_node()
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
    bool isCached(std::uint64_t part) const
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

TEST_CASE("test_missed_cache_events_trigger_a_full_listing")
{
    // Guards against prefilling prefixes again that an engine has cached. After the loss of all nodes the first
    // response of an engine reports that earlier events are no longer retained; without a listing only later changes
    // would be known.
    monitoring_node node;
    REQUIRE(node.tickUntil([&] { return node.isCached(30); }));
    CHECK(node.places.lists == 1);
    CHECK_FALSE(node.isCached(20)); // reported before the listing, and not part of it
    CHECK(node.announced.empty()); // each node monitors all engines itself
}

TEST_CASE("test_listed_prefixes_are_announced_at_once_when_few_nodes_monitor_an_engine")
{
    // Guards against prefilling cached prefixes again for five seconds after the loss of all nodes. The nodes that
    // monitor an engine list some thousand prefixes in all, and a heartbeat carries only a dozen.
    monitoring_node node;
    for (int i = 2; i <= 12; ++i)
        node.peers.emplace_back().vm = "n" + std::to_string(i);
    const auto instance = node.decisions.fleet().instance[0];
    for (int i = 0; !serving::zone_duties(node.self, node.peers).isOnDuty(instance, {}, 1); ++i)
        node.self.vm = "watcher-" + std::to_string(i);
    REQUIRE(node.tickUntil([&] { return node.isCached(30); }));
    REQUIRE(node.announced.size() == 1);
    CHECK(node.announced.front().part == 30);
}

TEST_CASE("test_incomplete_cache_snapshot_of_a_peer_is_requested_again")
{
    // Guards against nodes that know only a few engines' caches for seconds after the loss of all nodes: a node asks a
    // peer that has started at the same time, and its partial snapshot must not count as complete.
    monitoring_node node;
    node.places.peerSnapshot = { { { serving::shortHash("e1"), 40, 800 } }, false };
    node.addPeer();
    REQUIRE(node.tickUntil([&] { return node.isCached(40); }));
    node.places.peerSnapshot = { { { serving::shortHash("e1"), 41, 800 } }, true };
    REQUIRE(node.tickUntil([&] { return node.isCached(41); }));
    CHECK(node.places.peerRequests == 2);
    CHECK(node.caches.snapshot(boot_clock::now()).isComplete);
}

TEST_CASE("test_starting_node_requests_a_cache_snapshot_from_a_peer")
{
    monitoring_node node;
    node.places.peerSnapshot
        = { { { serving::shortHash("e1"), 40, 800 }, { serving::shortHash("unknown"), 41, 800 } }, true };
    node.addPeer();
    REQUIRE(node.tickUntil([&] { return node.isCached(40); }));
    CHECK(!node.caches.snapshot(boot_clock::now()).parts.empty());
    for (int i = 0; i < 5; ++i)
        node.tick();
    CHECK(node.places.peerRequests == 1);
}

// Guards against a declaration that is missed because it came with an answer to a call that carries no request.
TEST_CASE("test_engine_that_declares_to_leave_in_an_answer_about_its_cache_gets_no_work")
{
    struct {
        const char* path;
        int status;
    } const cases[] { { "/events", 200 }, { "/events", 429 }, { "/events", 503 }, { "/list", 200 } };
    for (const auto& item : cases) {
        INFO(item.path << " " << item.status);
        monitoring_node node;
        node.places.leavingPath = item.path;
        node.places.status = item.status;
        const auto& fleet = node.decisions.fleet();
        const auto engine = fleet.find("e1");
        CHECK(fleet.acceptsWork(engine, boot_clock::now()));
        CHECK(node.tickUntil([&] { return fleet.isLeaving(engine); }));
        CHECK_FALSE(fleet.acceptsWork(engine, boot_clock::now()));
    }
}
