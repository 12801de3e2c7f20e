// Implements the topological order of services, and detects dependency cycles.
#include "settings/deployment.h"

#include <algorithm>

namespace tamarack {

std::vector<std::string> dependencyOrder(const deployment& config, std::vector<std::string>& cycle)
{
    std::vector<std::string> ordered;
    std::vector<const service_entry*> remaining;
    for (const auto& service : config.services)
        remaining.push_back(&service);
    const auto isResolved = [&](const std::string& name) {
        return std::find(ordered.begin(), ordered.end(), name) != ordered.end() || config.serviceIndex(name) < 0;
    };
    while (!remaining.empty()) {
        const auto ready = std::find_if(remaining.begin(), remaining.end(), [&](const service_entry* service) {
            return std::all_of(service->dependsOn.begin(), service->dependsOn.end(), isResolved);
        });
        if (ready == remaining.end()) {
            for (const auto* service : remaining)
                cycle.push_back(service->name);
            return {};
        }
        ordered.push_back((*ready)->name);
        remaining.erase(ready);
    }
    return ordered;
}

}
