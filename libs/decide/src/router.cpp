// Target choice.
#include "decide/router.h"

#include "base/contract.h"
#include "base/hash.h"

#include <algorithm>
#include <cmath>

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

int router::slotLimit(
    const service_entry& service, const policy_entry& policy, const routing_need& need, std::uint32_t row)
{
    const auto shareOf
        = [&](double share) { return std::max(1, static_cast<int>(std::lround(service.slots * share))); };
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

namespace {

    /// Seconds that the request itself would take at an engine of this role. A decode engine reads prompts in small
    /// parts between tokens; a mixed one reads a whole piece between two tokens; a prefill one writes a token every few
    /// pieces.
    double ownSeconds(const request_shape& shape, request_stage stage, const service_entry& service, engine_role role)
    {
        constexpr double decodeRoleParts = 8;
        constexpr double prefillRolePieces = 4;
        constexpr double mixedRolePace = 2; // usual, prompts being read between some of the tokens
        const double pieceSeconds = service.pieceTokens / service.prefillTokensPerSecond;
        const auto prompt = stage == request_stage::decode ? 0.0 : static_cast<double>(shape.promptTokens);
        const auto output = stage == request_stage::prefill ? 0.0 : static_cast<double>(shape.outputTokens);
        double prefill = prompt / service.prefillTokensPerSecond;
        double tokenSeconds = service.tokenInterval;
        if (role == engine_role::decode)
            prefill += prompt / service.pieceTokens * decodeRoleParts * service.tokenInterval;
        if (role == engine_role::mixed)
            tokenSeconds *= mixedRolePace;
        if (role == engine_role::prefill) // more prompts come there all the time
            tokenSeconds += prefillRolePieces * pieceSeconds;
        return prefill + output * tokenSeconds;
    }

}

double router::cost(target_id id, const routing_need& need, const service_entry& service, const target_table& targets,
    instant now) const
{
    const auto row = id.value;
    const double running = targets.runningEstimate(id, now);
    double total = running * service.requestSeconds / service.slots;
    if (service.isEngine()) {
        const double before = targets.prefillEstimate(id, now);
        total = running * service.tokenInterval + before / service.prefillTokensPerSecond
            + ownSeconds(need.shape, need.stage, service, targets.role[row]);
    }
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

// Among engines of several roles two random ones are often both of the wrong role, so all candidates are looked at. The
// noise keeps nodes that know the same stale loads from choosing the same engine.
target_id router::cheapest(
    const routing_need& need, const service_entry& service, const target_table& targets, instant now)
{
    constexpr double noise = 0.1;
    target_id best;
    double lowest = 0;
    for (const auto row : m_candidates) {
        const double price = cost({ row }, need, service, targets, now) * (1 + noise * m_random.unit());
        if (!best.isValid() || price < lowest) {
            best = { row };
            lowest = price;
        }
    }
    return best;
}

bool router::hasMixedRoles(const target_table& targets) const
{
    const auto first = targets.role[m_candidates.front()];
    return std::any_of(m_candidates.begin(), m_candidates.end(), [&](auto row) { return targets.role[row] != first; });
}

routing_choice router::choose(
    const routing_need& need, const deployment& config, const target_table& targets, instant now)
{
    const auto& service = config.services[need.shape.service.value];
    const auto priced = [&](target_id id) { return routing_choice { id, cost(id, need, service, targets, now) }; };
    if (m_rule == routing_rule::round_robin)
        return priced({ m_candidates[m_turn++ % m_candidates.size()] });
    if (m_rule == routing_rule::least_in_flight) {
        const auto fewer
            = [&](std::uint32_t a, std::uint32_t b) { return targets.ownRunning[a] < targets.ownRunning[b]; };
        return priced({ *std::min_element(m_candidates.begin(), m_candidates.end(), fewer) });
    }
    const bool hasPrefix = need.shape.prefixHash != 0 && need.stage != request_stage::decode;
    if (m_rule == routing_rule::prefix_only && hasPrefix)
        return priced(usualPlace(need, targets));
    const routing_choice cheaper = priced(
        hasMixedRoles(targets) ? cheapest(need, service, targets, now) : cheaperOfTwo(need, service, targets, now));
    if (!hasPrefix)
        return cheaper;
    const routing_choice usual = priced(usualPlace(need, targets));
    return usual.seconds - cheaper.seconds <= config.policy.affinityLoadGap ? usual : cheaper;
}

void router::collect(
    const routing_need& need, role_set roles, const deployment& config, const target_table& targets, instant now)
{
    const auto& service = config.services[need.shape.service.value];
    m_candidates.clear();
    for (const auto row : subset(need.shape.service)) {
        if (!roles.has(targets.role[row]))
            continue;
        const int limit = slotLimit(service, config.policy, need, row);
        if (isAdmissible({ row }, need, service, limit, targets, now))
            m_candidates.push_back(row);
    }
}

routing_choice router::pick(
    const routing_need& need, role_set roles, const deployment& config, const target_table& targets, instant now)
{
    collect(need, roles, config, targets, now);
    if (m_candidates.empty())
        return {};
    return choose(need, config, targets, now);
}

}
