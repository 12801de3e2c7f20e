// Implements the permits of this node.
#include "serving/permit_holder.h"

#include <algorithm>
#include <utility>

namespace tamarack::serving {

namespace {

    using namespace std::chrono_literals;

    /// How permits are asked for, by use.
    struct ask_timing {
        duration interval; // until an ask is repeated, as long as a permit is wanted
        duration lifetime; // at most; afterwards the issuer forgets the ask
        duration margin; // before the end of the demand, when a permit would come too late
    };
    constexpr std::array<ask_timing, static_cast<std::size_t>(permit_use::count)> askTimings { {
        { 100ms, permit_holder::demandTime, 0ms },
        // Under load the issuer serves asks that are old, so that the requests behind them are about to give up.
        { 100ms, 150ms, 50ms },
        { 250ms, permit_holder::demandTime, 0ms },
    } };
    constexpr duration rateWindow = 2s;

}

permit_holder::permit_holder(fleet_table& fleet, const target_limits& limits, const permit_issuer& issuer)
    : m_fleet(fleet)
    , m_limits(limits)
    , m_issuer(issuer)
{
}

permit_holder::row_state& permit_holder::at(target_id id)
{
    if (id.value >= m_rows.size())
        m_rows.resize(id.value + 1);
    return m_rows[id.value];
}

void permit_holder::granted(const permit_grant& grant, instant now)
{
    const target_id id = m_fleet.findByHash(grant.target);
    if (!id.isValid() || grant.lifetime <= duration::zero())
        return;
    auto& state = at(id);
    for (int i = 0; i < grant.count; ++i) {
        state.lapseAt.push_back(now + grant.lifetime);
        state.grants.push_back(now);
    }
    m_fleet.permits[id.value] = static_cast<int>(state.lapseAt.size());
    m_fleet.permitsUntil[id.value] = state.lapseAt.back();
}

void permit_holder::used(target_id id, instant now)
{
    if (id.value >= m_rows.size() || m_rows[id.value].lapseAt.empty())
        return;
    // Of the permits that are valid the oldest one is used. Those that have lapsed are removed with the next tick.
    auto& lapseAt = m_rows[id.value].lapseAt;
    const auto valid = std::find_if(lapseAt.begin(), lapseAt.end(), [now](instant end) { return now < end; });
    if (valid == lapseAt.end())
        return;
    lapseAt.erase(valid);
    // Requests that go on waiting want one again at once.
    m_rows[id.value].demands[static_cast<std::size_t>(permit_use::waiting)].until = {};
    m_fleet.permits[id.value] = static_cast<int>(lapseAt.size());
}

bool permit_holder::has(target_id id, instant now) const { return m_fleet.hasPermit(id, now); }

void permit_holder::wanted(target_id id, permit_use use, instant until)
{
    auto& demand = at(id).demands[static_cast<std::size_t>(use)];
    demand.until = std::max(demand.until, until);
}

double permit_holder::recentRate(target_id id, instant now) const
{
    if (id.value >= m_rows.size())
        return 0;
    const auto& grants = m_rows[id.value].grants;
    const auto recent
        = std::count_if(grants.begin(), grants.end(), [&](instant when) { return when + rateWindow > now; });
    return static_cast<double>(recent) / seconds(rateWindow);
}

void permit_holder::dropLapsed(std::uint32_t row, instant now)
{
    auto& lapseAt = m_rows[row].lapseAt;
    std::erase_if(lapseAt, [now](instant end) { return now >= end; });
    m_fleet.permits[row] = static_cast<int>(lapseAt.size());
}

std::vector<permit_question> permit_holder::tick(instant now)
{
    std::vector<permit_question> out;
    for (const auto row : m_limits.limited()) {
        const target_id id { row };
        auto& state = at(id);
        while (!state.grants.empty() && now >= state.grants.front() + rateWindow)
            state.grants.pop_front();
        dropLapsed(row, now);
        for (std::size_t use = 0; use < state.demands.size(); ++use) {
            auto& demand = state.demands[use];
            const auto& timing = askTimings[use];
            const bool isExpected = static_cast<permit_use>(use) == permit_use::expected;
            if (now + timing.margin >= demand.until || now < demand.askedAt + timing.interval
                || (isExpected && !m_issuer.mayExpect(id)))
                continue;
            demand.askedAt = now;
            const auto lifetime = std::min(demand.until - now - timing.margin, timing.lifetime);
            out.push_back({ id, { m_fleet.instanceHash[row], static_cast<permit_use>(use), lifetime } });
        }
    }
    return out;
}

void permit_holder::forget(target_id id)
{
    if (id.value >= m_rows.size())
        return;
    m_rows[id.value] = {};
    m_fleet.permits[id.value] = 0;
    m_fleet.permitsUntil[id.value] = {};
}

}
