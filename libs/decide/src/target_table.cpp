// Target rows and load estimates.
#include "decide/target_table.h"

#include "base/contract.h"
#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {
    /// Half-life in seconds of other nodes' load in a report.
    constexpr double reportHalfLife = 2.0;
}

target_id target_table::addRow()
{
    for (std::uint32_t row = 0; row < size(); ++row) {
        if (service[row] < 0 && ownRunning[row] == 0 && ownPrefillTokens[row] == 0)
            return { row };
    }
    name.emplace_back();
    nameHash.emplace_back();
    address.emplace_back();
    service.push_back(-1);
    zone.push_back(-1);
    role.push_back(engine_role::mixed);
    isChanging.push_back(0);
    isDraining.push_back(0);
    isLeaving.push_back(0);
    blockedUntil.emplace_back();
    restUntil.emplace_back();
    failures.push_back(0);
    slowStartUntil.emplace_back();
    ownRunning.push_back(0);
    ownPrefillTokens.push_back(0);
    reported.emplace_back();
    ownRunningAtReport.push_back(0);
    ownPrefillAtReport.push_back(0);
    incarnation.push_back(0);
    return { static_cast<std::uint32_t>(size() - 1) };
}

void target_table::assign(const deployment& config)
{
    const auto former = m_byName;
    for (auto& row : service)
        row = -1;
    m_byName.clear();
    m_byHash.clear();
    // Rows of remaining targets are marked first, so that none of them is reused for a new target.
    for (std::size_t s = 0; s < config.services.size(); ++s) {
        for (const auto& entry : config.services[s].targets) {
            if (const auto existing = former.find(entry.name); existing != former.end())
                service[existing->second] = static_cast<std::int32_t>(s);
        }
    }
    for (std::size_t s = 0; s < config.services.size(); ++s) {
        for (const auto& entry : config.services[s].targets) {
            const auto existing = former.find(entry.name);
            const target_id id = existing != former.end() ? target_id { existing->second } : addRow();
            const auto row = id.value;
            if (existing == former.end() || address[row] != entry.address) {
                role[row] = engine_role::mixed;
                isChanging[row] = isDraining[row] = isLeaving[row] = 0;
                blockedUntil[row] = restUntil[row] = slowStartUntil[row] = {};
                failures[row] = 0;
                reported[row] = {};
                incarnation[row] = 0;
            }
            name[row] = entry.name;
            nameHash[row] = stableHash(entry.name);
            address[row] = entry.address;
            service[row] = static_cast<std::int32_t>(s);
            const auto& zones = config.availabilityZones;
            const auto at = std::find(zones.begin(), zones.end(), entry.availabilityZone);
            zone[row] = static_cast<std::int32_t>(at - zones.begin());
            m_byName[entry.name] = row;
            m_byHash[nameHash[row]] = row;
        }
    }
}

target_id target_table::find(std::string_view targetName) const
{
    const auto found = m_byName.find(std::string(targetName));
    return found == m_byName.end() ? target_id() : target_id { found->second };
}

target_id target_table::findHash(std::uint64_t hash) const
{
    const auto found = m_byHash.find(hash);
    return found == m_byHash.end() ? target_id() : target_id { found->second };
}

namespace {

    double discount(instant measuredAt, instant now) { return std::exp2(-seconds(now - measuredAt) / reportHalfLife); }

}

double target_table::runningEstimate(target_id id, instant now) const
{
    const auto row = id.value;
    const auto others = std::max(0, reported[row].running - ownRunningAtReport[row]);
    return ownRunning[row] + others * discount(reported[row].measuredAt, now);
}

double target_table::prefillEstimate(target_id id, instant now) const
{
    const auto row = id.value;
    const auto others = std::max<std::int64_t>(0, reported[row].prefillTokens - ownPrefillAtReport[row]);
    const double own = static_cast<double>(ownPrefillTokens[row]);
    return own + static_cast<double>(others) * discount(reported[row].measuredAt, now);
}

void target_table::report(target_id id, const load_report& load)
{
    const auto row = id.value;
    TAMARACK_ASSERT(row < size(), "target row out of range");
    if (load.measuredAt <= reported[row].measuredAt)
        return;
    reported[row] = load;
    ownRunningAtReport[row] = ownRunning[row];
    ownPrefillAtReport[row] = ownPrefillTokens[row];
}

bool target_table::acceptsWork(target_id id, instant now) const
{
    const auto row = id.value;
    if (service[row] < 0 || isLeaving[row] || isChanging[row] || isDraining[row])
        return false;
    return now >= blockedUntil[row] && now >= restUntil[row];
}

}
