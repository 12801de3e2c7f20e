// Tests which requests a stopping node takes, and how it ends those that it still holds at its exit.
#include "serving_fixture.h"

#include "serving/answer_times.h"

using namespace tamarack;
using namespace tamarack::serving;
using namespace tamarack::serving::tests;

namespace {

constexpr std::size_t lookUp = 0;
constexpr std::size_t report = 1;
constexpr std::size_t summary = 2;
constexpr std::size_t tag = 3;
constexpr duration usualRun = 300ms;
constexpr duration bound = 7s; // from the signal to the last answer

/// A node with plain targets and engines, whose answers to each route have all taken `usualRun`.
struct stopping_world : dispatch_world {
    explicit stopping_world(bool knowsTimes = true)
    {
        for (const auto* name : { "p1", "p2", "p3" })
            addPlain(name);
        for (const auto* name : { "e1", "e2" })
            addEngine(name, target_role::decode);
        if (!knowsTimes)
            return;
        for (int i = 0; i < 40; ++i) {
            for (const auto route : { lookUp, report, summary, tag })
                answer(route, at(i * 500ms), usualRun);
        }
    }

    serving_request requestFor(std::size_t route)
    {
        return route == summary || route == tag ? makePrompt(route, 7, 100, 10) : make(route);
    }

    /// Plays a request whose answer comes whole after `length`.
    void answer(std::size_t route, instant now, duration length)
    {
        command_list out;
        const auto id = decisions.submit(requestFor(route), now, out);
        const auto* start = find<start_attempt>(out);
        REQUIRE(start);
        decisions.firstByteReceived(id, start->attempt, now + length / 2);
        decisions.attemptEnded(id, start->attempt, attempt_result::answered, {}, now + length, out);
    }

    void stop(instant now) { decisions.stop({ now + bound, now + 3s }); }

    /// Submits a request. Returns its refusal, or nothing if it was started.
    std::optional<refuse_request> refusalOf(std::size_t route, instant now)
    {
        command_list out;
        decisions.submit(requestFor(route), now, out);
        const auto* refusal = find<refuse_request>(out);
        CHECK((refusal != nullptr) != (find<start_attempt>(out) != nullptr));
        return refusal ? std::optional(*refusal) : std::nullopt;
    }
};

}

TEST_CASE("test_answer_times_are_known_after_some_answers_and_forgotten_after_some_time")
{
    answer_times times;
    const auto record = [&](duration toBegin, instant now) {
        times.record("tag", attempt_stage::whole, { toBegin, 100ms, 20 }, now);
    };
    for (int i = 1; i < answer_times::minAnswers; ++i)
        record(200ms, at(0s));
    CHECK_FALSE(times.allowance("tag", attempt_stage::whole, at(0s)));
    record(300ms, at(0s));
    const auto known = times.allowance("tag", attempt_stage::whole, at(answer_times::windowLength));
    REQUIRE(known);
    CHECK(known->toBegin >= 300ms + 80ms);
    CHECK(known->toBegin <= 300ms + 100ms);
    CHECK(known->fromBegin == 100ms);
    CHECK(known->outputTokens == 20);
    CHECK_FALSE(times.allowance("tag", attempt_stage::decode, at(0s)));
    CHECK_FALSE(times.allowance("look-up", attempt_stage::whole, at(0s)));
    CHECK_FALSE(times.allowance("tag", attempt_stage::whole, at(2 * answer_times::windowLength)));
}

// Guards against requests that a stopping node takes and passes on, and that its exit then cuts.
TEST_CASE("test_stopping_node_takes_what_it_can_answer_before_its_exit_and_refuses_the_rest_at_once")
{
    stopping_world world;
    const auto stoppedAt = at(20s);
    world.stop(stoppedAt);
    for (const auto route : { lookUp, report, summary, tag }) {
        CAPTURE(route);
        CHECK_FALSE(world.refusalOf(route, stoppedAt));
        CHECK_FALSE(world.refusalOf(route, stoppedAt + bound - 2 * usualRun));
        const auto refusal = world.refusalOf(route, stoppedAt + bound - usualRun + 10ms);
        REQUIRE(refusal);
        CHECK(refusal->kind == error_kind::stopping);
        CHECK(answerFor(refusal->kind).executed == ran::no);
        CHECK(refusal->retryAfter > duration::zero());
        CHECK(world.refusalOf(route, stoppedAt + bound + 1ms));
    }
}

// Guards against the same for a route of which the node has seen no answer yet.
TEST_CASE("test_stopping_node_takes_requests_of_unknown_length_only_if_their_deadline_precedes_its_exit")
{
    stopping_world world(false);
    const auto stoppedAt = at(20s);
    world.stop(stoppedAt);
    const auto longest = world.configuration->routes()[tag].timeout;
    CHECK_FALSE(world.refusalOf(tag, stoppedAt + bound - longest));
    CHECK(world.refusalOf(tag, stoppedAt + bound - longest + 1ms));
    const auto shorter = world.configuration->routes()[report].timeout;
    CHECK_FALSE(world.refusalOf(report, stoppedAt + bound - shorter));
    CHECK(world.refusalOf(report, stoppedAt + bound - shorter + 1ms));
}

// Guards against answers that are cut because they are longer than those that the node has seen.
TEST_CASE("test_stopping_node_allows_more_time_for_longer_answers")
{
    stopping_world world;
    const auto stoppedAt = at(20s);
    world.stop(stoppedAt);
    const auto now = stoppedAt + bound - 2 * usualRun;
    auto request = world.makePrompt(tag, 7, 100, 10);
    request.text->outputTokens *= 8;
    command_list out;
    world.decisions.submit(std::move(request), now, out);
    CHECK(find<refuse_request>(out));
    CHECK_FALSE(world.refusalOf(tag, now));
}

// Guards against requests that wait at the signal and start when too little time is left.
TEST_CASE("test_request_that_waits_at_a_stopping_node_is_refused_once_its_answer_would_come_too_late")
{
    stopping_world world;
    const auto stoppedAt = at(20s);
    const auto now = stoppedAt + bound - usualRun - 110ms;
    world.stop(stoppedAt);
    command_list out;
    while (world.decisions.waiting() == 0)
        world.decisions.submit(world.make(lookUp), now, out);
    CHECK_FALSE(find<refuse_request>(out));
    out.clear();
    world.decisions.tick(now + 20ms, out);
    REQUIRE(find<refuse_request>(out));
    CHECK(find<refuse_request>(out)->kind == error_kind::stopping);
    CHECK(world.decisions.waiting() == 0);
}

// Guards against a second attempt, or a decode after a prefill, that starts too late.
TEST_CASE("test_stopping_node_starts_no_further_attempt_that_would_end_after_its_exit")
{
    stopping_world world;
    const auto stoppedAt = at(20s);
    world.stop(stoppedAt);
    const auto takenAt = stoppedAt + bound - usualRun - 150ms;
    const auto late = stoppedAt + bound - usualRun / 2;
    for (const auto result : { attempt_result::unreached, attempt_result::rejected }) {
        command_list out;
        const auto id = world.decisions.submit(world.make(lookUp), takenAt, out);
        const auto first = *find<start_attempt>(out);
        out.clear();
        world.decisions.attemptEnded(id, first.attempt, result, {}, late, out);
        CHECK_FALSE(find<start_attempt>(out));
        REQUIRE(find<refuse_request>(out));
        CHECK(find<refuse_request>(out)->kind == error_kind::stopping);
    }
    command_list out;
    const auto id = world.decisions.submit(world.make(lookUp), takenAt, out);
    const auto first = *find<start_attempt>(out);
    out.clear();
    world.decisions.attemptEnded(id, first.attempt, attempt_result::broken, {}, late, out);
    REQUIRE(find<refuse_request>(out));
    CHECK(answerFor(find<refuse_request>(out)->kind).executed != ran::no);
}

// Guards against an attempt that is stopped for silence although the next one would end after the exit.
TEST_CASE("test_stopping_node_leaves_no_silent_target_for_one_that_would_answer_too_late")
{
    stopping_world world;
    const auto stoppedAt = at(20s);
    world.stop(stoppedAt);
    const auto takenAt = stoppedAt + bound - usualRun - 150ms;
    command_list out;
    const auto id = world.decisions.submit(world.make(lookUp), takenAt, out);
    const auto first = *find<start_attempt>(out);
    out.clear();
    for (auto now = takenAt; now < takenAt + usualRun; now += 20ms)
        world.decisions.tick(now, out);
    CHECK(out.empty());
    CHECK(world.decisions.isCurrent(id, first.attempt));
}

TEST_CASE("test_decode_that_would_end_after_the_exit_of_its_node_is_not_started")
{
    dispatch_world world;
    world.addEngine("reader", target_role::prefill);
    world.addEngine("writer", target_role::decode);
    const auto takenAt = at(20s);
    command_list out;
    const auto id = world.decisions.submit(world.makePrompt(summary, 7, 13'000, 3'000), takenAt, out);
    const auto* prefill = find<start_attempt>(out);
    REQUIRE(prefill);
    REQUIRE(prefill->stage == attempt_stage::prefill);
    const auto attempt = prefill->attempt;
    out.clear();
    world.decisions.stop({ takenAt + 5s, takenAt + 3s });
    world.decisions.attemptEnded(id, attempt, attempt_result::prefilled, "cache", takenAt + 1s, out);
    CHECK_FALSE(find<start_attempt>(out));
    CHECK(find<release_cache>(out));
    REQUIRE(find<refuse_request>(out));
    CHECK(find<refuse_request>(out)->kind == error_kind::stopping);
}

// Guards against connections that end without a word at the exit.
TEST_CASE("test_what_a_node_still_holds_at_its_exit_ends_with_a_true_answer")
{
    stopping_world world;
    command_list out;
    const auto once = world.decisions.submit(world.requestFor(report), at(20s), out);
    const auto repeatable = world.decisions.submit(world.requestFor(lookUp), at(20s), out);
    const auto stream = world.decisions.submit(world.requestFor(tag), at(20s), out);
    command_list ended;
    for (const auto& item : out) {
        const auto* start = std::get_if<start_attempt>(&item);
        if (start && start->request == stream)
            world.decisions.responseStarted(stream, start->attempt, at(20s));
    }
    world.stop(at(20s));
    world.decisions.endAll(at(20s) + bound, ended);
    CHECK(world.decisions.held() == 0);
    CHECK(count<stop_attempt>(ended) == 3);
    for (const auto& item : ended) {
        const auto* refusal = std::get_if<refuse_request>(&item);
        if (!refusal)
            continue;
        if (refusal->request == once)
            CHECK(refusal->kind == error_kind::outcome_unknown);
        else if (refusal->request == repeatable)
            CHECK(answerFor(refusal->kind).executed == ran::unknown);
        else
            CHECK(refusal->kind == error_kind::answer_cut);
    }
}

// Guards against callers that come back to nobody, or later than they need to.
TEST_CASE("test_callers_of_a_stopping_node_are_told_when_a_node_can_be_there")
{
    stopping_world world;
    const auto stoppedAt = at(20s);
    world.stop(stoppedAt);
    const auto now = stoppedAt + bound - 100ms;
    auto refusal = world.refusalOf(report, now);
    REQUIRE(refusal);
    CHECK(now + refusal->retryAfter > stoppedAt + bound);
    CHECK(now + refusal->retryAfter < stoppedAt + bound + 3s);
    world.decisions.setOthersTakeCalls(true);
    refusal = world.refusalOf(report, now);
    REQUIRE(refusal);
    CHECK(refusal->retryAfter <= 500ms);
}

// Guards against a stop that is told to callers as longer than it is: the node exits once it holds nothing.
TEST_CASE("test_node_with_a_long_stop_bound_that_holds_nothing_is_expected_back_early")
{
    stopping_world world(false);
    const auto stoppedAt = at(20s);
    world.decisions.stop({ stoppedAt + 5s, stoppedAt + 400ms });
    world.decisions.setOthersTakeCalls(false);
    const auto refusal = world.refusalOf(tag, stoppedAt);
    REQUIRE(refusal);
    CHECK(refusal->retryAfter < 2500ms);
}
