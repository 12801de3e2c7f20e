// Parses the deployment file and validates it, field by field and across fields.
#include "field_table.h"
#include "settings/deployment.h"

#include <array>
#include <set>

namespace tamarack {

namespace {

    using detail::field;
    using detail::indexField;
    using detail::joinField;
    using detail::json;
    using detail::json_document;

    using d = deployment;
    const std::array<field<d>, 3> deploymentFields { {
        { "deployment", &d::name, true },
        { "region", &d::region, true },
        { "availability_zones", &d::availabilityZones, true },
    } };

    using s = service_entry;
    const std::array<field<s>, 16> serviceFields { {
        { "name", &s::name, true },
        { "model", &s::model },
        { "version", &s::version },
        { "weights", &s::weights },
        { "adapters", &s::adapters },
        { "depends_on", &s::dependsOn },
        { "urgent_classes", &s::urgentClasses },
        { "checks_fencing", &s::checksFencing },
        { "slots", &s::slots, false, 1, 4096 },
        { "prefill_targets", &s::prefillTargets, false, 0, 10'000 },
        { "decode_targets", &s::decodeTargets, false, 0, 10'000 },
        { "piece_tokens", &s::pieceTokens, false, 1, 1'000'000 },
        { "prefill_tokens_per_second", &s::prefillTokensPerSecond, false, 1 },
        { "decode_tokens_per_second", &s::decodeTokensPerSecond, false, 1 },
        { "token_interval", &s::tokenInterval, false, 0.0001, 60 },
        { "request_seconds", &s::requestSeconds, false, 0.0001, 600 },
    } };

    using t = target_entry;
    const std::array<field<t>, 3> targetFields { {
        { "name", &t::name, true },
        { "address", &t::address, true },
        { "availability_zone", &t::availabilityZone, true },
    } };

    using p = policy_entry;
    const std::array<field<p>, 15> policyFields { {
        { "urgent_share", &p::urgentShare, false, 0, 0.9 },
        { "nested_share", &p::nestedShare, false, 0, 0.9 },
        { "retry_budget", &p::retryBudget, false, 0, 1 },
        { "affinity_load_gap", &p::affinityLoadGap, false, 0, 600 },
        { "role_change_weight", &p::roleChangeWeight, false, 0, 1000 },
        { "role_change_seconds", &p::roleChangeSeconds, false, 0, 3600 },
        { "role_dwell", &p::roleDwell, false, 0, 86400 },
        { "role_horizon", &p::roleHorizon, false, 1, 86400 },
        { "role_shortfall", &p::roleShortfall, false, 0, 1 },
        { "plan_roles", &p::planRoles },
        { "default_deadline", &p::defaultDeadline, false, 0.01, 3600 },
        { "urgent_deadline", &p::urgentDeadline, false, 0.01, 3600 },
        { "account_requests_per_second", &p::accountRequestsPerSecond, false, 0.001, 1e9 },
        { "account_burst", &p::accountBurst, false, 1, 1e9 },
        { "max_depth", &p::maxDepth, false, 1, 64 },
    } };

    void readRoutes(json_document& document, const json& list, const std::string& path, service_entry& service)
    {
        if (!list.is_array())
            return document.addError(path, "must be a list of strings such as \"POST /reports\"");
        for (std::size_t i = 0; i < list.size(); ++i) {
            const auto text = list[i].is_string() ? list[i].get<std::string>() : std::string();
            const auto blank = text.find(" /");
            if (blank == std::string::npos || blank == 0) {
                document.addError(indexField(path, i), "must be a method and a path, such as \"POST /reports\"");
                continue;
            }
            service.nonIdempotent.push_back({ text.substr(0, blank), text.substr(blank + 1) });
        }
    }

    void readTargets(json_document& document, const json& list, const std::string& path, service_entry& service)
    {
        if (!list.is_array())
            return document.addError(path, "must be a list of targets");
        for (std::size_t i = 0; i < list.size(); ++i) {
            target_entry target;
            detail::readFields<t>(document, list[i], indexField(path, i), target, targetFields);
            service.targets.push_back(std::move(target));
        }
    }

    void readKind(json_document& document, const json& object, const std::string& path, service_entry& service)
    {
        const auto field = joinField(path, "kind");
        const auto found = object.find("kind");
        if (found == object.end())
            return document.addError(field, "is missing");
        if (*found == "engine")
            service.kind = service_kind::engine;
        else if (*found != "plain")
            document.addError(field, "must be \"engine\" or \"plain\"");
    }

    void readService(json_document& document, const json& object, const std::string& path, deployment& read)
    {
        service_entry service;
        detail::readFields<s>(document, object, path, service, serviceFields, { "kind", "targets", "non_idempotent" });
        if (object.is_object()) {
            readKind(document, object, path, service);
            if (object.contains("non_idempotent"))
                readRoutes(document, object["non_idempotent"], joinField(path, "non_idempotent"), service);
            if (object.contains("targets"))
                readTargets(document, object["targets"], joinField(path, "targets"), service);
            else
                document.addError(joinField(path, "targets"), "is missing");
        }
        read.services.push_back(std::move(service));
    }

    void checkTargets(json_document& document, const deployment& read, std::size_t index, std::set<std::string>& names,
        std::set<std::string>& addresses)
    {
        const auto path = indexField("services", index);
        const auto& targets = read.services[index].targets;
        for (std::size_t i = 0; i < targets.size(); ++i) {
            const auto at = indexField(joinField(path, "targets"), i);
            const auto& zones = read.availabilityZones;
            if (!targets[i].name.empty() && !names.insert(targets[i].name).second)
                document.addError(joinField(at, "name"), "is used by another target");
            if (!targets[i].address.empty() && !addresses.insert(targets[i].address).second)
                document.addError(joinField(at, "address"), "is used by another target");
            const auto& address = targets[i].address;
            const auto colon = address.rfind(':');
            const bool isNumeric = address.find_first_not_of("0123456789.abcdefABCDEF:[]") == std::string::npos;
            if (!address.empty() && (colon == std::string::npos || colon + 1 == address.size() || !isNumeric))
                document.addError(joinField(at, "address"), "must be an IP address and a port, such as 10.0.0.1:9000");
            if (std::find(zones.begin(), zones.end(), targets[i].availabilityZone) == zones.end())
                document.addError(joinField(at, "availability_zone"), "is not among availability_zones");
        }
    }

    void checkService(json_document& document, const deployment& read, std::size_t index)
    {
        const auto path = indexField("services", index);
        const auto& service = read.services[index];
        if (service.targets.empty())
            document.addError(joinField(path, "targets"), "must name at least one target");
        for (std::size_t i = 0; i < service.dependsOn.size(); ++i) {
            if (read.serviceIndex(service.dependsOn[i]) < 0)
                document.addError(indexField(joinField(path, "depends_on"), i), "names no service of this deployment");
        }
        if (service.isEngine() && service.model.empty())
            document.addError(joinField(path, "model"), "is missing; an engine serves a model");
        if (service.isEngine() && !service.nonIdempotent.empty())
            document.addError(joinField(path, "non_idempotent"), "is for plain services only");
        const int dedicatedTargets = service.prefillTargets + service.decodeTargets;
        if (dedicatedTargets > static_cast<int>(service.targets.size()))
            document.addError(
                joinField(path, "prefill_targets"), "together with decode_targets exceeds the number of targets");
        if ((service.prefillTargets > 0) != (service.decodeTargets > 0))
            document.addError(joinField(path, "prefill_targets"), "and decode_targets must both be above 0, or both 0");
    }

    void checkFieldCombinations(json_document& document, const deployment& read)
    {
        std::set<std::string> serviceNames, targetNames, addresses;
        if (read.services.empty())
            document.addError("services", "must name at least one service");
        for (std::size_t i = 0; i < read.services.size(); ++i) {
            if (!serviceNames.insert(read.services[i].name).second)
                document.addError(joinField(indexField("services", i), "name"), "is used by another service");
            checkService(document, read, i);
            checkTargets(document, read, i, targetNames, addresses);
        }
        std::vector<std::string> cycle;
        dependencyOrder(read, cycle);
        if (!cycle.empty()) {
            std::string members = cycle.front();
            for (std::size_t i = 1; i < cycle.size(); ++i)
                members += ", " + cycle[i];
            document.addError("services", "depends_on has a cycle among " + members);
        }
        if (read.policy.urgentShare + read.policy.nestedShare > 0.9)
            document.addError("policy.urgent_share", "and nested_share together must be at most 0.9");
    }

}

std::variant<deployment, setting_errors> readDeployment(const std::string& text, const std::string& file)
{
    json_document document(text, file);
    deployment read;
    if (document.isParsed()) {
        const json& root = document.root();
        detail::readFields<d>(document, root, "", read, deploymentFields, { "services", "policy" });
        if (root.contains("policy"))
            detail::readFields<p>(document, root["policy"], "policy", read.policy, policyFields);
        if (!root.contains("services") || !root["services"].is_array()) {
            document.addError("services", "must be a list of services");
        } else {
            const auto& services = root["services"];
            for (std::size_t i = 0; i < services.size(); ++i)
                readService(document, services[i], indexField("services", i), read);
            checkFieldCombinations(document, read);
        }
    }
    if (!document.errors().empty())
        return document.errors();
    return read;
}

}
