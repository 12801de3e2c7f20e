// What waits at one engine and what it reads now, as far as this node can know: its own requests and those that its
// peers told of.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace tamarack::serving {

/// In which order an engine takes up prompts: the lowest first.
enum class read_rank : unsigned char {
    tiny,
    small,
    medium,
    large,
    larger,
    largest,
    late ///< cannot be fast any more, whatever its size
};

/// One prompt to be read.
struct read_job {
    std::uint64_t key = 0; ///< unique over all nodes
    read_rank rank = read_rank::tiny;
    double seconds = 0; ///< that the engine needs for it
    instant arrivedAt;
    bool isOwn = false; ///< this node's, so that it will hear of its end
};

/// A model of the engine: one prompt after the other; of those that wait the one with the lowest rank, then the one
/// that came first; what has begun is read to its end. Finished jobs of this node set the model right again.
class engine_queue {
public:
    /// Jobs of one key are added once; a second time has no effect.
    void add(const read_job& job);
    /// The prompt was read by `at`. Seconds by which that is later than in the model; below 0 if it is earlier.
    double finished(std::uint64_t key, instant at);
    /// It will not be read.
    void removed(std::uint64_t key);
    /// The same for all keys that the test names.
    template <class Test> void removeIf(Test test)
    {
        std::erase_if(m_waiting, [&](const read_job& job) { return test(job.key); });
        if (m_current && test(m_current->job.key))
            m_current.reset();
        for (auto& job : m_done)
            job.isAwaited &= !test(job.key);
    }
    /// Lets the model run up to `now`.
    void advance(instant now);

    /// Seconds until a prompt of this rank that comes now is begun.
    double waitSeconds(read_rank rank, instant now) const;
    /// Seconds for which an end that should have been reported by `now` is overdue.
    double overdue(instant now) const;
    /// Seconds of reading that was done since then or is still to be done, as far as it is known.
    double readingSince(instant since) const;
    /// The longest that a late prompt, once begun, can hold up others here.
    double longestLate() const;
    std::size_t size() const { return m_waiting.size() + (m_current ? 1 : 0); }
    void clear();

private:
    struct running_job {
        read_job job;
        instant beganAt;
    };
    struct done_job {
        std::uint64_t key = 0;
        double seconds = 0;
        instant endedAt; // in the model
        bool isAwaited = false; // its end was not reported, though it will be
    };

    /// Of a job that is not done in the model; 0 if there is none.
    double secondsOf(std::uint64_t key) const;
    bool isKnown(std::uint64_t key) const;
    /// Seconds until the end of a job that is not done in the model.
    double secondsLeft(std::uint64_t key, instant at) const;
    void beginNext(instant from, instant now);

    std::vector<read_job> m_waiting;
    std::optional<running_job> m_current;
    std::vector<done_job> m_done; // of the last seconds; the real end may still be to come
    instant m_freeAt; // while nothing is read: since when
};

}
