// Simulates fleets in virtual time with the decisions of all nodes and prints the results for callers, for the users'
// fleets or for random fleets. It asserts nothing.
#include "random_fleets.h"
#include "users_fleets.h"

#include <algorithm>
#include <atomic>
#include <boost/program_options.hpp>
#include <cstdio>
#include <functional>
#include <numeric>
#include <string>
#include <thread>

using namespace tamarack;
using namespace tamarack::serving::tests;

namespace {

struct named_fleet {
    const char* name;
    fleet_profile (*make)();
};

constexpr named_fleet fleets[] {
    { "vodoslet", vodosletFleet },
    { "ahnenhaus", ahnenhausFleet },
    { "larrain", larrainFleet },
    { "vodoslet-grown", vodosletGrownFleet },
    { "ahnenhaus-grown", ahnenhausGrownFleet },
    { "larrain-grown", larrainGrownFleet },
    { "vodoslet-large", vodosletLargeFleet },
};

struct bench_options {
    int seeds = 2;
    int firstSeed = 1;
    int jobs = 4;
    int randomFleets = 0;
    int nodes = 0; ///< 0: as in the profile of the fleet
    double lengthSeconds = 34;
    double lostShare = 0.1; ///< share of the engines that are lost for 2 s in the middle
    double prefillShare = 0; ///< 0: as in the profile of the fleet
    double restartedShare = 0; ///< share of the nodes that restart in the middle
    double loadFactor = 1;
    bool lacksSnapshot = false; ///< restarted nodes get no snapshot of the cache contents
    bool keepsRoles = false;
    bool isCompact = false; ///< one line per fleet, for comparisons
    std::string onlyFleet;
};

void add(kind_result& to, const kind_result& from)
{
    to.asked += from.asked;
    to.onTime += from.onTime;
    to.lateFirst += from.lateFirst;
    to.lateForPause += from.lateForPause;
    to.refused += from.refused;
    to.failed += from.failed;
    to.left += from.left;
    to.owed += from.owed;
    to.earned += from.earned;
    to.unreachable += from.unreachable;
    to.owedUnreachable += from.owedUnreachable;
    to.largest.owed += from.largest.owed;
    to.largest.earned += from.largest.earned;
}

void add(fleet_result& sum, const fleet_result& one)
{
    sum.kinds.resize(one.kinds.size());
    for (std::size_t i = 0; i < one.kinds.size(); ++i)
        add(sum.kinds[i], one.kinds[i]);
    sum.owed += one.owed;
    sum.earned += one.earned;
    sum.prefilledTokens += one.prefilledTokens;
    sum.recomputedTokens += one.recomputedTokens;
    sum.transferredGigabytes += one.transferredGigabytes;
    sum.roleChanges += one.roleChanges;
    sum.connections += one.connections;
}

double share(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

void print(const std::string& name, const fleet_result& result)
{
    std::printf("%-16s earned %.4f  prefilled %.1f M tokens, recomputed %.2f M, transferred %.0f GB, %d role changes, "
                "%lld connections\n",
        name.c_str(), result.earned / result.owed, result.prefilledTokens / 1e6, result.recomputedTokens / 1e6,
        result.transferredGigabytes, result.roleChanges, static_cast<long long>(result.connections));
    for (const auto& kind : result.kinds) {
        std::printf("    asked %7lld earned %.4f  late for the first event %.4f, for a pause %.4f, refused %.4f, "
                    "failed %.4f, left %.4f; bound %.4f; largest tenth %.4f\n",
            static_cast<long long>(kind.asked), kind.earned / kind.owed, share(kind.lateFirst, kind.asked),
            share(kind.lateForPause, kind.asked), share(kind.refused, kind.asked), share(kind.failed, kind.asked),
            share(kind.left, kind.asked), 1 - kind.owedUnreachable / kind.owed,
            kind.largest.earned / kind.largest.owed);
    }
}

/// Runs `task` for 0 to `count` - 1 on `jobs` threads.
void runInParallel(int count, int jobs, const std::function<void(int)>& task)
{
    std::atomic<int> next = 0;
    std::vector<std::thread> threads;
    for (int i = 0; i < std::max(1, jobs); ++i) {
        threads.emplace_back([&] {
            for (int at = next++; at < count; at = next++)
                task(at);
        });
    }
    for (auto& thread : threads)
        thread.join();
}

fleet_profile withOverrides(fleet_profile profile, const bench_options& given)
{
    if (given.prefillShare > 0)
        profile.prefillShare = given.prefillShare;
    if (given.nodes > 0)
        profile.nodes = given.nodes;
    if (given.keepsRoles)
        profile.changesRoles = false;
    for (auto& kind : profile.kinds)
        kind.perSecond *= given.loadFactor;
    return profile;
}

fleet_result simulateUsersFleet(const named_fleet& fleet, int seed, const bench_options& given)
{
    auto profile = withOverrides(fleet.make(), given);
    const auto halfTime = fromSeconds(given.lengthSeconds / 2);
    if (given.restartedShare > 0)
        profile.restarts = { { halfTime, given.restartedShare, !given.lacksSnapshot } };
    if (given.lostShare > 0)
        profile.losses = { { halfTime, halfTime + std::chrono::seconds(2), given.lostShare } };
    return fleet_model(std::move(profile), static_cast<std::uint64_t>(seed)).run(fromSeconds(given.lengthSeconds));
}

void benchUsers(const bench_options& given)
{
    for (const auto& fleet : fleets) {
        if (!given.onlyFleet.empty() && given.onlyFleet != fleet.name)
            continue;
        std::vector<fleet_result> results(static_cast<std::size_t>(given.seeds));
        runInParallel(given.seeds, given.jobs, [&](int at) {
            results[static_cast<std::size_t>(at)] = simulateUsersFleet(fleet, given.firstSeed + at, given);
        });
        fleet_result sum;
        for (const auto& result : results)
            add(sum, result);
        if (given.isCompact)
            std::printf("%s %.4f\n", fleet.name, sum.earned / sum.owed);
        else
            print(fleet.name, sum);
    }
}

/// Prints the mean, the mean of the lowest tenth, and the lowest share.
void printShares(std::vector<double> shares)
{
    std::sort(shares.begin(), shares.end());
    const auto worst = std::max<std::size_t>(1, shares.size() / 10);
    const auto mean = [&](std::size_t count) {
        return std::accumulate(shares.begin(), shares.begin() + static_cast<std::ptrdiff_t>(count), 0.0)
            / static_cast<double>(count);
    };
    std::printf("%zu random fleets: mean share of worth %.4f, worst tenth %.4f, lowest %.4f\n", shares.size(),
        mean(shares.size()), mean(worst), shares.front());
}

void benchRandom(const bench_options& given)
{
    const auto count = static_cast<std::size_t>(given.randomFleets);
    std::vector<fleet_result> results(count);
    const auto length = fromSeconds(given.lengthSeconds);
    runInParallel(given.randomFleets, given.jobs, [&](int at) {
        const auto seed = static_cast<std::uint64_t>(given.firstSeed + at);
        results[static_cast<std::size_t>(at)]
            = fleet_model(withOverrides(randomFleet(seed, length), given), seed).run(length);
    });
    std::vector<double> shares;
    for (std::size_t i = 0; i < count; ++i) {
        const auto seed = static_cast<std::uint64_t>(given.firstSeed) + i;
        shares.push_back(results[i].earned / results[i].owed);
        if (given.isCompact)
            std::printf("%llu %.4f\n", static_cast<unsigned long long>(seed), shares.back());
        else
            print("random " + std::to_string(seed), results[i]);
    }
    printShares(std::move(shares));
}

}

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    bench_options given;
    options::options_description description("serving_bench");
    description.add_options()("seeds", options::value(&given.seeds), "number of seeds of each of the users' fleets");
    description.add_options()("random", options::value(&given.randomFleets),
        "number of random fleets to simulate instead of the users' fleets");
    description.add_options()("first-seed", options::value(&given.firstSeed), "first of the consecutive seeds");
    description.add_options()("jobs", options::value(&given.jobs), "number of simulations to run at a time");
    description.add_options()("seconds", options::value(&given.lengthSeconds), "simulated time of each run");
    description.add_options()("load", options::value(&given.loadFactor), "factor of the request rate");
    description.add_options()(
        "loss", options::value(&given.lostShare), "share of the engines lost for 2 s in the middle");
    description.add_options()("reading-share", options::value(&given.prefillShare),
        "share of the engines that start as prefill engines; 0: as in the fleet's profile");
    description.add_options()("nodes", options::value(&given.nodes), "number of nodes; 0: as in the fleet's profile");
    description.add_options()("keep-roles", options::bool_switch(&given.keepsRoles), "no engine changes its role");
    description.add_options()(
        "restarts", options::value(&given.restartedShare), "share of the nodes that restart in the middle");
    description.add_options()(
        "untold", options::bool_switch(&given.lacksSnapshot), "restarted nodes get no snapshot of the cache contents");
    description.add_options()("only", options::value(&given.onlyFleet), "run only the fleet of this name");
    description.add_options()("plain", options::bool_switch(&given.isCompact), "print one line per fleet");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (given.randomFleets > 0)
        benchRandom(given);
    else
        benchUsers(given);
    return 0;
}
