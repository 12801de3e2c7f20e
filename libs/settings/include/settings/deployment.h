// The operators' text as plain data: services, their targets, and the policy that serves them.
#pragma once

#include "base/clock.h"
#include "settings/setting_error.h"

#include <string>
#include <variant>
#include <vector>

namespace tamarack {

enum class service_kind : unsigned char { engine, plain };

/// What an engine spends its time on.
enum class engine_role : unsigned char { mixed, prefill, decode };

std::string_view toString(engine_role role);
/// `mixed` for an unknown text; `known` tells which it was.
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
    int slots = 16; ///< requests one target runs at a time
    int prefillTargets = 0; ///< engines that start in the prefill role; 0 with decodeTargets 0: all mixed
    int decodeTargets = 0;
    int pieceTokens = 2000;
    double prefillTokensPerSecond = 20'000;
    double decodeTokensPerSecond = 800; ///< of one engine over all its slots
    double tokenInterval = 0.02; ///< seconds between two tokens of one answer
    double requestSeconds = 0.05; ///< plain services: usual time of one call
    bool isEngine() const { return kind == service_kind::engine; }
};

/// What each setting trades is in docs/POLICY.md.
struct policy_entry {
    double urgentShare = 0.0625; ///< of a target's slots, kept for urgent requests
    double nestedShare = 0.0625; ///< of a target's slots, kept for nested calls
    double retryBudget = 0.1; ///< retries for each success
    double affinityLoadGap = 0.25; ///< seconds of extra backlog that a cached prefix is worth at most
    double roleChangeWeight = 1.0; ///< goodput seconds that one second of an engine's absence costs
    double roleChangeSeconds = 5.0;
    double roleDwell = 60.0; ///< seconds an engine keeps a role at least
    double roleHorizon = 120.0; ///< seconds over which a change has to pay off
    double roleShortfall = 0.01; ///< share of the demand refused from which on a change is thought of
    bool planRoles = true;
    double defaultDeadline = 30.0; ///< seconds, for requests that name none
    double urgentDeadline = 5.0;
    double accountRequestsPerSecond = 100.0;
    double accountBurst = 200.0;
    int maxDepth = 4; ///< nested calls deeper than this are refused
};

struct deployment {
    std::string name;
    std::string region;
    std::vector<std::string> availabilityZones;
    std::vector<service_entry> services;
    policy_entry policy;

    /// Row of the service, or -1.
    int serviceIndex(std::string_view name) const;
    /// Row of the service that serves the model, or -1.
    int modelIndex(std::string_view model) const;
};

/// Reads and checks an operators' text; every error is listed.
std::variant<deployment, setting_errors> readDeployment(const std::string& text, const std::string& file);

/// Services so that each follows all it depends on; empty if the graph has a cycle, whose members go into `cycle`.
std::vector<std::string> dependencyOrder(const deployment& config, std::vector<std::string>& cycle);

}
