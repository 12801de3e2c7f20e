// Subsetting, admission limits, cost model and choice of targets.
#include "decide/router.h"

#include "base/contract.h"
#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

    constexpr double crossZoneSeconds = 0.003; // round trip between zones, about 1.5 ms one way
    constexpr double slowStartSeconds = 0.2; // cost penalty while a target is in slow start
    /// Largest prefill backlog of an engine, in prompt pieces, at which it is sent another request. Beyond that,
    /// requests wait at this node, where their order can still change.
    constexpr double maxPrefillPieces = 6;
    constexpr double maxUrgentPrefillPieces = 12;

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
        const bool usesAllTargets = config.services[s].targets.size() <= maxSubset;
        for (auto& zone : byZone) {
            std::sort(zone.rbegin(), zone.rend());
            const auto taken = usesAllTargets ? zone.size() : std::min(zone.size(), perZone);
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
    const service_entry& service, const policy_entry& policy, const routing_request& request, std::uint32_t row)
{
    const auto shareOf
        = [&](double share) { return std::max(1, static_cast<int>(std::lround(service.slots * share))); };
    const int nested = shareOf(policy.nestedShare);
    const int common = service.slots - nested;
    // Some slots are reserved for nested calls to prevent a deadlock in which outer calls occupy every slot and wait
    // for nested calls that find none. Each reserved slot admits one depth and all greater depths, alternating over the
    // targets of the fleet, so that the deepest calls have slots that no shallower call can occupy.
    if (request.shape.depth > 0) {
        int usable = 0;
        for (int i = 0; i < nested; ++i)
            usable += 1 + (static_cast<int>(row) * nested + i) % policy.maxDepth <= request.shape.depth;
        return std::max(1, common + usable);
    }
    if (request.shape.isUrgent || request.isAged)
        return std::max(1, common);
    return std::max(1, common - shareOf(policy.urgentShare));
}

bool router::isAdmissible(target_id id, const routing_request& request, const service_entry& service, int limit,
    const target_table& targets, instant now) const
{
    if (!targets.acceptsWork(id, now))
        return false;
    if (targets.runningEstimate(id, now) + 1 > limit)
        return false;
    if (!service.isEngine() || request.stage == request_stage::decode)
        return true;
    const double pieces = targets.prefillEstimate(id, now) / service.pieceTokens;
    return pieces <= (request.shape.isUrgent ? maxUrgentPrefillPieces : maxPrefillPieces);
}

namespace {

    /// Predicted execution time in seconds of the request at an engine of this role, without queueing. A decode engine
    /// prefills in small parts between tokens, a mixed engine prefills a whole piece between two tokens, and a prefill
    /// engine generates one token every few pieces.
    double executionSeconds(
        const request_shape& shape, request_stage stage, const service_entry& service, engine_role role)
    {
        constexpr double decodeRoleStepsPerPiece = 8;
        constexpr double prefillRolePiecesPerToken = 4;
        constexpr double mixedRoleSlowdown = 2; // typical factor, since prefill is interleaved with some of the tokens
        const double pieceSeconds = service.pieceTokens / service.prefillTokensPerSecond;
        const auto prompt = stage == request_stage::decode ? 0.0 : static_cast<double>(shape.promptTokens);
        const auto output = stage == request_stage::prefill ? 0.0 : static_cast<double>(shape.outputTokens);
        double prefill = prompt / service.prefillTokensPerSecond;
        double tokenSeconds = service.tokenInterval;
        if (role == engine_role::decode)
            prefill += prompt / service.pieceTokens * decodeRoleStepsPerPiece * service.tokenInterval;
        if (role == engine_role::mixed)
            tokenSeconds *= mixedRoleSlowdown;
        if (role == engine_role::prefill) // further prompts arrive there continuously
            tokenSeconds += prefillRolePiecesPerToken * pieceSeconds;
        return prefill + output * tokenSeconds;
    }

}

double router::cost(target_id id, const routing_request& request, const service_entry& service,
    const target_table& targets, instant now) const
{
    const auto row = id.value;
    const double running = targets.runningEstimate(id, now);
    double total = running * service.requestSeconds / service.slots;
    if (service.isEngine()) {
        const double queuedPrefill = targets.prefillEstimate(id, now);
        total = running * service.tokenInterval + queuedPrefill / service.prefillTokensPerSecond
            + executionSeconds(request.shape, request.stage, service, targets.role[row]);
    }
    if (targets.zone[row] != m_zone)
        total += crossZoneSeconds;
    if (now < targets.slowStartUntil[row])
        total += slowStartSeconds;
    if (id == request.avoid)
        total += 1000;
    return total;
}

target_id router::affinityTarget(const routing_request& request, const target_table& targets) const
{
    std::uint64_t highestWeight = 0;
    target_id best;
    for (const auto row : m_candidates) {
        const auto weight = (targets.nameHash[row] ^ request.shape.prefixHash) * 0x9e3779b97f4a7c15ULL;
        if (!best.isValid() || weight > highestWeight) {
            highestWeight = weight;
            best = { row };
        }
    }
    return best;
}

target_id router::cheaperOfTwo(
    const routing_request& request, const service_entry& service, const target_table& targets, instant now)
{
    const auto count = m_candidates.size();
    const auto first = m_random.below(count);
    const auto second = (first + 1 + m_random.below(std::max<std::size_t>(1, count - 1))) % count;
    const target_id a { m_candidates[first] };
    const target_id b { m_candidates[second] };
    return cost(a, request, service, targets, now) <= cost(b, request, service, targets, now) ? a : b;
}

// If engines have several roles, two random candidates often both have an unsuitable role, so all candidates are
// compared. The noise prevents nodes with the same stale loads from all choosing the same engine.
target_id router::cheapestCandidate(
    const routing_request& request, const service_entry& service, const target_table& targets, instant now)
{
    constexpr double noise = 0.1;
    target_id best;
    double lowest = 0;
    for (const auto row : m_candidates) {
        const double noisyCost = cost({ row }, request, service, targets, now) * (1 + noise * m_random.unit());
        if (!best.isValid() || noisyCost < lowest) {
            best = { row };
            lowest = noisyCost;
        }
    }
    return best;
}

bool router::hasSeveralRoles(const target_table& targets) const
{
    const auto first = targets.role[m_candidates.front()];
    return std::any_of(m_candidates.begin(), m_candidates.end(), [&](auto row) { return targets.role[row] != first; });
}

routing_choice router::choose(
    const routing_request& request, const deployment& config, const target_table& targets, instant now)
{
    const auto& service = config.services[request.shape.service.value];
    const auto withCost = [&](target_id id) { return routing_choice { id, cost(id, request, service, targets, now) }; };
    if (m_rule == routing_rule::round_robin)
        return withCost({ m_candidates[m_roundRobinIndex++ % m_candidates.size()] });
    if (m_rule == routing_rule::least_in_flight) {
        const auto hasFewerInFlight
            = [&](std::uint32_t a, std::uint32_t b) { return targets.ownRunning[a] < targets.ownRunning[b]; };
        return withCost({ *std::min_element(m_candidates.begin(), m_candidates.end(), hasFewerInFlight) });
    }
    const bool hasPrefix = request.shape.prefixHash != 0 && request.stage != request_stage::decode;
    if (m_rule == routing_rule::prefix_only && hasPrefix)
        return withCost(affinityTarget(request, targets));
    const routing_choice cheaper = withCost(hasSeveralRoles(targets) ? cheapestCandidate(request, service, targets, now)
                                                                     : cheaperOfTwo(request, service, targets, now));
    if (!hasPrefix)
        return cheaper;
    const routing_choice affine = withCost(affinityTarget(request, targets));
    return affine.seconds - cheaper.seconds <= config.policy.affinityLoadGap ? affine : cheaper;
}

void router::collectCandidates(
    const routing_request& request, role_set roles, const deployment& config, const target_table& targets, instant now)
{
    const auto& service = config.services[request.shape.service.value];
    m_candidates.clear();
    for (const auto row : subset(request.shape.service)) {
        if (!roles.has(targets.role[row]))
            continue;
        const int limit = slotLimit(service, config.policy, request, row);
        if (isAdmissible({ row }, request, service, limit, targets, now))
            m_candidates.push_back(row);
    }
}

routing_choice router::pick(
    const routing_request& request, role_set roles, const deployment& config, const target_table& targets, instant now)
{
    collectCandidates(request, roles, config, targets, now);
    if (m_candidates.empty())
        return {};
    return choose(request, config, targets, now);
}

}
