// Tests that targets which declare in an answer that they leave get no new work.
#include "serving_fixture.h"

#include "base/random_source.h"

#include <array>
#include <deque>
#include <map>
#include <set>

using namespace tamarack;
using namespace tamarack::serving;
using namespace tamarack::serving::tests;

namespace {

constexpr std::size_t lookUp = 0;
constexpr std::size_t summary = 2;
constexpr std::size_t tag = 3;

struct started_request {
    request_id id;
    start_attempt start;
};

started_request begin(dispatch_world& world, serving_request request, instant now)
{
    command_list out;
    const auto id = world.decisions.submit(std::move(request), now, out);
    const auto* start = find<start_attempt>(out);
    REQUIRE(start);
    return { id, *start };
}

void end(dispatch_world& world, const started_request& request, attempt_result result, instant now, command_list& out)
{
    world.decisions.attemptEnded(request.id, request.start.attempt, result, {}, now, out);
}

/// Sends some requests and returns the targets that got them.
std::set<std::string> usedTargets(dispatch_world& world, std::size_t route, instant now)
{
    std::set<std::string> out;
    for (int i = 0; i < 20; ++i) {
        command_list commands;
        const auto id = world.decisions.submit(world.make(route), now + i * 1ms, commands);
        const auto* start = find<start_attempt>(commands);
        if (!start)
            continue;
        out.insert(world.nameOf(start->target));
        world.decisions.attemptEnded(id, start->attempt, attempt_result::answered, {}, now + i * 1ms, commands);
    }
    return out;
}

target_record plainRecord(const std::string& name, std::uint64_t bornAt = 0)
{
    auto record = targetRecord(name, "plain", target_role::plain, 6);
    record.bornAt = bornAt;
    return record;
}

}

// Guards against work for a target that is about to exit while the target list still says that it is ready.
TEST_CASE("test_target_that_declared_to_leave_gets_nothing_new_whatever_the_list_says")
{
    dispatch_world world;
    world.addPlain("p1");
    world.addPlain("p2");
    CHECK(usedTargets(world, lookUp, at(0s)).size() == 2);
    CHECK(world.decisions.targetLeaves("p1"));
    CHECK_FALSE(world.decisions.targetLeaves("p1"));
    CHECK(usedTargets(world, lookUp, at(1s)) == std::set<std::string> { "p2" });
    auto record = plainRecord("p1");
    record.isDraining = true;
    world.decisions.targetListed(record);
    record.isDraining = false;
    world.decisions.targetListed(record);
    CHECK(usedTargets(world, lookUp, at(2s)) == std::set<std::string> { "p2" });
    world.decisions.targetGone("p2", at(3s));
    CHECK(usedTargets(world, lookUp, at(4s)).empty());
}

// Guards against a leaving target that gets work again after its entry in the list was lost and restored.
TEST_CASE("test_target_that_declared_to_leave_gets_nothing_new_when_it_is_listed_again")
{
    dispatch_world world;
    world.addPlain("p1");
    world.decisions.targetLeaves("p1");
    world.decisions.targetGone("p1", at(0s));
    world.addPlain("p2"); // takes the row of p1
    REQUIRE_FALSE(world.decisions.fleet().find("p1").isValid());
    world.addPlain("p1");
    CHECK(usedTargets(world, lookUp, at(1s)) == std::set<std::string> { "p2" });
}

// Guards against a declaration that is lost because the target left the list before its last answer came.
TEST_CASE("test_declaration_of_an_unlisted_target_holds_when_it_is_listed_again")
{
    dispatch_world world;
    world.addPlain("p2");
    CHECK(world.decisions.targetLeaves("p1"));
    world.addPlain("p1");
    CHECK(usedTargets(world, lookUp, at(0s)) == std::set<std::string> { "p2" });
}

// Guards against a restarted target that stays without work because its former process declared that it leaves.
TEST_CASE("test_next_incarnation_of_a_target_that_left_gets_work")
{
    dispatch_world world;
    world.decisions.targetListed(plainRecord("p1", 1000));
    world.decisions.targetLeaves(instanceName("p1", 1000));
    CHECK(usedTargets(world, lookUp, at(0s)).empty());
    world.decisions.targetGone(instanceName("p1", 1000), at(1s));
    world.decisions.targetListed(plainRecord("p1", 2000));
    CHECK(usedTargets(world, lookUp, at(2s)) == std::set<std::string> { instanceName("p1", 2000) });
}

// Guards against answers and streams that are cut because their target declared that it leaves.
TEST_CASE("test_running_attempts_go_on_at_a_target_that_declared_to_leave")
{
    dispatch_world world;
    world.addPlain("p1");
    world.addEngine("d1", target_role::decode);
    const auto call = begin(world, world.make(lookUp), at(0s));
    const auto stream = begin(world, world.makePrompt(tag, 1, 100, 300), at(0s));
    world.addPlain("p2");
    world.addEngine("d2", target_role::decode);
    world.decisions.targetLeaves("p1");
    world.decisions.targetLeaves("d1");
    command_list out;
    world.decisions.firstByteReceived(stream.id, stream.start.attempt, at(10ms));
    for (int i = 1; i <= 20; ++i) {
        world.decisions.streamEventReceived(stream.id, stream.start.attempt, at(i * 50ms));
        if (i == 1)
            end(world, call, attempt_result::answered, at(50ms), out);
        world.decisions.tick(at(i * 50ms), out);
    }
    CHECK(out.empty());
    end(world, stream, attempt_result::answered, at(2s), out);
    CHECK(out.empty());
    CHECK(world.decisions.held() == 0);
}

// Guards against a request that waits here and is sent to the leaving target as soon as it has room.
TEST_CASE("test_waiting_request_is_not_sent_to_a_target_that_declared_to_leave")
{
    dispatch_world world;
    world.addPlain("p1", "a", 1);
    std::vector<started_request> running;
    command_list out;
    while (world.decisions.waiting() == 0) {
        out.clear();
        const auto id = world.decisions.submit(world.make(lookUp), at(0s), out);
        if (const auto* start = find<start_attempt>(out))
            running.push_back({ id, *start });
    }
    out.clear();
    world.decisions.targetLeaves("p1");
    for (const auto& request : running)
        end(world, request, attempt_result::answered, at(10ms), out);
    CHECK(count<start_attempt>(out) == 0);
    world.addPlain("p2");
    world.decisions.tick(at(20ms), out);
    REQUIRE(count<start_attempt>(out) == 1);
    CHECK(world.nameOf(find<start_attempt>(out)->target) == "p2");
}

// Guards against a retry at the leaving target, which is the only other one that the list calls ready.
TEST_CASE("test_retry_is_not_sent_to_a_target_that_declared_to_leave")
{
    for (const auto result : { attempt_result::rejected, attempt_result::misdirected, attempt_result::unreached,
             attempt_result::broken, attempt_result::failure_answer }) {
        INFO(static_cast<int>(result));
        dispatch_world world;
        world.addPlain("p1");
        const auto request = begin(world, world.make(lookUp), at(0s));
        world.addPlain("p2");
        world.decisions.targetLeaves("p2");
        world.decisions.targetLeaves("p1");
        command_list out;
        end(world, request, result, at(5ms), out);
        for (int i = 1; i < 30; ++i)
            world.decisions.tick(at(i * 10ms), out);
        CHECK(count<start_attempt>(out) == 0);
    }
}

// Guards against the decode stage of a prompt at an engine that declared that it leaves during the prefill.
TEST_CASE("test_second_stage_is_not_sent_to_an_engine_that_declared_to_leave")
{
    const auto decodesAt = [](const std::string& leaving) {
        dispatch_world world;
        world.addEngine("reader", target_role::prefill);
        world.addEngine("d1", target_role::decode);
        world.addEngine("d2", target_role::decode);
        const auto request = begin(world, world.makePrompt(summary, 7, 8'000, 8'000), at(0s));
        REQUIRE(request.start.stage == attempt_stage::prefill);
        if (!leaving.empty())
            world.decisions.targetLeaves(leaving);
        command_list out;
        world.decisions.attemptEnded(
            request.id, request.start.attempt, attempt_result::prefilled, "cache", at(300ms), out);
        const auto* decode = find<start_attempt>(out);
        REQUIRE(decode);
        CHECK(decode->stage == attempt_stage::decode);
        return world.nameOf(decode->target);
    };
    const auto preferred = decodesAt({});
    CHECK(decodesAt(preferred) != preferred);
    CHECK(decodesAt("reader") == preferred); // the prompt's KV cache is still fetched from the engine that leaves
}

// Guards against prefixes that are lost with their engine although it could still hand them out.
TEST_CASE("test_prefix_is_fetched_from_an_engine_that_declared_to_leave")
{
    dispatch_world world;
    world.addEngine("leaving", target_role::decode);
    const auto first = begin(world, world.makePrompt(summary, 7, 13'000, 4'000), at(0s));
    command_list out;
    world.decisions.firstByteReceived(first.id, first.start.attempt, at(300ms));
    end(world, first, attempt_result::answered, at(400ms), out);
    world.decisions.targetLeaves("leaving");
    world.addEngine("staying", target_role::decode);
    const auto second = begin(world, world.makePrompt(summary, 7, 13'000, 4'000), at(500ms));
    CHECK(world.nameOf(second.start.target) == "staying");
    REQUIRE(second.start.fetchFrom.isValid());
    CHECK(world.nameOf(second.start.fetchFrom) == "leaving");
}

// Guards against a command that is executed after the target has declared that it leaves.
TEST_CASE("test_unsent_attempt_is_taken_back_from_a_target_that_declared_to_leave")
{
    dispatch_world world;
    world.addPlain("p1");
    const auto first = begin(world, world.make(lookUp), at(0s));
    const auto second = begin(world, world.make(lookUp), at(0s));
    command_list out;
    CHECK_FALSE(world.decisions.takeBackIfLeaving(first.id, first.start.attempt, at(1ms), out));
    world.decisions.targetLeaves("p1");
    CHECK(world.decisions.takeBackIfLeaving(first.id, first.start.attempt, at(1ms), out));
    CHECK(out.empty());
    CHECK(world.decisions.waiting() == 1);
    CHECK(world.decisions.fleet().running(first.start.target) == 1);
    world.addPlain("p2");
    CHECK(world.decisions.takeBackIfLeaving(second.id, second.start.attempt, at(2ms), out));
    world.decisions.tick(at(2ms), out);
    CHECK(count<start_attempt>(out) == 2);
    CHECK(count<refuse_request>(out) == 0);
    CHECK(world.decisions.fleet().running(first.start.target) == 0);
}

namespace {

/// A node whose target list is stale: targets appear, drain, vanish, return and restart in it at any moment, and
/// declare in answers that they leave at any other.
class leaving_world {
public:
    explicit leaving_world(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t target = 0; target < targets; ++target)
            list(target, false);
    }

    void play(duration length)
    {
        for (instant now = at(0s); now < at(length); now += 10ms) {
            executeCommands(now);
            changeList(now);
            submit(now);
            answer(now);
            command_list out;
            m_world.decisions.tick(now, out);
            queue(std::move(out));
        }
    }

    int sent() const { return m_sent; }
    int sentLate() const { return m_sentLate; }
    std::size_t declared() const { return m_declared.size(); }

private:
    static constexpr std::size_t targets = 6; // even ones are plain, odd ones engines

    struct sent_attempt {
        request_id request;
        start_attempt start;
        std::string instance;
    };

    std::string instanceOf(std::size_t target) const
    {
        return instanceName("t" + std::to_string(target), m_bornAt[target]);
    }

    void list(std::size_t target, bool isDraining)
    {
        const bool isPlain = target % 2 == 0;
        const auto engineRole = target == 1 ? target_role::prefill : target_role::decode;
        auto record = targetRecord(
            "t" + std::to_string(target), isPlain ? "plain" : "engines", isPlain ? target_role::plain : engineRole, 4);
        record.bornAt = m_bornAt[target];
        record.isDraining = isDraining;
        m_world.decisions.targetListed(record);
    }

    void changeList(instant now)
    {
        const auto target = m_random.below(targets);
        switch (m_random.below(40)) {
        case 0:
            return m_world.decisions.targetGone(instanceOf(target), now);
        case 1:
            return list(target, true);
        case 2:
        case 3:
            return list(target, false);
        case 4:
            m_world.decisions.targetGone(instanceOf(target), now);
            ++m_bornAt[target];
            return list(target, false);
        default:
            return;
        }
    }

    void submit(instant now)
    {
        if (m_random.below(3) == 0)
            return;
        command_list out;
        const auto route = m_random.below(4);
        if (route < 2)
            m_world.decisions.submit(m_world.make(route), now, out);
        else
            m_world.decisions.submit(
                m_world.makePrompt(route, m_random.below(4), 4'000, route == summary ? 8'000 : 100), now, out);
        queue(std::move(out));
    }

    void queue(command_list commands)
    {
        for (auto& command : commands) {
            if (const auto* start = std::get_if<start_attempt>(&command))
                m_commands.push_back(*start);
            if (const auto* stop = std::get_if<stop_attempt>(&command))
                std::erase_if(m_running, [&](const auto& item) { return item.start.attempt == stop->attempt; });
        }
    }

    /// Commands are executed later than they are chosen, so declarations may come in between.
    void executeCommands(instant now)
    {
        std::deque<start_attempt> commands;
        commands.swap(m_commands);
        for (const auto& start : commands) {
            command_list out;
            if (!m_world.decisions.isCurrent(start.request, start.attempt))
                continue;
            if (!m_world.decisions.takeBackIfLeaving(start.request, start.attempt, now, out)) {
                const auto instance = m_world.nameOf(start.target);
                ++m_sent;
                m_sentLate += m_declared.contains(instance);
                m_running.push_back({ start.request, start, instance });
            }
            queue(std::move(out));
        }
    }

    void answer(instant now)
    {
        std::vector<sent_attempt> staying;
        std::vector<sent_attempt> ending;
        for (auto& item : m_running)
            (m_random.below(10) == 0 ? ending : staying).push_back(item);
        m_running = staying;
        for (const auto& item : ending) {
            if (m_random.below(30) == 0) {
                m_world.decisions.targetLeaves(item.instance);
                m_declared.insert(item.instance);
            }
            constexpr attempt_result results[] { attempt_result::answered, attempt_result::answered,
                attempt_result::rejected, attempt_result::misdirected, attempt_result::failure_answer,
                attempt_result::broken, attempt_result::unreached };
            auto result = results[m_random.below(std::size(results))];
            if (item.start.stage == attempt_stage::prefill && result == attempt_result::answered)
                result = attempt_result::prefilled;
            if (item.start.stage == attempt_stage::prefill && result == attempt_result::failure_answer)
                result = attempt_result::broken;
            command_list out;
            m_world.decisions.attemptEnded(
                item.request, item.start.attempt, result, result == attempt_result::prefilled ? "cache" : "", now, out);
            queue(std::move(out));
        }
    }

    random_source m_random;
    dispatch_world m_world;
    std::array<std::uint64_t, targets> m_bornAt {};
    std::deque<start_attempt> m_commands;
    std::vector<sent_attempt> m_running;
    std::set<std::string> m_declared;
    int m_sent = 0;
    int m_sentLate = 0;
};

}

// Guards against attempts at targets that declared that they leave, at nodes with stale target lists.
TEST_CASE("test_no_attempt_is_sent_to_a_target_after_it_declared_to_leave")
{
    int sent = 0;
    std::size_t declared = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        leaving_world world(seed);
        world.play(10s);
        CHECK(world.sentLate() == 0);
        sent += world.sent();
        declared += world.declared();
    }
    CHECK(sent > 10'000);
    CHECK(declared > 400);
}
