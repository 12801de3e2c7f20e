// Tests that a target which rests or names a limit gets none of the calls that a node makes besides attempts, unless it
// has a permit: cache polls, role reports, orders and releases of KV caches.
#include "cache_monitor.h"
#include "fake_ports.h"
#include "flow_table.h"
#include "role_coordinator.h"

#include "http/http_server.h"

#include <map>

using namespace tamarack;
using namespace tamarack::tests;
using namespace std::chrono_literals;

namespace {

class resting_protocol : public fake_targets {
public:
    target_answer decode(const http_response_head& head) const override
    {
        target_answer out;
        out.status = head.status;
        if (const auto rest = parseNumber(head.headers.find("Rest-Ms")))
            out.rest = std::chrono::milliseconds(*rest);
        return out;
    }
    http_request releaseCache(std::string_view, std::string_view) const override
    {
        return { "GET", "/release", {}, {} };
    }
    http_request cacheEvents(std::uint64_t, duration, std::string_view) const override
    {
        return { "GET", "/events", {}, {} };
    }
    std::optional<cache_report> decodeCacheEvents(std::string_view) const override { return cache_report {}; }
    http_request roleReport(std::string_view) const override { return { "GET", "/report", {}, {} }; }
    std::optional<role_report> decodeRoleReport(std::string_view) const override
    {
        return role_report { serving::target_role::decode, false, 3, 0 };
    }
    http_request orderRole(const role_order&) const override { return { "GET", "/order", {}, {} }; }
    order_answer decodeOrderAnswer(int) const override { return order_answer::accepted; }
};

/// Three engines at one address, a server that counts calls by path and may turn all of them away.
struct resting_fixture {
    std::map<std::string, int> calls;
    bool turnsAway = false;
    bool polls = true;
    http_server server;
    resting_protocol protocol;
    fake_callers callers;
    fake_store store;
    serving::dispatcher decisions { {} };
    metrics counters;
    logger log { quietLog() };
    http_client client;
    target_notices notices { protocol, decisions, counters, log };
    flow_services services { client, decisions, callers, protocol, counters, log, notices, [](const std::string&) {} };
    cache_monitor caches { client, protocol, decisions, counters, log, notices,
        [](const std::vector<cache_update>&) {} };
    role_coordinator roles { { client, protocol, store, decisions, counters, log, notices, [] {}, [] {} }, "n1", {} };
    flow_table flows { services, [] {} };

    resting_fixture()
        : server(
            {},
            [this](const http_request& request, const std::shared_ptr<response_writer>& writer) {
                ++calls[std::string(request.path())];
                http_response response { turnsAway ? 503 : 200, {}, {} };
                if (turnsAway)
                    response.headers.set("Rest-Ms", "600000");
                writer->sendWhole(response);
            },
            [](error_kind, std::string_view) { return http_response {}; })
    {
        REQUIRE(server.listen(QHostAddress::LocalHost, 0));
        for (const char* name : { "e1", "e2", "e3" }) {
            serving::target_record record;
            record.name = name;
            record.service = "engines";
            record.address = "127.0.0.1:" + std::to_string(server.port());
            record.role = serving::target_role::decode;
            decisions.targetListed(record);
        }
    }

    void rest(duration length)
    {
        for (std::uint32_t row = 0; row < decisions.fleet().size(); ++row)
            decisions.targetAskedForRest({ row }, length, boot_clock::now());
    }
    void limit(double perSecond)
    {
        const auto now = boot_clock::now();
        for (std::uint32_t row = 0; row < decisions.fleet().size(); ++row)
            decisions.limits().answered({ row }, request_rate { perSecond }, now, now);
    }
    void tick()
    {
        serving::node_state self;
        self.vm = "n1";
        self.isReady = true;
        self.storeReach = serving::store_reach::reached;
        if (polls)
            caches.tick(self, {}, boot_clock::now());
        roles.tick(self, {}, boot_clock::now());
    }
    void tickFor(duration length)
    {
        const auto end = boot_clock::now() + length;
        spinUntil([&] {
            tick();
            return boot_clock::now() >= end;
        });
    }
    template <class Condition> bool tickUntil(Condition condition)
    {
        return spinUntil([&] {
            tick();
            return condition();
        });
    }
    int restingEngines() const
    {
        int out = 0;
        for (std::uint32_t row = 0; row < decisions.fleet().size(); ++row)
            out += decisions.fleet().isResting({ row }, boot_clock::now());
        return out;
    }
    /// Runs until the node has announced the change of an engine's role.
    void announceChange()
    {
        REQUIRE(tickUntil([&] { return store.count("appendAt", store_topic::orders) > 0; }));
        for (const auto& call : std::vector<fake_store::call>(store.calls))
            call.onAppendAt(placed_append { true, 7 });
        REQUIRE(tickUntil([&] { return roles.changingEngines().size() == 1; }));
    }
};

}

TEST_CASE("test_engine_that_rests_is_not_polled")
{
    resting_fixture node;
    node.rest(500ms);
    node.tickFor(300ms);
    CHECK(node.calls["/events"] == 0);
    CHECK(node.tickUntil([&] { return node.calls["/events"] >= 3; }));
}

TEST_CASE("test_rest_that_an_engine_asks_for_in_answer_to_a_poll_holds_for_everything")
{
    resting_fixture node;
    node.turnsAway = true;
    CHECK(node.tickUntil([&] { return node.restingEngines() == 3; }));
    const auto polls = node.calls["/events"];
    node.tickFor(1500ms);
    CHECK(node.calls["/events"] == polls);
}

TEST_CASE("test_engine_that_rests_gets_no_order_that_was_decided_before")
{
    resting_fixture node;
    node.announceChange();
    node.rest(10min);
    REQUIRE(node.tickUntil([&] { return node.roles.changingEngines().empty(); }));
    CHECK(node.calls["/report"] == 0);
    CHECK(node.calls["/order"] == 0);
}

TEST_CASE("test_engine_that_asks_for_rest_in_answer_to_a_report_gets_no_order")
{
    resting_fixture node;
    node.polls = false;
    node.announceChange();
    node.turnsAway = true;
    REQUIRE(node.tickUntil([&] { return node.roles.changingEngines().empty(); }));
    CHECK(node.calls["/report"] == 1);
    CHECK(node.calls["/order"] == 0);
    CHECK(node.restingEngines() == 1);
}

TEST_CASE("test_kv_cache_of_an_engine_that_rests_is_released_after_the_rest")
{
    resting_fixture node;
    node.rest(300ms);
    node.flows.execute({ serving::release_cache { { { 0 }, "cache" } } });
    spinUntil([begin = boot_clock::now()] { return boot_clock::now() >= begin + 150ms; });
    CHECK(node.calls["/release"] == 0);
    CHECK(spinUntil([&] { return node.calls["/release"] == 1; }));
}

TEST_CASE("test_kv_cache_of_an_engine_that_rests_for_long_is_left_to_lapse")
{
    resting_fixture node;
    node.rest(10min);
    node.flows.execute({ serving::release_cache { { { 0 }, "cache" } } });
    spinUntil([begin = boot_clock::now()] { return boot_clock::now() >= begin + 150ms; });
    CHECK(node.calls["/release"] == 0);
}

TEST_CASE("test_engine_that_names_a_limit_is_not_polled")
{
    // Guards against polls of all nodes that use up the limit.
    resting_fixture node;
    node.limit(4);
    node.tickFor(300ms);
    CHECK(node.calls["/events"] == 0);
}

TEST_CASE("test_engine_that_names_a_limit_gets_no_order_that_was_decided_before")
{
    resting_fixture node;
    node.announceChange();
    node.limit(4);
    REQUIRE(node.tickUntil([&] { return node.roles.changingEngines().empty(); }));
    CHECK(node.calls["/report"] == 0);
    CHECK(node.calls["/order"] == 0);
}

TEST_CASE("test_kv_cache_of_an_engine_that_names_a_limit_is_released_with_a_permit")
{
    // Guards against releases beyond a limit, and against KV caches that are kept because of it.
    resting_fixture node;
    node.limit(4);
    node.flows.execute({ serving::release_cache { { { 0 }, "cache" } } });
    spinUntil([begin = boot_clock::now()] { return boot_clock::now() >= begin + 150ms; });
    CHECK(node.calls["/release"] == 0);
    node.decisions.permits().granted({ node.decisions.fleet().instanceHash[0], 1, 1s }, boot_clock::now());
    CHECK(spinUntil([&] { return node.calls["/release"] == 1; }));
    CHECK(node.decisions.fleet().permits[0] == 0);
}
