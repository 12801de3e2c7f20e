// Which engines should read prompts and which should write answers, where each can do only one of the two at full pace.
#pragma once

#include "serving/fleet_table.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace tamarack::serving {

struct role_split_settings {
    /// Of the engines of a service that read. A change of role takes an engine away for 3 s and the users' mix swings
    /// faster than that, so the split has to fit all turns of the mix. Played on the users' six fleets, split so from
    /// the start: from 0.45 to 0.65 the share of worth differs by less than 0.03; below 0.35 streams pause while their
    /// engines read for others (0.08 to 0.17 lost at 0.25), and from 0.65 on fleets with few slots have no place for
    /// small prompts (0.02 to 0.04 lost, and up to 0.38 at 0.75).
    double readingShare = 0.55;
};

/// An engine that should have another role.
struct role_change {
    target_id engine;
    target_role role = target_role::prefill;
};

/// What was found when changes were due, for the log.
struct split_view {
    std::string service;
    int engines = 0;
    int readers = 0; ///< those under way to it included
    int wanted = 0;
    bool isIdle = false;
};

/// Says what to change, few engines at a time while they are at work; what comes of it is seen in the fleet.
class role_split {
public:
    role_split(const fleet_table& fleet, role_split_settings settings);

    /// Changes that are due now; to be asked every some 100 ms. Found again until ordered() is told. `readWait`: for
    /// which long prompts wait at engines that read, lately, in seconds.
    std::vector<role_change> due(instant now, double readWait);
    /// An order may have reached the engine.
    void ordered(target_id engine, target_role role, instant now);
    /// The order has surely had no effect.
    void refused(target_id engine, instant now);
    /// Of the service whose changes due() has found last.
    const split_view& view() const { return m_view; }

private:
    struct engine_note {
        instant listedAt;
        instant orderedAt; // the last order; none: the epoch
        target_role orderedRole = target_role::plain;
        bool isSeen = false;
        bool isLeaving = false; // it said so
    };
    /// For how long a service has been short of engines in one role.
    struct shortage {
        int direction = 0; // readers are missing (1), or writers (-1), or none (0)
        instant since;
    };

    void noteEngines(instant now);
    std::vector<role_change> dueOf(
        const std::string& service, const std::vector<std::uint32_t>& rows, instant now, double readWait);
    /// How many of the `missing` may change now.
    int allowed(int missing, int engines, int underWay, bool isIdle) const;
    /// The role that it has, or will have when its order is carried out.
    target_role roleSoon(std::uint32_t row, instant now) const;
    bool isUnderWay(std::uint32_t row, instant now) const;
    bool mayChange(std::uint32_t row, instant now) const;
    std::vector<role_change> choose(
        const std::vector<std::uint32_t>& rows, target_role role, std::size_t most, instant now) const;

    const fleet_table& m_fleet;
    role_split_settings m_settings;
    std::unordered_map<std::string, engine_note> m_notes; // by instance
    std::unordered_map<std::string, shortage> m_shortages; // by service
    int m_idleChanges = 0; // ordered before there was any load
    bool m_wasIdle = false; // when due() found changes last
    instant m_lostAt; // when an engine went without a word; the epoch: never
    split_view m_view;
};

}
