// Keeps the permits of this node for requests to targets that name a limit, and decides when to ask for more.
#pragma once

#include "serving/permit_issuer.h"

#include <array>
#include <deque>
#include <vector>

namespace tamarack::serving {

/// A message to the issuer of the target.
struct permit_question {
    target_id target;
    permit_ask ask;
};

/// Each permit that is valid is counted in the fleet table, where the choice of a target finds it.
class permit_holder {
public:
    permit_holder(fleet_table& fleet, const target_limits& limits, const permit_issuer& issuer);

    void granted(const permit_grant& grant, instant now);
    /// A request is sent to the target. A target without a limit needs no permit.
    void used(target_id id, instant now);
    /// Whether a request may be sent to the target now.
    bool has(target_id id, instant now) const;
    /// This node has use for a permit until then.
    void wanted(target_id id, permit_use use, instant until);
    /// How long a node that has requests for a service expects more of them.
    static constexpr duration demandTime = std::chrono::milliseconds(400);
    /// Permits per second that this node has lately been granted for the target.
    double recentRate(target_id id, instant now) const;
    /// Asks for permits. Called every few milliseconds.
    std::vector<permit_question> tick(instant now);
    void forget(target_id id);

private:
    struct row_state {
        std::deque<instant> lapseAt; // of each permit, in order of arrival
        struct demand {
            instant until;
            instant askedAt;
        };
        std::array<demand, static_cast<std::size_t>(permit_use::count)> demands; // by use
        std::deque<instant> grants; // times of the latest ones
    };

    row_state& at(target_id id);
    void dropLapsed(std::uint32_t row, instant now);

    fleet_table& m_fleet;
    const target_limits& m_limits;
    const permit_issuer& m_issuer;
    std::vector<row_state> m_rows; // by row of the fleet
};

}
