// Target choice.
#include "decide/router.h"

#include "base/contract.h"
#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace tamarack {

namespace {

    constexpr double otherZoneSeconds = 0.003; // about a millisecond and a half one way
    constexpr double slowStartSeconds = 0.2; // extra cost while a target warms up
    /// Pieces of prompt that may be before a request at an engine; beyond them it waits here, where order can change.
    constexpr double prefillPieces = 6;
    constexpr double urgentPrefillPieces = 12;

    std::size_t zoneCount(const deployment& config)
    {
        return std::max<std::size_t>(1, config.availabilityZones.size());
    }

}

router::router(std::string vm, std::string availabilityZone, std::uint64_t seed, routing_rule rule)
    : m_vm(std::move(vm))
    , m_zoneName(std::move(availabilityZone))
    , m_random(seed)
    , m_rule(rule)
{
    m_candidates.reserve(maxSubset);
}

void router::assign(const deployment& config, const target_table& targets)
{
    const auto& zones = config.availabilityZones;
    m_zone = static_cast<std::int32_t>(std::find(zones.begin(), zones.end(), m_zoneName) - zones.begin());
    m_subsets.assign(config.services.size(), {});
    const std::size_t perZone = std::max<std::size_t>(1, maxSubset / zoneCount(config));
    for (std::size_t s = 0; s < config.services.size(); ++s) {
        std::vector<std::vector<std::pair<std::uint64_t, std::uint32_t>>> byZone(zoneCount(config) + 1);
        for (std::uint32_t row = 0; row < targets.size(); ++row) {
            if (targets.service[row] == static_cast<std::int32_t>(s))
                byZone[static_cast<std::size_t>(targets.zone[row])].emplace_back(
                    rendezvousWeight(m_vm, targets.name[row]), row);
        }
        const bool takesAll = config.services[s].targets.size() <= maxSubset;
        for (auto& zone : byZone) {
            std::sort(zone.rbegin(), zone.rend());
            const auto taken = takesAll ? zone.size() : std::min(zone.size(), perZone);
            for (std::size_t i = 0; i < taken; ++i)
                m_subsets[s].push_back(zone[i].second);
        }
    }
}

const std::vector<std::uint32_t>& router::subset(service_id service) const
{
    TAMARACK_ASSERT(service.value < m_subsets.size(), "service row out of range");
    return m_subsets[service.value];
}

bool router::isSplit(service_id service, const target_table& targets, instant now) const
{
    bool hasPrefill = false;
    bool hasDecode = false;
    for (const auto row : subset(service)) {
        if (!targets.takesWork({ row }, now))
            continue;
        hasPrefill |= targets.role[row] == engine_role::prefill;
        hasDecode |= targets.role[row] == engine_role::decode;
    }
    return hasPrefill && hasDecode;
}

int router::slotLimit(
    const service_entry& service, const policy_entry& policy, const routing_need& need, std::uint32_t row)
{
    const auto shareOf = [&](double share) { return std::max(1, static_cast<int>(std::lround(service.slots * share))); };
    const int nested = shareOf(policy.nestedShare);
    const int common = service.slots - nested;
    // What goes wrong without the nested share: outer calls fill every slot and wait for nested calls that find none,
    // and the fleet stands still. Each reserved slot is for one depth and deeper, in turn over the fleet's targets, so
    // that the deepest calls find a place that no shallower call can take.
    if (need.shape.depth > 0) {
        int open = 0;
        for (int i = 0; i < nested; ++i)
            open += 1 + (static_cast<int>(row) * nested + i) % policy.maxDepth <= need.shape.depth;
        return std::max(1, common + open);
    }
    if (need.shape.isUrgent || need.isAged)
        return std::max(1, common);
    return std::max(1, common - shareOf(policy.urgentShare));
}

bool router::isAdmissible(target_id id, const routing_need& need, const service_entry& service, int limit,
    const target_table& targets, instant now) const
{
    if (!targets.takesWork(id, now))
        return false;
    if (targets.runningEstimate(id, now) + 1 > limit)
        return false;
    if (!service.isEngine() || need.stage == request_stage::decode)
        return true;
    const double pieces = targets.prefillEstimate(id, now) / service.pieceTokens;
    return pieces <= (need.shape.isUrgent ? urgentPrefillPieces : prefillPieces);
}

double router::cost(target_id id, const routing_need& need, const service_entry& service, const target_table& targets,
    instant now) const
{
    const auto row = id.value;
    const double running = targets.runningEstimate(id, now);
    double total = running * service.requestSeconds / service.slots;
    if (service.isEngine())
        total = running * service.tokenInterval + targets.prefillEstimate(id, now) / service.prefillTokensPerSecond;
    if (targets.zone[row] != m_zone)
        total += otherZoneSeconds;
    if (now < targets.slowStartUntil[row])
        total += slowStartSeconds;
    if (id == need.avoid)
        total += 1000;
    return total;
}

target_id router::usualPlace(const routing_need& need, const target_table& targets) const
{
    std::uint64_t heaviest = 0;
    target_id best;
    for (const auto row : m_candidates) {
        const auto weight = (targets.nameHash[row] ^ need.shape.prefixHash) * 0x9e3779b97f4a7c15ULL;
        if (!best.isValid() || weight > heaviest) {
            heaviest = weight;
            best = { row };
        }
    }
    return best;
}

target_id router::cheaperOfTwo(
    const routing_need& need, const service_entry& service, const target_table& targets, instant now)
{
    const auto count = m_candidates.size();
    const auto first = m_random.below(count);
    const auto second = (first + 1 + m_random.below(std::max<std::size_t>(1, count - 1))) % count;
    const target_id a { m_candidates[first] };
    const target_id b { m_candidates[second] };
    return cost(a, need, service, targets, now) <= cost(b, need, service, targets, now) ? a : b;
}

target_id router::choose(const routing_need& need, const deployment& config, const target_table& targets, instant now)
{
    const auto& service = config.services[need.shape.service.value];
    if (m_rule == routing_rule::round_robin)
        return { m_candidates[m_turn++ % m_candidates.size()] };
    if (m_rule == routing_rule::least_in_flight) {
        const auto fewer
            = [&](std::uint32_t a, std::uint32_t b) { return targets.ownRunning[a] < targets.ownRunning[b]; };
        return { *std::min_element(m_candidates.begin(), m_candidates.end(), fewer) };
    }
    const bool hasPrefix = need.shape.prefixHash != 0 && need.stage != request_stage::decode;
    if (m_rule == routing_rule::prefix_only && hasPrefix)
        return usualPlace(need, targets);
    const target_id cheaper = cheaperOfTwo(need, service, targets, now);
    if (!hasPrefix)
        return cheaper;
    const target_id usual = usualPlace(need, targets);
    const double gap = cost(usual, need, service, targets, now) - cost(cheaper, need, service, targets, now);
    return gap <= config.policy.affinityLoadGap ? usual : cheaper;
}

void router::collect(const routing_need& need, std::optional<engine_role> role, const deployment& config,
    const target_table& targets, instant now)
{
    const auto& service = config.services[need.shape.service.value];
    m_candidates.clear();
    for (const auto row : subset(need.shape.service)) {
        if (role && targets.role[row] != *role)
            continue;
        const int limit = slotLimit(service, config.policy, need, row);
        if (isAdmissible({ row }, need, service, limit, targets, now))
            m_candidates.push_back(row);
    }
}

target_id router::pick(const routing_need& need, const deployment& config, const target_table& targets, instant now)
{
    std::optional<engine_role> role;
    if (need.stage == request_stage::prefill)
        role = engine_role::prefill;
    if (need.stage == request_stage::decode)
        role = engine_role::decode;
    collect(need, role, config, targets, now);
    // Every decode engine is full: engines of another role can write the answer too, if less evenly. Without this a shift
    // of the mix leaves one half of the fleet idle until roles have changed.
    if (m_candidates.empty() && need.stage == request_stage::decode)
        collect(need, std::nullopt, config, targets, now);
    if (m_candidates.empty())
        return {};
    return choose(need, config, targets, now);
}

}
