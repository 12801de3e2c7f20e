// Tests the order of waiting requests, the prediction of their waits, and what callers get under overload.
#include "base/random_source.h"
#include "serving/admission.h"
#include "serving_fixture.h"

#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <set>

using namespace tamarack;
using namespace tamarack::serving;
using namespace tamarack::serving::tests;

namespace {

constexpr std::size_t lookUp = 0;
constexpr std::size_t report = 1;
constexpr std::size_t longPrompt = 2; // priority 1
constexpr std::size_t shortPrompt = 3; // priority 0

/// Teaches a rate: one request of the priority waits for the whole time, and one is started at each interval.
void learn(admission& predictions, int priority, duration interval, instant from, duration length)
{
    for (duration passed = 0s; passed < length; passed += 10ms) {
        predictions.beginRound(from + passed);
        if (passed > 0s && passed % interval == 0s)
            predictions.started("s", priority, from + passed);
        predictions.waits("s", priority, from + passed);
        predictions.endRound();
    }
}

struct overload_profile {
    double overload = 1; ///< demand as a multiple of the capacity
    std::vector<std::size_t> routes { longPrompt, shortPrompt };
    bool hasOnePriority = false; ///< for all routes
    bool reportsLoad = true; ///< false: the decisions as they are without reported load
    instant targetsEndAt = instant::max();
    duration targetsEndFor = 0s;
    instant suspendedAt = instant::max(); ///< the first node, with all that has arrived for it meanwhile
    duration suspendedFor = 0s;
    std::uint64_t seed = 5; ///< of the demand
};

struct kind_result {
    int asked = 0;
    int inTime = 0;
    int late = 0;
    int refusals = 0; ///< of first and second tries
    int refusedOnArrival = 0;
    double heldSeconds = 0; ///< sum over the refusals, of the time until the refusal
    int askedLarge = 0;
    int servedLarge = 0;

    int served() const { return inTime + late; }
    double servedShare() const { return static_cast<double>(served()) / std::max(1, asked); }
    double inTimeShare() const { return static_cast<double>(inTime) / std::max(1, asked); }
    double meanHeld() const { return heldSeconds / std::max(1, refusals); }
    double onArrivalShare() const { return static_cast<double>(refusedOnArrival) / std::max(1, refusals); }
};

/// Three nodes, and targets with slots and a queue by urgency. Callers return once, after the time that they are told
/// or a third of their remaining time.
class overload_world {
public:
    explicit overload_world(overload_profile profile)
        : m_profile(std::move(profile))
        , m_random(m_profile.seed)
    {
        m_targets.resize(isPlain() ? 2 : 3);
        for (std::size_t node = 0; node < nodeCount; ++node) {
            auto settings = dispatch_world::settings();
            settings.vm = "node-" + std::to_string(node);
            settings.seed = node + 1;
            m_nodes.push_back(std::make_unique<dispatch_world>(settings));
            m_nodes.back()->decisions.setKnownNodes(nodeCount);
            for (std::size_t target = 0; target < m_targets.size(); ++target)
                list(node, target);
            later(0.02 * m_random.unit(), [this, node] { tick(node); });
            later(0.1 * m_random.unit(), [this, node] { sendHeartbeat(node); });
        }
        if (m_profile.targetsEndAt != instant::max())
            later(seconds(m_profile.targetsEndAt - m_now), [this] { endTargets(); });
    }

    /// Calm for 2 s, the overload for 14 s, and 8 s for those who return.
    void run()
    {
        scheduleCall();
        while (!m_events.empty() && m_events.begin()->first < at(24s)) {
            m_now = m_events.begin()->first;
            const auto what = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            what();
        }
    }
    const kind_result& of(std::size_t route) { return m_results[route]; }
    /// Times after which refused callers were told to return, by the time of the refusal.
    const std::multimap<instant, duration>& delays() const { return m_delays; }

private:
    struct caller {
        std::size_t route = 0;
        std::int64_t tokens = 0;
        bool isLarge = false;
        instant askedAt; ///< first try
        instant triedAt;
        int tries = 0;
        bool isServed = false;
    };
    struct sent_attempt {
        std::size_t node = 0;
        start_attempt start;
        std::size_t caller = 0;
        int life = 0; ///< of the target
    };
    struct target {
        int running = 0;
        int life = 0;
        std::multimap<int, sent_attempt> waiting; ///< by urgency
    };

    static constexpr std::size_t nodeCount = 3;
    static constexpr duration networkDelay = 1ms;

    bool isPlain() const { return m_profile.routes.front() == lookUp; }
    int slots() const { return isPlain() ? 6 : 12; }
    void later(double wait, std::function<void()> what)
    {
        m_events.emplace(m_now + fromSeconds(wait), std::move(what));
    }
    std::string nameOf(std::size_t index) const
    {
        return "t" + std::to_string(index) + "-" + std::to_string(m_targets[index].life);
    }
    void list(std::size_t node, std::size_t index)
    {
        auto& world = *m_nodes[node];
        if (isPlain())
            world.addPlain(nameOf(index), "a", slots());
        else
            world.addEngine(nameOf(index), target_role::mixed, "a", slots());
    }
    /// Seconds until the answer begins at an idle target, and until its end.
    std::pair<double, double> work(const caller& by) const
    {
        if (isPlain())
            return { 0.03, 0.03 };
        const double prefill = static_cast<double>(by.tokens) / 100'000;
        return { prefill, prefill + 0.1 };
    }
    double longShare() const
    {
        const bool isLongPhase = static_cast<int>(seconds(m_now - at(0s)) / 2.8) % 2 == 1;
        return isLongPhase ? 0.16 : 0.05;
    }

    void scheduleCall()
    {
        // Mean work: 0.104 s for a short prompt, 0.256 s for a long one, a tenth of them on average.
        const double capacity = static_cast<double>(m_targets.size()) * slots() / (isPlain() ? 0.03 : 0.119);
        const bool isOverloaded = m_now >= at(2s) && m_now < at(16s);
        const double perSecond = capacity * (isOverloaded ? m_profile.overload : 0.5);
        later(-std::log(1 - m_random.unit()) / perSecond, [this] {
            if (m_now >= at(16s))
                return;
            caller by;
            by.route = m_profile.routes[m_random.unit() < (isPlain() ? 0.5 : longShare()) ? 0 : 1];
            by.tokens = by.route == longPrompt ? 12'000 : 400;
            by.isLarge = by.route == longPrompt && m_random.below(10) == 0;
            if (by.isLarge)
                by.tokens = 48'000;
            by.askedAt = m_now;
            m_callers.push_back(by);
            ++m_results[by.route].asked;
            m_results[by.route].askedLarge += by.isLarge;
            ask(m_callers.size() - 1);
            scheduleCall();
        });
    }

    bool isSuspended(std::size_t node) const
    {
        return node == 0 && m_now >= m_profile.suspendedAt && m_now < m_profile.suspendedAt + m_profile.suspendedFor;
    }
    /// What arrives for a suspended node is read when it goes on.
    void atNode(std::size_t node, std::function<void()> what)
    {
        if (!isSuspended(node))
            return what();
        later(seconds(m_profile.suspendedAt + m_profile.suspendedFor - m_now), std::move(what));
    }

    void ask(std::size_t index)
    {
        const auto node = m_random.below(nodeCount);
        auto& by = m_callers[index];
        by.triedAt = m_now;
        ++by.tries;
        atNode(node, [this, node, index] {
            const auto& asking = m_callers[index];
            auto& world = *m_nodes[node];
            const auto patience = deadlineOf(asking) - m_now;
            if (patience <= 0s)
                return;
            auto request = isPlain() ? world.make(asking.route, patience)
                                     : world.makePrompt(asking.route, index, 0, asking.tokens);
            request.priority = m_profile.hasOnePriority ? 1 : request.route->priority;
            request.callerTimeout = patience;
            command_list out;
            const auto id = world.decisions.submit(std::move(request), m_now, out);
            m_byRequest[{ node, id }] = index;
            carryOut(node, out);
        });
    }
    instant deadlineOf(const caller& by) const { return by.askedAt + (isPlain() ? duration(1500ms) : duration(4s)); }

    void carryOut(std::size_t node, const command_list& commands)
    {
        for (const auto& command : commands) {
            if (const auto* start = std::get_if<start_attempt>(&command)) {
                const auto index = indexOf(*m_nodes[node], start->target);
                const sent_attempt sent { node, *start, m_byRequest.at({ node, start->request }),
                    m_targets[index].life };
                later(seconds(networkDelay), [this, sent, index] { arrive(sent, index); });
            } else if (const auto* refusal = std::get_if<refuse_request>(&command)) {
                refused(m_byRequest.at({ node, refusal->request }), *refusal);
            }
        }
    }
    static std::size_t indexOf(const dispatch_world& world, target_id id)
    {
        return static_cast<std::size_t>(std::stoi(world.nameOf(id).substr(1)));
    }

    void refused(std::size_t index, const refuse_request& refusal)
    {
        auto& by = m_callers[index];
        auto& result = m_results[by.route];
        ++result.refusals;
        result.refusedOnArrival += m_now - by.triedAt <= 1ms;
        result.heldSeconds += seconds(m_now - by.triedAt);
        const duration remaining = deadlineOf(by) - m_now;
        if (refusal.kind != error_kind::overloaded || by.tries > 1 || remaining <= 0s)
            return;
        m_delays.emplace(m_now, refusal.retryAfter);
        later(seconds(std::min(refusal.retryAfter, remaining / 3)), [this, index] { ask(index); });
    }

    void arrive(const sent_attempt& sent, std::size_t index)
    {
        auto& at = m_targets[index];
        if (sent.life != at.life)
            return conclude(sent, attempt_result::unreached);
        at.waiting.emplace(sent.start.urgency, sent);
        beginNext(index);
    }

    void beginNext(std::size_t index)
    {
        auto& target = m_targets[index];
        while (target.running < slots() && !target.waiting.empty()) {
            const auto sent = target.waiting.begin()->second;
            target.waiting.erase(target.waiting.begin());
            ++target.running;
            const auto [first, whole] = work(m_callers[sent.caller]);
            later(first, [this, sent, index] { answerBegins(sent, index); });
            later(whole, [this, sent, index] { answerEnds(sent, index); });
        }
    }

    void answerBegins(const sent_attempt& sent, std::size_t index)
    {
        if (sent.life != m_targets[index].life)
            return;
        atNode(sent.node, [this, sent, index] {
            auto& decisions = m_nodes[sent.node]->decisions;
            if (!decisions.isCurrent(sent.start.request, sent.start.attempt))
                return;
            if (m_profile.reportsLoad)
                decisions.updateTargetLoad(sent.start.target,
                    { m_now, m_targets[index].running, static_cast<int>(m_targets[index].waiting.size()), slots() });
            decisions.firstByteReceived(sent.start.request, sent.start.attempt, m_now);
            auto& by = m_callers[sent.caller];
            if (by.isServed)
                return;
            by.isServed = true;
            auto& result = m_results[by.route];
            const auto aim = m_nodes[0]->configuration->routes()[by.route].aim;
            ++(m_now - by.askedAt <= aim ? result.inTime : result.late);
            result.servedLarge += by.isLarge;
        });
    }

    void answerEnds(const sent_attempt& sent, std::size_t index)
    {
        auto& target = m_targets[index];
        if (sent.life != target.life)
            return conclude(sent, attempt_result::broken);
        --target.running;
        beginNext(index);
        conclude(sent, attempt_result::answered);
    }

    void conclude(const sent_attempt& sent, attempt_result result)
    {
        atNode(sent.node, [this, sent, result] {
            command_list out;
            m_nodes[sent.node]->decisions.attemptEnded(sent.start.request, sent.start.attempt, result, {}, m_now, out);
            carryOut(sent.node, out);
        });
    }

    void endTargets()
    {
        std::vector<sent_attempt> lost;
        for (std::size_t index = 0; index < m_targets.size(); ++index) {
            for (std::size_t node = 0; node < nodeCount; ++node)
                m_nodes[node]->decisions.targetGone(nameOf(index), m_now);
            auto& target = m_targets[index];
            for (const auto& [urgency, sent] : target.waiting)
                lost.push_back(sent);
            target = { 0, target.life + 1, {} };
        }
        for (const auto& sent : lost)
            conclude(sent, attempt_result::broken);
        later(seconds(m_profile.targetsEndFor), [this] {
            for (std::size_t node = 0; node < nodeCount; ++node) {
                for (std::size_t index = 0; index < m_targets.size(); ++index)
                    list(node, index);
            }
        });
    }

    void tick(std::size_t node)
    {
        atNode(node, [this, node] {
            command_list out;
            m_nodes[node]->decisions.tick(m_now, out);
            carryOut(node, out);
            later(0.02, [this, node] { tick(node); });
        });
    }

    void sendHeartbeat(std::size_t node)
    {
        atNode(node, [this, node] {
            const auto load = m_nodes[node]->decisions.ownLoad();
            for (std::size_t peer = 0; peer < nodeCount; ++peer) {
                if (peer != node && !isSuspended(peer))
                    m_nodes[peer]->decisions.updatePeerLoad("node-" + std::to_string(node), load, m_now);
            }
            later(0.1, [this, node] { sendHeartbeat(node); });
        });
    }

    overload_profile m_profile;
    random_source m_random;
    instant m_now = at(0s);
    std::multimap<instant, std::function<void()>> m_events;
    std::vector<std::unique_ptr<dispatch_world>> m_nodes;
    std::vector<target> m_targets;
    std::vector<caller> m_callers;
    std::map<std::pair<std::size_t, request_id>, std::size_t> m_byRequest;
    std::map<std::size_t, kind_result> m_results;
    std::multimap<instant, duration> m_delays;
};

std::map<std::size_t, kind_result> play(const char* name, const overload_profile& profile)
{
    overload_world world(profile);
    world.run();
    std::map<std::size_t, kind_result> out;
    for (const auto route : profile.routes) {
        out[route] = world.of(route);
        const auto& kind = out[route];
        std::printf("%s %.1f %s route %zu: asked %d, in time %.3f, served %.3f, refusals %d, held %.3f s, on arrival "
                    "%.3f, largest tenth served %.3f\n",
            name, profile.overload, profile.reportsLoad ? "now" : "before", route, kind.asked, kind.inTimeShare(),
            kind.servedShare(), kind.refusals, kind.meanHeld(), kind.onArrivalShare(),
            static_cast<double>(kind.servedLarge) / std::max(1, kind.askedLarge));
    }
    return out;
}

/// The sums over plays with different demands. Single plays of the same decisions differ by 2% of those in time.
std::map<std::size_t, kind_result> playSeeds(const char* name, overload_profile profile)
{
    std::map<std::size_t, kind_result> out;
    for (profile.seed = 5; profile.seed < 15; ++profile.seed) {
        for (const auto& [route, kind] : play(name, profile)) {
            auto& sum = out[route];
            sum.asked += kind.asked;
            sum.inTime += kind.inTime;
            sum.late += kind.late;
            sum.refusals += kind.refusals;
            sum.refusedOnArrival += kind.refusedOnArrival;
            sum.heldSeconds += kind.heldSeconds;
            sum.askedLarge += kind.askedLarge;
            sum.servedLarge += kind.servedLarge;
        }
    }
    for (const auto& [route, kind] : out)
        std::printf("%s %.1f %s route %zu, all plays: asked %d, in time %d, served %.4f\n", name, profile.overload,
            profile.reportsLoad ? "now" : "before", route, kind.asked, kind.inTime, kind.servedShare());
    return out;
}

waiting_key keyOf(int priority, duration timeLeft, std::int64_t tokens)
{
    waiting_key out;
    out.priority = priority;
    out.timeLeft = timeLeft;
    out.isLate = timeLeft < 20ms;
    out.tokens = tokens;
    return out;
}

}

TEST_CASE("test_admission_order_is_priority_then_debt_then_time_left_then_size")
{
    // Guards against a stream of small requests that keeps a large one waiting at equal priority, and against late
    // requests that take the capacity of those that can still meet their aim.
    CHECK(keyOf(0, 900ms, 90'000) < keyOf(1, 100ms, 10));
    CHECK(keyOf(1, 100ms, 90'000) < keyOf(1, 101ms, 10));
    CHECK(keyOf(1, 900ms, 90'000) < keyOf(1, -100ms, 10));
    CHECK(keyOf(1, 100ms, 10) < keyOf(1, 100ms, 90'000));
    auto prefilled = keyOf(1, -100ms, 90'000);
    prefilled.isNew = false;
    prefilled.accountDebt = 7;
    CHECK(prefilled < keyOf(1, 100ms, 10));
    CHECK(keyOf(0, 100ms, 10) < prefilled);
    auto indebted = keyOf(1, 100ms, 10);
    indebted.accountDebt = 1;
    CHECK(keyOf(1, 500ms, 10) < indebted);
}

TEST_CASE("test_admission_predicts_no_wait_without_a_learned_rate")
{
    // Guards against refusals on arrival that rest on nothing, such as after the end of all targets.
    admission predictions;
    CHECK_FALSE(predictions.predictedWait("s", 0, { 5, 5 }, at(0s)));
    CHECK_FALSE(predictions.returnDelay("s", 0, { 5, 5 }, 4s, at(0s)));
    learn(predictions, 0, 100ms, at(0s), 3s);
    CHECK(predictions.predictedWait("s", 0, { 5, 5 }, at(3s)));
    // Requests wait, and none is started.
    learn(predictions, 0, 1h, at(3s), start_window::length + 200ms);
    CHECK_FALSE(predictions.predictedWait("s", 0, { 5, 5 }, at(3s) + start_window::length + 200ms));
    CHECK_FALSE(predictions.predictedWait("other", 0, { 5, 5 }, at(3s)));
}

TEST_CASE("test_admission_counts_those_ahead_at_the_learned_rate")
{
    admission predictions;
    learn(predictions, 0, 100ms, at(0s), 3s);
    for (const std::size_t ahead : { 0U, 4U, 20U }) {
        INFO(ahead);
        const auto wait = predictions.predictedWait("s", 0, { ahead, ahead }, at(3s));
        REQUIRE(wait);
        CHECK(seconds(*wait) == Approx(0.1 * static_cast<double>(ahead + 1)).epsilon(0.1));
    }
    // A less urgent request gets what the more urgent ones leave. Without its own rate it would be kept for nothing.
    for (duration passed = 0s; passed < 3s; passed += 10ms) {
        predictions.beginRound(at(3s) + passed);
        if (passed > 0s && passed % 100ms == 0s)
            predictions.started("s", passed % 500ms == 0s ? 1 : 0, at(3s) + passed);
        predictions.waits("s", 0, at(3s) + passed);
        predictions.waits("s", 1, at(3s) + passed);
        predictions.endRound();
    }
    const auto urgent = predictions.predictedWait("s", 0, { 1, 1 }, at(6s));
    const auto other = predictions.predictedWait("s", 1, { 2, 1 }, at(6s));
    REQUIRE(urgent);
    REQUIRE(other);
    CHECK(*other >= 800ms);
    CHECK(*urgent <= 400ms);
}

TEST_CASE("test_admission_rate_is_the_same_after_a_suspension")
{
    // Guards against a gap that counts as waiting time: all newcomers would be refused for a second after it.
    for (const auto gap : { 300ms, 3000ms, 60'000ms }) {
        INFO(gap.count());
        admission predictions;
        learn(predictions, 0, 50ms, at(0s), 3s);
        const auto before = predictions.predictedWait("s", 0, { 9, 9 }, at(3s));
        predictions.beginRound(at(3s) + gap);
        predictions.endRound();
        const auto after = predictions.predictedWait("s", 0, { 9, 9 }, at(3s) + gap);
        REQUIRE(before);
        REQUIRE(after);
        CHECK(seconds(*after) <= 1.25 * seconds(*before));
        CHECK(seconds(*after) >= 0.8 * seconds(*before));
    }
}

TEST_CASE("test_admission_spreads_returns_in_the_order_of_refusal")
{
    // Guards against requests that are refused together and return together, and against a place behind those that were
    // refused later.
    constexpr duration remaining = 4s;
    for (const int refusedTogether : { 5, 40, 200 }) {
        INFO(refusedTogether);
        admission predictions;
        learn(predictions, 0, 50ms, at(0s), 3s);
        std::vector<duration> delays;
        for (int i = 0; i < refusedTogether; ++i) {
            const auto delay = predictions.returnDelay("s", 0, { 2, 2 }, remaining, at(3s));
            REQUIRE(delay);
            delays.push_back(*delay);
        }
        CHECK(std::is_sorted(delays.begin(), delays.end()));
        CHECK(delays.back() <= remaining / 3);
        CHECK(std::set<duration>(delays.begin(), delays.end()).size() == delays.size());
        // No interval of the dispatcher's timer gets more than a tenth of them.
        for (const auto from : delays) {
            const auto close = std::count_if(
                delays.begin(), delays.end(), [&](duration delay) { return delay >= from && delay < from + 20ms; });
            CHECK(close <= std::max<std::ptrdiff_t>(1, refusedTogether / 10));
        }
        // A later refusal of the same kind does not overtake.
        const auto later = predictions.returnDelay("s", 0, { 0, 0 }, 20s, at(3s) + 100ms);
        REQUIRE(later);
        CHECK(*later + 100ms > delays.back());
    }
}

TEST_CASE("test_many_refused_together_return_over_the_useful_time")
{
    // Guards against many requests that are refused together and return in a small part of the time left to them.
    constexpr duration remaining = 4s;
    constexpr duration useful = remaining / 3;
    for (const int refusedTogether : { 40, 200 }) {
        INFO(refusedTogether);
        admission predictions;
        learn(predictions, 0, 50ms, at(0s), 3s);
        std::vector<duration> delays;
        for (int i = 0; i < refusedTogether; ++i)
            delays.push_back(predictions.returnDelay("s", 0, { 2, 2 }, remaining, at(3s)).value());
        for (const auto from : delays) {
            const auto close = std::count_if(delays.begin(), delays.end(),
                [&](duration delay) { return delay >= from && delay < from + useful / 10; });
            CHECK(close <= refusedTogether / 2);
        }
    }
}

TEST_CASE("test_largest_tenth_of_a_less_urgent_kind_is_served_like_its_kind")
{
    // Guards against large requests of a less urgent kind that are served less often than the kind as a whole. One play
    // serves 2 to 10 of them, which tells nothing; 40 plays serve enough to tell 0.8 from 1 by three standard errors.
    for (const double overload : { 1.5, 2.0, 3.0 }) {
        INFO(overload);
        overload_profile profile;
        profile.overload = overload;
        int large = 0;
        double wanted = 0;
        for (std::uint64_t seed = 5; seed < 45; ++seed) {
            profile.seed = seed;
            const auto now = play("prompts", profile);
            const auto& kind = now.at(longPrompt);
            large += kind.servedLarge;
            wanted += kind.servedShare() * kind.askedLarge;
        }
        std::printf("largest tenth of the less urgent kind at %.1f: %d served, %.1f as often as the kind\n", overload,
            large, wanted);
        CHECK(large >= 0.8 * wanted);
    }
}

TEST_CASE("test_admission_serves_more_prompts_in_time_under_overload")
{
    // Guards against requests that are held for half of their aim and then refused with a delay that has nothing to do
    // with the load. Of a demand of `overload` times the capacity, 1 / overload can be served.
    for (const double overload : { 1.5, 2.0, 3.0 }) {
        INFO(overload);
        overload_profile profile;
        profile.overload = overload;
        auto now = playSeeds("prompts", profile);
        profile.reportsLoad = false;
        auto before = playSeeds("prompts", profile);
        const auto inTime = [](auto& results) { return results[longPrompt].inTime + results[shortPrompt].inTime; };
        const auto served = [](auto& results) { return results[longPrompt].served() + results[shortPrompt].served(); };
        const int asked = now[longPrompt].asked + now[shortPrompt].asked;
        CHECK(served(now) >= 0.9 * asked / overload);
        CHECK(served(now) >= 0.98 * served(before));
        CHECK(inTime(now) >= 0.98 * inTime(before));
        // Most are refused on arrival, which the decisions without reported load never do.
        CHECK(now[longPrompt].onArrivalShare() > 0.5);
        CHECK(now[shortPrompt].onArrivalShare() > 0.5);
        // The urgent kind is served first, and the less urgent one waits no longer for a refusal.
        CHECK(now[shortPrompt].servedShare() >= now[longPrompt].servedShare());
        CHECK(now[longPrompt].meanHeld() <= before[longPrompt].meanHeld());
        CHECK(now[shortPrompt].meanHeld() <= before[shortPrompt].meanHeld());
    }
}

TEST_CASE("test_admission_serves_more_plain_calls_in_time_under_overload")
{
    // Guards against the same at plain targets, whose calls have an aim of a few times the time that they take.
    for (const double overload : { 1.5, 2.0, 3.0 }) {
        INFO(overload);
        overload_profile profile;
        profile.overload = overload;
        profile.routes = { lookUp, report };
        auto now = play("plain", profile);
        profile.reportsLoad = false;
        auto before = play("plain", profile);
        const auto sum
            = [](auto& results, auto member) { return (results[lookUp].*member) + (results[report].*member); };
        const int asked = sum(now, &kind_result::asked);
        const int served = sum(now, &kind_result::inTime) + sum(now, &kind_result::late);
        CHECK(served >= 0.9 * asked / overload);
        CHECK(sum(now, &kind_result::inTime) >= 0.98 * sum(before, &kind_result::inTime));
        CHECK(now[report].meanHeld() <= before[report].meanHeld());
    }
}

TEST_CASE("test_admission_does_not_starve_large_prompts_of_equal_priority")
{
    // Guards against a stream of small requests that takes all capacity from large ones at equal priority.
    for (const double overload : { 1.5, 2.0, 3.0 }) {
        INFO(overload);
        overload_profile profile;
        profile.overload = overload;
        profile.hasOnePriority = true;
        const auto now = play("one priority", profile);
        const auto& kind = now.at(longPrompt);
        CHECK(kind.servedLarge >= 0.8 * kind.servedShare() * kind.askedLarge);
        CHECK(kind.servedShare() >= 0.8 * now.at(shortPrompt).servedShare());
    }
}

TEST_CASE("test_admission_serves_the_urgent_kind_at_a_low_rate")
{
    // Guards against urgent requests that give up before each of the rare starts, which then go to less urgent requests
    // that wait for longer: at one start in 300 ms, an urgent request with an aim of 400 ms waits for 200 ms.
    dispatch_world world;
    world.addPlain("p1", "a", 1);
    command_list out;
    std::map<std::uint64_t, int> priorityOf;
    std::map<int, int> started;
    std::vector<start_attempt> running;
    const auto carryOut = [&] {
        for (const auto& item : out) {
            if (const auto* start = std::get_if<start_attempt>(&item)) {
                ++started[priorityOf[start->request.value]];
                running.push_back(*start);
            }
        }
        out.clear();
    };
    auto routes = world.configuration->routes();
    routes[lookUp].aim = 400ms;
    routes[report].aim = 1200ms;
    routes[report].timeout = routes[lookUp].timeout = 6s;
    world.configuration
        = std::make_shared<const serving_configuration>(2, routes, world.configuration->services(), caller_limits {});
    std::map<int, int> asked;
    for (duration passed = 0s; passed < 30s; passed += 10ms) {
        const auto now = at(passed);
        // An urgent and a less urgent request at each start of the target.
        for (const int priority : { 0, 1 }) {
            if (passed % 300ms != (priority == 0 ? 20ms : 100ms))
                continue;
            auto request = world.make(priority == 0 ? lookUp : report);
            request.priority = priority;
            ++asked[priority];
            const auto id = world.decisions.submit(std::move(request), now, out);
            priorityOf[id.value] = priority;
            for (const auto& item : out) {
                if (const auto* start = std::get_if<start_attempt>(&item))
                    priorityOf[start->request.value] = priority;
            }
            carryOut();
        }
        if (passed % 300ms == 0ms && !running.empty()) {
            const auto ended = running.front();
            running.erase(running.begin());
            world.decisions.updateTargetLoad(ended.target, { now, 1, 0, 1 });
            world.decisions.attemptEnded(ended.request, ended.attempt, attempt_result::answered, {}, now, out);
            carryOut();
        }
        world.decisions.tick(now, out);
        carryOut();
    }
    std::printf("low rate: started %d of %d urgent, %d of %d others\n", started[0], asked[0], started[1], asked[1]);
    CHECK(started[0] * asked[1] >= started[1] * asked[0]);
    CHECK(started[0] >= 0.9 * asked[0]);
}

TEST_CASE("test_admission_outlasts_the_end_of_all_targets")
{
    // Guards against a rate that is kept after the end of all targets and refuses everything when they are back.
    overload_profile profile;
    profile.overload = 1.5;
    profile.targetsEndAt = at(6s);
    profile.targetsEndFor = 3s;
    const auto now = play("targets end", profile);
    profile.reportsLoad = false;
    const auto before = play("targets end", profile);
    const auto served
        = [](const auto& results) { return results.at(longPrompt).served() + results.at(shortPrompt).served(); };
    CHECK(served(now) >= 0.98 * served(before));
    CHECK(now.at(shortPrompt).servedShare() >= now.at(longPrompt).servedShare());
}

TEST_CASE("test_admission_outlasts_the_suspension_of_a_node")
{
    // Guards against a gap that spoils the learned rate, and against returns that all come at once after it.
    overload_profile profile;
    profile.overload = 2;
    profile.suspendedAt = at(6s);
    profile.suspendedFor = 3s;
    const auto now = play("suspended", profile);
    profile.reportsLoad = false;
    const auto before = play("suspended", profile);
    const auto served
        = [](const auto& results) { return results.at(longPrompt).served() + results.at(shortPrompt).served(); };
    CHECK(served(now) >= 0.98 * served(before));
}

TEST_CASE("test_admission_refuses_the_least_urgent_when_the_queue_is_full")
{
    // Guards against an urgent newcomer that is refused while less urgent requests keep their places.
    dispatch_world world;
    world.addPlain("p1", "a", 1);
    world.decisions.updateTargetLoad({ 0 }, { at(0s), 1, 0, 1 });
    command_list out;
    int refused = 0;
    for (int i = 0; refused == 0 && i < 10'000; ++i) {
        out.clear();
        auto request = world.make(lookUp);
        request.priority = 2;
        world.decisions.submit(std::move(request), at(0s), out);
        refused = count<refuse_request>(out);
    }
    REQUIRE(refused == 1);
    const auto waiting = world.decisions.waiting();
    out.clear();
    auto urgent = world.make(report);
    urgent.priority = 0;
    const auto id = world.decisions.submit(std::move(urgent), at(1ms), out);
    const auto* refusal = find<refuse_request>(out);
    REQUIRE(refusal);
    CHECK(refusal->request != id);
    CHECK(refusal->kind == error_kind::overloaded);
    CHECK(refusal->retryAfter > 0s);
    CHECK(world.decisions.waiting() == waiting + 1); // the refused one leaves the order with the next dispatch
    world.decisions.tick(at(2ms), out);
    CHECK(world.decisions.waiting() == waiting);
}
