// Provides a node with two targets, for tests of the flow of requests between a caller and targets.
#pragma once

#include "fake_ports.h"
#include "flow_table.h"

#include "http/http_server.h"

namespace tamarack::tests {

using namespace std::chrono_literals;

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

inline std::shared_ptr<const serving::serving_configuration> configurationWith(bool isStream)
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
    std::optional<serving::prompt> prompt; ///< of all requests; not set: they carry none
    http_server server { {},
        [this](http_request request, std::shared_ptr<response_writer> caller) {
            caller_request decoded;
            decoded.id = std::to_string(++accepted);
            decoded.text = prompt;
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
