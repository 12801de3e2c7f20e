// Tests of callers' requests and calls of peers whose targets send without end. Each guards against a node that holds
// what such a target sends until it is killed for its memory use, or that reports a request as not run that may have
// run.
#include "../../http/tests/endless_peer.h"
#include "detour_server.h"
#include "flow_world.h"
#include "target_calls.h"

#include <QTcpServer>

using namespace tamarack;
using namespace tamarack::tests;
using namespace std::chrono_literals;

namespace {

constexpr qint64 maxHeldBytes = 1024 * 1024;
const QByteArray chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const QByteArray plainHead = "HTTP/1.1 200 OK\r\n\r\n";

/// Replaces the targets of the world by one that sends without end.
void listOnly(flow_world& world, const endless_peer& peer)
{
    world.decisions.targetGone("leaving", boot_clock::now());
    world.decisions.targetGone("staying", boot_clock::now());
    serving::target_record record;
    record.name = "endless";
    record.service = "plain";
    record.address = toString(peer.address());
    record.slots = 8;
    world.decisions.targetListed(record);
}

void checkEnded(const endless_peer& peer)
{
    CHECK(spinUntil([&] { return peer.isClosed(); }));
    CHECK(peer.sent <= peer.connections * (maxHeldBytes + kernelBufferBytes));
}

double overLimit(const flow_world& world) { return world.counters.counterValue("tamarack_answers_over_limit_total"); }

}

TEST_CASE("test_endless_answers_end_the_attempt_and_the_caller_is_refused")
{
    const std::vector<std::pair<QByteArray, QByteArray>> answers { { "HTTP/1.1 200 OK\r\nA: ", "x" },
        { "", "HTTP/1.1 103 Early Hints\r\n\r\n" }, { chunkedHead + "5;a=", "x" },
        { chunkedHead + "5\r\nhello\r\n0\r\nA: ", "x" }, { "HTTP/1.1 500 Failed\r\n\r\n", "x" } };
    for (const auto& [beginning, unit] : answers) {
        INFO(beginning.toStdString() << unit.toStdString());
        endless_peer peer(beginning, unit);
        flow_world world;
        listOnly(world, peer);
        CHECK(world.sendAndWait() == 503);
        checkEnded(peer);
        CHECK(overLimit(world) == peer.connections);
    }
}

TEST_CASE("test_stream_event_that_never_ends_ends_the_attempt")
{
    for (const bool hasWholeEvent : { false, true }) {
        INFO(hasWholeEvent);
        endless_peer peer(plainHead + (hasWholeEvent ? "id: 1\ndata: a\n\ndata: " : "data: "), "x");
        flow_world world(true);
        listOnly(world, peer);
        // The caller has part of the answer and must see that it is incomplete, or is refused.
        CHECK(world.sendAndWait() == (hasWholeEvent ? 0 : 503));
        checkEnded(peer);
        CHECK(overLimit(world) == peer.connections);
    }
}

TEST_CASE("test_endless_answer_of_a_prefill_ends_it_and_the_request_is_served_without")
{
    // Guards against a node that collects what an engine sends as the answer of a prefill.
    for (const auto& [beginning, unit] :
        std::vector<std::pair<QByteArray, QByteArray>> { { plainHead, "x" }, { chunkedHead, "5\r\nhello\r\n" },
            { "HTTP/1.1 200 OK\r\nA: ", "x" }, { "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "x" } }) {
        INFO(beginning.toStdString() << unit.toStdString());
        endless_peer prefill(beginning, unit);
        flow_world world(true);
        auto route = world.configuration->routes().front();
        route.carriesPrompt = true;
        serving::service_profile engines;
        engines.name = "plain";
        serving::engine_profile profile;
        profile.cacheTokens = 400'000;
        profile.bytesPerToken = 35'000;
        profile.linkMegabits = 300'000;
        profile.handleTimeToLive = 5s;
        engines.engine = profile;
        world.configuration
            = std::make_shared<const serving::serving_configuration>(2, std::vector<serving::route_rule> { route },
                std::vector<serving::service_profile> { engines }, serving::caller_limits {});
        world.prompt = serving::prompt { { { 1, 400 }, { 2, 5600 } }, 6000, 20 };
        world.decisions.targetGone("leaving", boot_clock::now());
        world.decisions.targetGone("staying", boot_clock::now());
        world.staying.isStream = true;
        const auto list = [&](const char* name, const std::string& address, serving::target_role role) {
            serving::target_record record;
            record.name = name;
            record.service = "plain";
            record.address = address;
            record.role = role;
            record.slots = 8;
            world.decisions.targetListed(record);
        };
        list("prefill", toString(prefill.address()), serving::target_role::prefill);
        list("decode", world.staying.address(), serving::target_role::decode);
        int status = -1;
        world.send([&](const http_response* response) { status = response ? response->status : 0; });
        REQUIRE(spinUntil([&] {
            serving::command_list commands;
            world.decisions.tick(boot_clock::now(), commands);
            world.flows.execute(std::move(commands));
            if (world.staying.openStream)
                world.staying.openStream->finish();
            return status >= 0;
        }));
        CHECK(status == 200);
        CHECK(prefill.connections > 0);
        checkEnded(prefill);
        CHECK(overLimit(world) == prefill.connections);
    }
}

TEST_CASE("test_endless_answer_whose_caller_has_left_ends_the_attempt")
{
    // Guards against a non-idempotent request, which goes on without its caller, whose answer is read for ever.
    endless_peer peer(plainHead, "x");
    flow_world world;
    auto route = world.configuration->routes().front();
    route.isRepeatable = false;
    serving::service_profile plain;
    plain.name = "plain";
    world.configuration
        = std::make_shared<const serving::serving_configuration>(2, std::vector<serving::route_rule> { route },
            std::vector<serving::service_profile> { plain }, serving::caller_limits {});
    listOnly(world, peer);
    exchange_handlers handlers;
    bool hasBegun = false;
    handlers.onBody = [&](std::string_view) { hasBegun = true; };
    const auto call
        = world.client.start({ "127.0.0.1", world.server.port() }, { "GET", "/", {}, {} }, {}, std::move(handlers));
    REQUIRE(spinUntil([&] { return hasBegun; }));
    call->cancel();
    CHECK(spinUntil([&] { return peer.isClosed(); }));
    CHECK(overLimit(world) == 1);
}

TEST_CASE("test_endless_answer_to_a_call_of_a_peer_is_broken")
{
    // Guards against a detour that calls a request not sent whose target has answered without end.
    for (const auto& beginning : { QByteArray("HTTP/1.1 200 OK\r\nA: "), chunkedHead + "5;a=" }) {
        INFO(beginning.toStdString());
        endless_peer target(beginning, "x");
        flow_world world;
        listOnly(world, target);
        detour_server passing(
            { world.client, world.protocol, world.decisions, world.notices, world.counters, world.log }, 2, "key");
        QTcpServer free;
        REQUIRE(free.listen(QHostAddress::LocalHost, 0));
        const endpoint address { "127.0.0.1", free.serverPort() };
        free.close();
        REQUIRE(passing.listen(address));
        bool isDone = false;
        bool isWhole = false;
        std::optional<detour_answer> answer;
        exchange_options options;
        options.limits.collectTime = 5s;
        world.client.fetch(address, encodeDetourCall({ "POST", "/x", {}, "b" }, { "endless", "key", "r1", 2s }),
            options, [&](const http_response* response, const exchange_failure&) {
                isDone = true;
                isWhole = response != nullptr;
                if (response)
                    answer = decodeDetourAnswer({ response->status, response->headers });
            });
        REQUIRE(spinUntil([&] { return isDone; }));
        CHECK((!isWhole || (answer && answer->outcome == detour_outcome::broken)));
        checkEnded(target);
    }
}

TEST_CASE("test_endless_answer_to_a_poll_ends_the_call")
{
    endless_peer peer(plainHead, "x");
    flow_world world;
    listOnly(world, peer);
    target_calls calls(world.client, world.decisions);
    bool isDone = false;
    bool isWhole = false;
    exchange_failure failure;
    calls.fetch(world.decisions.fleet().find("endless"), { "GET", "/events", {}, {} }, {},
        [&](const http_response* response, const exchange_failure& given) {
            isDone = true;
            isWhole = response != nullptr;
            failure = given;
        });
    REQUIRE(spinUntil([&] { return isDone; }));
    CHECK_FALSE(isWhole);
    CHECK(failure.isOverLimit);
    CHECK(failure.mayHaveReachedPeer);
    CHECK(spinUntil([&] { return peer.isClosed(); }));
}
