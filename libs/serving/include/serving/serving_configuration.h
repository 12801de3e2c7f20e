// The configuration in force as typed values: routes, services and limits.
#pragma once

#include "accounts/account_directory.h"
#include "base/clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack::serving {

/// Share of a route's requests that go to a service.
struct route_share {
    std::string service;
    double weight = 1;
};

struct route_rule {
    std::string name;
    std::string host; ///< lower case
    std::string pathPrefix;
    std::vector<route_share> shares; ///< never empty; the sum of the weights is positive
    bool isStream = false;
    /// Whether a request may be executed more than once, either because its kind allows it or because its stream can be
    /// resumed at another target.
    bool isRepeatable = false;
    bool carriesPrompt = false; ///< requests carry a description of their prompt
    bool isPublic = false; ///< callers need no API key
    int maxAttempts = 1; ///< maximum number of targets that may execute a request
    int priority = 0; ///< 0 is the highest
    duration timeout = duration::zero(); ///< maximum time until the response; zero if the route sets no limit
    duration aim = duration::zero(); ///< response time, or time to the first stream event, that counts as fast
    duration gapAim = duration::zero(); ///< longest gap between stream events that counts as smooth
};

/// Capacity and transfer properties of a model engine.
struct engine_profile {
    std::int64_t cacheTokens = 0;
    std::int64_t bytesPerToken = 0; ///< bytes of KV cache per token
    double linkMegabits = 0; ///< megabits per second between engines
    duration handleTimeToLive = duration::zero(); ///< time-to-live of an exported KV cache that is not imported
    int tokensPerEvent = 1; ///< tokens per stream event
};

/// Bounds and prices for the number of instances of a service whose instances can be ordered.
struct instance_scaling {
    int min = 0; ///< in each availability zone, instances of both kinds together
    int max = 0;
    duration bootTime = duration::zero(); ///< from the order to the first request
    /// Price of a spot instance as a share of the price of another one. Empty: there are no spot instances.
    std::optional<double> spotPrice;
    std::map<std::string, double> zonePrices; ///< per second of an instance, by availability zone
};

struct service_profile {
    std::string name;
    int connectionCap = 0; ///< connections of one target, from all nodes together; 0 if no limit is known
    std::string healthPath;
    std::optional<engine_profile> engine; ///< empty for a plain service
    std::optional<instance_scaling> scaling; ///< empty if the number of instances is fixed
    /// The shortest gap aim over all streaming routes of the service. Zero if no route sets one.
    duration tightestGapAim = duration::zero();
};

struct caller_limits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 8 * 1024 * 1024;
    duration headerTimeout = std::chrono::seconds(10);
    duration idleTimeout = std::chrono::seconds(60);
};

/// One version of the configuration. It is immutable once built, so requests can keep it after a newer version is in
/// force.
class serving_configuration {
public:
    /// `accounts` is null if callers need no API key on any route.
    serving_configuration(std::uint64_t version, std::vector<route_rule> routes, std::vector<service_profile> services,
        caller_limits limits, std::shared_ptr<const account_directory> accounts = nullptr);

    std::uint64_t version() const { return m_version; }
    const std::vector<route_rule>& routes() const { return m_routes; }
    const std::vector<service_profile>& services() const { return m_services; }
    /// Null if callers need no API key on any route.
    const account_directory* accounts() const { return m_accounts.get(); }
    const caller_limits& limits() const { return m_limits; }
    /// The route of the host with the longest matching path prefix, or null. `host` may include a port.
    const route_rule* findRoute(std::string_view host, std::string_view path) const;
    /// The profile of the service, or null if it is not configured.
    const service_profile* findService(std::string_view name) const;

private:
    void findTightestGapAims();

    std::uint64_t m_version;
    std::vector<route_rule> m_routes;
    std::vector<service_profile> m_services;
    caller_limits m_limits;
    std::shared_ptr<const account_directory> m_accounts;
    std::unordered_map<std::string, std::vector<std::uint32_t>> m_routesByHost; // longest prefix first
    std::unordered_map<std::string, std::uint32_t> m_serviceByName;
};

/// Selects the service of a route for a request by weight. The choice depends only on the request id, so it is the same
/// on every node.
const std::string& chooseService(const route_rule& route, std::string_view requestId);

}
