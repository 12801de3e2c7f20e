// Tests that a stream goes on only at the build that began it, while targets of several builds serve side by side.
#include "serving_fixture.h"

#include <map>
#include <set>

using namespace tamarack;
using namespace tamarack::serving;
using namespace tamarack::serving::tests;

namespace {

constexpr std::size_t tag = 3;

void addEngine(dispatch_world& world, const std::string& name, const std::string& build,
    target_role role = target_role::decode, int slots = 64)
{
    auto record = targetRecord(name, "engines", role, slots);
    record.build = build;
    world.decisions.targetListed(record);
}

struct begun_stream {
    request_id id;
    start_attempt start;
};

/// Submits a stream and passes its first event on, unless `events` is 0.
begun_stream begin(dispatch_world& world, instant now, int events = 1)
{
    command_list out;
    const auto id = world.decisions.submit(world.make(tag), now, out);
    const auto* start = find<start_attempt>(out);
    REQUIRE(start);
    begun_stream stream { id, *start };
    if (events > 0) {
        world.decisions.firstByteReceived(id, start->attempt, now);
        world.decisions.responseStarted(id, start->attempt, now);
        world.decisions.streamEventReceived(id, start->attempt, now);
    }
    return stream;
}

std::string buildOf(const dispatch_world& world, target_id target)
{
    return world.decisions.fleet().build[target.value];
}

}

// Guards against an answer whose rest comes from a target of another build than its first events.
TEST_CASE("test_cut_stream_goes_on_only_at_the_build_that_began_it")
{
    dispatch_world world;
    for (const auto* name : { "a1", "a2" })
        addEngine(world, name, "v1");
    for (const auto* name : { "b1", "b2", "b3", "b4" })
        addEngine(world, name, "v2");
    std::set<std::string> begunAt;
    for (int i = 0; i < 40; ++i) {
        const auto now = at(i * 1s);
        const auto stream = begin(world, now);
        begunAt.insert(buildOf(world, stream.start.target));
        command_list out;
        world.decisions.attemptEnded(stream.id, stream.start.attempt, attempt_result::cut, {}, now + 10ms, out);
        const auto* next = find<start_attempt>(out);
        REQUIRE(next);
        CHECK(next->target != stream.start.target);
        CHECK(buildOf(world, next->target) == buildOf(world, stream.start.target));
        world.decisions.attemptEnded(stream.id, next->attempt, attempt_result::answered, {}, now + 20ms, out);
    }
    CHECK(begunAt.size() == 2);
}

// Guards against a build that binds a stream of which no event has been passed on.
TEST_CASE("test_attempt_that_breaks_before_its_first_event_binds_no_build")
{
    dispatch_world world;
    addEngine(world, "a1", "v1");
    addEngine(world, "b1", "v2");
    const auto stream = begin(world, at(0s), 0);
    command_list out;
    world.decisions.attemptEnded(stream.id, stream.start.attempt, attempt_result::broken, {}, at(10ms), out);
    const auto* next = find<start_attempt>(out);
    REQUIRE(next);
    CHECK(buildOf(world, next->target) != buildOf(world, stream.start.target));
}

// Guards against a stream that ends as cut although the only target of its build still serves.
TEST_CASE("test_stream_returns_to_the_target_that_cut_it_if_no_other_has_its_build")
{
    dispatch_world world;
    addEngine(world, "a1", "v1");
    const auto stream = begin(world, at(0s));
    for (const auto* name : { "b1", "b2" })
        addEngine(world, name, "v2");
    addEngine(world, "p1", "v2", target_role::prefill);
    command_list out;
    world.decisions.attemptEnded(stream.id, stream.start.attempt, attempt_result::cut, {}, at(10ms), out);
    const auto* next = find<start_attempt>(out);
    REQUIRE(next);
    CHECK(next->target == stream.start.target);
}

// Guards against a target of another build that is taken for the one before, since it has its name.
TEST_CASE("test_target_that_changes_its_build_under_its_name_gets_no_stream_of_the_former_one")
{
    dispatch_world world;
    addEngine(world, "a1", "v1");
    const auto stream = begin(world, at(0s));
    auto record = targetRecord("a1", "engines", target_role::decode, 64);
    record.build = "v2";
    world.decisions.targetListed(record);
    command_list out;
    world.decisions.attemptEnded(stream.id, stream.start.attempt, attempt_result::cut, {}, at(10ms), out);
    CHECK_FALSE(find<start_attempt>(out));
    CHECK(find<refuse_request>(out));
}

// Guards against a stream that is held until its deadline, or goes on elsewhere, when its build has left.
TEST_CASE("test_stream_whose_build_has_left_ends_as_cut_at_once")
{
    const auto leave = GENERATE(0, 1, 2);
    dispatch_world world;
    addEngine(world, "a1", "v1");
    const auto stream = begin(world, at(0s));
    addEngine(world, "b1", "v2");
    if (leave == 0) {
        world.decisions.targetGone("a1", at(5ms));
    } else if (leave == 1) {
        world.decisions.targetLeaves("a1");
    } else {
        auto record = targetRecord("a1", "engines", target_role::decode, 64);
        record.build = "v1";
        record.isDraining = true;
        world.decisions.targetListed(record);
    }
    command_list out;
    world.decisions.attemptEnded(stream.id, stream.start.attempt, attempt_result::cut, {}, at(10ms), out);
    CHECK_FALSE(find<start_attempt>(out));
    const auto* refusal = find<refuse_request>(out);
    REQUIRE(refusal);
    CHECK(refusal->kind == error_kind::answer_cut);
    CHECK(world.decisions.held() == 0);
}

// Guards against a stream that waits for a target of its build and is still held when the last one leaves.
TEST_CASE("test_stream_that_waits_for_its_build_ends_when_the_build_leaves")
{
    dispatch_world world;
    addEngine(world, "a1", "v1", target_role::decode, 1);
    const auto stream = begin(world, at(0s));
    addEngine(world, "b1", "v2");
    command_list out;
    world.decisions.targetAskedForRest(stream.start.target, 300ms, at(5ms));
    world.decisions.attemptEnded(stream.id, stream.start.attempt, attempt_result::cut, {}, at(10ms), out);
    CHECK(out.empty());
    world.decisions.tick(at(20ms), out);
    CHECK(out.empty());
    world.decisions.targetLeaves("a1");
    world.decisions.tick(at(40ms), out);
    REQUIRE(find<refuse_request>(out));
    CHECK(world.decisions.held() == 0);
}

// Guards against a silent stream that is moved to a target of another build.
TEST_CASE("test_silent_stream_moves_only_within_its_build")
{
    dispatch_world world;
    addEngine(world, "a1", "v1");
    const auto stream = begin(world, at(0s));
    addEngine(world, "b1", "v2");
    command_list out;
    for (auto now = at(0s); now < at(5s); now += 20ms)
        world.decisions.tick(now, out);
    CHECK_FALSE(find<start_attempt>(out));
    addEngine(world, "a2", "v1");
    for (auto now = at(5s); now < at(5500ms); now += 20ms)
        world.decisions.tick(now, out);
    const auto* next = find<start_attempt>(out);
    REQUIRE(next);
    CHECK(world.nameOf(next->target) == "a2");
}

// Guards against a prompt of a resumed stream that is prefilled although no engine of its build can decode it.
TEST_CASE("test_prompt_is_prefilled_at_any_build_and_decoded_at_the_one_that_began_the_stream")
{
    dispatch_world world;
    addEngine(world, "a1", "v1");
    addEngine(world, "a2", "v1");
    const auto stream = begin(world, at(0s));
    addEngine(world, "b1", "v2");
    addEngine(world, "p1", "v2", target_role::prefill);
    command_list out;
    world.decisions.attemptEnded(stream.id, stream.start.attempt, attempt_result::cut, {}, at(10ms), out);
    const auto* next = find<start_attempt>(out);
    REQUIRE(next);
    if (next->stage == attempt_stage::prefill) {
        const auto prefill = *next;
        out.clear();
        world.decisions.attemptEnded(stream.id, prefill.attempt, attempt_result::prefilled, "h", at(20ms), out);
        next = find<start_attempt>(out);
        REQUIRE(next);
    }
    CHECK(buildOf(world, next->target) == "v1");
}
