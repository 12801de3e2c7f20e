// Implements the overhead experiment: measures the latency that a node adds to a direct connection to the same engine,
// and the throughput of one node.
#include "commands.h"
#include "process_usage.h"

#include <algorithm>
#include <cstdio>

namespace tamarack::lab {

namespace {

    /// Latencies in seconds.
    struct latencies {
        std::vector<double> first; ///< to the first byte of the body
        std::vector<double> whole; ///< to the end of the response
    };

    double median(std::vector<double>& values)
    {
        std::sort(values.begin(), values.end());
        return values.empty() ? 0 : values[values.size() / 2];
    }

    http_request streamRequest(const std::string& model, int number, int tokens)
    {
        http_request request;
        request.method = "POST";
        request.target = "/v1/completions";
        request.headers.set("Content-Type", "application/json");
        request.headers.set("x-attempt-id", "1");
        request.body = nlohmann::json {
            { "model", model }, { "prompt", "overhead " + std::to_string(number) }, { "max_tokens", tokens },
            { "stream", true }
        }.dump();
        return request;
    }

    void measureRequest(http_client& client, const endpoint& peer, const http_request& request, latencies& results)
    {
        const instant startedAt = boot_clock::now();
        bool isDone = false;
        bool sawFirst = false;
        exchange_handlers handlers;
        handlers.onBody = [&](std::string_view) {
            if (!sawFirst)
                results.first.push_back(seconds(boot_clock::now() - startedAt));
            sawFirst = true;
        };
        handlers.onEnd = [&] {
            results.whole.push_back(seconds(boot_clock::now() - startedAt));
            isDone = true;
        };
        handlers.onFailure = [&](const exchange_failure&) { isDone = true; };
        client.start(peer, request, {}, std::move(handlers));
        harness::waitUntil([&] { return isDone; });
    }

    /// Keeps `parallel` streams open for `length` seconds and prints requests and events per second, CPU and memory
    /// use.
    void measureThroughput(const harness::deployment_run& run, const std::string& vm, const std::string& model,
        int parallel, double length)
    {
        http_client client;
        constexpr long linesPerEvent = 3;
        long lines = 0;
        long requests = 0;
        long failures = 0;
        int open = 0;
        int number = 0;
        const instant end = boot_clock::now() + fromSeconds(length);
        std::function<void()> next = [&] {
            if (boot_clock::now() >= end)
                return;
            ++open;
            exchange_handlers handlers;
            handlers.onBody = [&](std::string_view bytes) { lines += std::count(bytes.begin(), bytes.end(), '\n'); };
            handlers.onEnd = [&] {
                ++requests;
                --open;
                next();
            };
            handlers.onFailure = [&](const exchange_failure&) {
                ++failures;
                --open;
            };
            client.start(run.callerAddress(vm), streamRequest(model, ++number, 100), {}, std::move(handlers));
        };
        const auto before = usageOf(run.pid(vm));
        const instant startedAt = boot_clock::now();
        for (int i = 0; i < parallel; ++i)
            next();
        harness::waitUntil([&] { return boot_clock::now() >= end && open == 0; }, fromSeconds(length + 30));
        const double elapsedSeconds = seconds(boot_clock::now() - startedAt);
        const auto after = usageOf(run.pid(vm));
        const double coresUsed = (after.cpuSeconds - before.cpuSeconds) / elapsedSeconds;
        std::printf("  %3d streams  %7.0f requests/s %9.0f events/s  %5.2f core  %5.1f MB  %ld failed\n", parallel,
            static_cast<double>(requests) / elapsedSeconds, static_cast<double>(lines / linesPerEvent) / elapsedSeconds,
            coresUsed, after.residentMegabytes, failures);
    }

}

int runOverhead(const arguments& given)
{
    harness::run_options options;
    options.textFile = "deploy/vodoslet.json";
    options.workDir = given["work-dir"].as<std::string>();
    options.nodes = 1;
    options.targetsPerService = 4;
    // Disables the prefill and decode roles and makes the engines so fast that the node is the bottleneck.
    options.textPatch = { { "services",
                              { { "jazyk",
                                  { { "prefill_targets", 0 }, { "decode_targets", 0 }, { "slots", 256 },
                                      { "token_interval", 0.002 }, { "decode_tokens_per_second", 100000 } } } } },
        { "policy", { { "account_requests_per_second", 1e6 }, { "account_burst", 1e6 } } } };
    harness::deployment_run run(options);
    const auto failure = run.start();
    if (!failure.empty()) {
        std::fprintf(stderr, "tamarack_lab: %s\n", failure.c_str());
        return 1;
    }
    const auto vm = run.vms().front();
    const auto engine = run.targetAddress(run.targetsOf("jazyk").front());
    http_client client;
    latencies direct;
    latencies throughNode;
    for (int i = 0; i < 100; ++i) {
        const auto request = streamRequest("jazyk-sumar", i, 50);
        measureRequest(client, engine, request, direct);
        measureRequest(client, run.callerAddress(vm), request, throughNode);
    }
    const double first = median(throughNode.first) / median(direct.first);
    const double whole = median(throughNode.whole) / median(direct.whole);
    std::printf("median of 100, alternating          direct     node    ratio\n");
    std::printf("  first byte of the body (ms)    %9.3f %8.3f %8.3f\n", median(direct.first) * 1e3,
        median(throughNode.first) * 1e3, first);
    std::printf("  whole stream of up to 50 (ms)  %9.3f %8.3f %8.3f\n", median(direct.whole) * 1e3,
        median(throughNode.whole) * 1e3, whole);
    std::printf("throughput of one node\n");
    for (const int parallel : { 50, 200, 400 })
        measureThroughput(run, vm, "jazyk-sumar", parallel, given["seconds"].as<double>());
    return 0;
}

}
