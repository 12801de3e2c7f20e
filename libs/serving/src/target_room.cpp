// Implements the room of targets.
#include "serving/target_room.h"

#include <algorithm>

namespace tamarack::serving {

namespace {

    /// The number of requests for each slot that an engine may hold. It queues them by urgency, so queued ones do not
    /// delay urgent ones.
    constexpr int requestsPerEngineSlot = 2;
    /// The number of requests for each slot that a plain target may hold. With fewer, calls are held or refused while
    /// the target has free slots, because most of the calls that peers report are over. All calls that were held are
    /// then sent at once with the next heartbeats.
    constexpr int requestsPerPlainSlot = 3;

}

target_room::target_room(const fleet_table& fleet)
    : m_fleet(fleet)
{
}

int target_room::capacity(target_id id) const
{
    const bool isPlain = m_fleet.role[id.value] == target_role::plain;
    return (isPlain ? requestsPerPlainSlot : requestsPerEngineSlot) * m_fleet.slots[id.value];
}

// A target resets each connection above its own limit, which all nodes share, and the requests on these connections are
// lost. Each node therefore keeps to its share of the limit.
bool target_room::accepts(target_id id, const service_profile* profile) const
{
    const int cap = profile ? profile->connectionCap : 0;
    if (cap > 0 && m_fleet.ownRunning[id.value] >= std::max(1, cap / m_knownNodes))
        return false;
    return m_fleet.running(id) < capacity(id);
}

}
