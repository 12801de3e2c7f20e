// A node that lacks something asks its peers.
#include "fake_ports.h"
#include "state_pull.h"

#include "http/http_server.h"

using namespace tamarack;
using namespace tamarack::tests;
using namespace std::chrono_literals;

namespace {

/// A peer that knows configuration 4 and one target.
struct knowing_peer {
    int asked = 0;
    http_server server;

    knowing_peer()
        : server(
            {},
            [this](const http_request&, const std::shared_ptr<response_writer>& asker) {
                ++asked;
                shared_state state;
                state.configuration = keyed_record { 3, "configuration", "4" };
                serving::target_record target;
                target.instance = "t1";
                target.service = "chat";
                state.targets = { { 1, "t1", target } };
                asker->sendWhole({ 200, {}, encodeState(state) });
            },
            [](error_kind, std::string_view) { return http_response {}; })
    {
        REQUIRE(server.listen(QHostAddress::LocalHost, 0));
    }
    endpoint address() const { return { "127.0.0.1", server.port() }; }
};

struct starting_node {
    /// Longer than any test: what happens, happens at once.
    static constexpr duration interval = 3600s;

    fake_store store;
    fake_decoder decoder;
    serving::dispatcher decisions { {} };
    serving::node_directory nodes { "n1", {} };
    metrics counters;
    logger log { quiet() };
    http_client client;
    shared_view view;
    state_pull pull;

    static logger_options quiet()
    {
        logger_options out;
        out.lowest = log_level::error;
        out.descriptor = 2;
        return out;
    }

    explicit starting_node(std::vector<endpoint> seeds)
        : view({ decoder, store, decisions, nodes, counters, log }, {},
            { [](const auto&) {}, [](const auto&) {}, [this] { pull.storeLost(); } })
        , pull({ client, view, nodes, log }, interval, {}, std::move(seeds))
    {
        pull.start();
        view.start();
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

TEST_CASE("test_node_that_starts_without_the_store_asks_a_peer_at_once")
{
    // Symptom: a node restarted during an outage of the store refuses all for half a second more than it must.
    // Sequence: the store refuses its first reads; peers know all that it needs.
    // Cause: peers are asked only when the next look is due.
    knowing_peer peer;
    starting_node node({ peer.address() });
    node.failFirstReads();
    CHECK(spinUntil([&] { return node.view.hasConfiguration() && node.view.hasTargets(); }));
    CHECK(node.view.configuration()->version() == 4);
    CHECK(peer.asked == 1); // both topics failed; one question was enough
}

TEST_CASE("test_node_that_lacks_nothing_asks_nobody")
{
    knowing_peer peer;
    starting_node node({ peer.address() });
    node.failFirstReads();
    REQUIRE(spinUntil([&] { return node.view.hasConfiguration(); }));
    node.pull.storeLost();
    QEventLoop loop;
    QTimer::singleShot(50, &loop, &QEventLoop::quit);
    loop.exec();
    CHECK(peer.asked == 1);
}
