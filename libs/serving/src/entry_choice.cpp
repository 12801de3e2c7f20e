// Implements the choice of entry addresses by systematic sampling with probabilities proportional to weight.
#include "serving/entry_choice.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>

namespace tamarack::serving {

namespace {

    /// Assumed average use of a VM by one request, with the messages between nodes. The values are the same for all
    /// nodes, so they decide only which resource of a VM runs out first.
    constexpr double processorSecondsPerRequest = 0.002;
    constexpr double megabitsPerRequest = 0.08;
    constexpr double descriptorSecondsPerRequest = 10;
    /// Above this share of its processor a node answers later, because requests wait for each other.
    constexpr double busyThreshold = 0.6;
    /// A node that reports full use still gets callers: the report is up to some heartbeats old.
    constexpr double minWeightShare = 0.1;
    /// Nodes of the caller's zone in one answer. With fewer, callers of a node that fails have few other addresses;
    /// with more, small nodes get as many callers as large ones.
    constexpr std::size_t ownZoneEntries = 12;
    /// Steps of this size visit all offsets evenly, whatever the number of answers.
    constexpr double goldenStep = 0.6180339887498949;
    constexpr std::uint64_t seedRange = 1024;

    std::string addressOf(const node_state& node) { return node.address + ":" + std::to_string(node.callerPort); }

    double sumOf(const std::vector<double>& values) { return std::accumulate(values.begin(), values.end(), 0.0); }

    /// The probabilities with which `count` of the nodes are chosen: proportional to the weights, and at most 1.
    std::vector<double> inclusionProbabilities(std::vector<double> weights, std::size_t count)
    {
        std::vector<double> out(weights.size(), 0);
        double left = static_cast<double>(std::min(count, weights.size()));
        // Nodes whose share exceeds 1 are in every answer; the others share what is left.
        for (bool isFinal = false; !isFinal;) {
            isFinal = true;
            const double sum = sumOf(weights);
            const double scale = sum > 0 ? left / sum : 0;
            for (std::size_t i = 0; i < weights.size(); ++i) {
                if (weights[i] <= 0 || weights[i] * scale < 1)
                    continue;
                out[i] = 1;
                weights[i] = 0;
                left -= 1;
                isFinal = false;
            }
            if (!isFinal)
                continue;
            for (std::size_t i = 0; i < weights.size(); ++i)
                out[i] = std::max(out[i], weights[i] * scale);
        }
        return out;
    }

    /// Each node has a part of a line, as long as its probability; the points at `offset`, `offset` + 1 and so on
    /// choose.
    void appendSample(
        const std::vector<const node_state*>& nodes, std::size_t count, double offset, std::vector<std::string>& out)
    {
        std::vector<double> weights;
        for (const auto* node : nodes)
            weights.push_back(entryWeight(*node));
        const auto probabilities = inclusionProbabilities(std::move(weights), count);
        double next = offset;
        double passed = 0;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            passed += probabilities[i];
            if (passed <= next && probabilities[i] < 1)
                continue;
            out.push_back(addressOf(*nodes[i]));
            next += 1;
        }
    }

    double weightOf(const std::vector<const node_state*>& nodes)
    {
        return std::accumulate(nodes.begin(), nodes.end(), 0.0,
            [](double sum, const node_state* node) { return sum + entryWeight(*node); });
    }

    double capacityOf(const std::vector<const node_state*>& nodes)
    {
        return std::accumulate(nodes.begin(), nodes.end(), 0.0,
            [](double sum, const node_state* node) { return sum + node->requestsPerSecond; });
    }

    /// The share of its callers that a zone should send to other zones: none while it is as free as they are.
    double overflowShare(const std::vector<const node_state*>& own, const std::vector<const node_state*>& others)
    {
        const double ownShare = weightOf(own) / std::max(1.0, capacityOf(own));
        const double othersShare = weightOf(others) / std::max(1.0, capacityOf(others));
        return ownShare >= 1 || othersShare <= ownShare ? 0 : 1 - ownShare / othersShare;
    }

}

std::uint32_t requestCapacity(const vm_resources& resources)
{
    double least = std::numeric_limits<double>::max();
    const auto bound = [&least](double amount, double perRequest) {
        if (amount > 0)
            least = std::min(least, amount / perRequest);
    };
    bound(resources.processorShare, processorSecondsPerRequest);
    bound(resources.linkMegabits, megabitsPerRequest);
    bound(resources.descriptors, descriptorSecondsPerRequest);
    if (least == std::numeric_limits<double>::max())
        return 0;
    return static_cast<std::uint32_t>(std::clamp(least, 1.0, 1e9));
}

bool haveUnevenCapacity(const std::vector<node_state>& nodes)
{
    const bool areKnown
        = std::all_of(nodes.begin(), nodes.end(), [](const node_state& node) { return node.requestsPerSecond > 0; });
    return areKnown && std::any_of(nodes.begin(), nodes.end(), [&](const node_state& node) {
        return node.requestsPerSecond != nodes.front().requestsPerSecond;
    });
}

double entryWeight(const node_state& node)
{
    const double busy = std::min(100, static_cast<int>(node.busyPercent)) / 100.0;
    const double free = std::clamp((1 - busy) / (1 - busyThreshold), minWeightShare, 1.0);
    return node.requestsPerSecond * free;
}

entry_choice::entry_choice(std::uint64_t seed)
    : m_seed(seed)
{
}

std::vector<std::string> entry_choice::choose(
    const std::vector<node_state>& ready, std::string_view zone, std::size_t most)
{
    const auto turn = m_answers++;
    std::vector<const node_state*> own;
    std::vector<const node_state*> others;
    std::map<std::string_view, std::vector<const node_state*>> byZone;
    for (const auto& node : ready) {
        if (node.availabilityZone == zone)
            own.push_back(&node);
        else {
            others.push_back(&node);
            byZone[node.availabilityZone].push_back(&node);
        }
    }
    if (!haveUnevenCapacity(ready) || own.empty() || most <= byZone.size())
        return entryAddresses(ready, most, turn);
    const auto ownCount = std::min({ ownZoneEntries, own.size(), most - byZone.size() });
    const double overflow = overflowShare(own, others);
    // Of n addresses in all, the part `overflow` belongs to other zones.
    const auto wanted = static_cast<double>(ownCount) * overflow / std::max(0.1, 1 - overflow);
    const auto otherCount = std::min(most - ownCount, std::max(byZone.size(), static_cast<std::size_t>(wanted)));
    double unused = 0;
    const double offset = std::modf(
        static_cast<double>(m_seed % seedRange) / seedRange + static_cast<double>(turn) * goldenStep, &unused);
    std::vector<std::string> out;
    appendSample(own, ownCount, offset, out);
    std::size_t left = otherCount;
    std::size_t zonesLeft = byZone.size();
    for (const auto& [name, nodes] : byZone) {
        const auto count = (left + zonesLeft - 1) / zonesLeft;
        appendSample(nodes, count, offset, out);
        left -= count;
        --zonesLeft;
    }
    return out;
}

}
