// Implements the scale experiment: measures the cost of the control plane by the number of nodes, the propagation time
// of a configuration, the time until a lease has another holder, and the appends after an outage of the log.
#include "commands.h"
#include "process_usage.h"

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace tamarack::lab {

namespace {

    double metricOf(const harness::deployment_run& run, const std::string& vm, const std::string& name)
    {
        const auto answer = harness::call(run.adminAddress(vm), "GET", "/metrics");
        std::istringstream lines(answer ? answer->body : "");
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with(name + " "))
                return std::stod(line.substr(name.size() + 1));
        }
        return 0;
    }

    harness::run_options optionsFor(const arguments& given, int nodes)
    {
        harness::run_options options;
        options.textFile = "deploy/vodoslet.json";
        options.workDir = given["work-dir"].as<std::string>();
        options.nodes = nodes;
        // The default intervals of the product instead of the shorter ones that tests use.
        options.nodePatch = { { "log_poll_interval", 0.25 }, { "heartbeat_interval", 0.5 }, { "peer_timeout", 3 },
            { "target_poll_interval", 0.5 }, { "vm_list_poll_interval", 1 }, { "lease_length", 6 },
            { "snapshot_interval", 60 } };
        return options;
    }

    /// Returns the seconds until every node serves `version`, or a negative value on timeout.
    double secondsUntilServed(const harness::deployment_run& run, std::uint64_t version)
    {
        const instant startedAt = boot_clock::now();
        const bool isServed = harness::waitUntil([&] {
            for (const auto& vm : run.vms()) {
                if (metricOf(run, vm, "tamarack_configuration_version") < static_cast<double>(version))
                    return false;
            }
            return true;
        });
        return isServed ? seconds(boot_clock::now() - startedAt) : -1;
    }

    void measureNodes(const arguments& given, int nodes)
    {
        harness::deployment_run run(optionsFor(given, nodes));
        const auto failure = run.start();
        if (!failure.empty()) {
            std::printf("%3d nodes: %s\n", nodes, failure.c_str());
            return;
        }
        const auto vms = run.vms();
        harness::waitUntil([] { return false; }, std::chrono::seconds(3)); // lets the nodes finish their start
        const double length = given["seconds"].as<double>();
        std::map<std::string, process_usage> before;
        double sentBefore = 0;
        double receivedBefore = 0;
        for (const auto& vm : vms) {
            before[vm] = usageOf(run.pid(vm));
            sentBefore += metricOf(run, vm, "tamarack_peer_bytes_sent");
            receivedBefore += metricOf(run, vm, "tamarack_peer_bytes_received");
        }
        const double appendsBefore = harness::callJson(run.platformAddress(), "GET", "/counts").value("appends", 0.0);
        const double readsBefore = harness::callJson(run.platformAddress(), "GET", "/counts").value("reads", 0.0);
        const instant startedAt = boot_clock::now();
        harness::waitUntil([] { return false; }, fromSeconds(length));
        const double elapsedSeconds = seconds(boot_clock::now() - startedAt);
        double cpu = 0;
        double memory = 0;
        double sent = 0;
        double received = 0;
        for (const auto& vm : vms) {
            const auto after = usageOf(run.pid(vm));
            cpu += after.cpuSeconds - before[vm].cpuSeconds;
            memory = std::max(memory, after.residentMegabytes);
            sent += metricOf(run, vm, "tamarack_peer_bytes_sent");
            received += metricOf(run, vm, "tamarack_peer_bytes_received");
        }
        const auto counts = harness::callJson(run.platformAddress(), "GET", "/counts");
        const double perNode = elapsedSeconds * nodes;
        const double appends = (counts.value("appends", 0.0) - appendsBefore) / elapsedSeconds;
        const double reads = (counts.value("reads", 0.0) - readsBefore) / elapsedSeconds;
        run.publish({ { "policy", { { "default_deadline", 31 } } } });
        const double propagationSeconds = secondsUntilServed(run, 2);
        std::printf(
            "%3d nodes  %6.3f%% of a core  %6.1f MB  peer bytes/s sent %6.0f received %6.0f  log appends/s %5.2f "
            "reads/s %6.1f  configuration on all nodes after %.2f s\n",
            nodes, 100 * cpu / perNode, memory, (sent - sentBefore) / perNode, (received - receivedBefore) / perNode,
            appends, reads, propagationSeconds);
        std::fflush(stdout);
    }

    void measureLeaseTakeover(const arguments& given, double leaseLength)
    {
        auto options = optionsFor(given, 3);
        options.nodePatch["lease_length"] = leaseLength;
        options.targetsPerService = 3;
        options.textPatch = { { "services", { { "jazyk", { { "prefill_targets", 0 }, { "decode_targets", 0 } } } } } };
        harness::deployment_run run(options);
        if (!run.start().empty())
            return;
        const auto vms = run.vms();
        const auto holder = [&](const std::string& vm) {
            const auto status = run.status(vm);
            const std::string text
                = status.is_object() && !status["leases"].empty() ? status["leases"][0].value("holder", "") : "";
            return text.substr(0, text.find('@'));
        };
        harness::waitUntil([&] { return !holder(vms[0]).empty(); });
        const auto former = holder(vms[0]);
        const auto observer = former == vms[0] ? vms[1] : vms[0];
        run.kill(former);
        const instant startedAt = boot_clock::now();
        harness::waitUntil(
            [&] { return holder(observer) != former && !holder(observer).empty(); }, std::chrono::seconds(60));
        std::printf("lease length %4.1f s: another holder %.2f s after the holder was killed\n", leaseLength,
            seconds(boot_clock::now() - startedAt));
        std::fflush(stdout);
    }

    /// Prints the maximum number of appends in one second after an outage of the log, when all nodes recover at once.
    void measureRecovery(const arguments& given, int nodes)
    {
        harness::deployment_run run(optionsFor(given, nodes));
        if (!run.start().empty())
            return;
        const auto appends
            = [&] { return harness::callJson(run.platformAddress(), "GET", "/counts").value("appends", 0); };
        harness::callJson(run.platformAddress(), "POST", "/fault", { { "log", "down" } });
        harness::waitUntil([] { return false; }, std::chrono::seconds(15)); // long enough for the leases to expire
        harness::callJson(run.platformAddress(), "POST", "/fault", { { "log", "up" } });
        int maxAppends = 0;
        for (int second = 0; second < 12; ++second) {
            const int before = appends();
            harness::waitUntil([] { return false; }, std::chrono::seconds(1));
            maxAppends = std::max(maxAppends, appends() - before);
        }
        std::printf("%3d nodes, 15 s without the log: at most %d appends in a second after it\n", nodes, maxAppends);
        std::fflush(stdout);
    }

}

int runScale(const arguments& given)
{
    for (const int nodes : { 3, 9, 30 })
        measureNodes(given, nodes);
    for (const double length : { 2.0, 6.0, 12.0 })
        measureLeaseTakeover(given, length);
    for (const int nodes : { 3, 30 })
        measureRecovery(given, nodes);
    return 0;
}

}
