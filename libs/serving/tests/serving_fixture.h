// Shared by the tests of the dispatch code: a configuration with one plain and one engine service, and a dispatcher
// with targets in virtual time.
#pragma once

#include "serving/dispatcher.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>
#include <string>

namespace tamarack::serving::tests {

using namespace std::chrono_literals;

inline instant at(duration sinceStart) { return instant(1h) + sinceStart; }

inline route_rule plainRoute(bool isRepeatable, int maxAttempts = 2)
{
    route_rule route;
    route.name = isRepeatable ? "look-up" : "report";
    route.host = "host";
    route.pathPrefix = isRepeatable ? "/look-up/" : "/report/";
    route.shares = { { "plain", 1 } };
    route.isRepeatable = isRepeatable;
    route.maxAttempts = maxAttempts;
    route.priority = 2;
    route.timeout = 600ms;
    route.aim = 100ms;
    return route;
}

inline route_rule promptRoute(std::string name, int priority, bool isRepeatable, duration aim)
{
    route_rule route;
    route.name = name;
    route.host = "host";
    route.pathPrefix = "/" + name + "/";
    route.shares = { { "engines", 1 } };
    route.isStream = true;
    route.isRepeatable = isRepeatable;
    route.carriesPrompt = true;
    route.maxAttempts = isRepeatable ? 2 : 1;
    route.priority = priority;
    route.timeout = 6s;
    route.aim = aim;
    route.gapAim = 300ms;
    return route;
}

/// Routes: 0 look-up, 1 report, 2 summary (large prompts), 3 tag (small prompts).
inline std::shared_ptr<const serving_configuration> sampleConfiguration(std::uint64_t version = 1)
{
    service_profile plain;
    plain.name = "plain";
    plain.connectionCap = 96;
    service_profile engines;
    engines.name = "engines";
    engines.connectionCap = 360;
    engine_profile profile;
    profile.cacheTokens = 400'000;
    profile.bytesPerToken = 35'000;
    profile.linkMegabits = 300'000;
    profile.handleTimeToLive = 5s;
    engines.engine = profile;
    return std::make_shared<const serving_configuration>(version,
        std::vector<route_rule> { plainRoute(true), plainRoute(false, 1), promptRoute("summary", 1, false, 800ms),
            promptRoute("tag", 0, true, 400ms) },
        std::vector<service_profile> { plain, engines }, caller_limits {});
}

inline target_record targetRecord(
    std::string instance, std::string service, target_role role, int slots, std::string zone = "a")
{
    target_record record;
    record.name = std::move(instance);
    record.service = std::move(service);
    record.address = "10.0.0.1:80";
    record.availabilityZone = std::move(zone);
    record.slots = slots;
    record.role = role;
    record.sequence = 1;
    return record;
}

/// A dispatcher with targets, and requests for the routes of the sample configuration.
struct dispatch_world {
    std::shared_ptr<const serving_configuration> configuration = sampleConfiguration();
    dispatcher decisions;
    int made = 0;

    static dispatcher_settings settings()
    {
        dispatcher_settings out;
        out.availabilityZone = "a";
        out.retries.slack = 1000;
        return out;
    }

    explicit dispatch_world(dispatcher_settings given = settings())
        : decisions(given)
    {
        decisions.setKnownNodes(1);
    }

    void addPlain(const std::string& instance, const std::string& zone = "a", int slots = 6)
    {
        decisions.targetListed(targetRecord(instance, "plain", target_role::plain, slots, zone));
    }
    void addEngine(const std::string& instance, target_role role, const std::string& zone = "a", int slots = 64)
    {
        decisions.targetListed(targetRecord(instance, "engines", role, slots, zone));
    }

    serving_request make(std::size_t route, duration patience = 6s)
    {
        serving_request request;
        request.id = "request-" + std::to_string(made++);
        request.configuration = configuration;
        request.route = &configuration->routes()[route];
        request.service = request.route->shares.front().service;
        request.callerTimeout = patience;
        return request;
    }
    /// `beginning` identifies the prefix that requests share.
    serving_request makePrompt(std::size_t route, std::uint64_t beginning, std::int64_t shared, std::int64_t own)
    {
        auto request = make(route);
        prompt text;
        text.parts = { { beginning, shared }, { 1'000'000 + static_cast<std::uint64_t>(made), own } };
        text.inputTokens = shared + own;
        text.outputTokens = 20;
        request.text = std::move(text);
        return request;
    }

    std::string nameOf(target_id id) const { return decisions.fleet().instance[id.value]; }
};

template <class Command> const Command* find(const command_list& commands)
{
    for (const auto& command : commands) {
        if (const auto* found = std::get_if<Command>(&command))
            return found;
    }
    return nullptr;
}

template <class Command> int count(const command_list& commands)
{
    return static_cast<int>(std::count_if(
        commands.begin(), commands.end(), [](const command& item) { return std::holds_alternative<Command>(item); }));
}

}
