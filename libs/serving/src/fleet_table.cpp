// Implements the table of targets.
#include "serving/fleet_table.h"

#include "base/contract.h"
#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace tamarack::serving {

namespace {

    /// Number of leaving instances that are remembered after they have left the list.
    constexpr std::size_t maxRememberedLeaving = 4096;

}

std::uint32_t shortHash(std::string_view instance) { return static_cast<std::uint32_t>(stableHash(instance)); }

build_id buildIdOf(std::string_view service, std::string_view build)
{
    // The seed keeps names that run into each other apart.
    const auto hash = static_cast<std::uint32_t>(stableHash(build, stableHash(service)));
    return { hash == build_id::invalidValue ? 0 : hash };
}

fleet_table::fleet_table(std::string ownZone)
    : m_ownZone(std::move(ownZone))
{
}

void fleet_table::reset(std::size_t row)
{
    isListed[row] = isDraining[row] = saidLeaving[row] = 0;
    isLimited[row] = 0;
    permits[row] = 0;
    permitsUntil[row] = {};
    blockedUntil[row] = restUntil[row] = trialUntil[row] = roleChangeUntil[row] = {};
    ownRunning[row] = peersRunning[row] = 0;
    reportedLoad[row] = {};
}

target_id fleet_table::addRow(const std::string& newInstance)
{
    for (std::uint32_t row = 0; row < size(); ++row) {
        if (isListed[row] || ownRunning[row] > 0)
            continue;
        m_byInstance.erase(instance[row]);
        m_byHash.erase(instanceHash[row]);
        instance[row] = newInstance;
        reset(row);
        return { row };
    }
    instance.push_back(newInstance);
    instanceHash.push_back(0);
    name.emplace_back();
    service.emplace_back();
    address.emplace_back();
    zone.emplace_back();
    build.emplace_back();
    buildId.emplace_back();
    slots.push_back(1);
    role.push_back(target_role::plain);
    isListed.push_back(0);
    isDraining.push_back(0);
    saidLeaving.push_back(0);
    blockedUntil.emplace_back();
    restUntil.emplace_back();
    isLimited.push_back(0);
    permits.push_back(0);
    permitsUntil.emplace_back();
    trialUntil.emplace_back();
    roleChangeUntil.emplace_back();
    ownRunning.push_back(0);
    peersRunning.push_back(0);
    reportedLoad.emplace_back();
    return { static_cast<std::uint32_t>(size() - 1) };
}

target_id fleet_table::upsert(const target_record& record)
{
    const auto key = record.instance();
    const auto known = m_byInstance.find(key);
    const target_id id = known != m_byInstance.end() ? target_id { known->second } : addRow(key);
    const auto row = id.value;
    m_byInstance[key] = row;
    instanceHash[row] = shortHash(key);
    name[row] = record.name;
    m_byHash[instanceHash[row]] = row;
    if (service[row] != record.service)
        unindex(row);
    service[row] = record.service;
    address[row] = record.address;
    zone[row] = record.availabilityZone;
    build[row] = record.build;
    const auto newBuild = buildIdOf(record.service, record.build);
    if (std::exchange(buildId[row], newBuild) != newBuild)
        ++m_generation;
    slots[row] = std::max(1, record.slots);
    if (role[row] != record.role) {
        roleChangeUntil[row] = {};
        ++m_generation;
    }
    role[row] = record.role;
    isDraining[row] = record.isDraining;
    saidLeaving[row] |= m_leaving.contains(key);
    index(row);
    return id;
}

void fleet_table::remove(std::string_view key)
{
    const target_id id = find(key);
    if (!id.isValid())
        return;
    unindex(id.value);
}

bool fleet_table::recordLeaving(const std::string& key)
{
    if (!m_leaving.insert(key).second)
        return false;
    m_leavingByAge.push_back(key);
    if (m_leavingByAge.size() > maxRememberedLeaving) {
        m_leaving.erase(m_leavingByAge.front());
        m_leavingByAge.pop_front();
    }
    if (const target_id id = find(key); id.isValid())
        saidLeaving[id.value] = 1;
    return true;
}

// The rows of a service are kept in ascending order, so that all nodes with the same records visit them in the same
// order.
void fleet_table::index(std::uint32_t row)
{
    if (isListed[row])
        return;
    isListed[row] = 1;
    ++m_generation;
    auto& rows = m_byService[service[row]];
    rows.insert(std::lower_bound(rows.begin(), rows.end(), row), row);
}

void fleet_table::unindex(std::uint32_t row)
{
    if (!isListed[row])
        return;
    isListed[row] = 0;
    ++m_generation;
    auto& rows = m_byService[service[row]];
    rows.erase(std::lower_bound(rows.begin(), rows.end(), row));
}

std::size_t fleet_table::countListed() const
{
    return static_cast<std::size_t>(std::count(isListed.begin(), isListed.end(), 1));
}

target_id fleet_table::find(std::string_view key) const
{
    const auto found = m_byInstance.find(std::string(key));
    return found == m_byInstance.end() ? target_id() : target_id { found->second };
}

target_id fleet_table::findByHash(std::uint32_t hash) const
{
    const auto found = m_byHash.find(hash);
    return found == m_byHash.end() ? target_id() : target_id { found->second };
}

const std::vector<std::uint32_t>& fleet_table::rowsOf(std::string_view serviceName) const
{
    static const std::vector<std::uint32_t> none;
    const auto found = m_byService.find(std::string(serviceName));
    return found == m_byService.end() ? none : found->second;
}

std::string fleet_table::nameOfBuild(build_id wanted) const
{
    for (std::uint32_t row = 0; row < size(); ++row) {
        if (isListed[row] && buildId[row] == wanted)
            return build[row];
    }
    return {};
}

bool fleet_table::hasBuild(std::string_view serviceName, build_id wanted) const
{
    const auto& rows = rowsOf(serviceName);
    return std::any_of(rows.begin(), rows.end(), [&](std::uint32_t row) {
        return buildId[row] == wanted && role[row] != target_role::prefill && !isLeaving({ row });
    });
}

std::vector<std::string> fleet_table::services() const
{
    std::vector<std::string> out;
    for (const auto& [name, rows] : m_byService)
        out.push_back(name);
    std::sort(out.begin(), out.end());
    return out;
}

bool fleet_table::acceptsWork(target_id id, instant now) const
{
    const auto row = id.value;
    return isListed[row] && !isLeaving(id) && !isResting(id, now) && hasPermit(id, now)
        && now >= std::max({ blockedUntil[row], trialUntil[row], roleChangeUntil[row] });
}

void fleet_table::removeRunning(target_id id)
{
    TAMARACK_ASSERT(ownRunning[id.value] > 0, "own work is counted once up and once down");
    ownRunning[id.value] -= 1;
}

}
