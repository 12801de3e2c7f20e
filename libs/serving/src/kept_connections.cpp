// Lapse times by target.
#include "serving/kept_connections.h"

namespace tamarack::serving {

void kept_connections::kept(target_id target, instant until)
{
    if (target.value >= m_until.size())
        m_until.resize(target.value + 1);
    auto& known = m_until[target.value];
    std::erase_if(known, [until](instant other) { return other > until; }); // times are in order
    known.push_back(until);
}

bool kept_connections::has(target_id target, instant now) const
{
    return target.value < m_until.size() && !m_until[target.value].empty() && now < m_until[target.value].back();
}

void kept_connections::taken(target_id target, instant now)
{
    if (target.value >= m_until.size())
        return;
    auto& known = m_until[target.value];
    std::erase_if(known, [now](instant until) { return now >= until; });
    if (!known.empty())
        known.pop_back();
}

void kept_connections::forget(target_id target)
{
    if (target.value < m_until.size())
        m_until[target.value].clear();
}

}
