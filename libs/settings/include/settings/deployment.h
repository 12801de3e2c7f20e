// Defines the deployment file that operators write: the services, their targets, and the serving policy.
#pragma once

#include "base/clock.h"
#include "settings/setting_error.h"

#include <string>
#include <variant>
#include <vector>

namespace tamarack {

enum class service_kind : unsigned char { engine, plain };

/// Which stages of a request an engine runs: prefill, decode, or both.
enum class engine_role : unsigned char { mixed, prefill, decode };

std::string_view toString(engine_role role);
/// Returns `mixed` for an unknown role; `known` is set to whether the text names a role.
engine_role parseRole(std::string_view text, bool& known);

struct target_entry {
    std::string name;
    std::string address; ///< `ip:port`
    std::string availabilityZone;
};

/// A method and a path prefix, written `POST /reports`.
struct route_pattern {
    std::string method;
    std::string path;
};

struct service_entry {
    std::string name;
    service_kind kind = service_kind::plain;
    std::string model;
    std::string version;
    std::string weights; ///< name in the weight store
    std::vector<std::string> adapters;
    std::vector<std::string> dependsOn;
    std::vector<std::string> urgentClasses;
    std::vector<route_pattern> nonIdempotent;
    std::vector<target_entry> targets;
    bool checksFencing = true;
    int slots = 16; ///< requests that one target runs concurrently
    int prefillTargets = 0; ///< engines that start in the prefill role; with decodeTargets also 0, all are mixed
    int decodeTargets = 0; ///< engines that start in the decode role
    int pieceTokens = 2000;
    double prefillTokensPerSecond = 20'000;
    double decodeTokensPerSecond = 800; ///< of one engine, summed over its slots
    double tokenInterval = 0.02; ///< seconds between two tokens of one answer
    double requestSeconds = 0.05; ///< plain services: typical duration of one call
    bool isEngine() const { return kind == service_kind::engine; }
};

/// The serving policy. docs/POLICY.md describes the trade-off of each setting.
struct policy_entry {
    double urgentShare = 0.0625; ///< share of a target's slots reserved for urgent requests
    double nestedShare = 0.0625; ///< share of a target's slots reserved for nested calls
    double retryBudget = 0.1; ///< retries allowed per successful request
    double affinityLoadGap = 0.25; ///< longest extra backlog, in seconds, accepted to use a cached prefix
    double roleChangeWeight = 1.0; ///< cost of one second of an engine's absence, in seconds of goodput
    double roleChangeSeconds = 5.0; ///< time that an engine is absent during a role change
    double roleDwell = 60.0; ///< shortest time, in seconds, between role changes of an engine
    double roleHorizon = 120.0; ///< time, in seconds, within which a role change must pay off
    double roleShortfall = 0.01; ///< share of refused demand from which role changes are considered
    bool planRoles = true;
    double defaultDeadline = 30.0; ///< seconds, for requests without a deadline
    double urgentDeadline = 5.0;
    double accountRequestsPerSecond = 100.0;
    double accountBurst = 200.0;
    int maxDepth = 4; ///< nested calls beyond this depth are refused
};

/// The services and the policy of one deployment.
struct deployment {
    std::string name;
    std::string region;
    std::vector<std::string> availabilityZones;
    std::vector<service_entry> services;
    policy_entry policy;

    /// Returns the index of the service, or -1 if there is none of this name.
    int serviceIndex(std::string_view name) const;
    /// Returns the index of the engine service whose model or name this is, or -1.
    int modelIndex(std::string_view model) const;
};

/// Parses and validates a deployment file. On failure, returns all errors, not only the first.
std::variant<deployment, setting_errors> readDeployment(const std::string& text, const std::string& file);

/// Returns the services in topological order, dependencies first. If the dependencies have a cycle, returns an empty
/// list and adds to `cycle` the services that could not be ordered.
std::vector<std::string> dependencyOrder(const deployment& config, std::vector<std::string>& cycle);

}
