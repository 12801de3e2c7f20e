// Places requests at targets, and keeps those that wait in order.
#include "decide/traffic_system.h"

#include <array>
#include <deque>

namespace tamarack {

namespace {

    constexpr double transferSeconds = 0.03; // to move a KV cache between engines
    constexpr double noDecodeSlotSeconds = 2; // usual wait when no decode engine has a slot
    constexpr std::int64_t smallPromptParts = 8; // of a piece
    constexpr double agedShare = 0.5; // of the deadline spent waiting

    int priorityOf(const request_shape& shape)
    {
        constexpr int urgentPriority = 1;
        constexpr int nestedPriority = 2;
        if (shape.depth > 0)
            return nestedPriority + shape.depth;
        return shape.isUrgent ? urgentPriority : 0;
    }

}

std::size_t traffic_system::levelOf(const request_shape& shape)
{
    if (shape.depth > 0)
        return 0;
    return shape.isUrgent ? 1 : 2;
}

routing_need traffic_system::needOf(std::size_t row, instant now) const
{
    const auto& shape = m_requests.shape[row];
    const double waited = seconds(now - m_requests.arrivedAt[row]);
    return { shape, m_requests.stage[row], m_requests.avoid[row], waited > agedShare * seconds(shape.deadline) };
}

routing_choice traffic_system::route(std::size_t row, request_stage stage, role_set roles, instant now)
{
    routing_need need = needOf(row, now);
    need.stage = stage;
    return m_router.pick(need, roles, *m_config, m_targets, now);
}

bool traffic_system::tryStart(std::size_t row, instant now, traffic_commands& out)
{
    const auto& entry = m_config->services[m_requests.shape[row].service.value];
    if (!entry.isEngine())
        return startAt(row, request_stage::whole, route(row, request_stage::whole, role_set::all(), now), now, out);
    if (m_requests.stage[row] == request_stage::decode)
        return startDecode(row, now, out);
    // Two engines and a transfer are not worth it for a prompt that is read in a part of one step.
    const bool isSmall = m_requests.shape[row].promptTokens * smallPromptParts <= entry.pieceTokens;
    if (isSmall) {
        const role_set smooth { engine_role::decode, engine_role::mixed };
        if (startAt(row, request_stage::whole, route(row, request_stage::whole, smooth, now), now, out))
            return true;
    } else if (startLong(row, now, out)) {
        return true;
    }
    // Any engine can run the whole request, if less evenly. Without this a shift of the mix leaves a part of the fleet
    // idle until roles have changed.
    return startAt(row, request_stage::whole, route(row, request_stage::whole, role_set::all(), now), now, out);
}

// A long prompt goes through a prefill and a decode engine, or whole to a mixed one, whichever is expected to end
// sooner.
bool traffic_system::startLong(std::size_t row, instant now, traffic_commands& out)
{
    const auto prefill = route(row, request_stage::prefill, { engine_role::prefill }, now);
    const auto whole = route(row, request_stage::whole, { engine_role::mixed }, now);
    if (!prefill.target.isValid())
        return startAt(row, request_stage::whole, whole, now, out);
    const auto decode = route(row, request_stage::decode, { engine_role::decode, engine_role::mixed }, now);
    const double decodeSeconds = decode.target.isValid() ? decode.seconds : noDecodeSlotSeconds;
    if (whole.target.isValid() && whole.seconds < prefill.seconds + decodeSeconds + transferSeconds)
        return startAt(row, request_stage::whole, whole, now, out);
    return startAt(row, request_stage::prefill, prefill, now, out);
}

bool traffic_system::startDecode(std::size_t row, instant now, traffic_commands& out)
{
    const role_set smooth { engine_role::decode, engine_role::mixed };
    const auto choice = route(row, request_stage::decode, smooth, now);
    if (choice.target.isValid())
        return startAt(row, request_stage::decode, choice, now, out);
    return startAt(row, request_stage::decode, route(row, request_stage::decode, role_set::all(), now), now, out);
}

bool traffic_system::startAt(
    std::size_t row, request_stage stage, const routing_choice& choice, instant now, traffic_commands& out)
{
    const target_id target = choice.target;
    if (!target.isValid())
        return false;
    const auto& shape = m_requests.shape[row];
    const attempt_id attempt { m_nextAttempt++ };
    m_requests.phase[row] = request_phase::running;
    m_requests.stage[row] = stage;
    m_requests.target[row] = target;
    m_requests.attempt[row] = attempt;
    if (m_requests.attempts[row] == 0)
        m_requests.startedAt[row] = now;
    ++m_requests.attempts[row];
    m_requests.prefillCharged[row] = stage == request_stage::decode ? 0 : shape.promptTokens;
    m_targets.ownRunning[target.value] += 1;
    m_targets.ownPrefillTokens[target.value] += m_requests.prefillCharged[row];
    const target_id kvSource = stage == request_stage::decode ? m_requests.kvSource[row] : target_id();
    out.push_back(start_attempt { m_requests.idOf(row), attempt, target, stage, kvSource, priorityOf(shape) });
    return true;
}

void traffic_system::enqueue(std::size_t row, bool atFront)
{
    m_requests.phase[row] = request_phase::waiting;
    const auto& shape = m_requests.shape[row];
    auto& queues = m_queues[shape.service.value];
    const bool isDecode = m_requests.stage[row] == request_stage::decode;
    auto& queue = (isDecode ? queues.decode : queues.first)[levelOf(shape)];
    if (atFront)
        queue.push_front(m_requests.idOf(row));
    else
        queue.push_back(m_requests.idOf(row));
}

bool traffic_system::isWaiting(request_id id) const
{
    const auto row = m_requests.row(id); // below 0 for a request abandoned while it waited
    return row >= 0 && m_requests.phase[static_cast<std::size_t>(row)] == request_phase::waiting;
}

bool traffic_system::isHopeless(std::size_t row, instant now) const
{
    return now + serviceTime(m_requests.shape[row]) > m_requests.deadlineAt[row];
}

// Starting what cannot be in time any more would take the place of what still can.
bool traffic_system::startOrRefuse(std::size_t row, instant now, traffic_commands& out)
{
    if (!isHopeless(row, now))
        return tryStart(row, now, out);
    const auto& shape = m_requests.shape[row];
    refuse(row, error_kind::deadline_unreachable, expectedWait(shape.service, levelOf(shape)), out);
    return true;
}

void traffic_system::dispatch(service_id service, instant now, traffic_commands& out)
{
    auto& queues = m_queues[service.value];
    for (auto* queue : { &queues.decode, &queues.first }) {
        for (auto& level : *queue) {
            while (!level.empty()) {
                const request_id id = level.front();
                if (isWaiting(id) && !startOrRefuse(static_cast<std::size_t>(m_requests.row(id)), now, out))
                    break;
                level.pop_front();
            }
        }
    }
}

void traffic_system::sweep(std::deque<request_id>& level, instant now, traffic_commands& out)
{
    std::deque<request_id> kept;
    for (const auto id : level) {
        if (!isWaiting(id))
            continue;
        const auto row = static_cast<std::size_t>(m_requests.row(id));
        const auto& shape = m_requests.shape[row];
        if (isHopeless(row, now))
            refuse(row, error_kind::deadline_unreachable, expectedWait(shape.service, levelOf(shape)), out);
        else
            kept.push_back(id);
    }
    level.swap(kept);
}

void traffic_system::tick(instant now, traffic_commands& out)
{
    for (std::uint32_t s = 0; s < m_queues.size(); ++s) {
        bool comesBackSoon = false;
        m_slotsNow[s] = usableSlots({ s }, now, comesBackSoon);
        for (auto* queue : { &m_queues[s].decode, &m_queues[s].first }) {
            for (auto& level : *queue)
                sweep(level, now, out);
        }
        dispatch({ s }, now, out);
    }
}

std::size_t traffic_system::waiting() const
{
    std::size_t total = 0;
    for (const auto& queue : m_queues) {
        for (std::size_t i = 0; i < levels; ++i)
            total += queue.first[i].size() + queue.decode[i].size();
    }
    return total;
}

}
