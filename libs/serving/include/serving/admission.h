// Predicts how long requests wait for a target under overload, and assigns refused requests their return times.
#pragma once

#include "base/clock.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace tamarack::serving {

/// How many waiting requests of a service come before a request.
struct queue_position {
    std::size_t ahead = 0;
    std::size_t aheadOfPriority = 0; ///< those of them that have the request's priority
};

/// Starts of requests and time spent waiting, over a bounded window.
class start_window {
public:
    /// Half of the 2.8 s for which one mixture of long and short prompts lasts: a longer window would predict the
    /// present mixture from the previous one.
    static constexpr duration length = std::chrono::milliseconds(1400);

    void addWaiting(duration at, duration waited) { bucketAt(at).waited += waited; }
    void addStart(duration at) { ++bucketAt(at).starts; }
    int starts(duration at) const;
    duration waited(duration at) const;

private:
    static constexpr duration bucketLength = std::chrono::milliseconds(100);
    static constexpr std::size_t bucketCount = length / bucketLength;

    struct bucket {
        std::int64_t index = -1;
        int starts = 0;
        duration waited = duration::zero();
    };

    bucket& bucketAt(duration at);
    bool isInWindow(const bucket& item, duration at) const;

    std::array<bucket, bucketCount> m_buckets; // the one of index i is at i % bucketCount
};

/// Learns the rates at which requests of this node are started while others wait, by service and priority. It is made
/// for a demand of 1.5 to 3 times the capacity for 3 to 14 s. All times are those of the caller, so it is
/// deterministic.
class admission {
public:
    /// A round looks at all waiting requests. Between these calls waits() names each request that goes on waiting.
    void beginRound(instant now);
    void endRound();
    /// The request waits, as a newcomer or after a round.
    void waits(const std::string& service, int priority, instant now);
    /// A request is sent to a target for the first time.
    void started(const std::string& service, int priority, instant now);

    /// The time until a request at that position is started; nothing if no rate is known.
    std::optional<duration> predictedWait(
        const std::string& service, int priority, const queue_position& position, instant now) const;
    /// The delay after which the caller of a request that is refused now is to return; nothing if no rate is known.
    /// Each call takes a place in the schedule of returning requests, after the places given before. `remaining` is the
    /// time until the caller gives up.
    std::optional<duration> returnDelay(
        const std::string& service, int priority, const queue_position& position, duration remaining, instant now);
    /// Whether a less urgent request of the service waits, has lately, or was refused and is to return.
    bool lessUrgentWaits(const std::string& service, int priority) const;
    /// The predicted wait of the least urgent requests that arrive now; zero if none waits or no rate is known.
    duration predictedWait(const std::string& service, instant now) const;

private:
    struct priority_class {
        start_window window; // starts and waiting time of this priority
        std::size_t waiting = 0; // after the last round, and newcomers since
        std::size_t waitingInRound = 0; // found by the round that is in progress
        std::multiset<instant> returns; // of refused requests; never more than maxReturns
        instant lastReturn; // the latest that was assigned
    };
    struct service_state {
        start_window window; // starts and waiting time of all priorities
        std::map<int, priority_class> classes; // by priority; 0 is the most urgent
    };

    void advance(instant now);
    /// Active time at `now`: steps between calls count up to a limit, so that a gap in which the process was suspended
    /// does not count.
    duration activeTime(instant now) const;
    static double perSecond(const start_window& window, duration at);
    /// Requests started per second in the service while any wait; zero if unknown.
    double rateOf(const service_state& service, duration at) const;
    /// The same for the priority; zero if unknown.
    double rateOf(const service_state& service, int priority, duration at) const;

    std::map<std::string, service_state, std::less<>> m_services;
    bool m_isInRound = false;
    duration m_activeTime = duration::zero(); // at m_lastAt; never decreases
    instant m_lastAt;
};

}
