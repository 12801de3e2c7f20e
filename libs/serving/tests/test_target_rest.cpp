// Tests that targets which ask a node for rest get nothing from it for so long, and what becomes of the requests.
#include "base/random_source.h"
#include "serving/role_split.h"
#include "serving_fixture.h"

#include <cmath>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>

using namespace tamarack;
using namespace tamarack::serving;
using namespace tamarack::serving::tests;

namespace {

constexpr std::size_t lookUp = 0;
constexpr std::size_t report = 1;
constexpr std::size_t summary = 2;
constexpr std::size_t tag = 3;

target_id rowOf(const dispatch_world& world, const std::string& instance)
{
    return world.decisions.fleet().find(instance);
}

/// Submits a request. Returns the commands.
command_list submit(dispatch_world& world, serving_request request, instant now)
{
    command_list out;
    world.decisions.submit(std::move(request), now, out);
    return out;
}

/// Ticks every 5 ms. Returns the commands.
command_list tickUntil(dispatch_world& world, duration from, duration to)
{
    command_list out;
    for (duration when = from; when <= to; when += 5ms)
        world.decisions.tick(at(when), out);
    return out;
}

void askForRest(dispatch_world& world, const std::string& instance, duration rest, duration now)
{
    world.decisions.targetAskedForRest(rowOf(world, instance), rest, at(now));
}

/// Whether a new request, which the caller abandons at once, is sent to the instance.
bool isSentTo(dispatch_world& world, const std::string& instance, duration now)
{
    command_list out;
    const auto id = world.decisions.submit(world.make(lookUp), at(now), out);
    const auto* start = find<start_attempt>(out);
    const bool isSent = start && world.nameOf(start->target) == instance;
    command_list end;
    world.decisions.callerDisconnected(id, at(now), end);
    return isSent;
}

}

TEST_CASE("test_target_that_rests_gets_nothing_until_its_rest_ends")
{
    dispatch_world world;
    world.addPlain("p1");
    world.addEngine("e1", target_role::prefill);
    world.addEngine("e2", target_role::decode);
    for (const auto* instance : { "p1", "e1", "e2" })
        askForRest(world, instance, 1500ms, 0s);
    for (const duration now : { 0ms, 30ms, 31ms, 800ms, 1499ms }) {
        for (const auto route : { lookUp, report })
            CHECK(find<start_attempt>(submit(world, world.make(route), at(now))) == nullptr);
        CHECK(find<start_attempt>(submit(world, world.makePrompt(summary, 7, 13'000, 4'000), at(now))) == nullptr);
        CHECK(find<start_attempt>(submit(world, world.makePrompt(tag, 7, 90, 290), at(now))) == nullptr);
    }
    CHECK(find<start_attempt>(submit(world, world.make(report), at(1500ms))));
}

TEST_CASE("test_latest_end_of_a_targets_rests_holds")
{
    // Guards against an answer that asks for less and was given before the one that asks for more.
    dispatch_world world;
    world.addPlain("p1");
    askForRest(world, "p1", 1s, 0s);
    askForRest(world, "p1", 2s, 500ms);
    for (const duration less : { 250ms, 0ms, -1000ms })
        askForRest(world, "p1", less, 600ms);
    CHECK_FALSE(isSentTo(world, "p1", 2499ms));
    CHECK(isSentTo(world, "p1", 2500ms));
    askForRest(world, "p1", 1'000'000h, 4s);
    CHECK_FALSE(isSentTo(world, "p1", 30min));
    CHECK(isSentTo(world, "p1", 4s + target_rests::maxRest));
}

TEST_CASE("test_rest_belongs_to_one_instance")
{
    // Guards against a rest that is held against the next process at the same address.
    dispatch_world world;
    auto record = targetRecord("p1", "plain", target_role::plain, 6);
    record.bornAt = 1;
    world.decisions.targetListed(record);
    askForRest(world, record.instance(), 10s, 0s);
    CHECK_FALSE(isSentTo(world, record.instance(), 100ms));
    const auto old = record.instance();
    record.bornAt = 2;
    world.decisions.targetListed(record);
    world.decisions.targetGone(old, at(200ms));
    CHECK(isSentTo(world, record.instance(), 200ms));
}

TEST_CASE("test_request_that_cannot_outwait_a_rest_is_refused_at_once_with_a_true_time")
{
    // Guards against a caller that is sent back before any target takes work again, or that waits for nothing.
    dispatch_world world;
    world.addPlain("p1");
    world.addPlain("p2");
    askForRest(world, "p1", 4s, 0s);
    askForRest(world, "p2", 3s, 0s);
    auto out = submit(world, world.make(lookUp), at(500ms));
    const auto* refusal = find<refuse_request>(out);
    REQUIRE(refusal);
    CHECK(refusal->kind == error_kind::overloaded);
    CHECK(refusal->retryAfter >= 2500ms);
    CHECK(refusal->retryAfter <= 3200ms);
}

TEST_CASE("test_rejected_request_is_told_when_the_rest_ends")
{
    // Guards against a caller that is sent back into the rest of the only target.
    dispatch_world world;
    world.addPlain("p1");
    command_list out;
    const auto id = world.decisions.submit(world.make(report), at(0s), out);
    const auto attempt = find<start_attempt>(out)->attempt;
    out.clear();
    askForRest(world, "p1", 3s, 10ms);
    world.decisions.attemptEnded(id, attempt, attempt_result::rejected, {}, at(10ms), out);
    const auto* refusal = find<refuse_request>(out);
    REQUIRE(refusal);
    CHECK(refusal->retryAfter >= 3s);
}

TEST_CASE("test_request_waits_for_a_rest_that_ends_soon")
{
    dispatch_world world;
    world.addPlain("p1");
    askForRest(world, "p1", 30ms, 0s);
    CHECK(submit(world, world.make(lookUp), at(0s)).empty());
    CHECK(tickUntil(world, 5ms, 25ms).empty());
    CHECK(count<start_attempt>(tickUntil(world, 30ms, 30ms)) == 1);
}

TEST_CASE("test_request_goes_to_a_target_that_does_not_rest")
{
    dispatch_world world;
    world.addPlain("p1");
    world.addPlain("p2");
    askForRest(world, "p1", 3s, 0s);
    for (int i = 0; i < 10; ++i)
        CHECK(isSentTo(world, "p2", 100ms));
}

TEST_CASE("test_requests_return_to_a_target_one_first")
{
    // Guards against all waiting requests at once at a target that has just ended its rest.
    dispatch_world world;
    world.addPlain("p1", "a", 20);
    askForRest(world, "p1", 40ms, 0s);
    for (int i = 0; i < 10; ++i)
        CHECK(submit(world, world.make(lookUp), at(0s)).empty());
    auto out = tickUntil(world, 40ms, 40ms);
    REQUIRE(count<start_attempt>(out) == 1);
    const auto first = *find<start_attempt>(out);
    CHECK(tickUntil(world, 40ms, 45ms).empty());
    out.clear();
    world.decisions.attemptEnded(first.request, first.attempt, attempt_result::answered, {}, at(48ms), out);
    CHECK(count<start_attempt>(out) == 9);
}

TEST_CASE("test_first_request_after_a_rest_that_gets_no_answer_does_not_hold_up_the_others")
{
    dispatch_world world;
    world.addPlain("p1", "a", 20);
    askForRest(world, "p1", 100ms, 0s);
    REQUIRE(find<start_attempt>(submit(world, world.make(report), at(100ms))));
    CHECK(find<start_attempt>(submit(world, world.make(report), at(110ms))) == nullptr);
    CHECK(find<start_attempt>(submit(world, world.make(report), at(400ms))));
}

TEST_CASE("test_prompt_is_not_prefilled_while_all_engines_that_answer_rest")
{
    // Guards against a prefill whose KV cache no engine may take.
    dispatch_world world;
    world.addEngine("e1", target_role::prefill);
    world.addEngine("e2", target_role::decode);
    world.addEngine("e3", target_role::decode);
    askForRest(world, "e2", 3s, 0s);
    CHECK(find<start_attempt>(submit(world, world.makePrompt(summary, 7, 13'000, 4'000), at(0s))));
    askForRest(world, "e3", 2s, 0s);
    const auto out = submit(world, world.makePrompt(summary, 8, 13'000, 4'000), at(10ms));
    CHECK(find<start_attempt>(out) == nullptr);
    REQUIRE(find<refuse_request>(out));
    CHECK(find<refuse_request>(out)->retryAfter >= 1990ms);
}

TEST_CASE("test_decode_whose_engine_rests_goes_to_another")
{
    dispatch_world world;
    world.addEngine("e1", target_role::prefill);
    world.addEngine("e2", target_role::decode);
    world.addEngine("e3", target_role::decode);
    auto out = submit(world, world.makePrompt(summary, 7, 13'000, 4'000), at(0s));
    const auto prefill = *find<start_attempt>(out);
    REQUIRE(prefill.stage == attempt_stage::prefill);
    askForRest(world, "e2", 3s, 50ms);
    askForRest(world, "e1", 3s, 50ms);
    out.clear();
    world.decisions.attemptEnded(prefill.request, prefill.attempt, attempt_result::prefilled, "cache", at(60ms), out);
    const auto* decode = find<start_attempt>(out);
    REQUIRE(decode);
    CHECK(world.nameOf(decode->target) == "e3");
}

TEST_CASE("test_stream_that_has_begun_is_not_refused_for_a_rest")
{
    dispatch_world world;
    world.addEngine("e1", target_role::decode);
    auto out = submit(world, world.makePrompt(tag, 7, 90, 290), at(0s));
    const auto start = *find<start_attempt>(out);
    world.decisions.firstByteReceived(start.request, start.attempt, at(20ms));
    world.decisions.responseStarted(start.request, start.attempt, at(20ms));
    world.decisions.streamEventReceived(start.request, start.attempt, at(20ms));
    askForRest(world, "e1", 3s, 40ms);
    out.clear();
    world.decisions.attemptEnded(start.request, start.attempt, attempt_result::cut, {}, at(50ms), out);
    CHECK(out.empty());
    CHECK(world.decisions.held() == 1);
}

TEST_CASE("test_engines_that_rest_are_not_taken_for_idle_ones")
{
    // Guards against a change of roles, as of an idle fleet, while all engines turn work away.
    fleet_table fleet("a");
    for (int i = 0; i < 18; ++i)
        fleet.upsert(targetRecord("e" + std::to_string(i), "engines", target_role::decode, 16));
    for (std::uint32_t row = 0; row < 18; ++row)
        fleet.restUntil[row] = at(1h);
    role_split split(fleet, {});
    CHECK(split.dueChanges(at(0s), 0.2).empty());
    CHECK(split.dueChanges(at(2s), 0.2).empty());
}

namespace {

struct resting_options {
    std::size_t nodes = 6;
    std::size_t engines = 12;
    std::size_t plainTargets = 6;
    std::uint64_t seed = 1;
    duration length = 10s;
    double perSecond = 300; ///< requests, over all nodes
    double turnsAwayPerSecond = 1.5; ///< how often a target begins to turn all work away, over all targets
};

struct resting_result {
    int rests = 0;
    int mostInOneRest = 0; ///< arrivals that the users' rule counts, of one node at one target
    int startedInRest = 0; ///< attempts that a node has started although it knew of the rest
    int answered = 0;
    int refused = 0;
    int untrueRefusals = 0; ///< refused for a shorter time than that until any target takes work
    std::map<attempt_stage, int> stages;
    int resumed = 0;
};

/// Nodes, engines and plain targets that turn all work away for some time and ask for rests of drawn length.
class resting_world {
public:
    explicit resting_world(const resting_options& options)
        : m_options(options)
        , m_random(options.seed)
        , m_turnsAwayUntil(options.engines + options.plainTargets)
    {
        for (std::size_t node = 0; node < options.nodes; ++node) {
            auto settings = dispatch_world::settings();
            settings.seed = options.seed * 1000 + node;
            settings.vm = "node-" + std::to_string(node);
            m_nodes.push_back(std::make_unique<dispatch_world>(settings));
            auto& world = *m_nodes.back();
            world.decisions.setKnownNodes(static_cast<int>(options.nodes));
            for (std::size_t i = 0; i < options.engines; ++i)
                world.addEngine(nameOf(i), i % 4 == 0 ? target_role::prefill : target_role::decode);
            for (std::size_t i = options.engines; i < m_turnsAwayUntil.size(); ++i)
                world.addPlain(nameOf(i));
        }
    }

    resting_result run()
    {
        every(1 / m_options.perSecond, [this] { call(); });
        every(1 / m_options.turnsAwayPerSecond, [this] {
            m_turnsAwayUntil[m_random.below(m_turnsAwayUntil.size())] = m_now + fromSeconds(6 * m_random.unit());
        });
        for (std::size_t node = 0; node < m_nodes.size(); ++node)
            schedule(fromSeconds(0.02 * m_random.unit()), [this, node] { tick(node); });
        while (!m_events.empty() && m_events.begin()->first <= at(m_options.length)) {
            const auto event = m_events.begin();
            m_now = event->first;
            const auto what = std::move(event->second);
            m_events.erase(event);
            what();
        }
        return m_result;
    }

private:
    using action = std::function<void()>;
    using pair_of = std::pair<std::size_t, std::size_t>; // node and target

    /// A rest that a target has asked a node for.
    struct asked_rest {
        instant at;
        instant until;
        int arrivals = 0;
    };

    static std::string nameOf(std::size_t target) { return "target-" + std::to_string(target); }

    void schedule(duration wait, action what) { m_events.emplace(m_now + wait, std::move(what)); }

    void every(double meanSeconds, action what)
    {
        schedule(fromSeconds(-std::log(1 - m_random.unit()) * meanSeconds), [=, this] {
            what();
            every(meanSeconds, what);
        });
    }

    duration drawnRest()
    {
        switch (m_random.below(6)) {
        case 0:
            return 0s;
        case 1:
            return fromSeconds(m_random.unit());
        case 2:
            return 1h;
        default:
            return fromSeconds(0.6 + 4 * m_random.unit());
        }
    }

    void tick(std::size_t node)
    {
        command_list out;
        m_nodes[node]->decisions.tick(m_now, out);
        execute(node, out);
        schedule(20ms, [this, node] { tick(node); });
    }

    void call()
    {
        const auto node = m_random.below(m_nodes.size());
        auto& world = *m_nodes[node];
        const auto route = m_random.below(4);
        auto request = route < summary ? world.make(route)
            : route == summary         ? world.makePrompt(route, m_random.below(5), 9'000, 2'000)
                                       : world.makePrompt(route, m_random.below(5), 90, 290);
        const bool isPlain = route < summary;
        command_list out;
        const auto id = world.decisions.submit(std::move(request), m_now, out);
        m_isPlain[{ node, id }] = isPlain;
        execute(node, out);
    }

    void execute(std::size_t node, const command_list& commands)
    {
        for (const auto& item : commands) {
            if (const auto* start = std::get_if<start_attempt>(&item))
                send(node, *start);
            else if (const auto* refusal = std::get_if<refuse_request>(&item))
                refused(node, *refusal);
        }
    }

    void refused(std::size_t node, const refuse_request& refusal)
    {
        ++m_result.refused;
        const bool isPlain = m_isPlain.at({ node, refusal.request });
        auto earliest = instant::max();
        for (std::size_t target = 0; target < m_turnsAwayUntil.size(); ++target) {
            const bool isOfService = isPlain == (target >= m_options.engines);
            const bool canAnswer = isPlain || target % 4 != 0;
            if (isOfService && canAnswer)
                earliest = std::min(earliest, m_told[{ node, target }]);
        }
        m_result.untrueRefusals += refusal.kind == error_kind::overloaded && m_now + refusal.retryAfter < earliest;
    }

    void send(std::size_t node, const start_attempt& start)
    {
        const auto& name = m_nodes[node]->nameOf(start.target);
        const auto target = static_cast<std::size_t>(std::stoul(name.substr(name.find('-') + 1)));
        m_result.startedInRest += m_now < m_told[{ node, target }];
        ++m_result.stages[start.stage];
        schedule(fromSeconds(0.001 + 0.03 * m_random.unit()), [=, this] { arrive(node, target, start); });
    }

    void arrive(std::size_t node, std::size_t target, const start_attempt& start)
    {
        constexpr duration grace = 500ms;
        auto& rests = m_asked[{ node, target }];
        for (auto& rest : rests) {
            if (m_now > rest.at + grace && m_now < rest.until)
                m_result.mostInOneRest = std::max(m_result.mostInOneRest, ++rest.arrivals);
        }
        if (m_now >= m_turnsAwayUntil[target])
            return work(node, start);
        const auto length = drawnRest();
        rests.push_back({ m_now, m_now + length, 0 });
        ++m_result.rests;
        schedule(fromSeconds(0.001 + 0.01 * m_random.unit()), [=, this] {
            auto& until = m_told[{ node, target }];
            until = std::max(until, m_now + length);
            m_nodes[node]->decisions.targetAskedForRest(start.target, length, m_now);
            end(node, start, attempt_result::rejected);
        });
    }

    void work(std::size_t node, const start_attempt& start)
    {
        const auto took = fromSeconds(0.02 + 0.1 * m_random.unit());
        if (start.stage == attempt_stage::prefill)
            return schedule(took, [=, this] { end(node, start, attempt_result::prefilled); });
        constexpr double cutShare = 0.05;
        if (m_isPlain.at({ node, start.request }) || m_random.unit() >= cutShare)
            return schedule(took, [=, this] { end(node, start, attempt_result::answered); });
        schedule(took, [=, this] {
            auto& decisions = m_nodes[node]->decisions;
            decisions.firstByteReceived(start.request, start.attempt, m_now);
            decisions.responseStarted(start.request, start.attempt, m_now);
            ++m_result.resumed;
            end(node, start, attempt_result::cut);
        });
    }

    void end(std::size_t node, const start_attempt& start, attempt_result result)
    {
        auto& decisions = m_nodes[node]->decisions;
        m_result.answered += result == attempt_result::answered && decisions.isCurrent(start.request, start.attempt);
        command_list out;
        decisions.attemptEnded(start.request, start.attempt, result, "cache", m_now, out);
        execute(node, out);
    }

    resting_options m_options;
    random_source m_random;
    instant m_now = at(0s);
    std::multimap<instant, action> m_events;
    std::vector<std::unique_ptr<dispatch_world>> m_nodes;
    std::vector<instant> m_turnsAwayUntil; // by target
    std::map<pair_of, std::vector<asked_rest>> m_asked;
    std::map<pair_of, instant> m_told; // until when the node has been told that the target rests
    std::map<std::pair<std::size_t, request_id>, bool> m_isPlain;
    resting_result m_result;
};

std::uint64_t seedCount(std::uint64_t usual)
{
    const char* text = std::getenv("TAMARACK_SEEDS");
    return text ? std::strtoull(text, nullptr, 10) : usual;
}

void checkRests(const resting_options& options)
{
    constexpr int maxArrivalsInRest = 2;
    const auto result = resting_world(options).run();
    INFO(options.nodes << " nodes, seed " << options.seed << ", " << result.rests << " rests, " << result.answered
                       << " answered, " << result.refused << " refused");
    CHECK(result.rests > 0);
    CHECK(result.answered > 0);
    CHECK(result.resumed > 0);
    CHECK(result.stages.size() == 3);
    CHECK(result.mostInOneRest <= maxArrivalsInRest);
    CHECK(result.startedInRest == 0);
    CHECK(result.untrueRefusals == 0);
}

}

TEST_CASE("test_targets_that_rest_get_no_more_requests_from_the_node_they_have_told")
{
    for (std::uint64_t seed = 1; seed <= seedCount(30); ++seed) {
        resting_options options;
        options.seed = seed;
        checkRests(options);
    }
}

TEST_CASE("test_targets_that_rest_get_no_more_requests_in_large_fleets")
{
    for (const auto& [nodes, engines] : { std::pair<std::size_t, std::size_t> { 77, 60 }, { 295, 192 } }) {
        for (std::uint64_t seed = 1; seed <= std::max<std::uint64_t>(1, seedCount(30) / 15); ++seed) {
            resting_options options;
            options.nodes = nodes;
            options.engines = engines;
            options.plainTargets = engines / 4;
            options.seed = seed;
            options.length = 6s;
            options.perSecond = 6.0 * static_cast<double>(nodes);
            options.turnsAwayPerSecond = static_cast<double>(engines) / 6;
            checkRests(options);
        }
    }
}
