// Implements the prefill queues from this node's jobs and the reports of its peers.
#include "serving/prefill_queues.h"

#include <algorithm>
#include <array>
#include <limits>

namespace tamarack::serving {

namespace {

    /// With more nodes than this, small prompts are not reported, because every node would get a report of every one of
    /// them.
    constexpr int maxNodesForFullReports = 20;
    constexpr double minReportedTokens = 2'000;
    /// The upper bounds of the ranks, in tokens of work. Each is about twice the one before, so that shorter prompts
    /// overtake longer ones where it matters and prompts of similar length keep their order.
    constexpr std::array<double, 5> rankBounds { 1'500, 3'500, 7'000, 14'000, 28'000 };

    std::uint64_t keyOf(std::uint32_t owner, std::uint32_t number)
    {
        return static_cast<std::uint64_t>(owner) << 32 | number;
    }

}

prefill_rank rankOf(double work)
{
    const auto bound = std::lower_bound(rankBounds.begin(), rankBounds.end(), work);
    return static_cast<prefill_rank>(bound - rankBounds.begin());
}

prefill_queues::prefill_queues(const fleet_table& fleet, const engine_pace& pace, std::uint32_t owner)
    : m_fleet(fleet)
    , m_pace(pace)
    , m_owner(owner)
{
}

engine_queue& prefill_queues::queueOf(target_id engine)
{
    if (engine.value >= m_queues.size())
        m_queues.resize(engine.value + 1);
    return m_queues[engine.value];
}

double prefill_queues::prefillSeconds(target_id engine, double work, instant now) const
{
    return work * m_pace.secondsPerToken(engine, now);
}

std::uint64_t prefill_queues::add(
    target_id engine, prefill_rank rank, double work, const prompt_part& newPart, instant now)
{
    const auto key = keyOf(m_owner, m_nextNumber++);
    queueOf(engine).add({ key, rank, prefillSeconds(engine, work, now), now, true });
    m_localJobs.push_back({ key, engine, rank, work, newPart, now, false });
    return key;
}

void prefill_queues::eraseLocal(std::uint64_t key)
{
    std::erase_if(m_localJobs, [key](const local_job& job) { return job.key == key; });
}

void prefill_queues::finish(target_id engine, std::uint64_t key, instant answeredAt)
{
    eraseLocal(key);
    queueOf(engine).finish(key, answeredAt - fromSeconds(m_pace.prefillOverheadSeconds(engine)));
}

void prefill_queues::cancel(target_id engine, std::uint64_t key)
{
    eraseLocal(key);
    queueOf(engine).remove(key);
}

void prefill_queues::applyPeerReports(
    std::uint32_t peer, const std::vector<prefill_report>& jobs, bool isAll, instant now)
{
    if (isAll)
        removeUnlisted(peer, jobs);
    for (const auto& job : jobs) {
        const target_id engine = m_fleet.findByHash(job.target);
        if (!engine.isValid())
            continue;
        const instant sentAt = now - std::chrono::milliseconds(job.ageMilliseconds);
        queueOf(engine).add({ keyOf(peer, job.number), job.rank,
            prefillSeconds(engine, static_cast<double>(job.work), now), sentAt, false });
        m_byPeer[peer].push_back({ engine, job.number });
    }
}

// The caller adds the listed jobs again.
void prefill_queues::removeUnlisted(std::uint32_t peer, const std::vector<prefill_report>& listed)
{
    const auto isListed = [&](std::uint32_t number) {
        return std::any_of(
            listed.begin(), listed.end(), [&](const prefill_report& job) { return job.number == number; });
    };
    auto& known = m_byPeer[peer];
    for (const auto& job : known) {
        if (!isListed(job.number))
            queueOf(job.engine).remove(keyOf(peer, job.number));
    }
    known.clear();
}

prefill_report prefill_queues::makeReport(const local_job& job, instant now) const
{
    constexpr std::int64_t maxAge = std::numeric_limits<std::uint16_t>::max();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - job.sentAt).count();
    return { m_fleet.instanceHash[job.engine.value], static_cast<std::uint32_t>(job.key), job.rank,
        static_cast<std::uint32_t>(job.work), static_cast<std::uint16_t>(std::clamp<std::int64_t>(age, 0, maxAge)),
        job.newPart.id, static_cast<std::uint32_t>(job.newPart.tokens) };
}

std::vector<prefill_report> prefill_queues::localReports(instant now) const
{
    std::vector<prefill_report> out;
    for (const auto& job : m_localJobs) {
        if (mustReport(job))
            out.push_back(makeReport(job, now));
    }
    return out;
}

bool prefill_queues::mustReport(const local_job& job) const
{
    return m_knownNodes <= maxNodesForFullReports || job.work >= minReportedTokens;
}

std::vector<prefill_report> prefill_queues::takeNewReports(instant now)
{
    std::vector<prefill_report> out;
    for (auto& job : m_localJobs) {
        if (!job.isReported && mustReport(job))
            out.push_back(makeReport(job, now));
        job.isReported = true;
    }
    return out;
}

double prefill_queues::waitSeconds(target_id engine, prefill_rank rank, instant now)
{
    auto& queue = queueOf(engine);
    queue.advance(now);
    return queue.waitSeconds(rank, now)
        + queue.overdueSeconds(now - fromSeconds(m_pace.prefillOverheadSeconds(engine)));
}

double prefill_queues::prefillSecondsSince(target_id engine, instant since, instant now)
{
    auto& queue = queueOf(engine);
    queue.advance(now);
    return queue.prefillSecondsSince(since);
}

double prefill_queues::longestLateSeconds(target_id engine) const
{
    return engine.value < m_queues.size() ? m_queues[engine.value].longestLateSeconds() : 0;
}

void prefill_queues::forget(target_id engine) { queueOf(engine).clear(); }

}
