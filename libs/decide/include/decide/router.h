// Chooses the target of a request by subsetting, power of two random choices and prefix affinity.
#pragma once

#include "base/random_source.h"
#include "decide/target_table.h"
#include "decide/traffic.h"

#include <initializer_list>
#include <string>
#include <vector>

namespace tamarack {

/// Routing policy. The default is the one used in production; the others are baselines, compared in docs/POLICY.md.
enum class routing_rule : unsigned char { two_choices, round_robin, least_in_flight, prefix_only };

/// Properties of a request that routing depends on.
struct routing_request {
    request_shape shape;
    request_stage stage = request_stage::whole;
    target_id avoid; ///< target of the last failed attempt; chosen only if there is no other
    bool isAged = false; ///< has waited so long that it may use the slots reserved for urgent requests
};

/// A set of engine roles.
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

/// A chosen target and its predicted cost.
struct routing_choice {
    target_id target;
    double seconds = 0; ///< predicted time until the stage ends at the target
};

/// Considers at most maxSubset targets per choice, independent of the fleet size.
class router {
public:
    static constexpr std::size_t maxSubset = 24;

    router(std::string vm, std::string availabilityZone, std::uint64_t seed, routing_rule rule = {});

    /// Recomputes this node's subset of targets for each service.
    void assign(const deployment& config, const target_table& targets);
    /// Returns a target of one of the roles that can accept the request now, or an invalid one if there is none.
    /// Targets of services other than engines have the mixed role.
    routing_choice pick(const routing_request& request, role_set roles, const deployment& config,
        const target_table& targets, instant now);
    /// Rows of the targets that this node uses for a service.
    const std::vector<std::uint32_t>& subset(service_id service) const;
    /// Number of requests at the target up to which it accepts a request of this kind.
    static int slotLimit(
        const service_entry& service, const policy_entry& policy, const routing_request& request, std::uint32_t row);

private:
    /// Fills m_candidates with the targets of the given roles that can accept the request now.
    void collectCandidates(const routing_request& request, role_set roles, const deployment& config,
        const target_table& targets, instant now);
    bool isAdmissible(target_id id, const routing_request& request, const service_entry& service, int limit,
        const target_table& targets, instant now) const;
    double cost(target_id id, const routing_request& request, const service_entry& service, const target_table& targets,
        instant now) const;
    routing_choice choose(
        const routing_request& request, const deployment& config, const target_table& targets, instant now);
    target_id cheaperOfTwo(
        const routing_request& request, const service_entry& service, const target_table& targets, instant now);
    target_id cheapestCandidate(
        const routing_request& request, const service_entry& service, const target_table& targets, instant now);
    bool hasSeveralRoles(const target_table& targets) const;
    /// The candidate preferred for the request's prefix, by rendezvous hashing.
    target_id affinityTarget(const routing_request& request, const target_table& targets) const;

    std::string m_vm;
    std::string m_zoneName;
    std::int32_t m_zone = -1;
    random_source m_random;
    routing_rule m_rule;
    std::vector<std::vector<std::uint32_t>> m_subsets; // by service
    std::vector<std::uint32_t> m_candidates; // member to avoid an allocation per call
    std::uint64_t m_roundRobinIndex = 0;
};

}
