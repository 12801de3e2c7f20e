// scale: what control costs a node, by the number of nodes; how fast a configuration spreads; how long orders stop when
// a lease's holder dies.
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
        // The shipped defaults, not the faster ones of tests.
        options.nodePatch = { { "log_poll_interval", 0.25 }, { "heartbeat_interval", 0.5 }, { "peer_timeout", 3 },
            { "target_poll_interval", 0.5 }, { "vm_list_poll_interval", 1 }, { "lease_length", 6 },
            { "snapshot_interval", 60 } };
        return options;
    }

    /// Seconds until every node serves the version; below 0 if that takes too long.
    double secondsUntilServed(const harness::deployment_run& run, std::uint64_t version)
    {
        const instant from = boot_clock::now();
        const bool isServed = harness::waitUntil([&] {
            for (const auto& vm : run.vms()) {
                if (metricOf(run, vm, "tamarack_configuration_version") < static_cast<double>(version))
                    return false;
            }
            return true;
        });
        return isServed ? seconds(boot_clock::now() - from) : -1;
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
        harness::waitUntil([] { return false; }, std::chrono::seconds(3)); // the start is over
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
        const instant from = boot_clock::now();
        harness::waitUntil([] { return false; }, fromSeconds(length));
        const double took = seconds(boot_clock::now() - from);
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
        const double perNode = took * nodes;
        const double appends = (counts.value("appends", 0.0) - appendsBefore) / took;
        const double reads = (counts.value("reads", 0.0) - readsBefore) / took;
        run.publish({ { "policy", { { "default_deadline", 31 } } } });
        const double spread = secondsUntilServed(run, 2);
        std::printf(
            "%3d nodes  %6.3f%% of a core  %6.1f MB  peer bytes/s sent %6.0f received %6.0f  log appends/s %5.2f "
            "reads/s %6.1f  configuration everywhere after %.2f s\n",
            nodes, 100 * cpu / perNode, memory, (sent - sentBefore) / perNode, (received - receivedBefore) / perNode,
            appends, reads, spread);
        std::fflush(stdout);
    }

    void measureTakeOver(const arguments& given, double leaseLength)
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
        const auto witness = former == vms[0] ? vms[1] : vms[0];
        run.kill(former);
        const instant from = boot_clock::now();
        harness::waitUntil(
            [&] { return holder(witness) != former && !holder(witness).empty(); }, std::chrono::seconds(60));
        std::printf("lease length %4.1f s: another holder %.2f s after the holder's death\n", leaseLength,
            seconds(boot_clock::now() - from));
        std::fflush(stdout);
    }

    /// The most appends in any second after an outage of the log.
    void measureRecovery(const arguments& given, int nodes)
    {
        harness::deployment_run run(optionsFor(given, nodes));
        if (!run.start().empty())
            return;
        const auto appends
            = [&] { return harness::callJson(run.platformAddress(), "GET", "/counts").value("appends", 0); };
        harness::callJson(run.platformAddress(), "POST", "/fault", { { "log", "down" } });
        harness::waitUntil([] { return false; }, std::chrono::seconds(15)); // the leases lapse
        harness::callJson(run.platformAddress(), "POST", "/fault", { { "log", "up" } });
        int most = 0;
        for (int second = 0; second < 12; ++second) {
            const int before = appends();
            harness::waitUntil([] { return false; }, std::chrono::seconds(1));
            most = std::max(most, appends() - before);
        }
        std::printf("%3d nodes, 15 s without the log: at most %d appends in a second after it\n", nodes, most);
        std::fflush(stdout);
    }

}

int runScale(const arguments& given)
{
    for (const int nodes : { 3, 9, 30 })
        measureNodes(given, nodes);
    for (const double length : { 2.0, 6.0, 12.0 })
        measureTakeOver(given, length);
    for (const int nodes : { 3, 30 })
        measureRecovery(given, nodes);
    return 0;
}

}
