// Implements the rests that targets ask for.
#include "serving/target_rest.h"

#include <algorithm>
#include <utility>

namespace tamarack::serving {

target_rests::target_rests(fleet_table& fleet)
    : m_fleet(fleet)
{
}

void target_rests::reserveRow(std::size_t row)
{
    if (row >= m_isReturning.size())
        m_isReturning.resize(row + 1, 0);
}

void target_rests::told(target_id id, duration rest, instant now)
{
    if (rest <= duration::zero())
        return;
    const auto length = std::min(rest, maxRest);
    reserveRow(id.value);
    m_fleet.restUntil[id.value] = std::max(m_fleet.restUntil[id.value], now + length);
    m_fleet.trialUntil[id.value] = {};
    m_isReturning[id.value] = 1;
    m_changes.push_back({ id, length });
}

void target_rests::sent(target_id id, instant now)
{
    reserveRow(id.value);
    if (m_isReturning[id.value])
        m_fleet.trialUntil[id.value] = now + trialTime;
}

void target_rests::answered(target_id id, instant sentAt)
{
    reserveRow(id.value);
    // An answer to what was sent before the rest does not show that the target takes work again.
    if (!m_isReturning[id.value] || sentAt < m_fleet.restUntil[id.value])
        return;
    m_isReturning[id.value] = 0;
    m_fleet.trialUntil[id.value] = {};
}

void target_rests::forget(target_id id)
{
    reserveRow(id.value);
    m_isReturning[id.value] = 0;
}

std::vector<rest_change> target_rests::takeChanges() { return std::exchange(m_changes, {}); }

}
