// How much an engine that writes may read before its streams pause for longer than their callers count as smooth.
#pragma once

#include "serving/engine_pace.h"
#include "serving/read_queues.h"

namespace tamarack::serving {

/// An event of a stream carries the tokens of several steps. Each of these steps may read a piece of some prompt,
/// whoever sent it, and takes longer by that; so what is read within the time of one event is a quantity that all
/// streams and all nodes share.
class stream_pauses {
public:
    stream_pauses(const engine_pace& pace, read_queues& queues);

    /// Seconds of reading that may fall into one event's time at the engine; infinite where every step may read.
    double bearable(target_id engine, const service_profile& service, instant now) const;
    /// Seconds of reading that fall into the event's time that is now, beyond what is bearable, if the engine reads
    /// `work` tokens more; not above 0: no stream pauses for too long.
    double excess(target_id engine, double work, const service_profile& service, instant now);

private:
    const engine_pace& m_pace;
    read_queues& m_queues;
};

}
