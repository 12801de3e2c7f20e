// Orders services by what they depend on, and finds cycles.
#include "settings/deployment.h"

#include <algorithm>

namespace tamarack {

std::vector<std::string> dependencyOrder(const deployment& config, std::vector<std::string>& cycle)
{
    std::vector<std::string> ordered;
    std::vector<const service_entry*> waiting;
    for (const auto& service : config.services)
        waiting.push_back(&service);
    const auto isPlaced = [&](const std::string& name) {
        return std::find(ordered.begin(), ordered.end(), name) != ordered.end() || config.serviceIndex(name) < 0;
    };
    while (!waiting.empty()) {
        const auto ready = std::find_if(waiting.begin(), waiting.end(), [&](const service_entry* service) {
            return std::all_of(service->dependsOn.begin(), service->dependsOn.end(), isPlaced);
        });
        if (ready == waiting.end()) {
            for (const auto* service : waiting)
                cycle.push_back(service->name);
            return {};
        }
        ordered.push_back((*ready)->name);
        waiting.erase(ready);
    }
    return ordered;
}

}
