// Estimates of execution times, queueing times and demand.
#include "decide/traffic_system.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace tamarack {

namespace {

    constexpr double demandSeconds = 10; // time constant of the demand average

}

duration traffic_system::serviceTime(const request_shape& shape) const
{
    const auto& service = m_config->services[shape.service.value];
    if (!service.isEngine())
        return fromSeconds(service.requestSeconds);
    const double prefill = static_cast<double>(shape.promptTokens) / service.prefillTokensPerSecond;
    const double output = static_cast<double>(shape.outputTokens) * m_outputShare[shape.service.value];
    return fromSeconds((prefill + output * service.tokenInterval) * m_slowdown[shape.service.value]);
}

duration traffic_system::remainingTime(std::size_t row) const
{
    request_shape rest = m_requests.shape[row];
    rest.outputTokens = std::max<std::int64_t>(0, rest.outputTokens - m_requests.tokensDone[row]);
    if (m_requests.stage[row] == request_stage::decode)
        rest.promptTokens = 0;
    return serviceTime(rest);
}

duration traffic_system::expectedWait(service_id service, std::size_t level, instant now) const
{
    const auto& queue = m_queues[service.value];
    double ahead = 0;
    for (std::size_t i = 0; i <= level; ++i) {
        for (const auto id : queue.first[i]) {
            const auto row = m_requests.row(id); // negative if the caller disconnected while the request was queued
            if (row >= 0)
                ahead += seconds(serviceTime(m_requests.shape[static_cast<std::size_t>(row)]));
        }
    }
    const double slots = std::max(1.0, static_cast<double>(m_slotsNow[service.value]) / m_nodeCount);
    return std::max<duration>(fromSeconds(ahead / slots), m_restUntil[service.value] - now);
}

duration traffic_system::remainingRest(service_id service, instant now) const
{
    std::optional<duration> shortest;
    for (const auto row : m_router.subset(service)) {
        if (m_targets.isLeaving[row])
            continue;
        const auto rest = std::max<duration>(duration::zero(), m_targets.restUntil[row] - now);
        shortest = std::min(shortest.value_or(rest), rest);
    }
    return shortest.value_or(duration::zero());
}

void traffic_system::updateSlots(service_id service, instant now, bool& recoversSoon)
{
    m_slotsNow[service.value] = usableSlots(service, now, recoversSoon);
    m_restUntil[service.value] = now + remainingRest(service, now);
}

int traffic_system::usableSlots(service_id service, instant now, bool& recoversSoon) const
{
    const auto& entry = m_config->services[service.value];
    int slots = 0;
    recoversSoon = false;
    for (const auto row : m_router.subset(service)) {
        if (m_targets.acceptsWork({ row }, now)) {
            const bool runsDecode = m_targets.role[row] != engine_role::prefill;
            slots += runsDecode ? entry.slots : 1;
        } else if (!m_targets.isLeaving[row]) {
            recoversSoon = true; // changing, draining, at rest, or blocked after a failure
        }
    }
    return slots;
}

void traffic_system::recordDemand(const request_shape& shape, instant now)
{
    auto& meter = m_demand[shape.service.value];
    const double decay = std::exp(-seconds(now - meter.at) / demandSeconds);
    meter.promptTokens = meter.promptTokens * decay + static_cast<double>(shape.promptTokens);
    meter.outputTokens
        = meter.outputTokens * decay + static_cast<double>(shape.outputTokens) * m_outputShare[shape.service.value];
    meter.asked = meter.asked * decay + seconds(serviceTime(shape));
    meter.refused *= decay;
    meter.at = now;
}

service_demand traffic_system::demand(service_id service, instant now) const
{
    if (service.value >= m_demand.size())
        return {};
    const auto& meter = m_demand[service.value];
    const double decay = std::exp(-seconds(now - meter.at) / demandSeconds) / demandSeconds;
    const double refusedShare = meter.asked > 0 ? std::min(1.0, meter.refused / meter.asked) : 0;
    return { meter.promptTokens * decay, meter.outputTokens * decay, refusedShare };
}

void traffic_system::updateSlowdown(std::size_t row, instant now)
{
    constexpr double weight = 0.05;
    constexpr double highest = 20;
    const auto& shape = m_requests.shape[row];
    const auto& service = m_config->services[shape.service.value];
    const double ideal = static_cast<double>(shape.promptTokens) / service.prefillTokensPerSecond
        + static_cast<double>(m_requests.tokensDone[row]) * service.tokenInterval;
    if (ideal <= 0 || shape.isUrgent || shape.depth > 0)
        return; // these overtake other requests, so their times are not representative
    const double ratio = std::clamp(seconds(now - m_requests.startedAt[row]) / ideal, 1.0, highest);
    double& slowdown = m_slowdown[shape.service.value];
    slowdown += weight * (ratio - slowdown);
}

}
