// A non-preemptive priority queue with one server.
#include "serving/engine_queue.h"

#include <algorithm>

namespace tamarack::serving {

namespace {

    /// An engine that is later than the model by more than this is not told from one that has lost the job.
    constexpr duration doneMemory = std::chrono::seconds(5);
    /// An end that is later than the model by less than this, and half of the prompt's own time, is nothing unusual.
    constexpr double overdueSlack = 0.03;
    constexpr double overdueShare = 0.5;

    instant endOf(const read_job& job, instant beganAt) { return beganAt + fromSeconds(job.seconds); }

}

bool engine_queue::isKnown(std::uint64_t key) const
{
    const auto hasKey = [key](const auto& item) { return item.key == key; };
    return (m_current && m_current->job.key == key) || std::any_of(m_waiting.begin(), m_waiting.end(), hasKey)
        || std::any_of(m_done.begin(), m_done.end(), hasKey);
}

void engine_queue::add(const read_job& job)
{
    if (!isKnown(job.key))
        m_waiting.push_back(job);
}

void engine_queue::beginNext(instant from, instant now)
{
    while (!m_waiting.empty()) {
        const auto comesBefore = [from](const read_job& a, const read_job& b) {
            const bool isThereA = a.arrivedAt <= from;
            const bool isThereB = b.arrivedAt <= from;
            if (isThereA != isThereB)
                return isThereA;
            if (isThereA && a.rank != b.rank)
                return a.rank < b.rank;
            return a.arrivedAt < b.arrivedAt;
        };
        const auto next = std::min_element(m_waiting.begin(), m_waiting.end(), comesBefore);
        const instant beganAt = std::max(from, next->arrivedAt);
        if (beganAt > now)
            return;
        const read_job job = *next;
        m_waiting.erase(next);
        if (endOf(job, beganAt) > now) {
            m_current = { job, beganAt };
            return;
        }
        from = endOf(job, beganAt);
        m_done.push_back({ job.key, job.seconds, from, job.isOwn });
        m_freeAt = from;
    }
}

void engine_queue::advance(instant now)
{
    if (m_current) {
        const instant end = endOf(m_current->job, m_current->beganAt);
        if (end > now)
            return;
        m_done.push_back({ m_current->job.key, m_current->job.seconds, end, m_current->job.isOwn });
        m_current.reset();
        m_freeAt = end;
    }
    beginNext(m_freeAt, now);
    std::erase_if(m_done, [&](const done_job& item) { return now >= item.endedAt + doneMemory; });
}

double engine_queue::secondsOf(std::uint64_t key) const
{
    if (m_current && m_current->job.key == key)
        return m_current->job.seconds;
    const auto job
        = std::find_if(m_waiting.begin(), m_waiting.end(), [key](const read_job& item) { return item.key == key; });
    return job == m_waiting.end() ? 0 : job->seconds;
}

double engine_queue::secondsLeft(std::uint64_t key, instant at) const
{
    const double current = m_current ? std::max(0.0, seconds(endOf(m_current->job, m_current->beganAt) - at)) : 0;
    if (m_current && m_current->job.key == key)
        return current;
    const auto job
        = std::find_if(m_waiting.begin(), m_waiting.end(), [key](const read_job& item) { return item.key == key; });
    if (job == m_waiting.end())
        return 0;
    double left = current;
    for (const auto& other : m_waiting) {
        if (other.rank < job->rank || (other.rank == job->rank && other.arrivedAt <= job->arrivedAt))
            left += other.seconds;
    }
    return left;
}

double engine_queue::finished(std::uint64_t key, instant at)
{
    const double left = secondsLeft(key, at);
    const double own = secondsOf(key);
    removed(key);
    const auto done
        = std::find_if(m_done.begin(), m_done.end(), [key](const done_job& item) { return item.key == key; });
    if (done == m_done.end()) {
        // The engine is ahead of the model.
        if (!m_current)
            m_freeAt = std::max(m_freeAt, at);
        m_done.push_back({ key, own, at, false });
        return -left;
    }
    // The engine is behind: what the model has begun since cannot have begun before this end.
    const double lag = seconds(at - done->endedAt);
    done->endedAt = std::max(done->endedAt, at);
    m_freeAt = std::max(m_freeAt, at);
    if (m_current)
        m_current->beganAt = std::max(m_current->beganAt, at);
    return lag;
}

void engine_queue::removed(std::uint64_t key)
{
    removeIf([key](std::uint64_t other) { return other == key; });
}

double engine_queue::waitSeconds(read_rank rank, instant now) const
{
    double wait = 0;
    if (m_current)
        wait += std::max(0.0, seconds(endOf(m_current->job, m_current->beganAt) - now));
    for (const auto& job : m_waiting) {
        if (job.rank <= rank)
            wait += job.seconds;
    }
    return wait;
}

// What goes wrong without it: an engine that hangs, or has crashed, looks idle as soon as what was sent there should
// have been read, and gets more than any other.
double engine_queue::overdue(instant now) const
{
    double longest = 0;
    for (const auto& job : m_done) {
        if (job.isAwaited)
            longest
                = std::max(longest, tamarack::seconds(now - job.endedAt) - overdueSlack - overdueShare * job.seconds);
    }
    return longest;
}

double engine_queue::readingSince(instant since) const
{
    double sum = m_current ? m_current->job.seconds : 0;
    for (const auto& job : m_waiting)
        sum += job.seconds;
    for (const auto& job : m_done)
        sum += std::clamp(tamarack::seconds(job.endedAt - since), 0.0, job.seconds);
    return sum;
}

double engine_queue::longestLate() const
{
    double longest = 0;
    if (m_current && m_current->job.rank == read_rank::late)
        longest = m_current->job.seconds;
    for (const auto& job : m_waiting) {
        if (job.rank == read_rank::late)
            longest = std::max(longest, job.seconds);
    }
    return longest;
}

void engine_queue::clear() { *this = {}; }

}
