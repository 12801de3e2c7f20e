// Implements the rests that targets ask for.
#include "serving/target_rest.h"

#include <algorithm>
#include <utility>

namespace tamarack::serving {

target_rests::target_rests(fleet_table& fleet)
    : m_fleet(fleet)
{
}

void target_rests::told(target_id id, duration rest, instant now)
{
    if (rest <= duration::zero())
        return;
    const auto length = std::min(rest, maxRest);
    m_fleet.restUntil[id.value] = std::max(m_fleet.restUntil[id.value], now + length);
    m_changes.push_back({ id, length });
}

std::vector<rest_change> target_rests::takeChanges() { return std::exchange(m_changes, {}); }

}
