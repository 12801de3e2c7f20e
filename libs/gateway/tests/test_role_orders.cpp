// The steps of a change of role, against an engine that counts what it is asked.
#include "fake_ports.h"
#include "role_orders.h"

#include "http/http_server.h"

using namespace tamarack;
using namespace tamarack::tests;
using namespace std::chrono_literals;

namespace {

/// `/report` tells `isChanging`; `/order` names the fencing number and the number of orders taken.
class plain_orders : public fake_targets {
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
    std::uint64_t bornAt = 0; ///< that engines tell

    order_answer decodeOrderAnswer(int status) const override
    {
        return status == 202 ? order_answer::accepted : order_answer::refused;
    }
};

struct asked_engine {
    bool isChanging = false;
    int reports = 0;
    std::vector<std::string> orders;
    http_server server;

    asked_engine()
        : server(
            {},
            [this](const http_request& request, const std::shared_ptr<response_writer>& writer) {
                if (request.path() == "/report") {
                    ++reports;
                    return writer->sendWhole({ 200, {}, isChanging ? "changing" : "idle" });
                }
                orders.push_back(request.body);
                writer->sendWhole({ 202, {}, {} });
            },
            [](error_kind, std::string_view) { return http_response {}; })
    {
        REQUIRE(server.listen(QHostAddress::LocalHost, 0));
    }
};

/// Three engines that write, all at the address of the asked one; one of them has to read.
struct ordering_node {
    asked_engine engine;
    plain_orders protocol;
    fake_store store;
    serving::dispatcher decisions { {} };
    metrics counters;
    logger log { quietLog() };
    http_client client;
    int beats = 0;
    int failedClaims = 0;
    role_coordinator roles {
        { client, protocol, store, decisions, counters, log, [this] { ++beats; }, [this] { ++failedClaims; } }, "n1", {}
    };

    explicit ordering_node(std::uint64_t bornAt = 0)
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

    /// Goes on until the store is asked for the claim, and grants it.
    void claim()
    {
        REQUIRE(spinUntil([&] {
            tick();
            return !store.calls.empty();
        }));
        CHECK(store.calls.front().what == "appendAt");
        store.calls.front().onAppendAt(placed_append { true, 7 });
    }

    int leftAlone() const
    {
        const auto& fleet = decisions.fleet();
        int out = 0;
        for (std::uint32_t row = 0; row < fleet.size(); ++row)
            out += !fleet.acceptsWork({ row }, boot_clock::now());
        return out;
    }
};

}

TEST_CASE("test_engine_is_left_alone_before_it_gets_an_order")
{
    ordering_node node;
    node.claim();
    REQUIRE(spinUntil([&] {
        node.tick();
        return node.roles.changingEngines().size() == 1;
    }));
    CHECK(node.engine.orders.empty());
    CHECK(node.leftAlone() == 1);
    CHECK(node.beats == 1);
    REQUIRE(spinUntil([&] {
        node.tick();
        return !node.engine.orders.empty();
    }));
    CHECK(node.engine.orders == std::vector<std::string> { "n1 8 3" });
    CHECK(node.engine.reports == 1);
}

TEST_CASE("test_engine_that_has_started_again_gets_no_order_for_its_former_life")
{
    // Symptom: an engine that has just started is taken away again.
    // Sequence: an order is decided on; the engine starts again under its name, and the list has not told yet.
    // Cause: an order goes to a name, and the new life has taken as few orders as the former one.
    ordering_node node { 1000 };
    node.protocol.bornAt = 2000;
    node.claim();
    REQUIRE(spinUntil([&] {
        node.tick();
        return node.engine.reports == 1;
    }));
    REQUIRE(spinUntil([&] { return node.roles.changingEngines().empty(); }));
    CHECK(node.engine.orders.empty());
}

TEST_CASE("test_engine_that_changes_already_gets_no_order")
{
    // Symptom: an engine is away for twice as long as a change takes.
    // Sequence: an order without an answer is carried out late, and meanwhile another one is given.
    // Cause: an order that does not look at what the engine does.
    ordering_node node;
    node.engine.isChanging = true;
    node.claim();
    REQUIRE(spinUntil([&] {
        node.tick();
        return node.engine.reports == 1;
    }));
    REQUIRE(spinUntil([&] { return node.roles.changingEngines().empty(); }));
    CHECK(node.engine.orders.empty());
    CHECK(node.leftAlone() == 0); // it goes on in its role
}

TEST_CASE("test_failed_claim_triggers_a_store_reach_check")
{
    // Guards against a node that stays responsible for role orders while it cannot claim the lease.
    ordering_node node;
    REQUIRE(spinUntil([&] {
        node.tick();
        return !node.store.calls.empty();
    }));
    node.store.calls.front().onAppendAt(store_error::unreachable);
    CHECK(node.failedClaims == 1);
}
