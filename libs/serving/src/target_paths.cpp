// Implements the paths to the targets.
#include "serving/target_paths.h"

#include <algorithm>
#include <array>

namespace tamarack::serving {

std::string_view toString(path_failure failure)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(path_failure::count)> names { "refused", "silent" };
    return names[static_cast<std::size_t>(failure)];
}

target_paths::target_paths(const fleet_table& fleet)
    : m_fleet(fleet)
{
}

target_paths::path& target_paths::at(target_id id)
{
    if (id.value >= m_paths.size())
        m_paths.resize(id.value + 1);
    return m_paths[id.value];
}

// Of two calls that were under way together, the one that reached the target shows that the path works.
void target_paths::failed(target_id id, path_failure failure, instant startedAt, instant now)
{
    auto& path = at(id);
    if (startedAt < path.reachedAt)
        return;
    if (path.lostAt == instant())
        path.lostAt = now;
    path.failure = failure;
}

void target_paths::reached(target_id id, instant startedAt)
{
    auto& path = at(id);
    path.reachedAt = std::max(path.reachedAt, startedAt);
    path.lostAt = {};
}

bool target_paths::isLost(target_id id) const
{
    return id.value < m_paths.size() && m_paths[id.value].lostAt != instant();
}

void target_paths::forget(target_id id) { at(id) = {}; }

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
