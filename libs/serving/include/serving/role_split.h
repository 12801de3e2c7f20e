// Decides which engines of a service should prefill and which should decode, for engines that run only one of the two
// at full pace.
#pragma once

#include "serving/fleet_table.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace tamarack::serving {

struct role_split_settings {
    /// The share of a service's engines that should prefill. A change of role takes an engine out of service for 3 s,
    /// and the mix of requests changes faster than that, so one split has to fit all phases of the mix. In simulations
    /// of six fleets with a fixed split, the earned share of the requests' value differs by less than 0.03 from 0.45 to
    /// 0.65. Below 0.35 streams pause while their engines prefill for others, which loses 0.08 to 0.17 at 0.25. From
    /// 0.65 on fleets with few slots have no room for small prompts, which loses 0.02 to 0.04, and up to 0.38 at 0.75.
    double prefillShare = 0.55;
};

/// An engine that should change its role.
struct role_change {
    target_id engine;
    target_role role = target_role::prefill;
};

/// The counts behind the changes that are due, for the log.
struct split_decision {
    std::string service;
    int engines = 0;
    int prefillEngines = 0; ///< including engines that are changing to prefill
    int wanted = 0;
    bool isIdle = false;
};

/// Determines which engines should change their role, only a few at a time under load. The effect of a change is read
/// from the fleet table.
class role_split {
public:
    role_split(const fleet_table& fleet, role_split_settings settings);

    /// The changes that are due now; call it about every 100 ms. A change is returned again until recordOrder() is
    /// called for it. `prefillWaitSeconds` is the recent wait of long prompts at prefill engines, in seconds.
    std::vector<role_change> dueChanges(instant now, double prefillWaitSeconds);
    /// Records that an order may have reached the engine.
    void recordOrder(target_id engine, target_role role, instant now);
    /// Records that the order certainly had no effect.
    void recordRefusal(target_id engine, instant now);
    /// The counts of the service for which dueChanges() last found changes.
    const split_decision& lastDecision() const { return m_lastDecision; }

private:
    struct engine_state {
        instant listedAt;
        instant orderedAt; // the last order; the epoch: none
        target_role orderedRole = target_role::plain;
        bool isSeen = false;
        bool isLeaving = false; // it has announced that it is leaving
    };
    /// How long a service has been short of engines in one role.
    struct shortage {
        int direction = 0; // 1: prefill engines are missing, -1: decode engines are missing, 0: neither
        instant since;
    };

    void updateEngines(instant now);
    std::vector<role_change> dueChangesOf(
        const std::string& service, const std::vector<std::uint32_t>& rows, instant now, double prefillWaitSeconds);
    /// How many of the `missing` may change now.
    int allowedChanges(int missing, int engines, int changing, bool isIdle) const;
    /// The role that the engine has, or will have when its order is carried out.
    target_role expectedRole(std::uint32_t row, instant now) const;
    bool isChanging(std::uint32_t row, instant now) const;
    bool mayOrder(std::uint32_t row, instant now) const;
    std::vector<role_change> choose(
        const std::vector<std::uint32_t>& rows, target_role role, std::size_t most, instant now) const;

    const fleet_table& m_fleet;
    role_split_settings m_settings;
    std::unordered_map<std::string, engine_state> m_engines; // by instance
    std::unordered_map<std::string, shortage> m_shortages; // by service
    int m_idleChanges = 0; // changes ordered before there was any load
    bool m_wasIdle = false; // whether the fleet was idle when dueChanges() last found changes
    instant m_lostAt; // when an engine last disappeared unannounced; the epoch: never
    split_decision m_lastDecision;
};

}
