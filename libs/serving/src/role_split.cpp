// Counts roles and picks engines.
#include "serving/role_split.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace tamarack::serving {

namespace {

    using namespace std::chrono_literals;

    /// The list of targets comes in over some seconds when a node starts, and engines that crash are back or gone from
    /// it within about 4 s.
    constexpr duration settleTime = 1500ms;
    /// After engines were lost without a word: they may be back within some seconds, and until then the others seem to
    /// be too many in one role. Those that said that they leave are not waited for.
    constexpr duration lossSettleTime = 10s;
    /// From the order to the new role in the list: running answers end, the change takes 3 s, the entry is written.
    constexpr duration changeTime = 8s;
    /// An order without an answer may be carried out up to 12 s later; nothing else is ordered there before.
    constexpr duration orderPause = 20s;
    /// Of the engines, under way at a time while they are at work; each is missing for some 3 s.
    constexpr double busyShare = 0.1;
    /// Before there is any load nobody knows whether the readers will be short. What a dozen changes cost is less than
    /// a hundredth of what the users' fleets of 9 to 60 engines are worth in half a minute; 3,000 engines before a
    /// light load would be given 168.
    constexpr int mostIdleChanges = 12;
    /// Seconds. At work readers are added only where long prompts wait for them; a full step of reading takes as long.
    constexpr double leastReadWait = 0.02;
    /// Of the engines; a smaller shortage is not worth a change while they are at work.
    constexpr double busyTolerance = 0.05;
    /// Of the engines, readers above what is wanted before one is changed back. In a fleet of 8 one is a quarter of
    /// the writers: with 3 of 8 left to write, long answers of Vodoslet took longer than their callers wait.
    constexpr double surplusTolerance = 0.1;
    /// One may hang or crash, and only writers can give an answer.
    constexpr int fewestWriters = 2;
    /// An engine listed for less than this has nothing in memory yet that a change would lose.
    constexpr duration newTime = 3s;

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

void role_split::noteEngines(instant now)
{
    for (auto& [instance, note] : m_notes)
        note.isSeen = false;
    for (std::uint32_t row = 0; row < m_fleet.size(); ++row) {
        if (!m_fleet.isListed[row])
            continue;
        auto [at, isNew] = m_notes.try_emplace(m_fleet.instance[row]);
        if (isNew)
            at->second.listedAt = now;
        at->second.isSeen = true;
        at->second.isLeaving = m_fleet.isDraining[row];
    }
    std::erase_if(m_notes, [&](const auto& item) {
        const auto& note = item.second;
        if (!note.isSeen && !note.isLeaving)
            m_lostAt = now;
        return !note.isSeen;
    });
}

std::vector<role_change> role_split::due(instant now, double readWait)
{
    noteEngines(now);
    std::set<std::string> services;
    for (std::uint32_t row = 0; row < m_fleet.size(); ++row) {
        if (m_fleet.isListed[row] && m_fleet.role[row] != target_role::plain)
            services.insert(m_fleet.service[row]);
    }
    std::vector<role_change> out;
    for (const auto& service : services) {
        auto more = dueOf(service, m_fleet.rowsOf(service), now, readWait);
        out.insert(out.end(), more.begin(), more.end());
    }
    return out;
}

target_role role_split::roleSoon(std::uint32_t row, instant now) const
{
    return isUnderWay(row, now) ? m_notes.at(m_fleet.instance[row]).orderedRole : m_fleet.role[row];
}

bool role_split::isUnderWay(std::uint32_t row, instant now) const
{
    const auto found = m_notes.find(m_fleet.instance[row]);
    if (found == m_notes.end() || found->second.orderedAt == instant())
        return false;
    return m_fleet.role[row] != found->second.orderedRole && now < found->second.orderedAt + changeTime;
}

bool role_split::mayChange(std::uint32_t row, instant now) const
{
    const auto found = m_notes.find(m_fleet.instance[row]);
    if (found == m_notes.end())
        return false;
    return found->second.orderedAt == instant() || now >= found->second.orderedAt + orderPause;
}

std::vector<role_change> role_split::dueOf(
    const std::string& service, const std::vector<std::uint32_t>& listed, instant now, double readWait)
{
    std::vector<std::uint32_t> rows;
    bool isIdle = true;
    for (const auto row : listed) {
        const bool hasRole = m_fleet.role[row] == target_role::prefill || m_fleet.role[row] == target_role::decode;
        if (hasRole && !m_fleet.isDraining[row])
            rows.push_back(row);
        isIdle &= m_fleet.running({ row }) == 0;
    }
    const auto count = [&](auto test) { return static_cast<int>(std::count_if(rows.begin(), rows.end(), test)); };
    const int readers = count([&](auto row) { return roleSoon(row, now) == target_role::prefill; });
    const int underWay = count([&](auto row) { return isUnderWay(row, now); });
    const int engines = static_cast<int>(rows.size());
    if (engines <= fewestWriters)
        return {};
    const int wanted = std::clamp(share(m_settings.readingShare, rows.size()), 1, engines - fewestWriters);
    const int missing = wanted - readers;
    const int least = isIdle ? 1 : std::max(1, share(busyTolerance, rows.size()));
    const bool isSurplus = -missing > static_cast<int>(surplusTolerance * engines);
    const int size = missing >= least || isSurplus ? missing : 0;

    auto& held = m_shortages[service];
    const int direction = size > 0 ? 1 : (size < 0 ? -1 : 0);
    if (held.direction != direction)
        held = { direction, now };
    const bool mayComeBack = !isIdle && m_lostAt != instant() && now < m_lostAt + lossSettleTime;
    if (size == 0 || mayComeBack || now < held.since + settleTime)
        return {};
    const bool areReadersFree = size > 0 && !isIdle && readWait < leastReadWait;
    const int most = areReadersFree ? 0 : allowed(std::abs(size), engines, underWay, isIdle);
    if (most <= 0)
        return {};
    m_wasIdle = isIdle;
    m_view = { service, engines, readers, wanted, isIdle };
    const auto role = size > 0 ? target_role::prefill : target_role::decode;
    return choose(rows, role, static_cast<std::size_t>(most), now);
}

int role_split::allowed(int missing, int engines, int underWay, bool isIdle) const
{
    if (isIdle)
        return std::min(missing, mostIdleChanges - m_idleChanges);
    return std::min(missing, std::max(1, static_cast<int>(busyShare * engines)) - underWay);
}

// Zones are kept alike, as caches that move between zones are slow and dear; within a zone the engine goes first that
// loses least.
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
        const bool isInRole = roleSoon(row, now) == role;
        zone.inRole += isInRole;
        if (!isInRole && mayChange(row, now))
            candidates.push_back(row);
    }
    std::vector<role_change> out;
    while (out.size() < most && !candidates.empty()) {
        const auto rank = [&](std::uint32_t row) {
            const auto& zone = zones[m_fleet.zone[row]];
            const bool isOld = now >= m_notes.at(m_fleet.instance[row]).listedAt + newTime;
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

void role_split::ordered(target_id engine, target_role role, instant now)
{
    auto& note = m_notes[m_fleet.instance[engine.value]];
    note.orderedAt = now;
    note.orderedRole = role;
    m_idleChanges += m_wasIdle;
}

void role_split::refused(target_id engine, instant now)
{
    auto& note = m_notes[m_fleet.instance[engine.value]];
    note.orderedAt = now;
    note.orderedRole = m_fleet.role[engine.value];
}

}
