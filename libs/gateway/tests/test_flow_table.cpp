// Tests the flow of requests between a caller and targets that declare in their answers that they leave.
#include "detour_protocol.h"
#include "fake_ports.h"
#include "flow_table.h"

#include "http/http_server.h"

using namespace tamarack;
using namespace tamarack::tests;
using namespace std::chrono_literals;

namespace {

class fake_relayed_targets : public fake_targets {
public:
    target_answer decode(const http_response_head& head) const override
    {
        auto out = fake_targets::decode(head);
        out.status = head.status;
        out.isMisdirected = head.status == 421;
        out.hasNotRun = head.headers.has("not-run");
        out.bodyBytes = parseNumber(head.headers.find("Content-Length"));
        return out;
    }
    http_request releaseCache(std::string_view, std::string_view) const override { return { "DELETE", "/", {}, {} }; }
};

class refusing_callers : public fake_callers {
public:
    http_response refusal(error_kind, std::string_view, duration) const override { return { 503, {}, {} }; }
};

struct fake_target {
    http_response answer;
    bool isStream = false;
    int requests = 0;
    std::shared_ptr<response_writer> openStream; // the last stream, which has had one event
    http_server server;

    fake_target()
        : server(
            {},
            [this](const http_request&, const std::shared_ptr<response_writer>& writer) {
                ++requests;
                if (!isStream)
                    return writer->sendWhole(answer);
                openStream = writer;
                writer->startStream({ answer.status, answer.headers });
                writer->write("id: 1\ndata: a\n\n");
            },
            [](error_kind, std::string_view) { return http_response {}; })
    {
        REQUIRE(server.listen(QHostAddress::LocalHost, 0));
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(server.port()); }
};

std::shared_ptr<const serving::serving_configuration> configurationWith(bool isStream)
{
    serving::route_rule route;
    route.name = "look-up";
    route.shares = { { "plain", 1 } };
    route.isRepeatable = true;
    route.isStream = isStream;
    route.maxAttempts = 2;
    route.timeout = 5s;
    route.aim = 1s;
    route.gapAim = 1s;
    serving::service_profile plain;
    plain.name = "plain";
    return std::make_shared<const serving::serving_configuration>(1, std::vector<serving::route_rule> { route },
        std::vector<serving::service_profile> { plain }, serving::caller_limits {});
}

/// A node with two targets, one of which declares that it leaves.
struct flow_world {
    fake_target leaving;
    fake_target staying;
    std::shared_ptr<const serving::serving_configuration> configuration;
    fake_relayed_targets protocol;
    refusing_callers callers;
    metrics counters;
    logger log { quietLog() };
    http_client client;
    serving::dispatcher decisions { [] {
        serving::dispatcher_settings out;
        out.retries.slack = 1000;
        return out;
    }() };
    target_notices notices { protocol, decisions, counters, log };
    flow_services services { client, decisions, callers, protocol, counters, log, notices, [](const std::string&) {} };
    flow_table flows { services, [] {} };
    int accepted = 0;
    http_server server { {},
        [this](http_request request, std::shared_ptr<response_writer> caller) {
            caller_request decoded;
            decoded.id = std::to_string(++accepted);
            flows.submit({ std::move(request), decoded, configuration, &configuration->routes().front(), nullptr,
                std::move(caller) });
        },
        [](error_kind, std::string_view) { return http_response {}; } };

    explicit flow_world(bool isStream = false)
        : configuration(configurationWith(isStream))
    {
        decisions.setKnownNodes(1);
        leaving.answer.headers.set("leaving", "1");
        list("leaving", leaving);
        list("staying", staying);
        REQUIRE(server.listen(QHostAddress::LocalHost, 0));
    }

    void list(const std::string& name, const fake_target& target)
    {
        serving::target_record record;
        record.name = name;
        record.service = "plain";
        record.address = target.address();
        record.slots = 8;
        decisions.targetListed(record);
    }
    void send(std::function<void(const http_response*)> done)
    {
        client.fetch({ "127.0.0.1", server.port() }, { "GET", "/", {}, {} }, {},
            [done = std::move(done)](const http_response* response, const exchange_failure&) { done(response); });
    }
    /// Returns the status of the answer.
    int sendAndWait()
    {
        int status = -1;
        send([&](const http_response* response) { status = response ? response->status : 0; });
        spinUntil([&] {
            serving::command_list commands;
            decisions.tick(boot_clock::now(), commands);
            flows.execute(std::move(commands));
            return status >= 0;
        });
        return status;
    }
    void sendUntilLeavingTargetIsCalled()
    {
        for (int i = 0; i < 100 && leaving.requests == 0; ++i)
            sendAndWait();
        REQUIRE(leaving.requests == 1);
    }
};

}

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
