// Judges targets by what attempts saw, this node's own and its peers', since a target's word on its health can be false
// either way.
#pragma once

#include "serving/fleet_table.h"

#include <vector>

namespace tamarack::serving {

/// A target is left for a while, or used again.
struct health_change {
    target_id target;
    std::string_view reason;
    int failuresInARow = 0;
    duration blockedFor = duration::zero(); ///< zero: it is used again
};

/// What a node's attempts at a target came to since it told last.
struct health_news {
    std::uint32_t target = 0; ///< shortHash() of its instance
    std::uint16_t answers = 0; ///< of any kind
    std::uint16_t failures = 0; ///< of them, in tenths
};

/// Blocks a target for a while after failures in a row; the time doubles while the first attempt after it fails again.
/// Besides it keeps the share of attempts that failed lately, by which placement prefers others.
class target_health {
public:
    explicit target_health(fleet_table& fleet);

    void succeeded(target_id id, instant now);
    /// It could not be connected to, or broke off.
    void failed(target_id id, instant now);
    /// It has no room; asked again soon.
    void rejected(target_id id, instant now);
    /// Another target answers at its address; the list will tell.
    void misdirected(target_id id, instant now);
    /// It answered with a failure of its own. No reason to leave it, but one to prefer others.
    void answeredFailure(target_id id, instant now);
    /// What a peer's attempts came to.
    void told(target_id id, const health_news& news, instant now);
    /// For the peers: targets that have failed lately, with what came since the last call.
    std::vector<health_news> takeNews(instant now);
    /// Share of the attempts at it that failed lately, those of peers included; 0.2 after one of four.
    double failureShare(target_id id, instant now) const;
    /// The row is another target's now.
    void forget(target_id id);
    /// Changes since the last call, for the log.
    std::vector<health_change> takeChanges();

private:
    /// Attempts and failures, of which half is forgotten in each `forgetHalf`.
    struct evidence {
        double answers = 0;
        double failures = 0;
        instant at;
    };
    /// Not told to peers yet.
    struct untold_counts {
        int answers = 0;
        double failures = 0;
    };

    void reserveRow(std::size_t row);
    static evidence agedTo(const evidence& item, instant now);
    void count(target_id id, double failure, instant now);
    void add(target_id id, double answers, double failures, instant now);
    void block(target_id id, instant now, duration length, std::string_view reason);

    fleet_table& m_fleet;
    // Columns by row of the fleet.
    std::vector<int> m_failuresInARow;
    std::vector<evidence> m_evidence;
    std::vector<untold_counts> m_untold;
    std::vector<std::uint8_t> m_isLeft; // a block was told, and no success since
    std::vector<health_change> m_changes;
};

}
