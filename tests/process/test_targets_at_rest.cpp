// Targets that turn work away for a time that they state.
#include "process_fixture.h"

#include <QTimer>
#include <catch2/catch.hpp>

using namespace tamarack;
using namespace tamarack::test;

namespace {

/// Calls a plain service through one node at a steady rate.
class steady_calls {
public:
    explicit steady_calls(const endpoint& node)
    {
        constexpr int intervalMilliseconds = 20;
        QObject::connect(&m_timer, &QTimer::timeout, [this, node] {
            ++m_sent;
            m_client.fetch(node, { "POST", "/services/teren/valves", {}, "{}" }, {},
                [this](const http_response* response, const exchange_failure&) {
                    ++m_ended;
                    m_answered += response && response->status == 200;
                });
        });
        m_timer.start(intervalMilliseconds);
    }

    void stop()
    {
        m_timer.stop();
        waitUntil([this] { return m_ended == m_sent; });
    }

    int sent() const { return m_sent; }
    int answered() const { return m_answered; }

private:
    http_client m_client;
    QTimer m_timer;
    int m_sent = 0;
    int m_ended = 0;
    int m_answered = 0;
};

}

TEST_CASE("test_process_target_gets_no_work_for_as_long_as_it_asks")
{
    // Guards against a node that sends work to a target which has told it when to come back.
    const auto run = startSmall("target_at_rest");
    const auto address = run->targetAddress(run->targetsOf("teren").front());
    const auto status
        = [&](const char* field) { return harness::callJson(address, "GET", "/control/status").value(field, -1); };
    steady_calls calls(run->callerAddress(run->vms().front()));
    REQUIRE(waitUntil([&] { return status("work") > 0; }));
    harness::callJson(address, "POST", "/fault", { { "rest", 3.0 } });
    REQUIRE(waitUntil([&] { return status("turned_away") > 0; }));
    const int before = status("work");
    REQUIRE(waitUntil([&] { return status("work") > before; }, std::chrono::seconds(15)));
    calls.stop();
    CHECK(status("work_at_rest") <= 2);
    CHECK(calls.answered() == calls.sent());
}
