// Readiness rules.
#include "decide/readiness.h"

#include <algorithm>
#include <array>

namespace tamarack {

std::string_view toString(readiness_state state)
{
    constexpr std::array<std::string_view, 5> names { "starting", "ready", "behind", "cut-off", "stopping" };
    return names[static_cast<std::size_t>(state)];
}

readiness::readiness(readiness_settings settings, instant startedAt)
    : m_settings(settings)
    , m_startedAt(startedAt)
{
}

void readiness::onLogResponse(bool endReached, instant now)
{
    m_hasLogResponse = true;
    m_logResponseAt = now;
    m_hasReadToEnd |= endReached;
}

void readiness::onPeerHeartbeat(std::uint64_t version, instant now)
{
    m_hasHeartbeat = true;
    m_heartbeatAt = now;
    if (version <= m_newestPeerVersion)
        return;
    m_newestPeerVersion = version;
    if (m_newestPeerVersion > m_version)
        m_behindSince = now;
}

void readiness::setAppliedVersion(std::uint64_t version, instant) { m_version = std::max(m_version, version); }

bool readiness::isLogReachable(instant now) const
{
    return m_hasLogResponse && now < m_logResponseAt + m_settings.isolationTimeout;
}

readiness_state readiness::state(instant now) const
{
    if (m_isStopping)
        return readiness_state::stopping;
    const bool hasRecentHeartbeat = m_hasHeartbeat && now < m_heartbeatAt + m_settings.isolationTimeout;
    // During an outage of the log, a node that has just started accepts the newest version of its peers.
    const bool mayTrustPeers
        = !isLogReachable(now) && hasRecentHeartbeat && now >= m_startedAt + m_settings.maxVersionLag;
    if (m_version == 0 || (!m_hasReadToEnd && !mayTrustPeers))
        return readiness_state::starting;
    if (m_newestPeerVersion > m_version && now >= m_behindSince + m_settings.maxVersionLag)
        return readiness_state::behind;
    if (!isLogReachable(now) && !hasRecentHeartbeat && m_hasPeers)
        return readiness_state::cut_off;
    return readiness_state::ready;
}

}
