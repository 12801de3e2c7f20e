// Look-up of routes and services in a configuration.
#include "serving/serving_configuration.h"

#include "base/contract.h"
#include "base/hash.h"

#include <algorithm>
#include <cctype>

namespace tamarack::serving {

namespace {

    std::string hostName(std::string_view host)
    {
        std::string name(host.substr(0, host.rfind(':')));
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        return name;
    }

}

serving_configuration::serving_configuration(std::uint64_t version, std::vector<route_rule> routes,
    std::vector<service_profile> services, caller_limits limits, std::shared_ptr<const account_directory> accounts)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_services(std::move(services))
    , m_limits(limits)
    , m_accounts(std::move(accounts))
{
    for (std::uint32_t i = 0; i < m_routes.size(); ++i)
        m_routesByHost[m_routes[i].host].push_back(i);
    for (auto& [host, rows] : m_routesByHost) {
        std::stable_sort(rows.begin(), rows.end(), [this](std::uint32_t a, std::uint32_t b) {
            return m_routes[a].pathPrefix.size() > m_routes[b].pathPrefix.size();
        });
    }
    for (std::uint32_t i = 0; i < m_services.size(); ++i)
        m_serviceByName[m_services[i].name] = i;
    findTightestGapAims();
}

void serving_configuration::findTightestGapAims()
{
    for (const auto& route : m_routes) {
        if (!route.isStream || route.gapAim <= duration::zero())
            continue;
        for (const auto& share : route.shares) {
            const auto found = m_serviceByName.find(share.service);
            if (found == m_serviceByName.end())
                continue;
            auto& tightest = m_services[found->second].tightestGapAim;
            tightest = tightest == duration::zero() ? route.gapAim : std::min(tightest, route.gapAim);
        }
    }
}

const route_rule* serving_configuration::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = m_routesByHost.find(hostName(host));
    if (found == m_routesByHost.end())
        return nullptr;
    for (const auto row : found->second) {
        if (path.starts_with(m_routes[row].pathPrefix))
            return &m_routes[row];
    }
    return nullptr;
}

const service_profile* serving_configuration::findService(std::string_view name) const
{
    const auto found = m_serviceByName.find(std::string(name));
    return found == m_serviceByName.end() ? nullptr : &m_services[found->second];
}

const std::string& chooseService(const route_rule& route, std::string_view requestId)
{
    TAMARACK_ASSERT(!route.shares.empty(), "a route has a service");
    double total = 0;
    for (const auto& share : route.shares)
        total += share.weight;
    constexpr double hashRange = 18446744073709551616.0; // 2 to the 64th
    double left = total * (static_cast<double>(stableHash(requestId)) / hashRange);
    for (const auto& share : route.shares) {
        left -= share.weight;
        if (left < 0)
            return share.service;
    }
    return route.shares.back().service;
}

}
