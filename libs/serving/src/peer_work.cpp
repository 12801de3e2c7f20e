// Sums of the peers' work.
#include "serving/peer_work.h"

#include <algorithm>
#include <limits>

namespace tamarack::serving {

namespace {

    /// With many peers a sum on each heartbeat would cost more than it tells; a fifth of the heartbeat interval is
    /// fresh enough.
    constexpr duration sumInterval = std::chrono::milliseconds(20);

    template <class Unsigned> Unsigned saturated(double value)
    {
        return static_cast<Unsigned>(std::clamp(value, 0.0, static_cast<double>(std::numeric_limits<Unsigned>::max())));
    }

}

peer_work::peer_work(fleet_table& fleet, duration life)
    : m_fleet(fleet)
    , m_life(life)
{
}

void peer_work::heard(const std::string& peer, std::vector<work_entry> entries, instant now)
{
    m_byPeer[peer] = { now, std::move(entries) };
    m_isChanged = true;
}

void peer_work::refresh(instant now)
{
    if (now < m_nextSum)
        return;
    m_nextSum = now + sumInterval;
    const auto forgotten = std::erase_if(m_byPeer, [&](const auto& item) { return now >= item.second.at + m_life; });
    if (!m_isChanged && forgotten == 0)
        return;
    m_isChanged = false;
    std::fill(m_fleet.peersRunning.begin(), m_fleet.peersRunning.end(), 0);
    std::fill(m_fleet.peersWork.begin(), m_fleet.peersWork.end(), lane_work {});
    for (const auto& [peer, told] : m_byPeer) {
        for (const auto& entry : told.entries) {
            const target_id id = m_fleet.findHash(entry.target);
            if (!id.isValid())
                continue;
            m_fleet.peersRunning[id.value] += entry.running;
            m_fleet.peersWork[id.value].fast += entry.fastTokens;
            m_fleet.peersWork[id.value].late += entry.lateTokens;
        }
    }
}

std::vector<work_entry> peer_work::own() const
{
    std::vector<work_entry> out;
    for (std::uint32_t row = 0; row < m_fleet.size(); ++row) {
        if (m_fleet.ownRunning[row] > 0)
            out.push_back({ m_fleet.instanceHash[row], saturated<std::uint16_t>(m_fleet.ownRunning[row]),
                saturated<std::uint32_t>(m_fleet.ownWork[row].fast),
                saturated<std::uint32_t>(m_fleet.ownWork[row].late) });
    }
    return out;
}

}
