// How long to wait before a call to the store that has failed is made again.
#pragma once

#include "base/clock.h"

namespace tamarack::serving {

/// What goes wrong without it: while the store is away every node asks it several times a second for nothing, and each
/// such call is paid for. With 82 nodes at 0.15 s an outage of 9 s took some 5,000 calls, six times those of a calm
/// day. The first repetition comes soon, since most failures are of one call; each further one waits twice as long.
class retry_pace {
public:
    retry_pace(duration first, duration longest)
        : m_first(first)
        , m_longest(longest)
        , m_next(first)
    {
    }

    /// Also resets the next wait to `first`.
    void setPauses(duration first, duration longest);
    /// Also shortens a wait that is longer by now.
    void setLongest(duration longest);
    /// The wait after one more failure in a row.
    duration afterFailure();
    void succeeded() { m_next = m_first; }

private:
    duration m_first;
    duration m_longest;
    duration m_next; // between m_first and m_longest
};

}
