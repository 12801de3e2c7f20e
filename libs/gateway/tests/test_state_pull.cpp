// Tests how a node pulls missing state from its peers.
#include "fake_ports.h"
#include "state_pull.h"

#include "http/http_server.h"

using namespace tamarack;
using namespace tamarack::tests;
using namespace std::chrono_literals;

namespace {

/// Address of a node that is a seed itself, so that it reads the store before it asks peers.
const endpoint ownAddress { "127.0.0.1", 8146 };

/// A peer that has configuration version 4, one target and two nodes.
struct peer_with_state {
    int asked = 0;
    http_server server;

    peer_with_state()
        : server(
            {},
            [this](const http_request&, const std::shared_ptr<response_writer>& writer) {
                ++asked;
                shared_state state;
                state.configuration = compress({ 3, "configuration", "4" });
                serving::target_record target;
                target.name = "t1";
                target.service = "chat";
                state.targets = { { { 1, "t1", target } }, 1 };
                serving::node_state other;
                other.vm = "n2";
                state.nodes.push_back({ other, 0s });
                other.vm = "n3";
                state.nodes.push_back({ other, 5s });
                state.knowsNodes = true;
                state.limits.push_back({ serving::shortHash(target.instance()), request_rate { 4.8 }, 20ms, 10ms });
                writer->sendWhole({ 200, {}, encodeState(state) });
            },
            [](error_kind, std::string_view) { return http_response {}; })
    {
        REQUIRE(server.listen(QHostAddress::LocalHost, 0));
    }
    endpoint address() const { return { "127.0.0.1", server.port() }; }
};

struct starting_node {
    /// Longer than any test, so that only immediate requests are observed.
    static constexpr duration interval = 3600s;

    fake_store store;
    fake_decoder decoder;
    serving::dispatcher decisions { {} };
    serving::node_directory nodes { "n1", {} };
    metrics counters;
    logger log { quietLog() };
    http_client client;
    cluster_view view;
    state_pull pull;

    explicit starting_node(std::vector<endpoint> seeds, const endpoint& own = {})
        : view({ decoder, store, decisions, nodes, counters, log }, {},
            { [](const auto&) {}, [](const auto&) {}, [this] { pull.onStoreLost(); }, [this] { pull.onBehind(); } })
        , pull({ client, view, nodes, log, [own] { return encodedStateAt(own); }, [this] { view.startFromPeer(); },
                   [this] { view.start(); } },
              interval, std::move(seeds))
    {
        if (!pull.start())
            view.start();
    }
    static serving::node_state encodedStateAt(const endpoint& own)
    {
        serving::node_state out;
        out.vm = "n1";
        out.address = own.address;
        out.adminPort = own.port;
        return out;
    }
    void failFirstReads()
    {
        for (const auto& call : std::vector<fake_store::call>(store.calls)) {
            if (call.onNewest)
                call.onNewest(store_error::refused);
        }
    }
};

}

TEST_CASE("test_starting_node_loads_state_from_a_seed_without_store_calls")
{
    // Guards against most of a day's store calls being those of starting nodes, ten each: when 300 nodes start, each
    // would read the configuration, the targets and the nodes page by page unless it asks a seed first.
    peer_with_state peer;
    starting_node node({ peer.address() });
    REQUIRE(spinUntil([&] { return node.view.hasConfiguration() && node.view.hasTargets(); }));
    CHECK(node.store.calls.empty());
    CHECK(peer.asked == 1);
    CHECK(node.view.knowsNodes());
    CHECK(node.nodes.isAlive("n2", boot_clock::now()));
    CHECK_FALSE(node.nodes.isAlive("n3", boot_clock::now()));
    CHECK(node.nodes.knownCount() == 3);
}

TEST_CASE("test_node_that_starts_asks_the_store_if_no_seed_answers")
{
    starting_node node({ { "127.0.0.1", 1 }, { "127.0.0.1", 2 } }); // no listener at this address
    CHECK(node.store.calls.empty());
    CHECK(spinUntil([&] { return node.store.count("newest", store_topic::configuration) == 1; }));
    CHECK(node.store.count("newest", store_topic::targets) == 1);
}

TEST_CASE("test_seed_reads_the_store_at_once")
{
    starting_node node({ { "127.0.0.1", 8146 }, { "127.0.0.1", 1 } }, { "127.0.0.1", 8146 });
    CHECK(node.store.count("newest", store_topic::configuration) == 1);
}

TEST_CASE("test_seed_that_starts_gets_the_limits_of_targets_from_another_seed")
{
    // Guards against nodes that start from the store, which holds no limits, and learn them by exceeding them.
    peer_with_state peer;
    starting_node node({ ownAddress, { "127.0.0.1", 1 }, peer.address() }, ownAddress);
    CHECK(spinUntil([&] { return !node.decisions.limits().limited().empty(); }));
    CHECK(node.store.count("newest", store_topic::configuration) == 1);
    CHECK(peer.asked == 1);
}

TEST_CASE("test_seed_that_starts_before_the_others_asks_each_of_them_once")
{
    int asked = 0;
    http_server empty(
        {},
        [&](const http_request&, const std::shared_ptr<response_writer>& writer) {
            ++asked;
            writer->sendWhole({ 503, {}, "" });
        },
        [](error_kind, std::string_view) { return http_response {}; });
    REQUIRE(empty.listen(QHostAddress::LocalHost, 0));
    const endpoint other { "127.0.0.1", empty.port() };
    starting_node node({ other, ownAddress, other }, ownAddress);
    CHECK(spinUntil([&] { return asked == 2; }));
    const auto end = boot_clock::now() + 300ms;
    spinUntil([&] { return boot_clock::now() >= end; });
    CHECK(asked == 2);
}

TEST_CASE("test_node_that_starts_without_the_store_asks_a_peer_at_once")
{
    // Guards against a node that rejects requests for half a second longer than necessary after a restart during an
    // outage of the store: when its first reads fail, it must ask its peers at once rather than at the next check.
    peer_with_state peer;
    starting_node node({ peer.address(), ownAddress }, ownAddress);
    node.failFirstReads();
    CHECK(spinUntil([&] { return node.view.hasConfiguration() && node.view.hasTargets(); }));
    CHECK(node.view.configuration()->version() == 4);
    CHECK(peer.asked == 1); // both topics failed; one request was enough
}

TEST_CASE("test_up_to_date_node_sends_no_requests")
{
    peer_with_state peer;
    starting_node node({ peer.address(), ownAddress }, ownAddress);
    node.failFirstReads();
    REQUIRE(spinUntil([&] { return node.view.hasConfiguration(); }));
    node.pull.onStoreLost();
    QEventLoop loop;
    QTimer::singleShot(50, &loop, &QEventLoop::quit);
    loop.exec();
    CHECK(peer.asked == 1);
}

TEST_CASE("test_new_version_comes_from_the_peer_with_the_widest_link")
{
    // Guards against a version with many routes that is in force seconds late on most nodes: all nodes but the readers
    // request it at once over narrow links, uncompressed from the store or from a peer with a link as narrow.
    peer_with_state wide;
    peer_with_state narrow;
    starting_node node({});
    const auto addPeer = [&](const char* vm, const peer_with_state& peer, std::uint32_t megabits) {
        serving::node_state state;
        state.vm = vm;
        state.incarnation = 1;
        state.address = "127.0.0.1";
        state.adminPort = peer.address().port;
        state.configurationVersion = 4;
        state.linkMegabits = megabits;
        node.nodes.applyHeartbeat(state, boot_clock::now());
    };
    addPeer("narrow", narrow, 10);
    addPeer("wide", wide, 200);
    node.view.onPeerVersion(4);
    REQUIRE(spinUntil([&] { return node.view.hasConfiguration(); }));
    CHECK(wide.asked == 1);
    CHECK(narrow.asked == 0);
    CHECK(node.store.count("read", store_topic::configuration) == 0);
}

TEST_CASE("test_store_is_asked_when_the_peer_does_not_answer")
{
    starting_node node({});
    for (auto& call : std::vector<fake_store::call>(node.store.calls)) {
        if (call.what == "newest" && call.topic == store_topic::configuration)
            call.onNewest(newest_page { { { 3, "configuration", "3" } }, 4, false });
    }
    serving::node_state state;
    state.vm = "gone";
    state.incarnation = 1;
    state.address = "127.0.0.1";
    state.adminPort = 1; // no listener at this address
    state.configurationVersion = 4;
    node.nodes.applyHeartbeat(state, boot_clock::now());
    const auto before = node.store.count("read", store_topic::configuration);
    node.view.onPeerVersion(4);
    CHECK(spinUntil([&] { return node.store.count("read", store_topic::configuration) > before; }));
}

TEST_CASE("test_compressed_records_round_trip_and_malformed_bytes_are_rejected")
{
    std::string routes;
    for (int i = 0; i < 3000; ++i)
        routes += R"({"name":"r-)" + std::to_string(i) + R"(","hostname":"some.example","maxAttempts":2},)";
    const auto compressed = compress({ 7, "configuration", routes });
    CHECK(compressed.bytes.size() * 8 < routes.size());
    const auto decompressed = decompress(compressed);
    REQUIRE(decompressed);
    CHECK(decompressed->offset == 7);
    CHECK(decompressed->value == routes);
    // Truncated, empty, too short, of an implausible size, and not compressed at all.
    for (const auto& bytes : { compressed.bytes.substr(0, compressed.bytes.size() / 2), std::string(),
             std::string("abc"), std::string("\xff\xff\xff\xff") + compressed.bytes.substr(4), std::string(100, 'x') })
        CHECK_FALSE(decompress({ 7, "configuration", bytes }));
}
