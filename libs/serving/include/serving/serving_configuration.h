// What operators have put in force: routes, services and limits, as typed values.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack::serving {

/// A service's part of a route's requests.
struct route_share {
    std::string service;
    double weight = 1;
};

struct route_rule {
    std::string name;
    std::string host; ///< lower case
    std::string pathPrefix;
    std::vector<route_share> shares; ///< never empty; the weights' sum is above zero
    bool isStream = false;
    /// Whether a request may run more than once: by its kind, or because its stream can be resumed elsewhere.
    bool isRepeatable = false;
    bool carriesPrompt = false; ///< requests describe their prompt
    int maxAttempts = 1; ///< targets that may run one request
    int priority = 0; ///< 0 is the most urgent
    duration timeout = duration::zero(); ///< longest time a caller is kept; zero: no limit of the route's own
    duration aim = duration::zero(); ///< time to the answer, or to a stream's first event, that still counts as fast
    duration gapAim = duration::zero(); ///< longest pause in a stream that still counts as smooth
};

/// What a model engine can hold.
struct engine_profile {
    std::int64_t cacheTokens = 0;
    std::int64_t bytesPerToken = 0; ///< of KV cache
    double linkMegabits = 0; ///< a second, between engines
    duration handleLife = duration::zero(); ///< of an exported KV cache that nobody takes
    int tokensPerEvent = 1; ///< of a stream
};

struct service_profile {
    std::string name;
    int connectionCap = 0; ///< of one target, from all nodes together; 0: none known
    std::string healthPath;
    std::optional<engine_profile> engine; ///< empty for a plain service
    /// The longest pause that counts as smooth for every stream of the service; zero: none is too long.
    duration tightestGapAim = duration::zero();
};

struct caller_limits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 8 * 1024 * 1024;
    duration headerTimeout = std::chrono::seconds(10);
    duration idleTimeout = std::chrono::seconds(60);
};

/// One version in force. Immutable once built, so that requests may keep it beyond the next version.
class serving_configuration {
public:
    serving_configuration(std::uint64_t version, std::vector<route_rule> routes, std::vector<service_profile> services,
        caller_limits limits);

    std::uint64_t version() const { return m_version; }
    const std::vector<route_rule>& routes() const { return m_routes; }
    const caller_limits& limits() const { return m_limits; }
    /// The route of the host with the longest prefix that begins the path, or null. `host` may end with a port.
    const route_rule* findRoute(std::string_view host, std::string_view path) const;
    /// Null if the service is not described.
    const service_profile* findService(std::string_view name) const;

private:
    void findTightestGapAims();

    std::uint64_t m_version;
    std::vector<route_rule> m_routes;
    std::vector<service_profile> m_services;
    caller_limits m_limits;
    std::unordered_map<std::string, std::vector<std::uint32_t>> m_routesByHost; // longest prefix first
    std::unordered_map<std::string, std::uint32_t> m_serviceByName;
};

/// The service of a route that gets the request: by weight, and the same for the same request on every node.
const std::string& chooseService(const route_rule& route, std::string_view requestId);

}
