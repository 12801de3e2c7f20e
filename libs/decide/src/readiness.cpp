// The rule for taking new work.
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

void readiness::logAnswered(bool endReached, instant now)
{
    m_hasLogAnswered = true;
    m_logAnsweredAt = now;
    m_everReadToEnd |= endReached;
}

void readiness::peerHeard(std::uint64_t version, instant now)
{
    m_hasHeardPeer = true;
    m_peerHeardAt = now;
    if (version <= m_newestHeard)
        return;
    m_newestHeard = version;
    if (m_newestHeard > m_version)
        m_behindSince = now;
}

void readiness::versionInForce(std::uint64_t version, instant) { m_version = std::max(m_version, version); }

bool readiness::isLogReachable(instant now) const
{
    return m_hasLogAnswered && now < m_logAnsweredAt + m_settings.cutOffAfter;
}

readiness_state readiness::state(instant now) const
{
    if (m_isStopping)
        return readiness_state::stopping;
    const bool hearsPeers = m_hasHeardPeer && now < m_peerHeardAt + m_settings.cutOffAfter;
    // During an outage of the log a fresh node takes the newest version that its peers have.
    const bool mayTrustPeers = !isLogReachable(now) && hearsPeers && now >= m_startedAt + m_settings.behindFor;
    if (m_version == 0 || (!m_everReadToEnd && !mayTrustPeers))
        return readiness_state::starting;
    if (m_newestHeard > m_version && now >= m_behindSince + m_settings.behindFor)
        return readiness_state::behind;
    if (!isLogReachable(now) && !hearsPeers && m_othersKnown)
        return readiness_state::cut_off;
    return readiness_state::ready;
}

}
