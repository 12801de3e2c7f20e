// Implements the demo experiment: runs a whole deployment under a varying request mix and prints the outcomes, the
// latencies and one trace.
#include "commands.h"

#include "observe/span.h"

#include <cstdio>
#include <fstream>

namespace tamarack::lab {

namespace {

    int roleChanges(const harness::deployment_run& run, const std::string& service)
    {
        int changes = 0;
        for (const auto& target : run.targetsOf(service)) {
            const auto status = run.targetStatus(target);
            if (status.is_object() && status.contains("orders"))
                changes += static_cast<int>(status["orders"].size());
        }
        return changes;
    }

    void printRow(const char* name, const std::string& value) { std::printf("  %-34s %s\n", name, value.c_str()); }

    /// Sends one more request with its own trace and prints the spans of the caller, the nodes and the targets.
    void printTrace(const harness::deployment_run& run, const mix_settings& mix)
    {
        span_id_source ids(static_cast<std::uint64_t>(wallNanoseconds()));
        const auto context = ids.child({});
        std::vector<endpoint> nodes;
        for (const auto& vm : run.vms())
            nodes.push_back(run.callerAddress(vm));
        harness::test_caller caller(nodes, mix.seed);
        harness::call_spec spec;
        spec.model = mix.model;
        spec.prompt = "a traced request " + std::string(9000, 'x');
        spec.maxTokens = 20;
        spec.traceparent = formatTraceparent(context);
        const auto startedAt = wallNanoseconds();
        caller.call(spec);
        span_writer(run.spanFile("caller"), "caller")
            .write({ context, "", "caller's request", startedAt, wallNanoseconds(), {} });
        std::vector<std::string> lines;
        auto names = run.vms();
        names.push_back("caller");
        for (const auto& target : run.allTargets())
            names.push_back(target);
        for (const auto& name : names) {
            std::ifstream stream(run.spanFile(name));
            for (std::string line; std::getline(stream, line);)
                lines.push_back(line);
        }
        std::printf(
            "\none request, trace %s\n%s", context.traceId.c_str(), formatTraceTree(lines, context.traceId).c_str());
    }

    std::string formatQuantiles(latency_list& list)
    {
        char text[80];
        std::snprintf(text, sizeof text, "p50 %.3f s   p95 %.3f s   p99 %.3f s   (%zu)", list.quantile(0.5),
            list.quantile(0.95), list.quantile(0.99), list.values.size());
        return text;
    }

}

mix_settings mixFor(const std::string& deployment, const arguments& given)
{
    mix_settings mix;
    mix.requestsPerSecond = given["rate"].as<double>();
    mix.seconds = given["seconds"].as<double>();
    mix.seed = given["seed"].as<std::uint64_t>();
    const bool isVodoslet = deployment == "vodoslet";
    mix.model = isVodoslet ? "jazyk-sumar" : "stammbaum-lm";
    mix.service = isVodoslet ? "teren" : "ahnen-app";
    mix.keyedPath = isVodoslet ? "/reports" : "/tags";
    mix.urgentClass = isVodoslet ? "crew-valve" : "consent-check";
    return mix;
}

int runDemo(const arguments& given)
{
    const auto deployment = given["deployment"].as<std::string>();
    harness::run_options options;
    options.textFile = "deploy/" + deployment + ".json";
    options.workDir = given["work-dir"].as<std::string>();
    options.nodes = given["nodes"].as<int>();
    options.withSpans = true;
    harness::deployment_run run(options);
    std::printf("starting %s with simulated targets: %d nodes\n", deployment.c_str(), options.nodes);
    const auto failure = run.start();
    if (!failure.empty()) {
        std::fprintf(
            stderr, "tamarack_lab: %s; the processes' logs are in %s\n", failure.c_str(), options.workDir.c_str());
        return 1;
    }
    const auto mix = mixFor(deployment, given);
    const int changesBefore = roleChanges(run, deployment == "vodoslet" ? "jazyk" : "stammbaum-lm");
    std::printf("sending %.0f requests a second for %.0f s\n", mix.requestsPerSecond, mix.seconds);
    caller_mix callers(run, mix);
    callers.start();
    harness::waitUntil([&] { return callers.isDone(); }, fromSeconds(mix.seconds + 60));
    auto result = callers.finish();
    const auto count = [&](harness::call_end end) { return result.ends[static_cast<std::size_t>(end)]; };
    std::printf("\n%s\n", deployment.c_str());
    printRow("sent", std::to_string(result.sent));
    printRow("goodput (whole, in time)", std::to_string(result.goodput));
    printRow("urgent, to the whole answer", formatQuantiles(result.urgent));
    printRow("others, to the whole answer", formatQuantiles(result.others));
    printRow("completions, to the first event", formatQuantiles(result.firstEvent));
    printRow("refused for good", std::to_string(count(harness::call_end::refused)));
    printRow("outcome unknown", std::to_string(count(harness::call_end::unknown)));
    printRow("tries beyond the first", std::to_string(result.retries));
    printRow("streams resumed", std::to_string(result.resumes));
    printRow("lost", std::to_string(count(harness::call_end::lost)));
    printRow("wrong bytes", std::to_string(count(harness::call_end::wrong)));
    printRow("doubled", std::to_string(result.duplicatedKeys));
    printRow("role changes",
        std::to_string(roleChanges(run, deployment == "vodoslet" ? "jazyk" : "stammbaum-lm") - changesBefore));
    printTrace(run, mix);
    for (const auto& [detail, occurrences] : result.failureDetails)
        std::printf("  %d x %s\n", occurrences, detail.c_str());
    const bool hasPassed
        = count(harness::call_end::lost) == 0 && count(harness::call_end::wrong) == 0 && result.duplicatedKeys == 0;
    return hasPassed ? 0 : 1;
}

}
