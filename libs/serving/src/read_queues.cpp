// Jobs of this node and of its peers in the engines' models.
#include "serving/read_queues.h"

#include <algorithm>
#include <array>
#include <limits>

namespace tamarack::serving {

namespace {

    /// With more nodes than this, small prompts are not told: each node would be told of all of them.
    constexpr int mostNodesToldAll = 20;
    constexpr double fewestToldTokens = 2'000;
    /// Tokens of work up to which a prompt has the rank; each is about twice the one before, so that shorter prompts
    /// pass longer ones where it matters and equals keep their order.
    constexpr std::array<double, 5> rankBounds { 1'500, 3'500, 7'000, 14'000, 28'000 };

    std::uint64_t keyOf(std::uint32_t owner, std::uint32_t number)
    {
        return static_cast<std::uint64_t>(owner) << 32 | number;
    }

}

read_rank rankOf(double work)
{
    const auto bound = std::lower_bound(rankBounds.begin(), rankBounds.end(), work);
    return static_cast<read_rank>(bound - rankBounds.begin());
}

read_queues::read_queues(const fleet_table& fleet, const engine_pace& pace, std::uint32_t owner)
    : m_fleet(fleet)
    , m_pace(pace)
    , m_owner(owner)
{
}

engine_queue& read_queues::queueOf(target_id engine)
{
    if (engine.value >= m_queues.size())
        m_queues.resize(engine.value + 1);
    return m_queues[engine.value];
}

double read_queues::readSeconds(target_id engine, double work, instant now) const
{
    return work * m_pace.secondsPerToken(engine, now);
}

std::uint64_t read_queues::add(target_id engine, read_rank rank, double work, const prompt_part& newPart, instant now)
{
    const auto key = keyOf(m_owner, m_nextNumber++);
    queueOf(engine).add({ key, rank, readSeconds(engine, work, now), now, true });
    m_own.push_back({ key, engine, rank, work, newPart, now, false });
    return key;
}

void read_queues::eraseOwn(std::uint64_t key)
{
    std::erase_if(m_own, [key](const own_job& job) { return job.key == key; });
}

void read_queues::finished(target_id engine, std::uint64_t key, instant answeredAt)
{
    eraseOwn(key);
    queueOf(engine).finished(key, answeredAt - fromSeconds(m_pace.readBase(engine)));
}

void read_queues::removed(target_id engine, std::uint64_t key)
{
    eraseOwn(key);
    queueOf(engine).removed(key);
}

void read_queues::told(std::uint32_t peer, const std::vector<told_job>& jobs, bool isAll, instant now)
{
    if (isAll)
        dropAllBut(peer, jobs);
    for (const auto& job : jobs) {
        const target_id engine = m_fleet.findHash(job.target);
        if (!engine.isValid())
            continue;
        const instant sentAt = now - std::chrono::milliseconds(job.ageMilliseconds);
        queueOf(engine).add({ keyOf(peer, job.number), job.rank,
            readSeconds(engine, static_cast<double>(job.work), now), sentAt, false });
        m_byPeer[peer].push_back({ engine, job.number });
    }
}

// Those that are named are told anew by the caller.
void read_queues::dropAllBut(std::uint32_t peer, const std::vector<told_job>& named)
{
    const auto isNamed = [&](std::uint32_t number) {
        return std::any_of(named.begin(), named.end(), [&](const told_job& job) { return job.number == number; });
    };
    auto& known = m_byPeer[peer];
    for (const auto& job : known) {
        if (!isNamed(job.number))
            queueOf(job.engine).removed(keyOf(peer, job.number));
    }
    known.clear();
}

told_job read_queues::describe(const own_job& job, instant now) const
{
    constexpr std::int64_t mostAge = std::numeric_limits<std::uint16_t>::max();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - job.sentAt).count();
    return { m_fleet.instanceHash[job.engine.value], static_cast<std::uint32_t>(job.key), job.rank,
        static_cast<std::uint32_t>(job.work), static_cast<std::uint16_t>(std::clamp<std::int64_t>(age, 0, mostAge)),
        job.newPart.id, static_cast<std::uint32_t>(job.newPart.tokens) };
}

std::vector<told_job> read_queues::own(instant now) const
{
    std::vector<told_job> out;
    for (const auto& job : m_own) {
        if (isTold(job))
            out.push_back(describe(job, now));
    }
    return out;
}

bool read_queues::isTold(const own_job& job) const
{
    return m_nodes <= mostNodesToldAll || job.work >= fewestToldTokens;
}

std::vector<told_job> read_queues::takeNew(instant now)
{
    std::vector<told_job> out;
    for (auto& job : m_own) {
        if (!job.wasTold && isTold(job))
            out.push_back(describe(job, now));
        job.wasTold = true;
    }
    return out;
}

double read_queues::waitSeconds(target_id engine, read_rank rank, instant now)
{
    auto& queue = queueOf(engine);
    queue.advance(now);
    return queue.waitSeconds(rank, now) + queue.overdue(now - fromSeconds(m_pace.readBase(engine)));
}

double read_queues::readingSince(target_id engine, instant since, instant now)
{
    auto& queue = queueOf(engine);
    queue.advance(now);
    return queue.readingSince(since);
}

double read_queues::longestLate(target_id engine) const
{
    return engine.value < m_queues.size() ? m_queues[engine.value].longestLate() : 0;
}

void read_queues::forget(target_id engine) { queueOf(engine).clear(); }

}
