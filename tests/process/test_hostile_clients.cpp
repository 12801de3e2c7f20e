// Clients that nobody controls neither end a node nor take its memory, at the ports for callers and for operators.
#include "process_fixture.h"

#include "harness/hostile_clients.h"
#include "harness/process_usage.h"

#include <catch2/catch.hpp>
#include <cstdio>

using namespace tamarack;
using namespace tamarack::test;
using namespace std::chrono_literals;
using harness::hostile_clients;
using harness::hostile_script;

namespace {

constexpr std::uint64_t memoryBound = 260'000'000;
constexpr duration settleTime = 1s;

void checkNode(const deployment_run& run, const std::string& vm)
{
    waitUntil([] { return false; }, settleTime);
    const auto peak = harness::memoryPeak(run.pid(vm));
    std::printf("peak %llu bytes\n", static_cast<unsigned long long>(peak));
    CHECK(run.isRunning(vm));
    CHECK(peak > 0);
    CHECK(peak <= memoryBound);
}

void checkOrdinaryCall(const deployment_run& run, const std::string& vm)
{
    const auto answer = harness::call(run.callerAddress(vm), "POST", "/services/teren/valves", "body");
    CHECK((answer && answer->status == 200));
    const auto status = run.status(vm);
    CHECK(status.is_object());
}

hostile_script endless(const std::string& beginning, std::size_t maxBytes)
{
    return { beginning, std::string(64 * 1024, 'x'), maxBytes };
}

}

// Guards against bodies, lines and heads without end at the port for operators.
TEST_CASE("test_process_messages_without_end_at_the_admin_port_take_no_memory")
{
    const auto run = startSmall("hostile_admin");
    const auto vm = run->vms().front();
    constexpr int crowd = 8;
    constexpr std::size_t bytes = 48'000'000;
    const std::string post = "POST /drainage HTTP/1.1\r\nHost: x\r\n";
    const std::string beginnings[] { post + "Content-Length: 100000000\r\n\r\n",
        post + "Transfer-Encoding: chunked\r\n\r\n4;extension=", post + "X-Field: " };
    for (const auto& beginning : beginnings) {
        INFO(beginning);
        hostile_clients clients;
        clients.connect(run->adminAddress(vm), crowd, [&](int) { return endless(beginning, bytes); });
        clients.sendAll();
        checkNode(*run, vm);
    }
    checkOrdinaryCall(*run, vm);
}

// Guards against long messages and silent connections without a bound at the port for peers.
TEST_CASE("test_process_unfinished_messages_at_the_peer_port_take_no_memory")
{
    const auto run = startSmall("hostile_peers");
    const auto vm = run->vms().front();
    constexpr int crowd = 40;
    constexpr std::size_t bytes = 10'000'000;
    const std::string length("\0\xf0\0\0", 4); // 15 MB
    hostile_clients clients;
    clients.connect(run->peerAddress(vm), crowd, [&](int) { return endless(length, bytes); });
    clients.sendAll();
    checkNode(*run, vm);
    constexpr int silentCrowd = 600;
    constexpr int maxDescriptors = 400;
    hostile_clients silent;
    silent.connect(run->peerAddress(vm), silentCrowd, [](int) { return hostile_script {}; });
    checkNode(*run, vm);
    CHECK(harness::openDescriptors(run->pid(vm)) <= maxDescriptors);
    checkOrdinaryCall(*run, vm);
}

// Guards against requests whose memory is no longer counted once they wait for a target or run.
TEST_CASE("test_process_requests_for_silent_targets_stay_within_the_memory")
{
    const auto run = startSmall("hostile_bodies");
    const auto vm = run->vms().front();
    for (const auto& target : run->targetsOf("teren"))
        run->freeze(target);
    constexpr int crowd = 5;
    constexpr int waves = 10;
    const std::string body(7'000'000, 'x');
    const auto request = "POST /services/teren/valves HTTP/1.1\r\nHost: x\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    hostile_clients clients;
    for (int wave = 0; wave < waves; ++wave) {
        clients.connect(run->callerAddress(vm), crowd, [&](int) { return hostile_script { request, {}, 0 }; });
        clients.sendAll();
    }
    checkNode(*run, vm);
    for (const auto& target : run->targetsOf("teren"))
        run->thaw(target);
    clients.closeAll();
    REQUIRE(waitUntil([&] { return metricOf(*run, vm, "tamarack_requests_held") == 0; }));
    checkOrdinaryCall(*run, vm);
}
