// Computes how much an engine that decodes may prefill before its streams pause for longer than the aim of their
// callers.
#pragma once

#include "serving/engine_pace.h"
#include "serving/prefill_queues.h"

namespace tamarack::serving {

/// An event of a stream carries the tokens of several decode steps. Each of these steps may include a chunk of some
/// prompt's prefill, whichever node sent it, and takes longer by that. The prefill within the time of one event is
/// therefore a budget that all streams and all nodes share.
class stream_pauses {
public:
    stream_pauses(const engine_pace& pace, prefill_queues& queues);

    /// Seconds of prefill that fit into the time of one event at the engine; infinite if every step may include a
    /// chunk.
    double prefillBudgetSeconds(target_id engine, const service_profile& service, instant now) const;
    /// Seconds by which the prefill within the time of the current event exceeds the budget if the engine prefills
    /// `work` tokens more; 0 or less if no stream pauses for too long.
    double excessSeconds(target_id engine, double work, const service_profile& service, instant now);

private:
    const engine_pace& m_pace;
    prefill_queues& m_queues;
};

}
