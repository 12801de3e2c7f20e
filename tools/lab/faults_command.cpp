// Implements the faults experiment: runs a request mix while nodes and targets are killed, frozen and restarted and the
// platform fails.
#include "commands.h"

#include <cstdio>

namespace tamarack::lab {

namespace {

    /// Injects one random fault at a time at a fixed interval; each fault that lasts is cleared before the next one.
    class fault_schedule {
    public:
        fault_schedule(harness::deployment_run& run, std::uint64_t seed)
            : m_run(run)
            , m_random(seed)
        {
            QObject::connect(&m_timer, &QTimer::timeout, [this] { injectNext(); });
            m_timer.start(1500);
        }

        void stop()
        {
            m_timer.stop();
            clearFaults();
        }

        std::map<std::string, int> counts;

    private:
        std::string pickRandom(const std::vector<std::string>& names) { return names[m_random.below(names.size())]; }

        void injectNext()
        {
            clearFaults();
            const auto engine = pickRandom(m_run.targetsOf(m_run.text()["services"][0]["name"]));
            const auto node = pickRandom(m_run.vms());
            switch (m_random.below(10)) {
            case 0:
                return killAndRestart(node, true);
            case 1:
                return killAndRestart(engine, false);
            case 2:
                return freeze(node, "node frozen");
            case 3:
                return freeze(engine, "engine frozen");
            case 4:
                return injectPlatformFault({ { "log", "down" } }, "log down");
            case 5:
                return injectPlatformFault({ { "log", "lose_answers" } }, "log loses answers");
            case 6:
                return injectPlatformFault({ { "vm_list", "down" }, { "log", "slow" } }, "VM list down, log slow");
            case 7:
                ++counts["service loses an answer"];
                harness::callJson(m_run.targetAddress(pickRandom(m_run.targetsOf(m_run.text()["services"][1]["name"]))),
                    "POST", "/fault", { { "next", "lose_answer" } });
                return;
            case 8:
                ++counts["planned change of adapters"];
                m_run.publish({ { "services",
                    { { m_run.text()["services"][0]["name"].get<std::string>(),
                        { { "adapters", { "adapter-" + std::to_string(m_nextAdapter++) } } } } } } });
                return;
            default:
                ++counts["engine cuts a stream"];
                harness::callJson(m_run.targetAddress(engine), "POST", "/fault", { { "next", "cut" } });
            }
        }

        void killAndRestart(const std::string& name, bool isNode)
        {
            ++counts[isNode ? "node killed" : "engine killed"];
            m_run.kill(name);
            if (isNode)
                m_run.startNode(name);
            else
                m_run.startTarget(name);
        }

        void freeze(const std::string& name, const char* description)
        {
            ++counts[description];
            m_run.freeze(name);
            m_frozen.push_back(name);
        }

        void injectPlatformFault(const nlohmann::json& fault, const char* description)
        {
            ++counts[description];
            harness::callJson(m_run.platformAddress(), "POST", "/fault", fault);
        }

        void clearFaults()
        {
            for (const auto& name : m_frozen)
                m_run.thaw(name);
            m_frozen.clear();
            harness::callJson(m_run.platformAddress(), "POST", "/fault", { { "log", "up" }, { "vm_list", "up" } });
        }

        harness::deployment_run& m_run;
        random_source m_random;
        QTimer m_timer;
        int m_nextAdapter = 1;
        std::vector<std::string> m_frozen;
    };

}

int runFaults(const arguments& given)
{
    const auto deployment = given["deployment"].as<std::string>();
    harness::run_options options;
    options.textFile = "deploy/" + deployment + ".json";
    options.workDir = given["work-dir"].as<std::string>();
    options.nodes = given["nodes"].as<int>();
    harness::deployment_run run(options);
    const auto failure = run.start();
    if (!failure.empty()) {
        std::fprintf(stderr, "tamarack_lab: %s\n", failure.c_str());
        return 1;
    }
    const auto mix = mixFor(deployment, given);
    caller_mix callers(run, mix);
    fault_schedule faults(run, mix.seed);
    callers.start();
    harness::waitUntil([&] { return boot_clock::now() == instant(); }, fromSeconds(mix.seconds));
    faults.stop();
    harness::waitUntil([&] { return callers.isDone(); }, std::chrono::seconds(90));
    const auto result = callers.finish();
    const auto count = [&](harness::call_end end) { return result.ends[static_cast<std::size_t>(end)]; };
    std::printf("%s, %d nodes, %.0f s, seed %llu\n", deployment.c_str(), options.nodes, mix.seconds,
        static_cast<unsigned long long>(mix.seed));
    for (const auto& [name, occurrences] : faults.counts)
        std::printf("  %-28s %d\n", name.c_str(), occurrences);
    std::printf(
        "  sent %d  whole %d  lost %d  wrong %d  doubled %d  refused for good %d  unknown %d (of %d keyed whole)  "
        "tries beyond the first %d  resumed %d\n",
        result.sent, count(harness::call_end::whole), count(harness::call_end::lost), count(harness::call_end::wrong),
        result.duplicatedKeys, count(harness::call_end::refused), count(harness::call_end::unknown),
        result.completedKeyed, result.retries, result.resumes);
    int staleOrders = 0;
    int cutByChange = 0;
    for (const auto& target : run.targetsOf(run.text()["services"][0]["name"])) {
        const auto status = run.targetStatus(target);
        if (!status.is_object())
            continue;
        staleOrders += status.value("stale_orders", 0);
        cutByChange += status.value("cut_by_change", 0);
    }
    std::printf(
        "  stale orders that reached an engine %d  requests cut by planned changes %d\n", staleOrders, cutByChange);
    for (const auto& [detail, occurrences] : result.failureDetails)
        std::printf("  %d x %s\n", occurrences, detail.substr(0, 120).c_str());
    return count(harness::call_end::lost) + count(harness::call_end::wrong) + result.duplicatedKeys == 0 ? 0 : 1;
}

}
