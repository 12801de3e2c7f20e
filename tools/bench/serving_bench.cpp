// Plays the users' loads on the decisions of all nodes and prints what callers get. It asserts nothing.
#include "users_fleets.h"

#include <boost/program_options.hpp>
#include <cstdio>
#include <functional>
#include <map>
#include <string>

using namespace tamarack;
using namespace tamarack::serving::tests;

namespace {

struct named_fleet {
    const char* name;
    fleet_sheet (*make)();
};

constexpr named_fleet fleets[] {
    { "vodoslet", vodosletFleet },
    { "ahnenhaus", ahnenhausFleet },
    { "vodoslet-grown", vodosletGrownFleet },
    { "ahnenhaus-grown", ahnenhausGrownFleet },
};

void addTo(fleet_result& sum, const fleet_result& one)
{
    sum.kinds.resize(one.kinds.size());
    for (std::size_t i = 0; i < one.kinds.size(); ++i) {
        auto& to = sum.kinds[i];
        const auto& from = one.kinds[i];
        to.asked += from.asked;
        to.onTime += from.onTime;
        to.lateFirst += from.lateFirst;
        to.lateForPause += from.lateForPause;
        to.refused += from.refused;
        to.failed += from.failed;
        to.owed += from.owed;
        to.earned += from.earned;
        to.unreachable += from.unreachable;
        to.owedUnreachable += from.owedUnreachable;
    }
    sum.owed += one.owed;
    sum.earned += one.earned;
    sum.tokensRead += one.tokensRead;
    sum.beginningsReadAgain += one.beginningsReadAgain;
    sum.transferredGigabytes += one.transferredGigabytes;
}

double share(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

void print(const char* name, const fleet_result& result)
{
    std::printf("%-16s earned %.4f  read %.1f M, again %.2f M, moved %.0f GB\n", name, result.earned / result.owed,
        result.tokensRead / 1e6, result.beginningsReadAgain / 1e6, result.transferredGigabytes);
    for (const auto& kind : result.kinds) {
        std::printf(
            "    asked %7lld earned %.4f  late for the first event %.4f, for a pause %.4f, refused %.4f, failed "
            "%.4f; bound %.4f\n",
            static_cast<long long>(kind.asked), kind.earned / kind.owed, share(kind.lateFirst, kind.asked),
            share(kind.lateForPause, kind.asked), share(kind.refused, kind.asked), share(kind.failed, kind.asked),
            1 - kind.owedUnreachable / kind.owed);
    }
}

}

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    int seeds = 2;
    int firstSeed = 1;
    double length = 34;
    double loss = 0.1;
    double readingShare = 0;
    double restarts = 0;
    bool isUntold = false;
    std::string only;
    options::options_description described("serving_bench");
    described.add_options()("seeds", options::value(&seeds), "seeds of each fleet");
    described.add_options()("first-seed", options::value(&firstSeed), "the others follow it");
    described.add_options()("seconds", options::value(&length), "length of each day");
    described.add_options()("loss", options::value(&loss), "share of the engines lost for 2 s in the middle");
    described.add_options()(
        "reading-share", options::value(&readingShare), "of the engines read; 0: as the fleet starts");
    described.add_options()("restarts", options::value(&restarts), "share of the nodes started anew in the middle");
    described.add_options()("untold", options::bool_switch(&isUntold), "nobody tells them what the engines keep");
    described.add_options()("only", options::value(&only), "one fleet by name");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, described), given);
    options::notify(given);
    for (const auto& fleet : fleets) {
        if (!only.empty() && only != fleet.name)
            continue;
        fleet_result sum;
        for (int seed = firstSeed; seed < firstSeed + seeds; ++seed) {
            auto sheet = fleet.make();
            if (readingShare > 0)
                sheet.readingShare = readingShare;
            if (restarts > 0)
                sheet.restarts = { { fromSeconds(length / 2), restarts, !isUntold } };
            if (loss > 0)
                sheet.losses = { { fromSeconds(length / 2), fromSeconds(length / 2 + 2), loss } };
            addTo(sum, fleet_model(std::move(sheet), static_cast<std::uint64_t>(seed)).run(fromSeconds(length)));
        }
        print(fleet.name, sum);
    }
    return 0;
}
