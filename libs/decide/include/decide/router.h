// Chooses the target for a request: a bounded subset for each node, two random choices, and the prefix's usual place.
#pragma once

#include "base/random_source.h"
#include "decide/target_table.h"
#include "decide/traffic.h"

#include <initializer_list>
#include <string>
#include <vector>

namespace tamarack {

/// How a baseline differs from the router; the default is what ships. docs/POLICY.md has the measurements.
enum class routing_rule : unsigned char { two_choices, round_robin, least_in_flight, prefix_only };

/// What routing has to know of a request.
struct routing_need {
    request_shape shape;
    request_stage stage = request_stage::whole;
    target_id avoid; ///< failed just now; taken only if there is no other
    bool isAged = false; ///< has waited so long that it may use the urgent share
};

/// Some of the roles of engines.
class role_set {
public:
    constexpr role_set(std::initializer_list<engine_role> roles)
    {
        for (const auto role : roles)
            m_bits |= 1U << static_cast<unsigned>(role);
    }
    constexpr bool has(engine_role role) const { return m_bits >> static_cast<unsigned>(role) & 1U; }
    static constexpr role_set all() { return { engine_role::mixed, engine_role::prefill, engine_role::decode }; }

private:
    unsigned m_bits = 0;
};

struct routing_choice {
    target_id target;
    double seconds = 0; ///< predicted, until the stage ends there
};

/// Looks at no more than maxSubset targets a choice, whatever the fleet.
class router {
public:
    static constexpr std::size_t maxSubset = 24;

    router(std::string vm, std::string availabilityZone, std::uint64_t seed, routing_rule rule = {});

    /// Chooses this node's targets of each service anew.
    void assign(const deployment& config, const target_table& targets);
    /// A target of one of the roles that may take the request now; an invalid one if there is none. Plain services have
    /// the mixed role.
    routing_choice pick(
        const routing_need& need, role_set roles, const deployment& config, const target_table& targets, instant now);
    /// Rows this node may use for a service.
    const std::vector<std::uint32_t>& subset(service_id service) const;
    /// Requests of this kind that the target may hold at a time.
    static int slotLimit(
        const service_entry& service, const policy_entry& policy, const routing_need& need, std::uint32_t row);

private:
    /// Fills m_candidates with the targets, of one role or any, that may take the request now.
    void collect(
        const routing_need& need, role_set roles, const deployment& config, const target_table& targets, instant now);
    bool isAdmissible(target_id id, const routing_need& need, const service_entry& service, int limit,
        const target_table& targets, instant now) const;
    double cost(target_id id, const routing_need& need, const service_entry& service, const target_table& targets,
        instant now) const;
    routing_choice choose(const routing_need& need, const deployment& config, const target_table& targets, instant now);
    target_id cheaperOfTwo(
        const routing_need& need, const service_entry& service, const target_table& targets, instant now);
    target_id cheapest(
        const routing_need& need, const service_entry& service, const target_table& targets, instant now);
    bool hasMixedRoles(const target_table& targets) const;
    target_id usualPlace(const routing_need& need, const target_table& targets) const;

    std::string m_vm;
    std::string m_zoneName;
    std::int32_t m_zone = -1;
    random_source m_random;
    routing_rule m_rule;
    std::vector<std::vector<std::uint32_t>> m_subsets; // by service
    std::vector<std::uint32_t> m_candidates; // kept between calls to avoid allocation
    std::uint64_t m_turn = 0;
};

}
