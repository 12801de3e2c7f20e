// Tests calls that a peer passes on to targets.
#include "detour_server.h"
#include "fake_ports.h"
#include "target_calls.h"

#include <QTcpServer>

using namespace tamarack;
using namespace tamarack::tests;
using namespace std::chrono_literals;

namespace {

class passed_targets : public fake_targets {
public:
    bool answers(const http_response_head& head, std::string_view requestId) const override
    {
        const auto id = head.headers.find("Id");
        return id.empty() || id == requestId;
    }
    target_answer decode(const http_response_head& head) const override
    {
        auto out = fake_targets::decode(head);
        out.status = head.status;
        if (const auto rest = parseNumber(head.headers.find("Rest-Ms")))
            out.rest = std::chrono::milliseconds(*rest);
        out.bodyBytes = parseNumber(head.headers.find("Content-Length"));
        out.isDelimited = out.bodyBytes || head.headers.has("Transfer-Encoding");
        return out;
    }
};

/// A peer that passes calls on, a target, and a client in the place of the node that has lost the target.
struct detour_world {
    std::vector<http_request> arrived;
    std::function<void(const std::shared_ptr<response_writer>&)> respond;
    std::shared_ptr<response_writer> open; // of the last call
    http_server target;
    passed_targets protocol;
    serving::dispatcher decisions { {} };
    metrics counters;
    logger log { quietLog() };
    http_client client;
    target_notices notices { protocol, decisions, counters, log };
    detour_server peer { { client, protocol, decisions, notices, counters, log }, 2, "key" };
    endpoint address { "127.0.0.1", 0 };
    std::string key = "key"; // named in calls

    detour_world()
        : target(
            {},
            [this](const http_request& request, const std::shared_ptr<response_writer>& writer) {
                arrived.push_back(request);
                open = writer;
                if (respond)
                    respond(writer);
            },
            [](error_kind, std::string_view) { return http_response {}; })
    {
        REQUIRE(target.listen(QHostAddress::LocalHost, 0));
        list("t1", "127.0.0.1:" + std::to_string(target.port()));
        QTcpServer free;
        REQUIRE(free.listen(QHostAddress::LocalHost, 0));
        address.port = free.serverPort();
        free.close();
        REQUIRE(peer.listen(address));
    }

    void list(const std::string& name, const std::string& place)
    {
        serving::target_record record;
        record.name = name;
        record.service = "s";
        record.address = place;
        decisions.targetListed(record);
    }

    struct outcome {
        bool isEnded = false;
        bool hasFailed = false;
        std::optional<detour_answer> answer;
        std::string body;
        std::shared_ptr<http_exchange> exchange;
    };

    std::shared_ptr<outcome> send(const std::string& instance, http_request call = { "POST", "/x?y=1", {}, "body" })
    {
        auto out = std::make_shared<outcome>();
        exchange_handlers handlers;
        handlers.onHead = [out](const http_response_head& head) { out->answer = decodeDetourAnswer(head); };
        handlers.onBody = [out](std::string_view bytes) { out->body += bytes; };
        handlers.onEnd = [out] { out->isEnded = true; };
        handlers.onFailure = [out](const exchange_failure&) { out->isEnded = out->hasFailed = true; };
        out->exchange = client.start(
            address, encodeDetourCall(std::move(call), { instance, key, "r1", 2s }), {}, std::move(handlers));
        return out;
    }

    std::shared_ptr<outcome> call(const std::string& instance)
    {
        auto out = send(instance);
        REQUIRE(spinUntil([&] { return out->isEnded; }));
        return out;
    }
};

}

TEST_CASE("test_call_is_passed_on_unchanged_and_its_answer_too")
{
    detour_world world;
    world.respond = [](const auto& writer) {
        http_response response { 201, {}, "whole" };
        response.headers.set("Seal", "x");
        response.headers.set("Tamarack-Detour-Outcome", "unreached");
        writer->sendWhole(response);
    };
    http_request call { "PUT", "/a/b?c=d", {}, "bytes" };
    call.headers.set("Host", "h.example");
    call.headers.set("Model", "m");
    const auto outcome = world.send("t1", call);
    REQUIRE(spinUntil([&] { return outcome->isEnded; }));
    REQUIRE(world.arrived.size() == 1);
    const auto& arrived = world.arrived.front();
    CHECK(arrived.method == "PUT");
    CHECK(arrived.target == "/a/b?c=d");
    CHECK(arrived.body == "bytes");
    CHECK(arrived.headers.find("Host") == "h.example");
    CHECK(arrived.headers.find("Model") == "m");
    for (const auto& header : arrived.headers.entries)
        CHECK(header.name.find("Detour") == std::string::npos);
    REQUIRE(outcome->answer);
    CHECK(outcome->answer->outcome == detour_outcome::answered);
    CHECK(outcome->answer->head.status == 201);
    CHECK(outcome->answer->head.headers.find("Seal") == "x");
    CHECK(outcome->body == "whole");
}

TEST_CASE("test_call_without_the_key_of_the_peer_reaches_no_target")
{
    // Guards against callers that reach targets by the port for peers, where no API key is asked for.
    detour_world world;
    for (const char* wrong : { "", "ke", "kez", "key2" }) {
        world.key = wrong;
        const auto outcome = world.call("t1");
        REQUIRE(outcome->answer);
        CHECK(outcome->answer->outcome == detour_outcome::refused);
    }
    CHECK(world.arrived.empty());
    world.key = "key";
    world.respond = [](const auto& writer) { writer->sendWhole({ 200, {}, {} }); };
    CHECK(world.call("t1")->answer->outcome == detour_outcome::answered);
    for (const auto& header : world.arrived.front().headers.entries)
        CHECK(header.value.find("key") == std::string::npos); // targets do not learn it
}

TEST_CASE("test_peer_says_truly_that_it_has_not_sent_a_call")
{
    // Guards against a call that may be sent again although it has reached its target, or the other way round.
    detour_world world;
    world.respond = [](const auto& writer) { writer->sendWhole({ 200, {}, "a" }); };
    CHECK(world.call("t9")->answer->outcome == detour_outcome::unknown_target);
    world.list("t2", "127.0.0.1:9");
    CHECK(world.call("t2")->answer->outcome == detour_outcome::unreached);
    CHECK(world.decisions.paths().isLost(world.decisions.fleet().find("t2")));
    const auto row = world.decisions.fleet().find("t1");
    world.decisions.targetAskedForRest(row, 300ms, boot_clock::now());
    const auto resting = world.call("t1");
    CHECK(resting->answer->outcome == detour_outcome::resting);
    CHECK(resting->answer->rest > 0ms);
    CHECK(resting->answer->rest <= 300ms);
    CHECK(spinUntil([&] { return !world.decisions.fleet().isResting(row, boot_clock::now()); }));
    CHECK(world.arrived.empty());
    CHECK(world.call("t1")->answer->outcome == detour_outcome::answered);
    world.decisions.targetLeaves("t1");
    CHECK(world.call("t1")->answer->outcome == detour_outcome::leaving);
    world.peer.beginDrain();
    CHECK(world.call("t1")->answer->outcome == detour_outcome::refused);
    CHECK(world.arrived.size() == 1);
}

TEST_CASE("test_peer_learns_what_targets_say_in_answers_that_it_passes_on")
{
    // Guards against a peer that sends a target its own requests within a rest that the target has asked it for.
    detour_world world;
    world.respond = [](const auto& writer) {
        http_response response { 503, {}, {} };
        response.headers.set("Rest-Ms", "60000");
        response.headers.set("leaving", "1");
        writer->sendWhole(response);
    };
    CHECK(world.call("t1")->answer->head.status == 503);
    const auto row = world.decisions.fleet().find("t1");
    CHECK(world.decisions.fleet().isResting(row, boot_clock::now()));
    CHECK(world.decisions.fleet().isLeaving(row));
}

TEST_CASE("test_peer_passes_on_that_an_answer_was_cut")
{
    // Guards against a truncated answer that looks complete after a detour.
    detour_world world;
    world.respond = [](const auto& writer) { writer->abort(); };
    const auto lost = world.call("t1");
    REQUIRE(lost->answer);
    CHECK(lost->answer->outcome == detour_outcome::broken);
    CHECK(lost->answer->isClosedByTarget);
    world.respond = [](const auto& writer) {
        writer->startStream({ 200, {} });
        writer->write("part");
        writer->abortWhenWritten();
    };
    const auto cut = world.call("t1");
    CHECK(cut->hasFailed);
    CHECK(cut->body == "part");
}

TEST_CASE("test_call_ends_at_the_target_when_the_node_that_sent_it_closes")
{
    // Guards against targets that work on for a caller who has left, behind a detour.
    detour_world world;
    bool isClosed = false;
    world.respond = [&](const auto& writer) {
        writer->startStream({ 200, {} });
        writer->write("first");
        writer->onClosed = [&] { isClosed = true; };
    };
    const auto outcome = world.send("t1");
    REQUIRE(spinUntil([&] { return outcome->body == "first"; }));
    CHECK(world.peer.callsInProgress() == 1);
    outcome->exchange->cancel();
    CHECK(spinUntil([&] { return isClosed; }));
    CHECK(world.peer.callsInProgress() == 0);
}

TEST_CASE("test_peer_refuses_calls_above_its_limit")
{
    detour_world world;
    const auto first = world.send("t1");
    const auto second = world.send("t1");
    REQUIRE(spinUntil([&] { return world.arrived.size() == 2; }));
    CHECK(world.call("t1")->answer->outcome == detour_outcome::refused);
    first->exchange->cancel();
    REQUIRE(spinUntil([&] { return world.peer.callsInProgress() == 1; }));
    world.respond = [](const auto& writer) { writer->sendWhole({ 200, {}, "a" }); };
    CHECK(world.call("t1")->answer->outcome == detour_outcome::answered);
    second->exchange->cancel();
}

TEST_CASE("test_answer_that_a_target_ends_by_closing_is_marked_after_a_detour")
{
    detour_answer answer;
    answer.isUndelimited = true;
    answer.head = { 200, {} };
    answer.head.headers.set("Connection", "close");
    const auto read = decodeDetourAnswer(encodeDetourAnswer(answer));
    REQUIRE(read);
    CHECK(read->isUndelimited);
    CHECK_FALSE(read->head.headers.has("Connection"));
}

TEST_CASE("test_response_without_a_peers_headers_is_no_answer_to_a_detour")
{
    CHECK_FALSE(decodeDetourAnswer({ 200, {} }));
    http_response_head unknown { 200, {} };
    unknown.headers.set("Tamarack-Detour-Outcome", "maybe");
    CHECK_FALSE(decodeDetourAnswer(unknown));
}

TEST_CASE("test_call_of_a_node_that_has_lost_the_target_goes_by_a_peer")
{
    // Guards against KV caches that nobody releases, and caches that nobody sees, while a node has lost its paths.
    detour_world world;
    world.respond = [](const auto& writer) { writer->sendWhole({ 200, {}, "events" }); };
    serving::dispatcher own { {} };
    serving::target_record record;
    record.name = "t1";
    record.service = "s";
    record.address = "127.0.0.1:9";
    own.targetListed(record);
    own.paths().setPeers({ { "peer", "a", toString(world.address), world.key } });
    target_calls calls(world.client, own);
    const auto row = own.fleet().find("t1");
    const auto fetch = [&] {
        std::optional<http_response> out;
        bool isDone = false;
        calls.fetch(row, { "GET", "/events", {}, {} }, {}, [&](const http_response* response, const exchange_failure&) {
            isDone = true;
            if (response)
                out = *response;
        });
        REQUIRE(spinUntil([&] { return isDone; }));
        return out;
    };
    CHECK_FALSE(fetch());
    CHECK(own.paths().isLost(row));
    const auto passed = fetch();
    REQUIRE(passed);
    CHECK(passed->body == "events");
    CHECK(world.arrived.size() == 1);
    CHECK(own.paths().isLost(row));
    world.decisions.targetAskedForRest(world.decisions.fleet().find("t1"), 10s, boot_clock::now());
    CHECK_FALSE(fetch());
    CHECK(own.fleet().isResting(row, boot_clock::now()));
    CHECK(world.arrived.size() == 1);
}
