// Implements the paths to the targets.
#include "serving/target_paths.h"

#include "base/hash.h"

#include <algorithm>
#include <array>
#include <limits>
#include <tuple>

namespace tamarack::serving {

namespace {

    using namespace std::chrono_literals;

    /// Pauses between checks of a lost path; they double as long as it stays lost.
    constexpr duration minCheckPause = 500ms;
    constexpr duration maxCheckPause = 2s;
    /// Checks spread by this share of their pause, so that the nodes of a zone do not all connect at once.
    constexpr double checkSpread = 0.3;
    /// Each check costs the target a connection.
    constexpr double checksPerSecond = 20;
    constexpr double maxChecksAtOnce = 40;
    /// A second lost path within this time puts all others in doubt.
    constexpr duration doubtWindow = 1s;
    /// A peer that did not reach a target is asked again for it after this time.
    constexpr duration deadDetourTime = 1s;
    /// Reports are repeated with each heartbeat, which comes every two seconds in fleets of 300 nodes.
    constexpr duration reportLifetime = 5s;
    /// Calls spread over so many peers; with more, each one's connections would idle and expire.
    constexpr std::size_t maxChosenPeers = 8;
    constexpr duration chooseInterval = 200ms;
    /// The cost of a peer in another availability zone, in calls under way.
    constexpr int otherZoneCalls = 2;

}

std::string_view toString(path_failure failure)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(path_failure::count)> names { "refused", "silent" };
    return names[static_cast<std::size_t>(failure)];
}

target_paths::target_paths(const fleet_table& fleet, std::string vm, std::string availabilityZone)
    : m_fleet(fleet)
    , m_vm(std::move(vm))
    , m_availabilityZone(std::move(availabilityZone))
    , m_random(stableHash(m_vm))
{
}

target_paths::path& target_paths::at(target_id id)
{
    if (id.value >= m_paths.size())
        m_paths.resize(id.value + 1);
    return m_paths[id.value];
}

// Of two calls that were under way together, the one that reached the target shows that the path works.
bool target_paths::failed(target_id id, path_failure failure, instant startedAt, instant now)
{
    auto& path = at(id);
    if (startedAt < path.reachedAt)
        return false;
    path.failure = failure;
    const bool isNew = path.lostAt == instant();
    path.checkPause = isNew ? minCheckPause : std::min<duration>(2 * path.checkPause, maxCheckPause);
    path.checkAt = now + fromSeconds(seconds(path.checkPause) * (1 + checkSpread * m_random.unit()));
    if (!isNew)
        return false;
    path.lostAt = now;
    m_newlyLost.push_back(id);
    ++m_generation;
    if (m_lastLossAt != instant() && now < m_lastLossAt + doubtWindow)
        doubtOthers(now);
    m_lastLossAt = now;
    return true;
}

// What cuts a node off from two targets usually cuts it off from more.
void target_paths::doubtOthers(instant now)
{
    if (m_doubtsSince != instant() && now < m_doubtsSince + doubtWindow)
        return;
    m_doubtsSince = now;
    for (std::uint32_t row = 0; row < m_fleet.size(); ++row) {
        if (m_fleet.isListed[row] && !isLost({ row }))
            at({ row }).checkAt = now;
    }
}

void target_paths::reached(target_id id, instant startedAt)
{
    auto& path = at(id);
    path.reachedAt = std::max(path.reachedAt, startedAt);
    path.checkAt = {};
    if (path.lostAt == instant())
        return;
    path.lostAt = {};
    path.deadDetours.clear();
    ++m_generation;
}

bool target_paths::isLost(target_id id) const
{
    return id.value < m_paths.size() && m_paths[id.value].lostAt != instant();
}

bool target_paths::isDoubtful(target_id id) const
{
    return m_doubtsSince != instant() && (id.value >= m_paths.size() || m_paths[id.value].reachedAt < m_doubtsSince);
}

void target_paths::suspect(target_id id, instant now)
{
    auto& path = at(id);
    if (path.checkAt == instant() && now >= path.reachedAt + minCheckPause)
        path.checkAt = now;
}

std::vector<target_id> target_paths::takeDueChecks(instant now)
{
    const double elapsed = m_checkBudgetAt == instant() ? maxChecksAtOnce : seconds(now - m_checkBudgetAt);
    m_checkBudget = std::min(maxChecksAtOnce, m_checkBudget + checksPerSecond * elapsed);
    m_checkBudgetAt = now;
    std::vector<target_id> out;
    for (std::uint32_t row = 0; row < m_paths.size() && m_checkBudget >= 1; ++row) {
        auto& path = m_paths[row];
        if (path.checkAt == instant() || now < path.checkAt || m_fleet.isResting({ row }, now))
            continue;
        if (!m_fleet.isListed[row]) {
            path.checkAt = {};
            continue;
        }
        path.checkAt = now + maxCheckPause; // replaced by the outcome of this check
        --m_checkBudget;
        out.push_back({ row });
    }
    return out;
}

void target_paths::forget(target_id id)
{
    reached(id, {});
    at(id) = {};
}

void target_paths::setPeers(std::vector<detour_peer> peers)
{
    std::map<std::string, known_peer> known;
    for (auto& peer : peers) {
        const auto vm = peer.vm;
        const auto before = m_peers.find(vm);
        auto& item = known[vm];
        if (before != m_peers.end())
            item = before->second;
        else
            item = { {}, shortHash(vm), rendezvousWeight(m_vm, vm), {}, 0 };
        item.peer = std::move(peer);
    }
    m_peers = std::move(known);
    m_chosen.clear();
    m_chooseAgainAt = {};
}

void target_paths::applyReport(const path_report& report, instant now)
{
    if (report.lostCount == 0) {
        m_reports.erase(report.node);
        return;
    }
    m_reports[report.node] = { now, report.lostCount, { report.lost.begin(), report.lost.end() }, report.isCutOff };
}

const target_paths::reported_paths* target_paths::reportOf(const known_peer& peer, instant now) const
{
    const auto found = m_reports.find(peer.hash);
    const bool isValid = found != m_reports.end() && now < found->second.at + reportLifetime;
    return isValid ? &found->second : nullptr;
}

bool target_paths::mayReach(const known_peer& peer, target_id id, instant now) const
{
    if (now < peer.failedUntil)
        return false;
    const auto& dead = m_paths[id.value].deadDetours;
    if (const auto found = dead.find(peer.peer.vm); found != dead.end() && now < found->second)
        return false;
    const auto* report = reportOf(peer, now);
    if (!report)
        return true;
    const bool isComplete = report->lost.size() == report->lostCount;
    return isComplete && !report->lost.contains(m_fleet.instanceHash[id.value]);
}

void target_paths::choosePeers(instant now)
{
    m_chooseAgainAt = now + chooseInterval;
    m_chosen.clear();
    for (auto& [vm, peer] : m_peers)
        m_chosen.push_back(&peer);
    const auto rank = [&](const known_peer* peer) {
        const auto* report = reportOf(*peer, now);
        return std::tuple(report ? report->lostCount : 0, now < peer->failedUntil, peer->weight);
    };
    const auto count = std::min(m_chosen.size(), maxChosenPeers);
    const auto end = m_chosen.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(m_chosen.begin(), end, m_chosen.end(),
        [&](const known_peer* a, const known_peer* b) { return rank(a) < rank(b); });
    m_chosen.resize(count);
}

const detour_peer* target_paths::detourFor(target_id id, instant now)
{
    if (!isLost(id))
        return nullptr;
    if (now >= m_chooseAgainAt)
        choosePeers(now);
    const known_peer* best = nullptr;
    auto lowest = std::numeric_limits<double>::max();
    for (const auto* peer : m_chosen) {
        if (!mayReach(*peer, id, now))
            continue;
        const bool isLocal = peer->peer.availabilityZone == m_availabilityZone;
        const double cost = peer->calls + (isLocal ? 0 : otherZoneCalls) + m_random.unit();
        if (cost >= lowest)
            continue;
        lowest = cost;
        best = peer;
    }
    return best ? &best->peer : nullptr;
}

void target_paths::detourBegan(const std::string& vm)
{
    if (const auto found = m_peers.find(vm); found != m_peers.end())
        ++found->second.calls;
}

void target_paths::detourEnded(const std::string& vm)
{
    if (const auto found = m_peers.find(vm); found != m_peers.end() && found->second.calls > 0)
        --found->second.calls;
}

void target_paths::detourFailed(target_id id, const std::string& vm, instant now)
{
    if (isLost(id))
        m_paths[id.value].deadDetours[vm] = now + deadDetourTime;
}

void target_paths::peerFailed(const std::string& vm, duration pause, instant now)
{
    if (const auto found = m_peers.find(vm); found != m_peers.end())
        found->second.failedUntil = now + pause;
}

bool target_paths::isUnreachable(std::string_view service, instant now)
{
    const auto& rows = m_fleet.rowsOf(service);
    return !rows.empty() && std::all_of(rows.begin(), rows.end(), [&](std::uint32_t row) {
        return isLost({ row }) && !detourFor({ row }, now);
    });
}

bool target_paths::isCutOff(instant now)
{
    const auto services = m_fleet.services();
    return std::any_of(
        services.begin(), services.end(), [&](const std::string& service) { return isUnreachable(service, now); });
}

bool target_paths::isPeerCutOff(const std::string& vm, instant now) const
{
    const auto found = m_reports.find(shortHash(vm));
    return found != m_reports.end() && now < found->second.at + reportLifetime && found->second.isCutOff;
}

path_report target_paths::report(instant now)
{
    path_report out;
    out.node = shortHash(m_vm);
    out.isCutOff = isCutOff(now);
    for (std::uint32_t row = 0; row < m_paths.size(); ++row) {
        if (!m_fleet.isListed[row] || !isLost({ row }))
            continue;
        ++out.lostCount;
        if (out.lost.size() < maxReportedPaths)
            out.lost.push_back(m_fleet.instanceHash[row]);
    }
    if (out.lostCount > out.lost.size())
        out.lost.clear();
    return out;
}

bool target_paths::hasLost() const
{
    return std::any_of(m_paths.begin(), m_paths.end(), [](const path& item) { return item.lostAt != instant(); });
}

std::size_t target_paths::countLost() const
{
    std::size_t out = 0;
    for (std::uint32_t row = 0; row < m_paths.size(); ++row)
        out += m_fleet.isListed[row] && isLost({ row });
    return out;
}

bool target_paths::reachesMost(const std::string& vm, instant now) const
{
    std::size_t lost = 0;
    if (vm == m_vm) {
        lost = countLost();
    } else if (const auto found = m_reports.find(shortHash(vm)); found != m_reports.end()) {
        const bool isValid = now < found->second.at + reportLifetime;
        lost = isValid ? found->second.lostCount : 0;
    }
    return 2 * lost <= m_fleet.countListed();
}

std::size_t target_paths::countLost(std::string_view service) const
{
    const auto& rows = m_fleet.rowsOf(service);
    return static_cast<std::size_t>(
        std::count_if(rows.begin(), rows.end(), [this](std::uint32_t row) { return isLost({ row }); }));
}

service_path_change target_paths::stateOf(std::string_view service, instant now) const
{
    const auto& rows = m_fleet.rowsOf(service);
    service_path_change out { std::string(service), !rows.empty(), rows.size(), path_failure::refused, {} };
    instant first = now;
    instant last;
    for (const auto row : rows) {
        if (!isLost({ row })) {
            out.isLost = false;
            continue;
        }
        const auto& path = m_paths[row];
        first = std::min(first, path.lostAt);
        if (path.lostAt >= last) {
            last = path.lostAt;
            out.failure = path.failure;
        }
    }
    out.length = now - first;
    return out;
}

std::vector<service_path_change> target_paths::takeServiceChanges(instant now)
{
    std::vector<service_path_change> out;
    for (const auto& service : m_fleet.services()) {
        auto state = stateOf(service, now);
        const auto lost = m_lostServices.find(service);
        const bool wasLost = lost != m_lostServices.end();
        if (state.isLost == wasLost)
            continue;
        if (state.isLost) {
            m_lostServices[service] = now - state.length;
        } else {
            state.length = now - lost->second;
            m_lostServices.erase(lost);
        }
        out.push_back(std::move(state));
    }
    return out;
}

}
