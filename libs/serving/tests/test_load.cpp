// Plays a load on engines with memory and queues, and checks what callers get.
#include "serving_fixture.h"

#include "base/random_source.h"

#include <functional>
#include <list>
#include <map>
#include <set>

using namespace tamarack;
using namespace tamarack::serving;
using namespace tamarack::serving::tests;

namespace {

/// Of an engine that only reads; one that also writes reads at half the pace.
constexpr double tokensPerSecond = 75'000;
/// From the end of reading to the first event or the exported cache.
constexpr duration settleTime = 80ms;
constexpr duration importTime = 45ms;
constexpr duration answerTime = 500ms;
constexpr std::int64_t memoryTokens = 420'000;

/// Reads one prompt at a time, the most urgent first, and keeps what it used last.
class played_engine {
public:
    struct reading {
        start_attempt what;
        prompt text;
        instant arrivedAt;
    };

    target_role role = target_role::prefill;
    std::vector<reading> waiting;
    instant freeAt;
    std::int64_t tokensRead = 0;

    bool keeps(std::uint64_t part) const { return m_kept.contains(part); }
    /// Parts that had to go.
    std::vector<std::uint64_t> keep(const prompt_part& part)
    {
        std::vector<std::uint64_t> gone;
        if (m_kept.contains(part.id)) {
            m_order.remove(part.id);
        } else {
            m_kept[part.id] = part.tokens;
            m_used += part.tokens;
        }
        m_order.push_back(part.id);
        while (m_used > memoryTokens) {
            const auto oldest = m_order.front();
            m_order.pop_front();
            m_used -= m_kept[oldest];
            m_kept.erase(oldest);
            gone.push_back(oldest);
        }
        return gone;
    }

private:
    std::map<std::uint64_t, std::int64_t> m_kept;
    std::list<std::uint64_t> m_order; // the one used longest ago first
    std::int64_t m_used = 0;
};

struct load_result {
    int asked = 0;
    int onTime = 0;
    int answered = 0;
    std::int64_t tokensRead = 0;
    std::int64_t beginningsReadAgain = 0; ///< tokens of shared parts, beyond the first time
};

/// One node before 6 engines that read and 12 that write, as its callers see them.
class played_load {
public:
    explicit played_load(std::uint64_t seed)
        : m_random(seed)
    {
        for (int i = 0; i < 18; ++i) {
            const auto role = i < 6 ? target_role::prefill : target_role::decode;
            m_world.addEngine("e" + std::to_string(i), role, "a", 16);
            m_engines.emplace_back();
            m_engines.back().role = role;
        }
    }

    /// Long prompts with one of 147 beginnings, whose rate swings between 1.6 and 0.6 of `perSecond` every 2.8 s.
    load_result run(double perSecond, duration length)
    {
        constexpr duration step = 5ms;
        for (m_now = at(0s); m_now < at(length); m_now += step) {
            const bool isHigh = static_cast<int>(seconds(m_now - at(0s)) / 2.8) % 2 == 0;
            const double rate = perSecond * (isHigh ? 1.6 : 0.6);
            if (m_random.unit() < rate * seconds(step))
                arrive();
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                const auto happen = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                happen();
            }
            for (std::size_t i = 0; i < m_engines.size(); ++i)
                readNext(i);
            command_list out;
            m_world.decisions.tick(m_now, out);
            carryOut(out);
        }
        for (const auto& engine : m_engines)
            m_result.tokensRead += engine.tokensRead;
        return m_result;
    }

private:
    struct asked_request {
        prompt text;
        instant at;
        bool hasBegun = false;
    };

    void arrive()
    {
        constexpr std::size_t summary = 2;
        auto request = m_world.makePrompt(summary, 1 + m_random.below(147), 13'300, 1'000 + m_random.below(5'400));
        const auto text = *request.text;
        command_list out;
        const auto id = m_world.decisions.arrive(std::move(request), m_now, out);
        m_asked[id] = { text, m_now };
        ++m_result.asked;
        carryOut(out);
    }

    void carryOut(const command_list& commands)
    {
        for (const auto& command : commands) {
            const auto* start = std::get_if<start_attempt>(&command);
            if (!start)
                continue;
            const auto& text = m_asked.at(start->request).text;
            if (start->stage == attempt_stage::decode)
                m_events.emplace(m_now + importTime, [this, start = *start] { begin(start); });
            else
                m_engines[start->target.value].waiting.push_back({ *start, text, m_now });
        }
    }

    void readNext(std::size_t index)
    {
        auto& engine = m_engines[index];
        if (engine.waiting.empty() || engine.freeAt > m_now)
            return;
        const auto next = std::min_element(engine.waiting.begin(), engine.waiting.end(),
            [](const auto& a, const auto& b) { return a.what.urgency < b.what.urgency; });
        const auto job = *next;
        engine.waiting.erase(next);
        const auto& shared = job.text.parts.front();
        const bool isFetched = job.what.fetchFrom.isValid() && m_engines[job.what.fetchFrom.value].keeps(shared.id);
        const bool isKept = engine.keeps(shared.id) || isFetched;
        const double work = promptWork(isKept ? shared.tokens : 0, job.text.inputTokens);
        const double pace = engine.role == target_role::prefill ? tokensPerSecond : tokensPerSecond / 2;
        engine.freeAt = m_now + fromSeconds(work / pace);
        engine.tokensRead += job.text.inputTokens - (isKept ? shared.tokens : 0);
        if (!isKept && !m_everRead.insert(shared.id).second)
            m_result.beginningsReadAgain += shared.tokens;
        m_events.emplace(engine.freeAt + settleTime, [this, index, job] { wasRead(index, job); });
    }

    void keep(std::size_t index, const prompt& text)
    {
        std::vector<cache_event> news;
        for (const auto& part : text.parts) {
            for (const auto gone : m_engines[index].keep(part))
                news.push_back({ gone, 0 });
        }
        news.push_back({ text.parts.front().id, text.parts.front().tokens });
        m_world.decisions.cacheTold({ static_cast<std::uint32_t>(index) }, news);
    }

    void wasRead(std::size_t index, const played_engine::reading& job)
    {
        keep(index, job.text);
        if (job.what.stage == attempt_stage::whole)
            return begin(job.what);
        command_list out;
        m_world.decisions.ended(job.what.request, job.what.attempt, attempt_result::prefilled, "cache", m_now, out);
        carryOut(out);
    }

    void begin(const start_attempt& what)
    {
        if (!m_world.decisions.isCurrent(what.request, what.attempt))
            return;
        auto& asked = m_asked.at(what.request);
        keep(what.target.value, asked.text);
        m_world.decisions.began(what.request, what.attempt, m_now);
        m_world.decisions.started(what.request, what.attempt);
        m_result.onTime += m_now - asked.at <= 800ms;
        m_events.emplace(m_now + answerTime, [this, what] {
            ++m_result.answered;
            command_list out;
            m_world.decisions.ended(what.request, what.attempt, attempt_result::answered, {}, m_now, out);
            carryOut(out);
        });
    }

    dispatch_world m_world;
    random_source m_random;
    instant m_now;
    std::vector<played_engine> m_engines;
    std::map<request_id, asked_request> m_asked;
    std::multimap<instant, std::function<void()>> m_events;
    std::set<std::uint64_t> m_everRead;
    load_result m_result;
};

load_result playSeeds(double perSecond)
{
    load_result sum;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        const auto one = played_load(seed).run(perSecond, 60s);
        sum.asked += one.asked;
        sum.onTime += one.onTime;
        sum.answered += one.answered;
        sum.tokensRead += one.tokensRead;
        sum.beginningsReadAgain += one.beginningsReadAgain;
    }
    std::printf("%.0f a second: %d asked, %d answered, %.4f on time, %.1f million tokens read, %.2f of them beginnings "
                "read again\n",
        perSecond, sum.asked, sum.answered, static_cast<double>(sum.onTime) / sum.asked,
        static_cast<double>(sum.tokensRead) / 1e6, static_cast<double>(sum.beginningsReadAgain) / 1e6);
    return sum;
}

}

TEST_CASE("test_beginnings_stay_in_the_engines_memory_under_load")
{
    // Symptom: a quarter of the engines' reading is of beginnings that they had read some seconds before.
    // Sequence: requests go to whichever engine is idle, which fetches the beginning from another one.
    // Cause: each copy takes the place of another beginning, until the last copy of one is gone.
    // With a copy taken for nearly free 0.883 of the requests were on time, and 26.5 million tokens were read again;
    // with its place in memory counted 0.921 and 16.1 million.
    const auto played = playSeeds(80);
    CHECK(played.onTime >= 0.91 * played.asked);
    CHECK(played.beginningsReadAgain <= 18'000'000);
}
