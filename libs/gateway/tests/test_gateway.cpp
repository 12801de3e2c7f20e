// Tests the start of a node with fake interfaces.
#include "fake_ports.h"

using namespace tamarack;
using namespace tamarack::tests;

TEST_CASE("test_nodes_that_start_together_find_each_other")
{
    // Guards against nodes that start together, do not know each other and announce only a part of the nodes to
    // callers. It happens if each reads the list of nodes before the others have registered. Of two nodes that register
    // before reading, the later one finds the other.
    fake_store store;
    const fake_decoder decoder;
    const fake_callers callers;
    const fake_targets targets;
    http_client client;
    gateway_settings settings;
    settings.vm = "n1";
    settings.peers = { "127.0.0.1", 0 };
    gateway node(settings, { callers, targets, decoder, store }, client, [] {});
    REQUIRE(node.start().empty());
    REQUIRE(spinUntil([&] { return store.count("append", store_topic::nodes) == 1; }));
    CHECK(store.count("newest", store_topic::nodes) == 0);
    for (const auto& call : std::vector<fake_store::call>(store.calls)) {
        if (call.what == "append")
            call.onAppend(std::int64_t { 4 });
    }
    CHECK(spinUntil([&] { return store.count("newest", store_topic::nodes) == 1; }));
}

TEST_CASE("test_registration_is_tried_again")
{
    fake_store store;
    const fake_decoder decoder;
    const fake_callers callers;
    const fake_targets targets;
    http_client client;
    gateway_settings settings;
    settings.vm = "n1";
    settings.peers = { "127.0.0.1", 0 };
    gateway node(settings, { callers, targets, decoder, store }, client, [] {});
    REQUIRE(node.start().empty());
    for (const auto& call : std::vector<fake_store::call>(store.calls)) {
        if (call.what == "append")
            call.onAppend(store_error::unreachable);
    }
    CHECK(spinUntil([&] { return store.count("append", store_topic::nodes) == 2; }));
}
