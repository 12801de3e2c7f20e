// Tests the steps of a role change against an engine that counts its requests.
#include "fake_ports.h"
#include "role_coordinator.h"

#include "base/hash.h"
#include "http/http_server.h"

using namespace tamarack;
using namespace tamarack::tests;
using namespace std::chrono_literals;

namespace {

/// `/report` returns `isChanging`; `/order` contains the fencing token and the number of accepted orders.
class fake_role_protocol : public fake_targets {
public:
    http_request roleReport(std::string_view) const override { return { "GET", "/report", {}, {} }; }
    std::optional<role_report> decodeRoleReport(std::string_view body) const override
    {
        return role_report { serving::target_role::decode, body == "changing", 3, bornAt };
    }
    http_request orderRole(const role_order& order) const override
    {
        return { "POST", "/order", {},
            std::string(order.holder) + " " + std::to_string(order.fencingNumber) + " "
                + std::to_string(order.ordersTaken) };
    }
    std::uint64_t bornAt = 0; ///< reported by engines; 0: not reported

    order_answer decodeOrderAnswer(int status) const override
    {
        return status == 202 ? order_answer::accepted : order_answer::refused;
    }
};

struct fake_engine {
    bool isChanging = false;
    std::string leavingPath; // an answer to a call of this path declares that the engine leaves
    int reports = 0;
    std::vector<std::string> orders;
    http_server server;

    fake_engine()
        : server(
            {},
            [this](const http_request& request, const std::shared_ptr<response_writer>& writer) {
                http_response response { 202, {}, {} };
                if (request.path() == leavingPath)
                    response.headers.set("leaving", "1");
                if (request.path() == "/report") {
                    ++reports;
                    response.status = 200;
                    response.body = isChanging ? "changing" : "idle";
                } else {
                    orders.push_back(request.body);
                }
                writer->sendWhole(response);
            },
            [](error_kind, std::string_view) { return http_response {}; })
    {
        REQUIRE(server.listen(QHostAddress::LocalHost, 0));
    }
};

serving::dispatcher_settings named(const char* vm)
{
    serving::dispatcher_settings out;
    out.vm = vm;
    return out;
}

/// A node with three decode engines, all at the address of the fake engine, one of which has to switch to prefill.
struct coordinator_fixture {
    fake_engine engine;
    fake_role_protocol protocol;
    fake_store store;
    serving::dispatcher decisions { named("n1") };
    metrics counters;
    logger log { quietLog() };
    http_client client;
    int heartbeats = 0;
    int failedClaims = 0;
    target_notices notices { protocol, decisions, counters, log };
    role_coordinator roles { { client, protocol, store, decisions, counters, log, notices, [this] { ++heartbeats; },
                                 [this] { ++failedClaims; } },
        "n1", {} };

    explicit coordinator_fixture(std::uint64_t bornAt = 0)
    {
        for (const char* name : { "e1", "e2", "e3" }) {
            serving::target_record record;
            record.name = name;
            record.bornAt = bornAt;
            record.service = "engines";
            record.address = "127.0.0.1:" + std::to_string(engine.server.port());
            record.role = serving::target_role::decode;
            decisions.targetListed(record);
        }
    }

    void tick()
    {
        serving::node_state self;
        self.vm = "n1";
        self.isReady = true;
        self.storeReach = serving::store_reach::reached;
        roles.tick(self, {}, boot_clock::now());
    }

    /// Runs until the node claims the lease, and grants it.
    void claim()
    {
        REQUIRE(spinUntil([&] {
            tick();
            return !store.calls.empty();
        }));
        CHECK(store.calls.front().what == "appendAt");
        store.calls.front().onAppendAt(placed_append { true, 7 });
    }

    int leavingEngines() const
    {
        const auto& fleet = decisions.fleet();
        int out = 0;
        for (std::uint32_t row = 0; row < fleet.size(); ++row)
            out += fleet.isLeaving({ row });
        return out;
    }

    int excludedEngines() const
    {
        const auto& fleet = decisions.fleet();
        int out = 0;
        for (std::uint32_t row = 0; row < fleet.size(); ++row)
            out += !fleet.acceptsWork({ row }, boot_clock::now());
        return out;
    }
};

}

TEST_CASE("test_engine_is_excluded_before_it_gets_an_order")
{
    coordinator_fixture node;
    node.claim();
    REQUIRE(spinUntil([&] {
        node.tick();
        return node.roles.changingEngines().size() == 1;
    }));
    CHECK(node.engine.orders.empty());
    CHECK(node.excludedEngines() == 1);
    CHECK(node.heartbeats == 1);
    REQUIRE(spinUntil([&] {
        node.tick();
        return !node.engine.orders.empty();
    }));
    CHECK(node.engine.orders == std::vector<std::string> { "n1 8 3" });
    CHECK(node.engine.reports == 1);
}

TEST_CASE("test_restarted_engine_gets_no_order_for_its_former_process")
{
    // Guards against an order for a restarted engine. An order is decided on, the engine restarts under the same name
    // before the target list shows it, and its new process has accepted as few orders as the former one.
    coordinator_fixture node { 1000 };
    node.protocol.bornAt = 2000;
    node.claim();
    REQUIRE(spinUntil([&] {
        node.tick();
        return node.engine.reports == 1;
    }));
    REQUIRE(spinUntil([&] { return node.roles.changingEngines().empty(); }));
    CHECK(node.engine.orders.empty());
}

TEST_CASE("test_engine_with_a_role_change_in_progress_gets_no_order")
{
    // Guards against an engine that is unavailable for twice as long as a role change takes: an order without a
    // response is executed late while another one is sent.
    coordinator_fixture node;
    node.engine.isChanging = true;
    node.claim();
    REQUIRE(spinUntil([&] {
        node.tick();
        return node.engine.reports == 1;
    }));
    REQUIRE(spinUntil([&] { return node.roles.changingEngines().empty(); }));
    CHECK(node.engine.orders.empty());
    CHECK(node.excludedEngines() == 0); // it keeps its role
}

TEST_CASE("test_failed_claim_triggers_a_store_reach_check")
{
    // Guards against a node that stays responsible for role orders while it cannot claim the lease.
    coordinator_fixture node;
    REQUIRE(spinUntil([&] {
        node.tick();
        return !node.store.calls.empty();
    }));
    node.store.calls.front().onAppendAt(store_error::unreachable);
    CHECK(node.failedClaims == 1);
}

// Guards against an order for an engine that has just declared that it leaves.
TEST_CASE("test_engine_that_declares_to_leave_in_its_role_report_gets_no_order")
{
    coordinator_fixture node;
    node.engine.leavingPath = "/report";
    node.claim();
    REQUIRE(spinUntil([&] {
        node.tick();
        return node.leavingEngines() == 1;
    }));
    CHECK(node.roles.changingEngines().empty());
    CHECK(node.engine.orders.empty());
}

// Guards against a declaration that is missed because it came with the answer to an order.
TEST_CASE("test_engine_that_declares_to_leave_in_the_answer_to_an_order_gets_no_work")
{
    coordinator_fixture node;
    node.engine.leavingPath = "/order";
    node.claim();
    REQUIRE(spinUntil([&] {
        node.tick();
        return node.leavingEngines() == 1;
    }));
    CHECK(node.engine.orders.size() == 1);
}

TEST_CASE("test_node_that_has_lost_its_paths_to_engines_claims_no_lease")
{
    // Guards against role changes that wait for a node whose orders reach no engine.
    coordinator_fixture node;
    const auto begin = boot_clock::now();
    for (std::uint32_t row = 0; row < node.decisions.fleet().size(); ++row)
        node.decisions.paths().failed({ row }, serving::path_failure::refused, begin, begin);
    spinUntil([&] {
        node.tick();
        return boot_clock::now() >= begin + 3s;
    });
    CHECK(node.store.calls.empty());
    for (std::uint32_t row = 0; row < node.decisions.fleet().size(); ++row)
        node.decisions.paths().reached({ row }, boot_clock::now());
    node.claim();
}

TEST_CASE("test_node_takes_role_changes_over_from_a_peer_that_has_lost_its_paths")
{
    coordinator_fixture node;
    serving::node_state self;
    self.vm = "n1";
    self.isReady = true;
    self.storeReach = serving::store_reach::reached;
    auto peer = self;
    for (int i = 2; rendezvousWeight(peer.vm, "roles") <= rendezvousWeight(self.vm, "roles"); ++i)
        peer.vm = "n" + std::to_string(i);
    const auto tickFor = [&](duration length) {
        spinUntil([&, end = boot_clock::now() + length] {
            node.roles.tick(self, { peer }, boot_clock::now());
            return !node.store.calls.empty() || boot_clock::now() >= end;
        });
    };
    tickFor(3s);
    CHECK(node.store.calls.empty());
    serving::path_report report;
    report.node = serving::shortHash(peer.vm);
    report.lostCount = 3;
    node.decisions.paths().applyReport(report, boot_clock::now());
    tickFor(3s);
    CHECK_FALSE(node.store.calls.empty());
}
