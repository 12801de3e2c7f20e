// Whether this node may take new work: only while it can know the configuration in force.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string_view>

namespace tamarack {

enum class readiness_state : unsigned char {
    starting, ///< has not yet learned the newest version it can learn
    ready,
    behind, ///< others are in force with a newer version than this node can get
    cut_off, ///< neither the log nor any peer has answered for too long
    stopping
};

std::string_view toString(readiness_state state);

struct readiness_settings {
    /// Without log and peers for so long, a node refuses new work.
    duration cutOffAfter = std::chrono::seconds(5);
    /// A node may be this long behind a version it has heard of.
    duration behindFor = std::chrono::seconds(3);
};

/// What goes wrong without it: a node that was cut off goes on serving an old configuration, so a change that operators
/// see in force reverts for some callers. A peer whose version it lacks, or silence on all sides, is how it notices.
class readiness {
public:
    explicit readiness(readiness_settings settings, instant startedAt);

    void logAnswered(bool endReached, instant now);
    void peerHeard(std::uint64_t version, instant now);
    void versionInForce(std::uint64_t version, instant now);
    void setOthersKnown(bool known) { m_othersKnown = known; }
    void setStopping() { m_isStopping = true; }

    readiness_state state(instant now) const;
    bool takesWork(instant now) const { return state(now) == readiness_state::ready; }
    std::uint64_t newestHeard() const { return m_newestHeard; }
    /// Whether the log has answered lately.
    bool isLogReachable(instant now) const;

private:
    readiness_settings m_settings;
    instant m_startedAt;
    instant m_logAnsweredAt;
    instant m_peerHeardAt;
    instant m_behindSince;
    std::uint64_t m_version = 0;
    std::uint64_t m_newestHeard = 0;
    bool m_everReadToEnd = false;
    bool m_hasLogAnswered = false;
    bool m_hasHeardPeer = false;
    bool m_othersKnown = false;
    bool m_isStopping = false;
};

}
