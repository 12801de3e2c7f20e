// Implements the sums of the peers' requests.
#include "serving/peer_load.h"

#include <algorithm>
#include <limits>

namespace tamarack::serving {

namespace {

    /// This interval is short enough, because the time-to-live of a peer's entries is at least half a second.
    constexpr duration refreshInterval = std::chrono::milliseconds(100);

}

peer_load::peer_load(fleet_table& fleet, duration timeToLive)
    : m_fleet(fleet)
    , m_timeToLive(timeToLive)
{
}

void peer_load::subtract(const peer_report& report)
{
    for (const auto& item : report.added) {
        const auto row = item.row.value;
        if (m_fleet.instanceHash[row] == item.entry.target)
            m_fleet.peersRunning[row] = std::max(0, m_fleet.peersRunning[row] - item.entry.running);
    }
}

void peer_load::update(const std::string& peer, const std::vector<load_entry>& entries, instant now)
{
    auto& report = m_byPeer[peer];
    subtract(report);
    report.at = now;
    report.added.clear();
    for (const auto& entry : entries) {
        const target_id id = m_fleet.findByHash(entry.target);
        if (!id.isValid())
            continue;
        m_fleet.peersRunning[id.value] += entry.running;
        report.added.push_back({ id, entry });
    }
}

void peer_load::refresh(instant now)
{
    if (now < m_nextRefresh)
        return;
    m_nextRefresh = now + refreshInterval;
    std::erase_if(m_byPeer, [&](const auto& item) {
        const bool isSilent = now >= item.second.at + m_timeToLive;
        if (isSilent)
            subtract(item.second);
        return isSilent;
    });
}

std::vector<load_entry> peer_load::localLoad() const
{
    constexpr int maxCount = std::numeric_limits<std::uint16_t>::max();
    std::vector<load_entry> out;
    for (std::uint32_t row = 0; row < m_fleet.size(); ++row) {
        if (m_fleet.ownRunning[row] > 0)
            out.push_back(
                { m_fleet.instanceHash[row], static_cast<std::uint16_t>(std::min(m_fleet.ownRunning[row], maxCount)) });
    }
    return out;
}

}
