// Implements the plan for the number of instances.
#include "scaling/instance_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// The target list arrives over some seconds when a node starts. Regular instances are let go only when no further
    /// one has been listed for this long.
    constexpr duration settleTime = 2s;
    /// Spot instances with their reserve must cost less than this share of the regular instances that they replace.
    constexpr double maxReplacementCost = 0.6;
    /// Where a zone has more regular instances, they are kept: every node learns of each instance that comes or goes,
    /// and the messages about thousands of them take up the nodes' links for many seconds.
    constexpr int maxReplacedPerZone = 100;
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

instance_plan::zone_states instance_plan::countInstances(const serving::service_profile& service,
    const std::vector<instance_order>& inForce, const service_state& state, instant now) const
{
    zone_states out;
    for (const auto row : m_fleet.rowsOf(service.name))
        out[m_fleet.zone[row]].listed += !m_fleet.isLeaving({ row });
    for (const auto& order : inForce) {
        if (order.service != service.name)
            continue;
        auto& zone = out[order.availabilityZone];
        if (order.isSpot)
            zone.spot = order.desired;
        else if (order.isObserved)
            zone.found = order.desired;
        else
            zone.regular = order.desired;
    }
    // At most as many spot instances are listed as were ordered; the others are regular ones.
    for (auto& [name, zone] : out) {
        const int spotListed = now < state.spotListedFrom ? 0 : zone.spot;
        if (!zone.regular)
            zone.found = std::max(zone.found, zone.listed - spotListed);
    }
    return out;
}

std::vector<instance_order> instance_plan::decide(
    const serving::serving_configuration& configuration, const std::vector<instance_order>& inForce, instant now)
{
    std::vector<instance_order> out;
    for (const auto& service : configuration.services()) {
        if (!service.scaling)
            continue;
        auto& state = m_services[service.name];
        const auto zones = countInstances(service, inForce, state, now);
        if (!isSpotWorthwhile(*service.scaling, zones.size()))
            continue;
        const bool isTooLarge = std::any_of(
            zones.begin(), zones.end(), [](const auto& item) { return item.second.found > maxReplacedPerZone; });
        if (isTooLarge) {
            std::copy_if(inForce.begin(), inForce.end(), std::back_inserter(out),
                [&](const auto& order) { return order.service == service.name; });
            continue;
        }
        const int found = std::accumulate(
            zones.begin(), zones.end(), 0, [](int sum, const auto& item) { return sum + item.second.found; });
        if (std::exchange(state.found, found) != found)
            state.foundChangedAt = now;
        const bool hasSettled = now >= state.foundChangedAt + settleTime;
        const bool isFirst = std::none_of(
            inForce.begin(), inForce.end(), [&](const auto& order) { return order.service == service.name; });
        if (isFirst)
            state.spotListedFrom = now + service.scaling->bootTime;
        for (const auto& [name, zone] : zones) {
            if (zone.regular) {
                out.push_back({ service.name, name, false, *zone.regular });
                out.push_back({ service.name, name, true, zone.spot });
                continue;
            }
            const int wanted = static_cast<int>(std::ceil(reserveFactor(zones.size()) * zone.found));
            const auto replaced = minReplacedShare * std::min(zone.spot, zone.found);
            const bool isReplaced = zone.spot > 0 && zone.listed >= zone.found + static_cast<int>(replaced);
            const bool mayRelease = hasSettled && isReplaced;
            const int most = service.scaling->max - (mayRelease ? 0 : zone.found);
            out.push_back({ service.name, name, false, mayRelease ? 0 : zone.found, !mayRelease });
            out.push_back({ service.name, name, true, std::max(zone.spot, std::min(wanted, most)) });
        }
    }
    return out;
}

bool instance_plan::isShort(const instance_order& order, const std::vector<instance_order>& inForce) const
{
    int ordered = 0;
    for (const auto& item : inForce) {
        if (item.service == order.service && !item.isObserved && item.availabilityZone == order.availabilityZone)
            ordered += item.desired;
    }
    int listed = 0;
    for (const auto row : m_fleet.rowsOf(order.service))
        listed += m_fleet.zone[row] == order.availabilityZone && !m_fleet.isLeaving({ row });
    return listed < ordered;
}

}
