// Implements the choice of the engines that change their role.
#include "serving/role_split.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace tamarack::serving {

namespace {

    using namespace std::chrono_literals;

    /// When a node starts, the target list arrives over some seconds; and engines that crash are back in it, or gone
    /// from it, within about 4 s.
    constexpr duration settleTime = 1500ms;
    /// The time to wait after engines have disappeared unannounced: they may be back within some seconds, and until
    /// then one role seems to have too many of the others. Engines that have announced that they leave are not waited
    /// for.
    constexpr duration lossSettleTime = 10s;
    /// From the order until the new role is listed: running answers end, the change takes 3 s, and the record is
    /// written.
    constexpr duration maxChangeTime = 8s;
    /// An order without an answer may be carried out up to 12 s later; the engine gets no other order before that.
    constexpr duration orderInterval = 20s;
    /// The share of the engines that may change at a time under load; each is out of service for about 3 s.
    constexpr double maxBusyChangeShare = 0.1;
    /// Before there is any load it is unknown whether prefill engines will be short. A dozen changes cost less than a
    /// hundredth of the value that fleets of 9 to 60 engines earn in half a minute; without the limit 3,000 engines
    /// under light load would be given 168 changes.
    constexpr int maxIdleChanges = 12;
    /// Under load prefill engines are added only if long prompts wait for them at least this long, which is the time of
    /// one full prefill step.
    constexpr double minPrefillWaitSeconds = 0.02;
    /// The minimum shortage, as a share of the engines, that is worth a change under load.
    constexpr double busyTolerance = 0.05;
    /// The share of the engines by which the prefill engines may exceed the wanted number before one is changed back.
    /// In a fleet of 8 one engine is a quarter of the decode engines: with only 3 of 8 left to decode, long answers
    /// took longer than their callers wait.
    constexpr double surplusTolerance = 0.1;
    /// One engine may hang or crash, and only engines that decode can give an answer.
    constexpr int minDecodeEngines = 2;
    /// An engine that has been listed for less than this has nothing cached yet that a change of role would lose.
    constexpr duration newEngineAge = 3s;

    int share(double part, std::size_t whole)
    {
        return static_cast<int>(std::lround(part * static_cast<double>(whole)));
    }

}

role_split::role_split(const fleet_table& fleet, role_split_settings settings)
    : m_fleet(fleet)
    , m_settings(settings)
{
}

void role_split::updateEngines(instant now)
{
    for (auto& [instance, engine] : m_engines)
        engine.isSeen = false;
    for (std::uint32_t row = 0; row < m_fleet.size(); ++row) {
        if (!m_fleet.isListed[row])
            continue;
        auto [at, isNew] = m_engines.try_emplace(m_fleet.instance[row]);
        if (isNew)
            at->second.listedAt = now;
        at->second.isSeen = true;
        at->second.isLeaving = m_fleet.isLeaving({ row });
    }
    std::erase_if(m_engines, [&](const auto& item) {
        const auto& engine = item.second;
        if (!engine.isSeen && !engine.isLeaving)
            m_lostAt = now;
        return !engine.isSeen;
    });
}

std::vector<role_change> role_split::dueChanges(instant now, double prefillWaitSeconds)
{
    updateEngines(now);
    std::set<std::string> services;
    for (std::uint32_t row = 0; row < m_fleet.size(); ++row) {
        if (m_fleet.isListed[row] && m_fleet.role[row] != target_role::plain)
            services.insert(m_fleet.service[row]);
    }
    std::vector<role_change> out;
    for (const auto& service : services) {
        auto more = dueChangesOf(service, m_fleet.rowsOf(service), now, prefillWaitSeconds);
        out.insert(out.end(), more.begin(), more.end());
    }
    return out;
}

target_role role_split::expectedRole(std::uint32_t row, instant now) const
{
    return isChanging(row, now) ? m_engines.at(m_fleet.instance[row]).orderedRole : m_fleet.role[row];
}

bool role_split::isChanging(std::uint32_t row, instant now) const
{
    const auto found = m_engines.find(m_fleet.instance[row]);
    if (found == m_engines.end() || found->second.orderedAt == instant())
        return false;
    return m_fleet.role[row] != found->second.orderedRole && now < found->second.orderedAt + maxChangeTime;
}

bool role_split::mayOrder(std::uint32_t row, instant now) const
{
    const auto found = m_engines.find(m_fleet.instance[row]);
    if (found == m_engines.end())
        return false;
    return found->second.orderedAt == instant() || now >= found->second.orderedAt + orderInterval;
}

std::vector<role_change> role_split::dueChangesOf(
    const std::string& service, const std::vector<std::uint32_t>& listed, instant now, double prefillWaitSeconds)
{
    std::vector<std::uint32_t> rows;
    bool isIdle = true;
    for (const auto row : listed) {
        const bool hasRole = m_fleet.role[row] == target_role::prefill || m_fleet.role[row] == target_role::decode;
        if (hasRole && !m_fleet.isLeaving({ row }))
            rows.push_back(row);
        isIdle &= m_fleet.running({ row }) == 0 && !m_fleet.isResting({ row }, now) && !m_fleet.isLimited[row];
    }
    const auto count = [&](auto test) { return static_cast<int>(std::count_if(rows.begin(), rows.end(), test)); };
    const int prefillEngines = count([&](auto row) { return expectedRole(row, now) == target_role::prefill; });
    const int changing = count([&](auto row) { return isChanging(row, now); });
    const int engines = static_cast<int>(rows.size());
    if (engines <= minDecodeEngines)
        return {};
    const int wanted = std::clamp(share(m_settings.prefillShare, rows.size()), 1, engines - minDecodeEngines);
    const int missing = wanted - prefillEngines;
    const int minMissing = isIdle ? 1 : std::max(1, share(busyTolerance, rows.size()));
    const bool isSurplus = -missing > static_cast<int>(surplusTolerance * engines);
    const int change = missing >= minMissing || isSurplus ? missing : 0;

    auto& shortage = m_shortages[service];
    const int direction = change > 0 ? 1 : (change < 0 ? -1 : 0);
    if (shortage.direction != direction)
        shortage = { direction, now };
    const bool mayReturn = !isIdle && m_lostAt != instant() && now < m_lostAt + lossSettleTime;
    if (change == 0 || mayReturn || now < shortage.since + settleTime)
        return {};
    const bool hasSparePrefill = change > 0 && !isIdle && prefillWaitSeconds < minPrefillWaitSeconds;
    const int maxChanges = hasSparePrefill ? 0 : allowedChanges(std::abs(change), engines, changing, isIdle);
    if (maxChanges <= 0)
        return {};
    m_wasIdle = isIdle;
    m_lastDecision = { service, engines, prefillEngines, wanted, isIdle };
    const auto role = change > 0 ? target_role::prefill : target_role::decode;
    return choose(rows, role, static_cast<std::size_t>(maxChanges), now);
}

int role_split::allowedChanges(int missing, int engines, int changing, bool isIdle) const
{
    if (isIdle)
        return std::min(missing, maxIdleChanges - m_idleChanges);
    return std::min(missing, std::max(1, static_cast<int>(maxBusyChangeShare * engines)) - changing);
}

// Availability zones are kept balanced, because KV cache transfers between them are slow and expensive. Within a zone
// the engine is chosen that loses least.
std::vector<role_change> role_split::choose(
    const std::vector<std::uint32_t>& rows, target_role role, std::size_t most, instant now) const
{
    struct zone_count {
        double engines = 0;
        double inRole = 0;
    };
    std::map<std::string, zone_count> zones;
    std::vector<std::uint32_t> candidates;
    for (const auto row : rows) {
        auto& zone = zones[m_fleet.zone[row]];
        ++zone.engines;
        const bool isInRole = expectedRole(row, now) == role;
        zone.inRole += isInRole;
        if (!isInRole && mayOrder(row, now) && !m_fleet.isResting({ row }, now) && !m_fleet.isLimited[row])
            candidates.push_back(row);
    }
    std::vector<role_change> out;
    while (out.size() < most && !candidates.empty()) {
        const auto rank = [&](std::uint32_t row) {
            const auto& zone = zones[m_fleet.zone[row]];
            const bool isOld = now >= m_engines.at(m_fleet.instance[row]).listedAt + newEngineAge;
            return std::tuple(zone.inRole / zone.engines, isOld, m_fleet.running({ row }), m_fleet.instanceHash[row]);
        };
        const auto best
            = std::min_element(candidates.begin(), candidates.end(), [&](auto a, auto b) { return rank(a) < rank(b); });
        ++zones[m_fleet.zone[*best]].inRole;
        out.push_back({ { *best }, role });
        candidates.erase(best);
    }
    return out;
}

void role_split::recordOrder(target_id engine, target_role role, instant now)
{
    auto& state = m_engines[m_fleet.instance[engine.value]];
    state.orderedAt = now;
    state.orderedRole = role;
    m_idleChanges += m_wasIdle;
}

void role_split::recordRefusal(target_id engine, instant now)
{
    auto& state = m_engines[m_fleet.instance[engine.value]];
    state.orderedAt = now;
    state.orderedRole = m_fleet.role[engine.value];
}

}
