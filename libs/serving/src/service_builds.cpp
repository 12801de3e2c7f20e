// Implements the record of builds.
#include "serving/service_builds.h"

#include <algorithm>
#include <utility>

namespace tamarack::serving {

namespace {

    /// No stream is remembered for longer.
    constexpr duration longestMemory = std::chrono::minutes(15);

}

service_builds::service_builds(const fleet_table& fleet, instant knownSince)
    : m_fleet(fleet)
    , m_knownSince(knownSince)
{
}

bool service_builds::update(instant now)
{
    if (m_generation == m_fleet.generation())
        return false;
    m_generation = m_fleet.generation();
    for (auto& [service, sightings] : m_sightings) {
        std::erase_if(sightings,
            [now](const sighting& item) { return !item.isListed && item.lastListedAt + longestMemory < now; });
        for (auto& item : sightings) {
            if (std::exchange(item.isListed, false))
                item.lastListedAt = now;
        }
    }
    bool hasNewBuild = false;
    for (std::uint32_t row = 0; row < m_fleet.size(); ++row) {
        if (m_fleet.isListed[row])
            hasNewBuild |= addListed(shortHash(m_fleet.service[row]), m_fleet.buildId[row]);
    }
    return hasNewBuild;
}

bool service_builds::addListed(std::uint32_t service, build_id build)
{
    auto& sightings = m_sightings[service];
    for (auto& item : sightings) {
        if (item.build != build)
            continue;
        item.isListed = true;
        return false;
    }
    sightings.push_back({ build, true, {} });
    return sightings.size() > 1;
}

std::vector<build_sighting> service_builds::recent(instant now) const
{
    std::vector<build_sighting> out;
    for (const auto& [service, sightings] : m_sightings) {
        for (const auto& item : sightings)
            out.push_back({ service, item.build, item.isListed ? duration::zero() : now - item.lastListedAt });
    }
    return out;
}

void service_builds::add(const std::vector<build_sighting>& added, instant now)
{
    for (const auto& from : added) {
        auto& sightings = m_sightings[from.service];
        const auto known = std::find_if(
            sightings.begin(), sightings.end(), [&](const sighting& item) { return item.build == from.build; });
        const auto lastListedAt = now - from.age;
        if (known == sightings.end())
            sightings.push_back({ from.build, false, lastListedAt });
        else
            known->lastListedAt = std::max(known->lastListedAt, lastListedAt);
    }
}

std::vector<build_id> service_builds::known(
    const std::vector<std::uint32_t>& services, duration span, instant now) const
{
    std::vector<build_id> out;
    for (const auto service : services) {
        const auto found = m_sightings.find(service);
        if (found == m_sightings.end())
            continue;
        for (const auto& item : found->second) {
            if (item.isListed || item.lastListedAt + span >= now)
                out.push_back(item.build);
        }
    }
    std::sort(out.begin(), out.end());
    out.erase(std::unique(out.begin(), out.end()), out.end());
    return out;
}

}
