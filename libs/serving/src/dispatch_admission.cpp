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
    /// The number of requests of a service that wait at a node. The users' nodes have 3,075 descriptors and more, and
    /// each waiting request takes one.
    constexpr std::size_t maxWaiting = 512;
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
    // A newcomer does not take the capacity that has appeared since the last dispatch from those that come before it.
    const bool mustQueue = isAdmissionActive(m_book.request[row].service) && !isUnderWay(row)
        && m_book.progress[row].trialFrom == instant() && now < waitEnd(row, now) && positionOf(row, now).ahead > 0;
    if (endIfBuildIsGone(row, out) || refuseIfStoppingBeforeStart(row, now, out)
        || (mustQueue ? refuseIfQuarantined(row, now, out) : tryStart(row, now, out)) || refuseIfAllRest(row, now, out)
        || refuseIfCutOff(row, now, out) || refuseIfAllLimited(row, now, out) || refuseOnArrival(row, now, out)
        || refuseIfStoppingAfterWait(row, now, out) || !makeRoomInQueue(row, now, out))
        return;
    wait(row, now, out);
}

void dispatcher::wait(std::size_t row, instant now, command_list& out)
{
    if (now >= waitEnd(row, now))
        return refuseOverloaded(row, false, now, out);
    wantPermits(row, permit_use::waiting, now);
    m_waiting.add(m_book.idOf(row));
    const auto& request = m_book.request[row];
    // Requests that wait for something other than capacity show nothing of the rate at which capacity becomes free.
    if (isAdmissionActive(request.service) && !isUnderWay(row) && m_book.progress[row].trialFrom == instant())
        m_admission.waits(request.service, request.priority, now);
}

bool dispatcher::isAdmissionActive(const std::string& service) const
{
    const auto& rows = m_fleet.rowsOf(service);
    return std::any_of(rows.begin(), rows.end(),
        [this](std::uint32_t target) { return m_fleet.reportedLoad[target].at != instant(); });
}

bool dispatcher::isUnderWay(std::size_t row) const
{
    const auto& progress = m_book.progress[row];
    return progress.hasStarted || !progress.cache.name.empty() || m_book.request[row].takesUpStream;
}

queue_position dispatcher::positionOf(std::size_t row, instant now) const
{
    queue_position out;
    const auto own = m_book.idOf(row);
    const auto key = waitingKeyOf(own, now);
    const auto& service = m_book.request[row].service;
    for (const auto id : m_waiting.ids()) {
        const auto other = waitingKeyOf(id, now);
        if (!other || id == own || *key < *other)
            continue;
        const auto otherRow = static_cast<std::size_t>(m_book.row(id));
        if (m_book.request[otherRow].service != service || m_book.progress[otherRow].trialFrom != instant())
            continue;
        ++out.ahead;
        out.aheadOfPriority += other->priority == key->priority;
    }
    return out;
}

// The next request in the order is never refused on arrival: nothing takes the capacity that it waits for.
bool dispatcher::refuseOnArrival(std::size_t row, instant now, command_list& out)
{
    const auto& request = m_book.request[row];
    if (!isAdmissionActive(request.service) || isUnderWay(row) || hasRunOrMayRun(row))
        return false;
    const auto position = positionOf(row, now);
    const auto wait = m_admission.predictedWait(request.service, request.priority, position, now);
    if (!wait || position.ahead == 0 || now + *wait < holdEnd(row))
        return false;
    refuseOverloaded(row, true, now, out);
    return true;
}

bool dispatcher::makeRoomInQueue(std::size_t row, instant now, command_list& out)
{
    const auto& service = m_book.request[row].service;
    if (m_waiting.size() < maxWaiting || !isAdmissionActive(service) || isUnderWay(row))
        return true;
    std::size_t waiting = 0;
    auto last = row;
    auto lastKey = waitingKeyOf(m_book.idOf(row), now);
    for (const auto id : m_waiting.ids()) {
        const auto key = waitingKeyOf(id, now);
        const auto other = static_cast<std::size_t>(m_book.row(id));
        if (!key || m_book.request[other].service != service)
            continue;
        ++waiting;
        if (isUnderWay(other) || hasRunOrMayRun(other) || !(*lastKey < *key))
            continue;
        last = other;
        lastKey = key;
    }
    if (waiting < maxWaiting)
        return true;
    refuseOverloaded(last, last == row, now, out);
    return last != row;
}

void dispatcher::refuseOverloaded(std::size_t row, bool isOnArrival, instant now, command_list& out)
{
    const auto& request = m_book.request[row];
    std::optional<duration> wait;
    duration delay = retryDelay(row, now);
    if (isAdmissionActive(request.service)) {
        const auto position = positionOf(row, now);
        wait = m_admission.predictedWait(request.service, request.priority, position, now);
        const auto remaining = m_book.times[row].answerDeadline - now;
        delay = m_admission.returnDelay(request.service, request.priority, position, remaining, now).value_or(delay);
    }
    refuse(row, error_kind::overloaded, std::max(delay, permitDelay(row, now)), out);
    auto& refusal = std::get<refuse_request>(out.back());
    refusal.isOnArrival = isOnArrival;
    refusal.predictedWait = wait;
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

// The next request in the order waits for as long as it can still meet its aim if its place would go to a less urgent
// one. Requests behind it do not, or all would be started so late that they miss their aim.
instant dispatcher::waitEnd(std::size_t row, instant now) const
{
    const auto& request = m_book.request[row];
    const auto end = holdEnd(row);
    if (now < end || isUnderWay(row) || !isAdmissionActive(request.service)
        || !m_admission.lessUrgentWaits(request.service, request.priority) || positionOf(row, now).ahead > 0)
        return end;
    return std::max(end, m_book.times[row].aimAt - minUsefulTime);
}

// Random retry delay after which a slot is expected to be free. The random part prevents requests that were refused at
// the same time from returning at the same time.
duration dispatcher::retryDelay(std::size_t, instant)
{
    return minRetryDelay + fromSeconds(seconds(retryDelaySpread) * m_random.unit());
}

// Each request takes the capacity that those before it leave, so the order decides who is started.
void dispatcher::dispatch(instant now, command_list& out)
{
    m_admission.beginRound(now);
    const auto waiting = m_waiting.takeAll([&](request_id id) { return waitingKeyOf(id, now); });
    for (const auto id : waiting) {
        const auto held = m_book.row(id);
        if (held < 0 || m_book.phase[static_cast<std::size_t>(held)] != request_phase::waiting)
            continue;
        const auto row = static_cast<std::size_t>(held);
        wantPermits(row, permit_use::expected, now);
        if (!endIfBuildIsGone(row, out) && !refuseIfStoppingBeforeStart(row, now, out) && !tryStart(row, now, out)
            && !refuseIfAllRest(row, now, out) && !refuseIfCutOff(row, now, out) && !refuseIfAllLimited(row, now, out))
            wait(row, now, out);
    }
    m_admission.endRound();
}

std::optional<waiting_key> dispatcher::waitingKeyOf(request_id id, instant now) const
{
    const auto held = m_book.row(id);
    if (held < 0 || m_book.phase[static_cast<std::size_t>(held)] != request_phase::waiting)
        return std::nullopt;
    const auto row = static_cast<std::size_t>(held);
    const auto& request = m_book.request[row];
    waiting_key out;
    out.priority = request.priority;
    if (!isAdmissionActive(request.service))
        return out;
    out.isNew = !isUnderWay(row);
    // Compared with the aim itself, a request with a short aim would precede one with an aim twice as long for ever.
    out.timeLeft = holdEnd(row) - now;
    out.isLate = m_book.times[row].aimAt - now < minUsefulTime;
    if (request.text)
        out.tokens = request.text->inputTokens + request.text->outputTokens;
    return out;
}

}
