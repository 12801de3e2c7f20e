// Implements the expiry times of idle connections.
#include "serving/idle_connections.h"

namespace tamarack::serving {

void idle_connections::add(target_id target, instant until)
{
    if (target.value >= m_expiries.size())
        m_expiries.resize(target.value + 1);
    auto& known = m_expiries[target.value];
    std::erase_if(known, [until](instant other) { return other > until; }); // keeps the times in ascending order
    known.push_back(until);
}

bool idle_connections::has(target_id target, instant now) const
{
    return target.value < m_expiries.size() && !m_expiries[target.value].empty()
        && now < m_expiries[target.value].back();
}

void idle_connections::take(target_id target, instant now)
{
    if (target.value >= m_expiries.size())
        return;
    auto& known = m_expiries[target.value];
    std::erase_if(known, [now](instant until) { return now >= until; });
    if (!known.empty())
        known.pop_back();
}

void idle_connections::forget(target_id target)
{
    if (target.value < m_expiries.size())
        m_expiries[target.value].clear();
}

}
