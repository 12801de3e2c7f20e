// Decides which requests start, wait or are refused for lack of capacity.
#include "serving/dispatcher.h"

#include <algorithm>
#include <utility>

namespace tamarack::serving {

namespace {

    using namespace std::chrono_literals;

    /// After a longer wait, a request would miss its aim because of the time that the target itself needs.
    constexpr double holdShareOfAim = 0.5;
    /// Callers abandon a stream after a gap of the longest of these: a fixed time, a multiple of the route's `aim` and
    /// one of its `gapAim`.
    constexpr duration minAbandonedGap = 2s;
    constexpr int abandonedGapInAims = 4;
    constexpr int abandonedGapInGapAims = 8;
    constexpr duration minRetryDelay = 200ms;
    constexpr duration retryDelaySpread = 300ms;
    /// The number of targets whose permits a request asks for while it waits, and for those that follow it.
    constexpr std::size_t maxAwaitedTargets = 2;
    constexpr std::size_t maxExpectedTargets = 32;

}

duration dispatcher::abandonedGap(const route_rule& route)
{
    return std::max({ minAbandonedGap, abandonedGapInAims * route.aim, abandonedGapInGapAims * route.gapAim });
}

void dispatcher::startOrWait(std::size_t row, instant now, command_list& out)
{
    wantPermits(row, permit_use::expected, now);
    if (endIfBuildIsGone(row, out) || tryStart(row, now, out) || refuseIfAllRest(row, now, out)
        || refuseIfCutOff(row, now, out) || refuseIfAllLimited(row, now, out))
        return;
    if (isHoldTimeOver(row, now))
        return refuse(row, error_kind::overloaded, std::max(retryDelay(row, now), permitDelay(row, now)), out);
    wantPermits(row, permit_use::waiting, now);
    m_waiting.add(m_book.idOf(row));
}

bool dispatcher::endIfBuildIsGone(std::size_t row, command_list& out)
{
    const auto build = m_book.progress[row].build;
    if (!build.isValid() || m_fleet.hasBuild(m_book.request[row].service, build))
        return false;
    // A target of the build may come back, but not within the pause that a caller bears in the middle of an answer.
    const auto kind = m_book.progress[row].hasStarted ? error_kind::answer_cut : error_kind::stream_not_resumable;
    refuse(row, kind, answerFor(kind).retryAfter, out);
    return true;
}

// What is known to find no target in time is refused at once.
bool dispatcher::refuseIfAllRest(std::size_t row, instant now, command_list& out)
{
    const auto restEnd = m_placement.allRestUntil(needOf(row, now), now);
    if (!restEnd || m_book.progress[row].hasStarted)
        return false;
    if (!isHoldTimeOver(row, *restEnd) && *restEnd + minUsefulTime < m_book.times[row].answerDeadline)
        return false;
    refuse(row, error_kind::overloaded, restDelay(row, now), out);
    return true;
}

void dispatcher::wantPermits(std::size_t row, permit_use use, instant now)
{
    if (m_limits.limited().empty())
        return;
    const auto rows = m_placement.limitedTargets(needOf(row, now), now);
    // A request that waits asks for few permits, since it leaves the others unused.
    const bool isWaiting = use == permit_use::waiting;
    const auto count = std::min(rows.size(), isWaiting ? maxAwaitedTargets : maxExpectedTargets);
    const auto until = isWaiting ? holdEnd(row) : now + permit_holder::demandTime;
    for (std::size_t i = 0; i < count; ++i)
        m_permits.wanted({ rows[(m_book.idOf(row).value + i) % rows.size()] }, use, until);
}

duration dispatcher::permitDelay(std::size_t row, instant now)
{
    if (m_limits.limited().empty())
        return duration::zero();
    const auto query = needOf(row, now);
    if (m_book.progress[row].isLimited = m_placement.isLimited(query, now); !m_book.progress[row].isLimited)
        return duration::zero();
    double shared = 0;
    double lately = 0;
    for (const auto limited : m_placement.limitedTargets(query, now)) {
        if (m_fleet.role[limited] == target_role::prefill)
            continue;
        const auto rate = m_limits.rate({ limited }, now);
        shared += std::max(rate ? rate->perSecond : 0, target_limits::minPerSecond);
        lately += m_permits.recentRate({ limited }, now);
    }
    const auto& service = m_book.request[row].service;
    const auto ahead = std::count_if(m_waiting.ids().begin(), m_waiting.ids().end(), [&](request_id id) {
        const auto other = m_book.row(id);
        return other >= 0 && m_book.request[static_cast<std::size_t>(other)].service == service;
    });
    const auto nodes = static_cast<double>(std::max<std::size_t>(1, m_permitIssuer.nodes()));
    return fromSeconds(static_cast<double>(ahead + 1) / std::max(shared / nodes, lately));
}

// What exceeds the rate of a whole service is known to find no target in time.
bool dispatcher::refuseIfAllLimited(std::size_t row, instant now, command_list& out)
{
    const auto& progress = m_book.progress[row];
    // A prompt that has been prefilled is worth a permit.
    if (progress.hasStarted || !progress.cache.name.empty())
        return false;
    const auto delay = permitDelay(row, now);
    if (delay == duration::zero())
        return false;
    const bool isInTime = now + delay + minUsefulTime < m_book.times[row].answerDeadline;
    if (isInTime && !isHoldTimeOver(row, now + delay))
        return false;
    refuse(row, error_kind::overloaded, delay + retryDelay(row, now), out);
    return true;
}

// The paths are checked meanwhile, and while no target accepts an attempt, the request has nowhere to go.
bool dispatcher::refuseIfCutOff(std::size_t row, instant now, command_list& out)
{
    if (m_book.progress[row].hasStarted || !m_paths.isUnreachable(m_book.request[row].service, now))
        return false;
    refuse(row, error_kind::no_target, retryDelay(row, now), out);
    return true;
}

duration dispatcher::restDelay(std::size_t row, instant now)
{
    const auto restEnd = m_placement.allRestUntil(needOf(row, now), now);
    return restEnd ? *restEnd - now + retryDelay(row, now) : duration::zero();
}

bool dispatcher::isHoldTimeOver(std::size_t row, instant now) const { return now >= holdEnd(row); }

instant dispatcher::holdEnd(std::size_t row) const
{
    const auto& times = m_book.times[row];
    // The rest of an answer is worth waiting for as long as the caller does.
    if (m_book.progress[row].hasStarted)
        return m_book.progress[row].lastEventAt + abandonedGap(*m_book.request[row].route);
    if (m_book.request[row].takesUpStream)
        return times.arrivedAt + abandonedGap(*m_book.request[row].route);
    const auto aim = times.aimAt - times.arrivedAt;
    return times.arrivedAt + fromSeconds(holdShareOfAim * seconds(aim));
}

// Random retry delay after which a slot is expected to be free. The random part prevents requests that were refused at
// the same time from returning at the same time.
duration dispatcher::retryDelay(std::size_t, instant)
{
    return minRetryDelay + fromSeconds(seconds(retryDelaySpread) * m_random.unit());
}

void dispatcher::dispatch(instant now, command_list& out)
{
    const auto waiting = m_waiting.takeAll([this](request_id id) { return waitingKeyOf(id); });
    for (const auto id : waiting) {
        const auto row = m_book.row(id);
        if (row >= 0 && m_book.phase[static_cast<std::size_t>(row)] == request_phase::waiting)
            startOrWait(static_cast<std::size_t>(row), now, out);
    }
}

std::optional<waiting_key> dispatcher::waitingKeyOf(request_id id) const
{
    const auto row = m_book.row(id);
    if (row < 0 || m_book.phase[static_cast<std::size_t>(row)] != request_phase::waiting)
        return std::nullopt;
    return waiting_key { m_book.request[static_cast<std::size_t>(row)].priority };
}

}
