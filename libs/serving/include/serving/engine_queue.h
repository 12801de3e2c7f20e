// Models the prompts that wait or are prefilled at one engine, as far as this node knows them: its own prompts and
// those that its peers report.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace tamarack::serving {

/// The priority of a prompt in an engine's queue; the lowest is prefilled first.
enum class prefill_rank : unsigned char {
    tiny,
    small,
    medium,
    large,
    larger,
    largest,
    late ///< cannot meet its aim any more, whatever its size
};

/// One prompt to be prefilled.
struct prefill_job {
    std::uint64_t key = 0; ///< unique over all nodes
    prefill_rank rank = prefill_rank::tiny;
    double seconds = 0; ///< prefill time at the engine
    instant arrivedAt;
    bool isOwn = false; ///< sent by this node, which is therefore notified when it ends
};

/// Models the engine as a non-preemptive priority queue with one server: among the waiting prompts the one with the
/// lowest rank is prefilled next, and among equals the one that arrived first. The reported ends of this node's jobs
/// correct the model.
class engine_queue {
public:
    /// Adds a job; has no effect if a job with this key is known already.
    void add(const prefill_job& job);
    /// Records that the prompt was prefilled by `at`. Returns the seconds by which that is later than in the model;
    /// negative if it is earlier.
    double finish(std::uint64_t key, instant at);
    /// Removes a job that will not be prefilled.
    void remove(std::uint64_t key);
    /// Removes all jobs whose keys satisfy `test`.
    template <class Test> void removeIf(Test test)
    {
        std::erase_if(m_waiting, [&](const prefill_job& job) { return test(job.key); });
        if (m_current && test(m_current->job.key))
            m_current.reset();
        for (auto& job : m_completed)
            job.isAwaited &= !test(job.key);
    }
    /// Advances the model to `now`.
    void advance(instant now);

    /// Seconds until a prompt of this rank that arrives now is started.
    double waitSeconds(prefill_rank rank, instant now) const;
    /// The longest time in seconds for which the end of a completed job is overdue at `now`; 0 if none is.
    double overdueSeconds(instant now) const;
    /// Seconds of prefill that the engine has done since `since` or still has to do, as far as it is known.
    double prefillSecondsSince(instant since) const;
    /// The longest time in seconds for which a late prompt, once started, can delay others here.
    double longestLateSeconds() const;
    std::size_t size() const { return m_waiting.size() + (m_current ? 1 : 0); }
    void clear();

private:
    struct running_job {
        prefill_job job;
        instant startedAt;
    };
    struct completed_job {
        std::uint64_t key = 0;
        double seconds = 0;
        instant endedAt; // in the model
        bool isAwaited = false; // the engine has not reported the end yet
    };

    /// Prefill seconds of a job that is not completed in the model; 0 if there is none.
    double secondsOf(std::uint64_t key) const;
    bool isKnown(std::uint64_t key) const;
    /// Seconds until the end of a job that is not completed in the model.
    double secondsLeft(std::uint64_t key, instant at) const;
    void startNext(instant from, instant now);

    std::vector<prefill_job> m_waiting;
    std::optional<running_job> m_current;
    std::vector<completed_job> m_completed; // recent; their actual ends may still be to come
    instant m_freeAt; // while no job is running: the time at which the engine became idle
};

}
