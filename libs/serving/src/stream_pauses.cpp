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
    constexpr double any = std::numeric_limits<double>::infinity();
    if (!service.engine || service.tightestGapAim <= duration::zero())
        return any;
    const int steps = service.engine->tokensPerEvent;
    const double spare = seconds(service.tightestGapAim) - steps * m_pace.stepSeconds(engine);
    const double chunkSeconds = chunkTokens * m_pace.secondsPerToken(engine, now);
    return steps * chunkSeconds <= spare ? any : spare;
}

double stream_pauses::excessSeconds(target_id engine, double work, const service_profile& service, instant now)
{
    const double most = prefillBudgetSeconds(engine, service, now);
    if (most == std::numeric_limits<double>::infinity())
        return -most;
    const double known = m_queues.prefillSecondsSince(engine, now - service.tightestGapAim, now);
    return known + m_queues.prefillSeconds(engine, work, now) - most;
}

}
