// Windowed minimum filter for clock offsets.
#include "serving/peer_clock.h"

#include <algorithm>

namespace tamarack::serving {

namespace {

    constexpr duration window = std::chrono::minutes(1);

}

void peer_clock::observed(instant sentAt, instant arrivedAt)
{
    if (arrivedAt >= m_windowEnd) {
        m_minOffsets = { duration::max(), m_minOffsets[0] };
        m_windowEnd = arrivedAt + window;
    }
    m_minOffsets[0] = std::min(m_minOffsets[0], arrivedAt - sentAt);
}

instant peer_clock::toLocal(instant peerInstant) const
{
    return peerInstant + std::min(m_minOffsets[0], m_minOffsets[1]);
}

}
