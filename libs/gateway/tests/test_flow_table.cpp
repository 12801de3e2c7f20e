// Tests the flow of requests between a caller and targets that declare in their answers that they leave.
#include "detour_protocol.h"
#include "flow_world.h"

using namespace tamarack;
using namespace tamarack::tests;
using namespace std::chrono_literals;

// Guards against new work for a target that has declared in any answer that it leaves.
TEST_CASE("test_answer_that_declares_leaving_keeps_later_requests_away")
{
    for (const int status : { 200, 404, 421, 500, 503 }) {
        INFO(status);
        flow_world world;
        world.leaving.answer.status = status;
        if (status == 503)
            world.leaving.answer.headers.set("not-run", "1");
        world.sendUntilLeavingTargetIsCalled();
        for (int i = 0; i < 20; ++i)
            CHECK(world.sendAndWait() == 200);
        world.decisions.targetGone("staying", boot_clock::now());
        CHECK(world.sendAndWait() == 503);
        CHECK(world.leaving.requests == 1);
    }
}

// Guards against a declaration that counts from the end of a stream on, and against a stream that is cut by it.
TEST_CASE("test_stream_whose_head_declares_leaving_goes_on_while_later_requests_stay_away")
{
    flow_world world(true);
    world.leaving.isStream = true;
    world.staying.isStream = true;
    std::string body;
    bool isAnswered = false;
    world.decisions.targetGone("staying", boot_clock::now());
    world.send([&](const http_response* response) {
        isAnswered = true;
        body = response ? response->body : std::string();
    });
    const auto& fleet = world.decisions.fleet();
    REQUIRE(spinUntil([&] { return fleet.isLeaving(fleet.find("leaving")); }));
    world.list("staying", world.staying);
    for (int i = 1; i <= 5; ++i) {
        world.send([](const http_response*) {});
        REQUIRE(spinUntil([&] { return world.staying.requests == i; }));
        world.staying.openStream->finish();
    }
    CHECK(world.leaving.requests == 1);
    CHECK_FALSE(isAnswered);
    world.leaving.openStream->write("id: 2\ndata: b\n\n");
    world.leaving.openStream->finish();
    REQUIRE(spinUntil([&] { return isAnswered; }));
    CHECK(body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against a declaration that is missed because it came with the answer to a call that carries no request.
TEST_CASE("test_released_cache_whose_answer_declares_leaving_keeps_later_requests_away")
{
    flow_world world;
    world.flows.execute({ serving::release_cache { { world.decisions.fleet().find("leaving"), "cache" } } });
    REQUIRE(spinUntil([&] { return world.leaving.requests == 1; }));
    REQUIRE(spinUntil([&] { return world.decisions.fleet().isLeaving(world.decisions.fleet().find("leaving")); }));
    for (int i = 0; i < 20; ++i)
        CHECK(world.sendAndWait() == 200);
    CHECK(world.leaving.requests == 1);
}

namespace {

/// A peer that passes calls on and whose targets fail in one way.
struct failing_peer {
    int calls = 0;
    detour_answer answer;
    http_server server { {},
        [this](const http_request&, const std::shared_ptr<response_writer>& writer) {
            ++calls;
            const auto head = encodeDetourAnswer(answer);
            if (answer.outcome != detour_outcome::answered)
                return writer->sendWhole({ head.status, head.headers, {} });
            writer->startStream(head);
            writer->write("id: 1\ndata: a\n\n");
            writer->abortWhenWritten();
        },
        [](error_kind, std::string_view) { return http_response {}; } };

    explicit failing_peer(flow_world& world)
    {
        REQUIRE(server.listen(QHostAddress::LocalHost, 0));
        const auto now = boot_clock::now();
        for (std::uint32_t row = 0; row < world.decisions.fleet().size(); ++row)
            world.decisions.paths().failed({ row }, serving::path_failure::refused, now, now);
        world.decisions.paths().setPeers({ { "peer", "", "127.0.0.1:" + std::to_string(server.port()) } });
    }
};

}

TEST_CASE("test_peer_that_passes_on_a_cut_answer_gets_further_calls")
{
    // Guards against refusals by a node whose only peer is left because a target behind it has cut an answer.
    flow_world world(true);
    failing_peer peer(world);
    peer.answer.head = { 200, {} };
    world.sendAndWait();
    CHECK(peer.calls == 2);
    CHECK(world.decisions.paths().detourFor({ 0 }, boot_clock::now()));
}

TEST_CASE("test_target_that_loses_answers_behind_a_peer_counts_as_failing")
{
    // Guards against a failing target that is preferred to sound ones because calls to it take a detour.
    flow_world world;
    failing_peer peer(world);
    peer.answer.outcome = detour_outcome::broken;
    world.sendAndWait();
    CHECK(peer.calls == 2);
    CHECK(world.decisions.takeHealthReports(boot_clock::now()).size() == 2);
}

// Guards against begun streams that the exit of a stopping node cuts.
TEST_CASE("test_stream_that_the_exit_might_cut_begins_only_once_it_is_whole")
{
    flow_world world(true);
    world.decisions.targetLeaves("leaving");
    world.staying.isStream = true;
    world.services.onRequestBegan = [&](const std::string&) {
        const auto now = boot_clock::now();
        world.decisions.stop({ now + 1s, now });
    };
    std::optional<http_response> answer;
    bool isDone = false;
    world.send([&](const http_response* response) {
        isDone = true;
        if (response)
            answer = *response;
    });
    spinUntil([&] { return world.decisions.untilExit(boot_clock::now()).has_value(); });
    SECTION("it becomes whole in time")
    {
        world.staying.openStream->write("id: 2\ndata: b\n\n");
        world.staying.openStream->finish();
        spinUntil([&] { return isDone; });
        REQUIRE(answer);
        CHECK(answer->status == 200);
        CHECK(answer->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    }
    SECTION("its target is silent until the exit")
    {
        serving::command_list commands;
        world.decisions.endAll(boot_clock::now() + 1s, commands);
        world.flows.execute(std::move(commands));
        spinUntil([&] { return isDone; });
        REQUIRE(answer);
        CHECK(answer->status == 503);
    }
    SECTION("its target breaks off and another one writes it")
    {
        const auto first = world.staying.openStream;
        world.decisions.stop({ boot_clock::now() + 10s, boot_clock::now() });
        world.services.onRequestBegan = [](const std::string&) {};
        fake_target other;
        other.isStream = true;
        world.list("other", other);
        first->abort();
        spinUntil([&] { return other.openStream != nullptr; });
        other.openStream->finish();
        spinUntil([&] { return isDone; });
        REQUIRE(answer);
        CHECK(answer->body == "id: 1\ndata: a\n\n");
    }
}
