// Implements the role names and the lookups in a deployment.
#include "settings/deployment.h"

#include <array>

namespace tamarack {

namespace {
    constexpr std::array<std::string_view, 3> roleNames { "mixed", "prefill", "decode" };
}

std::string_view toString(engine_role role) { return roleNames[static_cast<std::size_t>(role)]; }

engine_role parseRole(std::string_view text, bool& known)
{
    for (std::size_t i = 0; i < roleNames.size(); ++i) {
        if (roleNames[i] == text) {
            known = true;
            return static_cast<engine_role>(i);
        }
    }
    known = false;
    return engine_role::mixed;
}

int deployment::serviceIndex(std::string_view wanted) const
{
    for (std::size_t i = 0; i < services.size(); ++i) {
        if (services[i].name == wanted)
            return static_cast<int>(i);
    }
    return -1;
}

int deployment::modelIndex(std::string_view model) const
{
    for (std::size_t i = 0; i < services.size(); ++i) {
        if (services[i].isEngine() && (services[i].model == model || services[i].name == model))
            return static_cast<int>(i);
    }
    return -1;
}

}
