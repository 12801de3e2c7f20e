// Decides how many instances of each kind a service should have in each availability zone.
#pragma once

#include "duties/duty_statement.h"
#include "serving/fleet_table.h"
#include "serving/serving_configuration.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// Spot instances cost a fraction of the others, but the platform may reclaim all of an availability zone at once. The
/// plan replaces other instances by spot instances and adds as many as the loss of one zone takes away, as long as this
/// is cheaper. An instance is let go only when its replacement is listed. A zone that lacks instances for a while is
/// not compensated elsewhere, since the spare instances are there already.
class instance_plan {
public:
    explicit instance_plan(const serving::fleet_table& fleet);

    /// Returns the orders that should be in force, given those that are. The result for a service is what is in force
    /// as long as nothing can be decided about it.
    std::vector<instance_order> decide(
        const serving::serving_configuration& configuration, const std::vector<instance_order>& inForce, instant now);
    /// Whether the availability zone has fewer instances than the orders in force say.
    bool isShort(const instance_order& order, const std::vector<instance_order>& inForce) const;

private:
    /// Instances of a service in one availability zone.
    struct zone_state {
        int listed = 0; ///< accepting work
        int spot = 0; ///< ordered
        std::optional<int> regular; ///< ordered; empty while the instances found there are kept
        int found = 0; ///< regular instances that were there before anything was ordered, as far as they were seen
    };
    using zone_states = std::map<std::string, zone_state>;

    struct service_state {
        int found = 0; // in all zones
        instant foundChangedAt;
        instant spotListedFrom; // no spot instance can be listed before; set by the holder that orders the first ones
    };

    zone_states countInstances(const serving::service_profile& service, const std::vector<instance_order>& inForce,
        const service_state& state, instant now) const;

    const serving::fleet_table& m_fleet;
    std::map<std::string, service_state> m_services;
};

}
