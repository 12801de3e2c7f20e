// Implements the prefill budget of decoding engines.
#include "serving/stream_pauses.h"

#include <limits>

namespace tamarack::serving {

namespace {

    /// The tokens that a decoding engine prefills in one step: a quarter of 2,048, the chunk size of all engines in
    /// use.
    constexpr double chunkTokens = 512;

}

stream_pauses::stream_pauses(const engine_pace& pace, prefill_queues& queues)
    : m_pace(pace)
    , m_queues(queues)
{
}

double stream_pauses::prefillBudgetSeconds(target_id engine, const service_profile& service, instant now) const
{
    constexpr double unlimited = std::numeric_limits<double>::infinity();
    if (!service.engine || service.tightestGapAim <= duration::zero())
        return unlimited;
    const int steps = service.engine->tokensPerEvent;
    const double spareSeconds = seconds(service.tightestGapAim) - steps * m_pace.stepSeconds(engine);
    const double chunkSeconds = chunkTokens * m_pace.secondsPerToken(engine, now);
    return steps * chunkSeconds <= spareSeconds ? unlimited : spareSeconds;
}

double stream_pauses::excessSeconds(target_id engine, double work, const service_profile& service, instant now)
{
    const double budgetSeconds = prefillBudgetSeconds(engine, service, now);
    if (budgetSeconds == std::numeric_limits<double>::infinity())
        return -budgetSeconds;
    const double scheduledSeconds = m_queues.prefillSecondsSince(engine, now - service.tightestGapAim, now);
    return scheduledSeconds + m_queues.prefillSeconds(engine, work, now) - budgetSeconds;
}

}
