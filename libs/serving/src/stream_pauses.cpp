// Pieces, steps and events.
#include "serving/stream_pauses.h"

#include <limits>

namespace tamarack::serving {

namespace {

    /// Tokens of prompts that an engine reads in one step if it also writes: a quarter of the 2,048 that all sheets of
    /// the users name.
    constexpr double pieceTokens = 512;

}

stream_pauses::stream_pauses(const engine_pace& pace, read_queues& queues)
    : m_pace(pace)
    , m_queues(queues)
{
}

double stream_pauses::bearable(target_id engine, const service_profile& service, instant now) const
{
    constexpr double any = std::numeric_limits<double>::infinity();
    if (!service.engine || service.tightestGapAim <= duration::zero())
        return any;
    const int steps = service.engine->tokensPerEvent;
    const double spare = seconds(service.tightestGapAim) - steps * m_pace.stepSeconds(engine);
    const double piece = pieceTokens * m_pace.secondsPerToken(engine, now);
    return steps * piece <= spare ? any : spare;
}

double stream_pauses::excess(target_id engine, double work, const service_profile& service, instant now)
{
    const double most = bearable(engine, service, now);
    if (most == std::numeric_limits<double>::infinity())
        return -most;
    const double known = m_queues.readingSince(engine, now - service.tightestGapAim, now);
    return known + m_queues.readSeconds(engine, work, now) - most;
}

}
