// Readiness of this node: it accepts new requests only while it can learn the configuration in force.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string_view>

namespace tamarack {

enum class readiness_state : unsigned char {
    starting, ///< has not yet learned the newest version available to it
    ready,
    behind, ///< peers serve a newer version that this node has not obtained
    cut_off, ///< neither the log nor any peer has responded within the isolation timeout
    stopping
};

std::string_view toString(readiness_state state);

struct readiness_settings {
    /// A node that receives nothing from the log and its peers for this long refuses new requests.
    duration isolationTimeout = std::chrono::seconds(5);
    /// Longest time for which a node may serve an older version than one that a peer has reported.
    duration maxVersionLag = std::chrono::seconds(3);
};

/// Prevents an isolated node from serving an old configuration, by which a change that operators see in force would
/// revert for some callers. The node detects this by a peer with a newer version, or by silence of both the log and all
/// peers.
class readiness {
public:
    explicit readiness(readiness_settings settings, instant startedAt);

    void onLogResponse(bool endReached, instant now);
    void onPeerHeartbeat(std::uint64_t version, instant now);
    void setAppliedVersion(std::uint64_t version, instant now);
    void setHasPeers(bool known) { m_hasPeers = known; }
    void setStopping() { m_isStopping = true; }

    readiness_state state(instant now) const;
    bool acceptsWork(instant now) const { return state(now) == readiness_state::ready; }
    std::uint64_t newestPeerVersion() const { return m_newestPeerVersion; }
    /// Whether the log has responded within the isolation timeout.
    bool isLogReachable(instant now) const;

private:
    readiness_settings m_settings;
    instant m_startedAt;
    instant m_logResponseAt;
    instant m_heartbeatAt;
    instant m_behindSince;
    std::uint64_t m_version = 0;
    std::uint64_t m_newestPeerVersion = 0;
    bool m_hasReadToEnd = false;
    bool m_hasLogResponse = false;
    bool m_hasHeartbeat = false;
    bool m_hasPeers = false;
    bool m_isStopping = false;
};

}
