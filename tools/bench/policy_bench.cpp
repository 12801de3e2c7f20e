// Prints the tables of docs/POLICY.md, which compare the shipped policy with baselines and with perfect foresight over
// a number of seeds.
#include "policy_simulation.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cmath>
#include <cstdio>
#include <iostream>

namespace {

using namespace tamarack;
using namespace tamarack::bench;
namespace options = boost::program_options;

const std::vector<policy_variant> variants {
    { "shipped", split_rule::planner, routing_rule::two_choices },
    { "round robin", split_rule::planner, routing_rule::round_robin },
    { "least in flight", split_rule::planner, routing_rule::least_in_flight },
    { "prefix alone", split_rule::planner, routing_rule::prefix_only },
    { "fixed, 3 roles", split_rule::fixed, routing_rule::two_choices },
    { "fixed, pure", split_rule::fixed, routing_rule::two_choices, true },
    { "threshold", split_rule::threshold, routing_rule::two_choices },
    { "threshold, pure", split_rule::threshold, routing_rule::two_choices, true },
    { "no roles", split_rule::mixed, routing_rule::two_choices },
    { "foresight, pure", split_rule::foresight, routing_rule::two_choices, true },
};

double quantile(std::vector<double>& values, double q)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(q * static_cast<double>(values.size())))];
}

/// Values of one measure, one per seed.
struct sample {
    std::vector<double> values;

    double mean() const
    {
        double sum = 0;
        for (const double v : values)
            sum += v;
        return values.empty() ? 0 : sum / static_cast<double>(values.size());
    }
    /// Sample standard deviation.
    double deviation() const
    {
        double sum = 0;
        for (const double v : values)
            sum += (v - mean()) * (v - mean());
        return values.size() < 2 ? 0 : std::sqrt(sum / static_cast<double>(values.size() - 1));
    }
};

void append(std::vector<double>& to, const std::vector<double>& from) { to.insert(to.end(), from.begin(), from.end()); }

void runWorkload(const std::string& name, int seeds, const std::string& only)
{
    std::printf("\n%s, %d seeds\n", name.c_str(), seeds);
    std::printf("%-18s %-16s %7s %7s %7s %7s %7s %7s %7s %7s %7s %8s %8s %9s %8s\n", "", "goodput %", "u p50", "u p95",
        "u p99", "p99 out", "p99 in", "TTFT50", "TTFT95", "gap50", "gap95", "changes", "refused", "late", "fairness");
    for (const auto& variant : variants) {
        if (!only.empty() && variant.name != only)
            continue;
        sample goodput, changes, refused, late, fairness;
        std::vector<double> urgent, inside, outside, first, gap;
        for (int seed = 1; seed <= seeds; ++seed) {
            const auto load = makeWorkload(name, static_cast<std::uint64_t>(seed));
            auto result = policy_simulation(load, variant, static_cast<std::uint64_t>(seed)).run();
            goodput.values.push_back(100.0 * result.inTime / result.offered);
            changes.values.push_back(result.roleChanges);
            refused.values.push_back(result.refused);
            late.values.push_back(result.late);
            fairness.values.push_back(result.fairness);
            append(urgent, result.urgent);
            append(inside, result.urgentInShift);
            append(outside, result.urgentOutside);
            append(first, result.first);
            append(gap, result.gap);
        }
        std::printf(
            "%-18s %6.2f +- %-6.2f %7.3f %7.3f %7.3f %7.3f %7.3f %7.3f %7.3f %7.3f %7.3f %8.1f %8.1f %9.1f %8.4f\n",
            variant.name.c_str(), goodput.mean(), goodput.deviation(), quantile(urgent, 0.5), quantile(urgent, 0.95),
            quantile(urgent, 0.99), quantile(outside, 0.99), quantile(inside, 0.99), quantile(first, 0.5),
            quantile(first, 0.95), quantile(gap, 0.5), quantile(gap, 0.95), changes.mean(), refused.mean(), late.mean(),
            fairness.mean());
        std::fflush(stdout);
    }
}

}

int main(int argc, char** argv)
{
    int seeds = 10;
    std::string workload;
    std::string only;
    options::options_description description("policy_bench");
    description.add_options()("help,h", "print this and exit")("seeds", options::value(&seeds),
        "number of seeds of each workload")("workload", options::value(&workload), "run only this workload")(
        "only", options::value(&only), "run only this policy variant");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, description), given);
    options::notify(given);
    if (given.count("help")) {
        std::cout << description;
        return 0;
    }
    for (const auto& name : workloadNames()) {
        if (workload.empty() || workload == name)
            runWorkload(name, seeds, only);
    }
    return 0;
}
