// Starts requests at targets and maintains the queues of waiting requests.
#include "decide/traffic_system.h"

#include <algorithm>
#include <array>
#include <deque>

namespace tamarack {

namespace {

    constexpr double kvTransferSeconds = 0.03; // time to transfer a KV cache between engines
    constexpr double assumedDecodeWaitSeconds = 2; // typical wait when no decode engine has a free slot
    constexpr std::int64_t smallPromptsPerPiece = 8; // a prompt is small if this many of it fit in a piece
    constexpr double agingShare = 0.5; // share of the deadline after which a waiting request counts as aged

    int priorityOf(const request_shape& shape)
    {
        constexpr int urgentPriority = 1;
        constexpr int nestedPriority = 2;
        if (shape.depth > 0)
            return nestedPriority + shape.depth;
        return shape.isUrgent ? urgentPriority : 0;
    }

}

std::size_t traffic_system::queueLevel(const request_shape& shape)
{
    if (shape.depth > 0)
        return 0;
    return shape.isUrgent ? 1 : 2;
}

routing_request traffic_system::routingRequestFor(std::size_t row, instant now) const
{
    const auto& shape = m_requests.shape[row];
    const double waited = seconds(now - m_requests.arrivedAt[row]);
    return { shape, m_requests.stage[row], m_requests.avoid[row], waited > agingShare * seconds(shape.deadline) };
}

routing_choice traffic_system::route(std::size_t row, request_stage stage, role_set roles, instant now)
{
    routing_request request = routingRequestFor(row, now);
    request.stage = stage;
    return m_router.pick(request, roles, *m_config, m_targets, now);
}

bool traffic_system::tryStart(std::size_t row, instant now, traffic_commands& out)
{
    const auto& entry = m_config->services[m_requests.shape[row].service.value];
    if (!entry.isEngine())
        return startAt(row, request_stage::whole, route(row, request_stage::whole, role_set::all(), now), now, out);
    if (m_requests.stage[row] == request_stage::decode)
        return startDecode(row, now, out);
    // For a prompt whose prefill takes only part of one step, a second engine and a KV cache transfer do not pay off.
    const bool isSmall = m_requests.shape[row].promptTokens * smallPromptsPerPiece <= entry.pieceTokens;
    if (isSmall) {
        const role_set decodeRoles { engine_role::decode, engine_role::mixed };
        if (startAt(row, request_stage::whole, route(row, request_stage::whole, decodeRoles, now), now, out))
            return true;
    } else if (startLongPrompt(row, now, out)) {
        return true;
    }
    // Any engine can execute the whole request, if with less even token intervals. Without this fallback a change in
    // the workload mix would leave part of the fleet idle until roles have changed.
    return startAt(row, request_stage::whole, route(row, request_stage::whole, role_set::all(), now), now, out);
}

// A long prompt is executed by a prefill engine and a decode engine, or as a whole by a mixed engine, whichever is
// expected to complete sooner.
bool traffic_system::startLongPrompt(std::size_t row, instant now, traffic_commands& out)
{
    const auto prefill = route(row, request_stage::prefill, { engine_role::prefill }, now);
    const auto whole = route(row, request_stage::whole, { engine_role::mixed }, now);
    if (!prefill.target.isValid())
        return startAt(row, request_stage::whole, whole, now, out);
    const auto decode = route(row, request_stage::decode, { engine_role::decode, engine_role::mixed }, now);
    const double decodeSeconds = decode.target.isValid() ? decode.seconds : assumedDecodeWaitSeconds;
    if (whole.target.isValid() && whole.seconds < prefill.seconds + decodeSeconds + kvTransferSeconds)
        return startAt(row, request_stage::whole, whole, now, out);
    return startAt(row, request_stage::prefill, prefill, now, out);
}

bool traffic_system::startDecode(std::size_t row, instant now, traffic_commands& out)
{
    const role_set decodeRoles { engine_role::decode, engine_role::mixed };
    const auto choice = route(row, request_stage::decode, decodeRoles, now);
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
    auto& queue = (isDecode ? queues.decode : queues.first)[queueLevel(shape)];
    if (atFront)
        queue.push_front(m_requests.idOf(row));
    else
        queue.push_back(m_requests.idOf(row));
}

bool traffic_system::isWaiting(request_id id) const
{
    const auto row = m_requests.row(id); // negative if the caller disconnected while the request was queued
    return row >= 0 && m_requests.phase[static_cast<std::size_t>(row)] == request_phase::waiting;
}

bool traffic_system::willMissDeadline(std::size_t row, instant now) const
{
    const instant startsAt = std::max(now, m_restUntil[m_requests.shape[row].service.value]);
    return startsAt + remainingTime(row) > m_requests.deadlineAt[row];
}

// A request that can no longer meet its deadline is not started, since it would occupy a slot that another request
// could still use in time.
bool traffic_system::startOrRefuse(std::size_t row, instant now, traffic_commands& out)
{
    if (refuseIfQuarantined(row, out))
        return true;
    if (!willMissDeadline(row, now))
        return tryStart(row, now, out);
    const auto& shape = m_requests.shape[row];
    refuse(row, error_kind::deadline_unreachable, expectedWait(shape.service, queueLevel(shape), now), out);
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

void traffic_system::refuseUnmeetable(std::deque<request_id>& level, instant now, traffic_commands& out)
{
    std::deque<request_id> remaining;
    for (const auto id : level) {
        if (!isWaiting(id))
            continue;
        const auto row = static_cast<std::size_t>(m_requests.row(id));
        const auto& shape = m_requests.shape[row];
        if (willMissDeadline(row, now))
            refuse(row, error_kind::deadline_unreachable, expectedWait(shape.service, queueLevel(shape), now), out);
        else
            remaining.push_back(id);
    }
    level.swap(remaining);
}

void traffic_system::tick(instant now, traffic_commands& out)
{
    m_quarantine.tick(now);
    endQuarantined(out);
    for (std::uint32_t s = 0; s < m_queues.size(); ++s) {
        bool recoversSoon = false;
        updateSlots({ s }, now, recoversSoon);
        for (auto* queue : { &m_queues[s].decode, &m_queues[s].first }) {
            for (auto& level : *queue)
                refuseUnmeetable(level, now, out);
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
