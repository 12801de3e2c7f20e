// A small deployment for tests with real processes.
#pragma once

#include "harness/deployment_run.h"
#include "harness/test_caller.h"

#include <memory>
#include <string>

namespace tamarack::test {

using harness::call_end;
using harness::call_kind;
using harness::call_spec;
using harness::deployment_run;
using harness::waitUntil;

/// Three nodes before three engines and three plain services, started; the sample text of Vodoslet with fewer targets.
std::unique_ptr<deployment_run> startSmall(const std::string& name,
    nlohmann::json servicePatch = nlohmann::json::object(), std::int64_t retention = 100'000, bool withLinks = false);
std::vector<endpoint> callerAddresses(const deployment_run& run);
call_spec streamCall(const std::string& prompt, int tokens = 40);
call_spec plainCall();
call_spec reportCall(const std::string& key);
/// How often the plain services ran a key.
int runsOf(const deployment_run& run, const std::string& key);
/// The value of a metric without labels at a node; 0 if it is not there.
double metricOf(const deployment_run& run, const std::string& vm, const std::string& name);

}
