// Sums of the peers' requests.
#include "serving/peer_load.h"

#include <algorithm>
#include <limits>

namespace tamarack::serving {

namespace {

    /// With many peers a sum on each heartbeat would cost more than it tells; a fifth of the heartbeat interval is
    /// fresh enough.
    constexpr duration sumInterval = std::chrono::milliseconds(20);

}

peer_load::peer_load(fleet_table& fleet, duration life)
    : m_fleet(fleet)
    , m_life(life)
{
}

void peer_load::heard(const std::string& peer, std::vector<load_entry> entries, instant now)
{
    m_byPeer[peer] = { now, std::move(entries) };
    m_isChanged = true;
}

void peer_load::refresh(instant now)
{
    if (now < m_nextSum)
        return;
    m_nextSum = now + sumInterval;
    const auto forgotten = std::erase_if(m_byPeer, [&](const auto& item) { return now >= item.second.at + m_life; });
    if (!m_isChanged && forgotten == 0)
        return;
    m_isChanged = false;
    std::fill(m_fleet.peersRunning.begin(), m_fleet.peersRunning.end(), 0);
    for (const auto& [peer, told] : m_byPeer) {
        for (const auto& entry : told.entries) {
            const target_id id = m_fleet.findHash(entry.target);
            if (id.isValid())
                m_fleet.peersRunning[id.value] += entry.running;
        }
    }
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
