// Implements the table of held requests.
#include "serving/in_flight_requests.h"

#include "base/contract.h"

namespace tamarack::serving {

request_id in_flight_requests::add(serving_request added, instant now)
{
    if (m_freeRows.empty()) {
        m_freeRows.push_back(static_cast<std::uint32_t>(rows()));
        phase.push_back(request_phase::free);
        request.emplace_back();
        times.emplace_back();
        progress.emplace_back();
        current.emplace_back();
        silent.emplace_back();
        m_generations.push_back(0);
    }
    const auto at = m_freeRows.back();
    m_freeRows.pop_back();
    const auto& route = *added.route;
    duration longest = added.callerTimeout;
    if (route.timeout > duration::zero())
        longest = std::min(longest, route.timeout);
    times[at] = { now, now + std::min(route.aim, longest), now + longest };
    request[at] = std::move(added);
    phase[at] = request_phase::waiting;
    progress[at] = {};
    current[at] = {};
    silent[at] = {};
    ++m_generations[at];
    ++m_held;
    return idOf(at);
}

void in_flight_requests::remove(request_id id)
{
    const auto at = row(id);
    TAMARACK_ASSERT(at >= 0, "only a held request can be removed");
    const auto index = static_cast<std::size_t>(at);
    phase[index] = request_phase::free;
    request[index] = {};
    m_freeRows.push_back(static_cast<std::uint32_t>(at));
    --m_held;
}

std::int64_t in_flight_requests::row(request_id id) const
{
    const auto at = static_cast<std::uint32_t>(id.value);
    if (!id.isValid() || at >= rows() || m_generations[at] != id.value >> 32 || phase[at] == request_phase::free)
        return -1;
    return at;
}

request_id in_flight_requests::idOf(std::size_t at) const
{
    return { static_cast<std::uint64_t>(m_generations[at]) << 32 | at };
}

}
