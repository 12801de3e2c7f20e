// Starting and asking small deployments.
#include "process_fixture.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace tamarack::test {

std::unique_ptr<deployment_run> startSmall(
    const std::string& name, nlohmann::json servicePatch, std::int64_t retention, bool withLinks)
{
    harness::run_options options;
    options.textFile = "deploy/vodoslet.json";
    options.workDir = "test-run/" + name;
    options.targetsPerService = 3;
    options.retention = retention;
    options.withSpans = true;
    options.withLinks = withLinks;
    options.changeSeconds = 0.3;
    nlohmann::json engines { { "prefill_targets", 0 }, { "decode_targets", 0 } };
    engines.merge_patch(servicePatch.value("jazyk", nlohmann::json::object()));
    options.textPatch = {
        { "services", { { "jazyk", engines }, { "teren", servicePatch.value("teren", nlohmann::json::object()) } } },
        { "policy", { { "role_dwell", 1 } } }
    };
    auto run = std::make_unique<deployment_run>(options);
    const auto failure = run->start();
    INFO(failure);
    REQUIRE(failure.empty());
    for (const auto& vm : run->vms())
        REQUIRE(waitUntil([&] { return run->status(vm)["peers"].size() + 1 == run->vms().size(); }));
    return run;
}

std::vector<endpoint> callerAddresses(const deployment_run& run)
{
    std::vector<endpoint> addresses;
    for (const auto& vm : run.vms())
        addresses.push_back(run.callerAddress(vm));
    return addresses;
}

call_spec streamCall(const std::string& prompt, int tokens)
{
    call_spec spec;
    spec.kind = call_kind::completion;
    spec.model = "jazyk-sumar";
    spec.prompt = prompt;
    spec.maxTokens = tokens;
    return spec;
}

call_spec plainCall()
{
    call_spec spec;
    spec.kind = call_kind::plain;
    spec.model = "teren";
    spec.path = "/valves";
    spec.prompt = "{}";
    return spec;
}

call_spec reportCall(const std::string& key)
{
    call_spec spec;
    spec.kind = call_kind::non_idempotent;
    spec.model = "teren";
    spec.path = "/reports";
    spec.prompt = "{\"burst\":true}";
    spec.key = key;
    return spec;
}

int runsOf(const deployment_run& run, const std::string& key)
{
    int runs = 0;
    for (const auto& target : run.targetsOf("teren")) {
        const auto counted = harness::callJson(run.targetAddress(target), "GET", "/runs");
        if (counted.is_object())
            runs += counted.value(key, 0);
    }
    return runs;
}

double metricOf(const deployment_run& run, const std::string& vm, const std::string& name)
{
    const auto answer = harness::call(run.adminAddress(vm), "GET", "/metrics");
    if (!answer)
        return 0;
    std::istringstream lines(answer->body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(name + " "))
            return std::stod(line.substr(name.size() + 1));
    }
    return 0;
}

}
