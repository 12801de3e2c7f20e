// Implements the plan for the number of instances.
#include "scaling/instance_plan.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// The target list arrives over some seconds when a node starts. Regular instances are let go only when no further
    /// one has been listed for this long.
    constexpr duration settleTime = 2s;
    /// Spot instances with their reserve must cost less than this share of the regular instances that they replace.
    constexpr double maxReplacementCost = 0.6;
    /// Regular instances are let go when this share of their replacements is listed.
    constexpr double minReplacedShare = 0.9;

    /// With n availability zones, n / (n - 1) times as many instances leave enough when one zone is lost.
    double reserveFactor(std::size_t zones) { return static_cast<double>(zones) / static_cast<double>(zones - 1); }

    bool isSpotWorthwhile(const serving::instance_scaling& scaling, std::size_t zones)
    {
        return scaling.spotPrice && zones > 1 && *scaling.spotPrice * reserveFactor(zones) <= maxReplacementCost;
    }

}

instance_plan::instance_plan(const serving::fleet_table& fleet)
    : m_fleet(fleet)
{
}

instance_plan::zone_states instance_plan::countInstances(
    const serving::service_profile& service, const std::vector<instance_order>& inForce) const
{
    zone_states out;
    for (const auto row : m_fleet.rowsOf(service.name))
        out[m_fleet.zone[row]].listed += !m_fleet.isDraining[row];
    for (const auto& order : inForce) {
        if (order.service != service.name)
            continue;
        auto& zone = out[order.availabilityZone];
        if (order.isSpot)
            zone.spot = order.desired;
        else
            zone.regular = order.desired;
    }
    return out;
}

// The first spot instance is listed a boot time after its order, so until then all listed instances are regular ones.
void instance_plan::updateInitial(
    service_state& state, const zone_states& zones, const serving::instance_scaling& scaling, instant now) const
{
    const bool isOrdered
        = std::any_of(zones.begin(), zones.end(), [](const auto& item) { return item.second.spot > 0; });
    if (isOrdered && !state.orderedAt) {
        state.orderedAt = now;
        state.isAdopted = state.initial.empty();
        for (const auto& [name, zone] : zones) {
            if (state.isAdopted)
                state.initial[name] = static_cast<int>(std::lround(zone.spot / reserveFactor(zones.size())));
        }
    }
    if (state.isAdopted || (isOrdered && now >= *state.orderedAt + scaling.bootTime))
        return;
    for (const auto& [name, zone] : zones) {
        auto& initial = state.initial[name];
        if (zone.listed > initial) {
            initial = zone.listed;
            state.grownAt = now;
        }
    }
}

std::vector<instance_order> instance_plan::decide(
    const serving::serving_configuration& configuration, const std::vector<instance_order>& inForce, instant now)
{
    std::vector<instance_order> out;
    for (const auto& service : configuration.services()) {
        if (!service.scaling)
            continue;
        const auto zones = countInstances(service, inForce);
        if (!isSpotWorthwhile(*service.scaling, zones.size()))
            continue;
        auto& state = m_services[service.name];
        updateInitial(state, zones, *service.scaling, now);
        const bool hasSettled = now >= state.grownAt + settleTime;
        for (const auto& [name, zone] : zones) {
            const int initial = state.initial[name];
            const int replaced = initial + static_cast<int>(minReplacedShare * std::min(zone.spot, initial));
            const bool isReplaced = zone.spot > 0 && zone.listed >= replaced;
            std::optional<int> regular = zone.regular;
            if (!regular && hasSettled && isReplaced)
                regular = 0;
            const int wanted = static_cast<int>(std::ceil(reserveFactor(zones.size()) * initial));
            const int most = service.scaling->max - regular.value_or(initial);
            if (regular)
                out.push_back({ service.name, name, false, *regular });
            out.push_back({ service.name, name, true, std::max(zone.spot, std::min(wanted, most)) });
        }
    }
    return out;
}

bool instance_plan::isShort(const instance_order& order, const std::vector<instance_order>& inForce) const
{
    int ordered = 0;
    for (const auto& item : inForce) {
        if (item.service == order.service && item.availabilityZone == order.availabilityZone)
            ordered += item.desired;
    }
    int listed = 0;
    for (const auto row : m_fleet.rowsOf(order.service))
        listed += m_fleet.zone[row] == order.availabilityZone && !m_fleet.isDraining[row];
    return listed < ordered;
}

}
