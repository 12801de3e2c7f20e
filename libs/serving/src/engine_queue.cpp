// Implements a non-preemptive priority queue with one server.
#include "serving/engine_queue.h"

#include <algorithm>

namespace tamarack::serving {

namespace {

    /// An engine that is later than the model by more than this cannot be distinguished from one that has lost the job.
    constexpr duration completedRetention = std::chrono::seconds(5);
    /// An end that is later than the model by less than this plus half of the prompt's own time is within the usual
    /// variation.
    constexpr double overdueSlackSeconds = 0.03;
    constexpr double overdueShare = 0.5;

    instant endOf(const prefill_job& job, instant startedAt) { return startedAt + fromSeconds(job.seconds); }

}

bool engine_queue::isKnown(std::uint64_t key) const
{
    const auto hasKey = [key](const auto& item) { return item.key == key; };
    return (m_current && m_current->job.key == key) || std::any_of(m_waiting.begin(), m_waiting.end(), hasKey)
        || std::any_of(m_completed.begin(), m_completed.end(), hasKey);
}

void engine_queue::add(const prefill_job& job)
{
    if (!isKnown(job.key))
        m_waiting.push_back(job);
}

void engine_queue::startNext(instant from, instant now)
{
    while (!m_waiting.empty()) {
        const auto comesBefore = [from](const prefill_job& a, const prefill_job& b) {
            const bool hasArrivedA = a.arrivedAt <= from;
            const bool hasArrivedB = b.arrivedAt <= from;
            if (hasArrivedA != hasArrivedB)
                return hasArrivedA;
            if (hasArrivedA && a.rank != b.rank)
                return a.rank < b.rank;
            return a.arrivedAt < b.arrivedAt;
        };
        const auto next = std::min_element(m_waiting.begin(), m_waiting.end(), comesBefore);
        const instant startedAt = std::max(from, next->arrivedAt);
        if (startedAt > now)
            return;
        const prefill_job job = *next;
        m_waiting.erase(next);
        if (endOf(job, startedAt) > now) {
            m_current = { job, startedAt };
            return;
        }
        from = endOf(job, startedAt);
        m_completed.push_back({ job.key, job.seconds, from, job.isOwn });
        m_freeAt = from;
    }
}

void engine_queue::advance(instant now)
{
    if (m_current) {
        const instant end = endOf(m_current->job, m_current->startedAt);
        if (end > now)
            return;
        m_completed.push_back({ m_current->job.key, m_current->job.seconds, end, m_current->job.isOwn });
        m_current.reset();
        m_freeAt = end;
    }
    startNext(m_freeAt, now);
    std::erase_if(m_completed, [&](const completed_job& item) { return now >= item.endedAt + completedRetention; });
}

double engine_queue::secondsOf(std::uint64_t key) const
{
    if (m_current && m_current->job.key == key)
        return m_current->job.seconds;
    const auto job
        = std::find_if(m_waiting.begin(), m_waiting.end(), [key](const prefill_job& item) { return item.key == key; });
    return job == m_waiting.end() ? 0 : job->seconds;
}

double engine_queue::secondsLeft(std::uint64_t key, instant at) const
{
    const double current = m_current ? std::max(0.0, seconds(endOf(m_current->job, m_current->startedAt) - at)) : 0;
    if (m_current && m_current->job.key == key)
        return current;
    const auto job
        = std::find_if(m_waiting.begin(), m_waiting.end(), [key](const prefill_job& item) { return item.key == key; });
    if (job == m_waiting.end())
        return 0;
    double left = current;
    for (const auto& other : m_waiting) {
        if (other.rank < job->rank || (other.rank == job->rank && other.arrivedAt <= job->arrivedAt))
            left += other.seconds;
    }
    return left;
}

double engine_queue::finish(std::uint64_t key, instant at)
{
    const double left = secondsLeft(key, at);
    const double own = secondsOf(key);
    remove(key);
    const auto done = std::find_if(
        m_completed.begin(), m_completed.end(), [key](const completed_job& item) { return item.key == key; });
    if (done == m_completed.end()) {
        // The engine is ahead of the model.
        if (!m_current)
            m_freeAt = std::max(m_freeAt, at);
        m_completed.push_back({ key, own, at, false });
        return -left;
    }
    // The engine is behind the model: the job that the model has started since cannot have started before this end.
    const double lag = seconds(at - done->endedAt);
    done->endedAt = std::max(done->endedAt, at);
    m_freeAt = std::max(m_freeAt, at);
    if (m_current)
        m_current->startedAt = std::max(m_current->startedAt, at);
    return lag;
}

void engine_queue::remove(std::uint64_t key)
{
    removeIf([key](std::uint64_t other) { return other == key; });
}

double engine_queue::waitSeconds(prefill_rank rank, instant now) const
{
    double wait = 0;
    if (m_current)
        wait += std::max(0.0, seconds(endOf(m_current->job, m_current->startedAt) - now));
    for (const auto& job : m_waiting) {
        if (job.rank <= rank)
            wait += job.seconds;
    }
    return wait;
}

// Without this, an engine that hangs or has crashed would look idle as soon as its prompts should have been prefilled,
// and would get more requests than any other.
double engine_queue::overdueSeconds(instant now) const
{
    double longest = 0;
    for (const auto& job : m_completed) {
        if (job.isAwaited)
            longest = std::max(
                longest, tamarack::seconds(now - job.endedAt) - overdueSlackSeconds - overdueShare * job.seconds);
    }
    return longest;
}

double engine_queue::prefillSecondsSince(instant since) const
{
    double sum = m_current ? m_current->job.seconds : 0;
    for (const auto& job : m_waiting)
        sum += job.seconds;
    for (const auto& job : m_completed)
        sum += std::clamp(tamarack::seconds(job.endedAt - since), 0.0, job.seconds);
    return sum;
}

double engine_queue::longestLateSeconds() const
{
    double longest = 0;
    if (m_current && m_current->job.rank == prefill_rank::late)
        longest = m_current->job.seconds;
    for (const auto& job : m_waiting) {
        if (job.rank == prefill_rank::late)
            longest = std::max(longest, job.seconds);
    }
    return longest;
}

void engine_queue::clear() { *this = {}; }

}
