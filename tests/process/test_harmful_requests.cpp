// A request that crashes the engines that run it soon reaches none.
#include "process_fixture.h"

#include "harness/blocking_http.h"
#include "standins/standins.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace tamarack;
using namespace tamarack::test;
using namespace std::chrono_literals;

TEST_CASE("test_process_request_that_crashes_its_engines_is_not_sent_to_further_ones")
{
    constexpr std::size_t crashesUntilHarmful = 3;
    constexpr duration agreementBound = 3s;
    constexpr int maxLateCrashes = 3;
    constexpr int calls = 24;
    const auto run = startSmall("harmful");
    const auto nodes = callerAddresses(*run);
    const nlohmann::json body { { "model", "jazyk-sumar" }, { "prompt", standins::harmfulPrompt },
        { "max_tokens", 8 } };
    header_list headers;
    headers.set("Content-Type", "application/json");
    headers.set("Tamarack-Deadline", "1");
    std::vector<instant> crashes;
    int lastStatus = 0;
    for (int i = 0; i < calls; ++i) {
        const auto answer = harness::call(
            nodes[static_cast<std::size_t>(i) % nodes.size()], "POST", "/v1/completions", body.dump(), headers);
        lastStatus = answer ? answer->status : 0;
        const instant end = boot_clock::now() + 400ms;
        waitUntil([&] { return boot_clock::now() >= end; });
        for (const auto& target : run->targetsOf("jazyk")) {
            if (run->isRunning(target))
                continue;
            crashes.push_back(boot_clock::now());
            run->startTarget(target);
        }
    }
    REQUIRE(crashes.size() >= crashesUntilHarmful);
    const auto from = crashes[crashesUntilHarmful - 1] + agreementBound;
    CHECK(std::count_if(crashes.begin(), crashes.end(), [&](instant at) { return at > from; }) <= maxLateCrashes);
    CHECK(lastStatus == 502);
    const auto quarantined = [&](const std::string& vm) { return run->status(vm)["quarantined"]; };
    const auto vms = run->vms();
    for (const auto& vm : vms)
        REQUIRE(waitUntil([&] { return quarantined(vm).size() == 1; }));
    const std::string digest = quarantined(vms.front())[0]["digest"];
    CHECK(run->ctl({ "release", "0123", "--node", toString(run->adminAddress(vms.front())) }) != 0);
    CHECK(run->ctl({ "release", digest, "--node", toString(run->adminAddress(vms.front())) }) == 0);
    for (const auto& vm : vms)
        CHECK(waitUntil([&] { return quarantined(vm).empty(); }));
    harness::test_caller caller(nodes, 3);
    CHECK(caller.call(streamCall("harmless")).end == call_end::whole);
}
