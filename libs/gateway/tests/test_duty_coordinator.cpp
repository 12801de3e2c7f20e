// Tests the calls that one node makes for the fleet, with a store and a platform that the test controls.
#include "duty_coordinator.h"
#include "fake_ports.h"

#include "base/hash.h"
#include "http/http_server.h"

#include <QTcpServer>

#include <algorithm>

using namespace tamarack;
using namespace tamarack::tests;
using namespace std::chrono_literals;

namespace {

/// Answers each call to the platform with a status and records its target.
class fake_platform {
public:
    fake_platform()
        : m_server(
            {},
            [this](http_request request, std::shared_ptr<response_writer> caller) {
                calls.push_back(request.target);
                caller->sendWhole({ status, {}, {} });
            },
            [](error_kind, std::string_view) { return http_response {}; })
    {
        QTcpServer probe;
        probe.listen(QHostAddress::LocalHost, 0);
        address = { "127.0.0.1", probe.serverPort() };
        probe.close();
        m_server.listen(QHostAddress::LocalHost, address.port);
    }

    endpoint address;
    int status = 200;
    std::vector<std::string> calls;

private:
    http_server m_server;
};

class duty_node {
public:
    explicit duty_node(fake_platform& platform, std::string vm = "n1")
        : m_settings(settingsFor(platform, std::move(vm)))
        , m_decisions({ m_settings.vm, "a", 1, {}, {}, 1s })
        , usage(m_settings.vm, 1, m_settings.usageWindow, m_settings.usageLateness, [](const auto&, const auto&) {})
        , m_duties({ m_client, m_protocol, store, m_decisions, usage, m_counters, m_log, [this] { ++failedCalls; } },
              m_settings, 1)
    {
        self.vm = m_settings.vm;
        self.isReady = true;
        self.storeReach = serving::store_reach::reached;
    }

    /// Runs the event loop and the node until the condition holds.
    bool runUntil(const std::function<bool()>& condition)
    {
        const serving::serving_configuration configuration(1, {}, {}, {}, accounts());
        usage.configure(configuration);
        return spinUntil([&] {
            usage.tick(self, alive, boot_clock::now());
            m_duties.tick(self, alive, &configuration, boot_clock::now());
            return condition();
        });
    }

    /// The last call to the store, once there are `count` of this kind.
    fake_store::call& awaitCall(const std::string& what, std::size_t count)
    {
        REQUIRE(runUntil([&] { return store.count(what, store_topic::duties) == count; }));
        return store.calls.back();
    }

    static std::shared_ptr<const account_directory> accounts()
    {
        client_account account;
        account.name = "huka";
        return std::make_shared<const account_directory>(std::vector<client_account> { account });
    }

    serving::node_state self;
    std::vector<serving::node_state> alive;
    fake_store store;
    int failedCalls = 0;

private:
    static gateway_settings settingsFor(const fake_platform& platform, std::string vm)
    {
        gateway_settings out;
        out.vm = std::move(vm);
        out.platformCalls = platform.address;
        out.reportsUsage = true;
        out.usageWindow = 1s;
        out.usageLateness = 8s;
        return out;
    }

    gateway_settings m_settings;
    serving::dispatcher m_decisions;
    http_client m_client;
    fake_duties m_protocol;
    metrics m_counters;
    logger m_log { quietLog() };

public:
    usage_collection usage;

private:
    duty_coordinator m_duties;
};

}

TEST_CASE("test_usage_is_stated_in_the_store_before_it_is_reported")
{
    fake_platform platform;
    duty_node node(platform);
    node.awaitCall("newest", 1).onNewest(newest_page {});
    node.usage.requestBegan("huka");
    auto& append = node.awaitCall("appendAt", 1);
    CHECK(append.from == 0);
    CHECK(append.key.starts_with("usage/"));
    CHECK(platform.calls.empty());
    append.onAppendAt(placed_append { true, 0 });
    REQUIRE(node.runUntil([&] { return !platform.calls.empty(); }));
    CHECK(platform.calls.front().ends_with("/1"));
}

// Guards against a report that is sent although another node has stated something since.
TEST_CASE("test_a_rejected_statement_is_not_reported")
{
    fake_platform platform;
    duty_node node(platform);
    node.awaitCall("newest", 1).onNewest(newest_page {});
    node.awaitCall("appendAt", 1).onAppendAt(placed_append { false, 3 });
    node.awaitCall("newest", 2);
    CHECK(platform.calls.empty());
}

TEST_CASE("test_a_report_that_was_refused_is_repeated")
{
    fake_platform platform;
    platform.status = 429;
    duty_node node(platform);
    node.awaitCall("newest", 1).onNewest(newest_page {});
    node.awaitCall("appendAt", 1).onAppendAt(placed_append { true, 0 });
    REQUIRE(node.runUntil([&] { return platform.calls.size() >= 2; }));
    CHECK(platform.calls[0] == platform.calls[1]);
}

// Guards against two nodes that both report because each takes itself for the only one.
TEST_CASE("test_only_the_assigned_node_calls_the_store")
{
    fake_platform platform;
    duty_node first(platform, "n1");
    duty_node second(platform, "n2");
    first.alive = { second.self };
    second.alive = { first.self };
    first.runUntil(
        [&] { return first.store.count("newest", store_topic::duties) > 0 || boot_clock::now() > instant(); });
    second.runUntil([&] { return boot_clock::now() > instant(); });
    CHECK(first.store.count("newest", store_topic::duties) + second.store.count("newest", store_topic::duties) == 1);
    auto away = first.self;
    away.storeReach = serving::store_reach::lost;
    auto& successor = first.store.calls.empty() ? first : second;
    auto& holder = first.store.calls.empty() ? second : first;
    away = holder.self;
    away.storeReach = serving::store_reach::lost;
    successor.alive = { away };
    successor.awaitCall("newest", 1);
}

TEST_CASE("test_a_store_that_fails_is_asked_again")
{
    fake_platform platform;
    duty_node node(platform);
    node.awaitCall("newest", 1).onNewest(store_error::unreachable);
    CHECK(node.failedCalls == 1);
    node.awaitCall("newest", 2);
}
