// Demand forecast and choice of role changes.
#include "decide/role_planner.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

    constexpr double levelSeconds = 5; // time constant of the demand level
    constexpr double trendSeconds = 20; // time constant of the demand trend
    constexpr double lookAheadSeconds = 10; // forecast horizon
    constexpr double minDirectionSeconds = 2; // hysteresis: the same change must be indicated for this long
    // Throughput of an idle engine on work of the other role, relative to an engine of that role.
    constexpr double decodeRolePrefillShare = 0.3;
    constexpr double prefillRoleDecodeShare = 0.15;

    double smoothingFactor(double elapsed, double constant) { return 1 - std::exp(-elapsed / constant); }

}

role_planner::role_planner(policy_entry policy, planning_rule rule)
    : m_policy(policy)
    , m_rule(rule)
{
}

double role_planner::servedDemand(const role_split& split, const role_demand& demand)
{
    double prefillLeft = std::max(0.0, demand.prefillEngines - split.prefill);
    double decodeLeft = std::max(0.0, demand.decodeEngines - split.decode);
    const double idlePrefill = std::max(0.0, split.prefill - demand.prefillEngines);
    const double idleDecode = std::max(0.0, split.decode - demand.decodeEngines);
    const double left = prefillLeft + decodeLeft;
    if (left > 0) {
        const double mixedShare = std::min(1.0, split.mixed / left);
        prefillLeft -= mixedShare * prefillLeft;
        decodeLeft -= mixedShare * decodeLeft;
    }
    prefillLeft = std::max(0.0, prefillLeft - decodeRolePrefillShare * idleDecode);
    decodeLeft = std::max(0.0, decodeLeft - prefillRoleDecodeShare * idlePrefill);
    // Each request needs both prefill and decode, so the scarcer of the two limits the total.
    const double prefillShare = demand.prefillEngines > 0 ? 1 - prefillLeft / demand.prefillEngines : 1;
    const double decodeShare = demand.decodeEngines > 0 ? 1 - decodeLeft / demand.decodeEngines : 1;
    return std::min(prefillShare, decodeShare) * (demand.prefillEngines + demand.decodeEngines);
}

void role_planner::updateSmoothed(smoothed& value, double sample, double elapsed) const
{
    if (!value.isSet) {
        value = { sample, 0, true };
        return;
    }
    const double former = value.level;
    value.level += smoothingFactor(elapsed, levelSeconds) * (sample - value.level);
    if (elapsed > 0)
        value.trend += smoothingFactor(elapsed, trendSeconds) * ((value.level - former) / elapsed - value.trend);
}

role_demand role_planner::forecast() const
{
    const auto ahead
        = [](const smoothed& value) { return std::max(0.0, value.level + value.trend * lookAheadSeconds); };
    return { ahead(m_prefill), ahead(m_decode), 0 };
}

bool role_planner::hasDwelled(const std::string& name, instant now) const
{
    const auto found = m_changedAt.find(name);
    return found == m_changedAt.end() || now >= found->second + fromSeconds(m_policy.roleDwell);
}

bool role_planner::keepsZoneRedundancy(const std::vector<planned_engine>& engines, const planned_engine& moved) const
{
    // After the change, the role that loses an engine must still have at least one engine if any one zone fails.
    std::map<std::string, int> byZone;
    int total = 0;
    for (const auto& engine : engines) {
        if (engine.role != moved.role || !engine.isAvailable || engine.name == moved.name)
            continue;
        ++byZone[engine.availabilityZone];
        ++total;
    }
    return std::all_of(byZone.begin(), byZone.end(), [&](const auto& zone) { return total - zone.second >= 1; })
        && total >= 1;
}

const planned_engine* role_planner::chooseEngine(
    const std::vector<planned_engine>& engines, engine_role from, instant now) const
{
    const bool weighsGain = m_rule == planning_rule::gain_over_horizon;
    std::map<std::string, int> perZone;
    for (const auto& engine : engines)
        perZone[engine.availabilityZone] += engine.role == from ? 1 : 0;
    const planned_engine* best = nullptr;
    for (const auto& engine : engines) {
        if (engine.role != from || !engine.isAvailable || engine.isChanging)
            continue;
        if (weighsGain && (!hasDwelled(engine.name, now) || !keepsZoneRedundancy(engines, engine)))
            continue;
        // Takes the engine from the zone with the most engines of the role, so that roles stay spread over the zones.
        if (!best || perZone[engine.availabilityZone] > perZone[best->availabilityZone])
            best = &engine;
    }
    return best;
}

std::optional<role_change> role_planner::plan(
    const std::vector<planned_engine>& engines, const role_demand& demand, instant now)
{
    const double elapsed = m_hasPlanned ? seconds(now - m_lastPlan) : 0;
    m_lastPlan = now;
    m_hasPlanned = true;
    updateSmoothed(m_prefill, demand.prefillEngines, elapsed);
    updateSmoothed(m_decode, demand.decodeEngines, elapsed);
    if (m_rule == planning_rule::fixed)
        return std::nullopt;

    role_split split;
    bool isChanging = false;
    for (const auto& engine : engines) {
        split.prefill += engine.isAvailable && engine.role == engine_role::prefill;
        split.decode += engine.isAvailable && engine.role == engine_role::decode;
        split.mixed += engine.isAvailable && engine.role == engine_role::mixed;
        isChanging |= engine.isChanging;
    }
    if (isChanging || split.prefill == 0 || split.decode == 0)
        return std::nullopt;

    const bool weighsGain = m_rule == planning_rule::gain_over_horizon;
    const role_demand expected = weighsGain ? forecast() : demand;
    const double currentlyServed = servedDemand(split, expected);
    const role_split towardsPrefill { split.prefill + 1, split.decode - 1, split.mixed };
    const role_split towardsDecode { split.prefill - 1, split.decode + 1, split.mixed };
    const double servedWithMorePrefill = split.decode > 1 ? servedDemand(towardsPrefill, expected) : 0;
    const double servedWithMoreDecode = split.prefill > 1 ? servedDemand(towardsDecode, expected) : 0;
    const int direction = servedWithMorePrefill > currentlyServed && servedWithMorePrefill >= servedWithMoreDecode ? 1
        : servedWithMoreDecode > currentlyServed                                                                   ? -1
                                                                                                                   : 0;
    if (direction != m_desiredDirection) {
        m_desiredDirection = direction;
        m_directionSince = now;
    }
    if (direction == 0)
        return std::nullopt;
    if (weighsGain) {
        // servedDemand() accounts neither for cached prefixes nor for how well routing absorbs the load, whereas the
        // refused demand reflects both.
        const double total = demand.prefillEngines + demand.decodeEngines;
        if (demand.refusedEngines < m_policy.roleShortfall * total)
            return std::nullopt;
        const double gain
            = (std::max(servedWithMorePrefill, servedWithMoreDecode) - currentlyServed) * m_policy.roleHorizon;
        const double loss = m_policy.roleChangeSeconds * m_policy.roleChangeWeight;
        if (gain <= loss || now < m_directionSince + fromSeconds(minDirectionSeconds))
            return std::nullopt;
    }
    const auto from = direction > 0 ? engine_role::decode : engine_role::prefill;
    const planned_engine* engine = chooseEngine(engines, from, now);
    if (!engine)
        return std::nullopt;
    m_changedAt[engine->name] = now;
    return role_change { engine->name, direction > 0 ? engine_role::prefill : engine_role::decode };
}

}
