// Sums of the peers' requests.
#include "serving/peer_load.h"

#include <algorithm>
#include <limits>

namespace tamarack::serving {

namespace {

    /// Peers count as silent after half a second at the least.
    constexpr duration lookPause = std::chrono::milliseconds(100);

}

peer_load::peer_load(fleet_table& fleet, duration life)
    : m_fleet(fleet)
    , m_life(life)
{
}

void peer_load::takeOff(const told_load_of_peer& told)
{
    for (const auto& item : told.added) {
        const auto row = item.row.value;
        if (m_fleet.instanceHash[row] == item.entry.target)
            m_fleet.peersRunning[row] = std::max(0, m_fleet.peersRunning[row] - item.entry.running);
    }
}

void peer_load::heard(const std::string& peer, const std::vector<load_entry>& entries, instant now)
{
    auto& told = m_byPeer[peer];
    takeOff(told);
    told.at = now;
    told.added.clear();
    for (const auto& entry : entries) {
        const target_id id = m_fleet.findHash(entry.target);
        if (!id.isValid())
            continue;
        m_fleet.peersRunning[id.value] += entry.running;
        told.added.push_back({ id, entry });
    }
}

void peer_load::refresh(instant now)
{
    if (now < m_nextLook)
        return;
    m_nextLook = now + lookPause;
    std::erase_if(m_byPeer, [&](const auto& item) {
        const bool isSilent = now >= item.second.at + m_life;
        if (isSilent)
            takeOff(item.second);
        return isSilent;
    });
}

std::vector<load_entry> peer_load::own() const
{
    constexpr int mostTold = std::numeric_limits<std::uint16_t>::max();
    std::vector<load_entry> out;
    for (std::uint32_t row = 0; row < m_fleet.size(); ++row) {
        if (m_fleet.ownRunning[row] > 0)
            out.push_back(
                { m_fleet.instanceHash[row], static_cast<std::uint16_t>(std::min(m_fleet.ownRunning[row], mostTold)) });
    }
    return out;
}

}
