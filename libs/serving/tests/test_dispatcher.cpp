// Tests the dispatcher: the execution status that errors promise, retries, and stopped attempts.
#include "serving_fixture.h"

using namespace tamarack;
using namespace tamarack::serving;
using namespace tamarack::serving::tests;

namespace {

constexpr std::size_t lookUp = 0;
constexpr std::size_t report = 1;
constexpr std::size_t summary = 2;
constexpr std::size_t tag = 3;

struct started_request {
    request_id id;
    start_attempt start;
};

/// Submits a request that is expected to start immediately.
started_request begin(dispatch_world& world, serving_request request, instant now)
{
    command_list out;
    const auto id = world.decisions.submit(std::move(request), now, out);
    const auto* start = find<start_attempt>(out);
    REQUIRE(start);
    return { id, *start };
}

}

TEST_CASE("test_refusals_that_say_not_run_are_true")
{
    // Guards against an error that says "not run" after bytes of the request were sent: the caller repeats the report
    // and it runs twice. The target accepts the report and closes the connection, responds with a failure, or stays
    // silent until the deadline.
    struct {
        attempt_result result;
        bool mayPromise;
    } const cases[] {
        { attempt_result::unreached, true },
        { attempt_result::rejected, true },
        { attempt_result::misdirected, true },
        { attempt_result::broken, false },
        { attempt_result::cut, false },
    };
    for (const auto& item : cases) {
        INFO(static_cast<int>(item.result));
        dispatch_world world;
        world.addPlain("p1");
        const auto request = begin(world, world.make(report), at(0s));
        command_list out;
        world.decisions.attemptEnded(request.id, request.start.attempt, item.result, {}, at(5ms), out);
        // Without another target, the request is refused once the maximum hold time has passed.
        world.decisions.tick(at(500ms), out);
        if (const auto* again = find<start_attempt>(out)) {
            CHECK(item.mayPromise);
            world.decisions.attemptEnded(request.id, again->attempt, item.result, {}, at(501ms), out);
            world.decisions.tick(at(590ms), out);
        }
        const auto* refusal = find<refuse_request>(out);
        REQUIRE(refusal);
        CHECK((answerFor(refusal->kind).executed == ran::no) == item.mayPromise);
        CHECK(world.decisions.held() == 0);
    }
}

TEST_CASE("test_request_that_may_run_once_is_not_sent_again_after_bytes_left")
{
    for (const auto result : { attempt_result::broken, attempt_result::failure_answer, attempt_result::cut }) {
        INFO(static_cast<int>(result));
        dispatch_world world;
        world.addPlain("p1");
        world.addPlain("p2");
        const auto request = begin(world, world.make(report), at(0s));
        command_list out;
        world.decisions.attemptEnded(request.id, request.start.attempt, result, {}, at(5ms), out);
        CHECK(count<start_attempt>(out) == 0);
        CHECK(world.decisions.held() == 0);
    }
}

TEST_CASE("test_entry_of_the_wrong_kind_gets_no_requests")
{
    // Guards against prompts being sent to a target that is no engine. An entry not written by a target names the
    // engines' service without a role, or a plain service with a role. The kind of a service must not be taken
    // from whatever entry comes first.
    dispatch_world world;
    world.decisions.targetListed(targetRecord("a1", "engines", target_role::plain, 64));
    world.decisions.targetListed(targetRecord("a2", "plain", target_role::decode, 64));
    world.addEngine("d1", target_role::decode);
    world.addPlain("p1");
    for (int i = 0; i < 5; ++i) {
        command_list out;
        world.decisions.submit(world.makePrompt(3, 1, 100, 300), at(0s), out);
        CHECK(world.nameOf(find<start_attempt>(out)->target) == "d1");
        out.clear();
        world.decisions.submit(world.make(0), at(0s), out);
        CHECK(world.nameOf(find<start_attempt>(out)->target) == "p1");
    }
}

TEST_CASE("test_request_sent_to_a_former_life_of_its_target_is_not_sent_again")
{
    // Guards against a non-repeatable request running twice. Its target crashes and restarts under the same name before
    // responding. The new incarnation must not be taken for the one that received the request, nor for proof that it
    // did not run.
    dispatch_world world;
    auto record = targetRecord("p1", "plain", target_role::plain, 6);
    record.bornAt = 1000;
    world.decisions.targetListed(record);
    command_list out;
    const auto id = world.decisions.submit(world.make(1), at(0s), out);
    const auto sent = *find<start_attempt>(out);
    world.decisions.targetGone("p1/1000", at(10ms));
    record.bornAt = 2000;
    world.decisions.targetListed(record);
    out.clear();
    world.decisions.tick(at(20ms), out);
    CHECK(out.empty());
    CHECK(world.decisions.fleet().running(world.decisions.fleet().find("p1/2000")) == 0);
    world.decisions.attemptEnded(id, sent.attempt, attempt_result::broken, {}, at(30ms), out);
    REQUIRE(find<refuse_request>(out));
    CHECK(find<refuse_request>(out)->kind == error_kind::outcome_unknown);
    CHECK(count<start_attempt>(out) == 0);
    // The failure belongs to the former incarnation.
    CHECK(world.decisions.fleet().acceptsWork(world.decisions.fleet().find("p1/2000"), at(30ms)));
}

TEST_CASE("test_request_that_may_be_repeated_goes_to_another_target")
{
    for (const auto result : { attempt_result::broken, attempt_result::failure_answer, attempt_result::rejected,
             attempt_result::unreached }) {
        INFO(static_cast<int>(result));
        dispatch_world world;
        world.addPlain("p1");
        world.addPlain("p2");
        const auto request = begin(world, world.make(lookUp), at(0s));
        command_list out;
        world.decisions.attemptEnded(request.id, request.start.attempt, result, {}, at(5ms), out);
        const auto* again = find<start_attempt>(out);
        REQUIRE(again);
        CHECK(again->target != request.start.target);
    }
}

TEST_CASE("test_route_bounds_how_many_targets_get_a_request")
{
    dispatch_world world;
    for (const char* name : { "p1", "p2", "p3" })
        world.addPlain(name);
    const auto request = begin(world, world.make(lookUp), at(0s));
    command_list out;
    world.decisions.attemptEnded(request.id, request.start.attempt, attempt_result::broken, {}, at(5ms), out);
    const auto* again = find<start_attempt>(out);
    REQUIRE(again);
    command_list last;
    world.decisions.attemptEnded(request.id, again->attempt, attempt_result::broken, {}, at(10ms), last);
    CHECK(count<start_attempt>(last) == 0);
    CHECK(count<refuse_request>(last) == 1);
}

TEST_CASE("test_failure_of_a_target_is_passed_on_when_nothing_better_can_be_had")
{
    dispatch_world world;
    world.addPlain("p1");
    const auto request = begin(world, world.make(report), at(0s));
    command_list out;
    world.decisions.attemptEnded(request.id, request.start.attempt, attempt_result::failure_answer, {}, at(5ms), out);
    CHECK(count<forward_failure>(out) == 1);
    CHECK(count<refuse_request>(out) == 0);
}

TEST_CASE("test_retries_stop_when_the_shared_allowance_is_spent")
{
    auto settings = dispatch_world::settings();
    settings.retries = { 0, 5, 10s };
    dispatch_world world(settings);
    world.addPlain("p1");
    world.addPlain("p2");
    int retried = 0;
    for (int i = 0; i < 50; ++i) {
        const instant now = at(i * 20ms);
        const auto request = begin(world, world.make(lookUp), now);
        command_list out;
        world.decisions.attemptEnded(
            request.id, request.start.attempt, attempt_result::failure_answer, {}, now + 1ms, out);
        const auto* again = find<start_attempt>(out);
        retried += again != nullptr;
        if (again)
            world.decisions.attemptEnded(request.id, again->attempt, attempt_result::answered, {}, now + 2ms, out);
    }
    CHECK(retried == 4);
}

TEST_CASE("test_requests_that_wait_to_be_sent_again_are_counted_when_they_are_sent")
{
    // Guards against more retries than the bound allows just after all targets were gone. Requests lose their targets
    // and wait; a target is listed and all are sent to it. Each was allowed its retry before any of the others had been
    // sent, so the bound must be checked again at the send.
    auto settings = dispatch_world::settings();
    settings.retries = { 0, 5, 10s };
    dispatch_world world(settings);
    world.addPlain("p1", "a", 100);
    std::vector<started_request> begun;
    for (int i = 0; i < 20; ++i)
        begun.push_back(begin(world, world.make(lookUp), at(0s)));
    command_list out;
    auto leaving = targetRecord("p1", "plain", target_role::plain, 100);
    leaving.isDraining = true;
    world.decisions.targetListed(leaving);
    for (const auto& request : begun)
        world.decisions.attemptEnded(request.id, request.start.attempt, attempt_result::broken, {}, at(5ms), out);
    CHECK(count<start_attempt>(out) == 0);
    world.addPlain("p2", "a", 100);
    world.decisions.tick(at(10ms), out);
    CHECK(count<start_attempt>(out) == 4);
    CHECK(count<refuse_request>(out) == 16);
}

TEST_CASE("test_prompt_whose_reading_broke_off_counts_against_the_bound_when_it_is_sent_again")
{
    // Guards against more further arrivals than the bound allows after prefill engines were lost. Prompts wait at a
    // prefill engine that closes the connection, and each is sent to another engine. Only a prefill that an engine has
    // accepted is not counted.
    auto settings = dispatch_world::settings();
    settings.retries = { 0, 5, 10s };
    dispatch_world world(settings);
    for (int i = 0; i < 10; ++i)
        world.addEngine("reader-" + std::to_string(i), target_role::prefill);
    world.addEngine("writer", target_role::decode);
    int sentAgain = 0;
    std::vector<started_request> begun;
    for (int i = 0; i < 10; ++i) {
        begun.push_back(begin(world, world.makePrompt(summary, 7, 8'000, 8'000), at(i * 1ms)));
        REQUIRE(begun.back().start.stage == attempt_stage::prefill);
    }
    for (const auto& request : begun) {
        command_list out;
        world.decisions.attemptEnded(request.id, request.start.attempt, attempt_result::broken, {}, at(20ms), out);
        sentAgain += count<start_attempt>(out);
    }
    CHECK(sentAgain > 0);
    CHECK(sentAgain <= 4);
}

TEST_CASE("test_answer_is_due_at_the_routes_timeout")
{
    dispatch_world world;
    world.addPlain("p1");
    const auto request = begin(world, world.make(report, 5s), at(0s));
    command_list out;
    world.decisions.tick(at(599ms), out);
    CHECK(out.empty());
    world.decisions.tick(at(600ms), out);
    CHECK(count<stop_attempt>(out) == 1);
    const auto* refusal = find<refuse_request>(out);
    REQUIRE(refusal);
    CHECK(refusal->kind == error_kind::attempt_timeout);
}

TEST_CASE("test_targets_get_no_more_time_than_is_left")
{
    dispatch_world world;
    world.addPlain("p1");
    world.addPlain("p2");
    const auto request = begin(world, world.make(lookUp, 300ms), at(0s));
    CHECK(request.start.timeLeft == 300ms);
    command_list out;
    world.decisions.attemptEnded(request.id, request.start.attempt, attempt_result::unreached, {}, at(100ms), out);
    const auto* again = find<start_attempt>(out);
    REQUIRE(again);
    CHECK(again->timeLeft == 200ms);
}

TEST_CASE("test_leaving_targets_get_nothing_new")
{
    dispatch_world world;
    world.addPlain("p1");
    auto draining = targetRecord("p1", "plain", target_role::plain, 6);
    draining.isDraining = true;
    world.decisions.targetListed(draining);
    world.addPlain("p2");
    for (int i = 0; i < 20; ++i) {
        const auto request = begin(world, world.make(lookUp), at(i * 1ms));
        CHECK(world.nameOf(request.start.target) == "p2");
        command_list out;
        world.decisions.attemptEnded(request.id, request.start.attempt, attempt_result::answered, {}, at(i * 1ms), out);
    }
    world.decisions.targetGone("p2", at(1s));
    command_list out;
    world.decisions.submit(world.make(lookUp), at(1s), out);
    CHECK(count<start_attempt>(out) == 0);
}

TEST_CASE("test_caller_that_leaves_stops_its_attempt_and_frees_its_place")
{
    dispatch_world world;
    world.addPlain("p1");
    const auto request = begin(world, world.make(lookUp), at(0s));
    CHECK(world.decisions.fleet().running(request.start.target) == 1);
    command_list out;
    world.decisions.callerDisconnected(request.id, at(1ms), out);
    CHECK(count<stop_attempt>(out) == 1);
    CHECK(world.decisions.fleet().running(request.start.target) == 0);
    CHECK(world.decisions.held() == 0);
}

TEST_CASE("test_prompt_read_at_one_engine_is_answered_by_another")
{
    dispatch_world world;
    world.addEngine("prefill", target_role::prefill);
    world.addEngine("decode", target_role::decode);
    const auto request = begin(world, world.makePrompt(summary, 7, 13'000, 4'000), at(0s));
    CHECK(world.nameOf(request.start.target) == "prefill");
    CHECK(request.start.stage == attempt_stage::prefill);
    command_list out;
    world.decisions.attemptEnded(request.id, request.start.attempt, attempt_result::prefilled, "kv-1", at(300ms), out);
    const auto* decode = find<start_attempt>(out);
    REQUIRE(decode);
    CHECK(world.nameOf(decode->target) == "decode");
    CHECK(decode->stage == attempt_stage::decode);
    CHECK(decode->cache.name == "kv-1");
    CHECK(decode->longestIdle <= 2s);
    command_list end;
    world.decisions.attemptEnded(request.id, decode->attempt, attempt_result::answered, {}, at(500ms), end);
    CHECK(count<release_cache>(end) == 0);
}

TEST_CASE("test_cache_that_nobody_takes_is_released")
{
    // Guards against engines filling up with exported KV caches. A prompt is prefilled, then its caller disconnects or
    // the decode engine rejects it, and the exported cache must be released.
    for (const bool callerLeaves : { false, true }) {
        INFO(callerLeaves);
        dispatch_world world;
        world.addEngine("prefill", target_role::prefill);
        world.addEngine("decode", target_role::decode);
        const auto request = begin(world, world.makePrompt(summary, 7, 13'000, 4'000), at(0s));
        command_list out;
        world.decisions.attemptEnded(
            request.id, request.start.attempt, attempt_result::prefilled, "kv-1", at(300ms), out);
        const auto* decode = find<start_attempt>(out);
        REQUIRE(decode);
        command_list end;
        if (callerLeaves)
            world.decisions.callerDisconnected(request.id, at(310ms), end);
        else
            world.decisions.attemptEnded(request.id, decode->attempt, attempt_result::rejected, {}, at(310ms), end);
        const auto* released = find<release_cache>(end);
        REQUIRE(released);
        CHECK(released->cache.name == "kv-1");
    }
}

TEST_CASE("test_prompt_that_an_engine_may_have_read_has_not_run")
{
    dispatch_world world;
    world.addEngine("prefill", target_role::prefill);
    const auto request = begin(world, world.makePrompt(summary, 7, 13'000, 4'000), at(0s));
    command_list out;
    world.decisions.attemptEnded(request.id, request.start.attempt, attempt_result::broken, {}, at(300ms), out);
    world.decisions.tick(at(5900ms), out);
    world.decisions.tick(at(6001ms), out);
    const auto* refusal = find<refuse_request>(out);
    REQUIRE(refusal);
    CHECK(answerFor(refusal->kind).executed == ran::no);
}

TEST_CASE("test_small_prompts_are_answered_whole_by_one_engine")
{
    dispatch_world world;
    world.addEngine("prefill", target_role::prefill);
    world.addEngine("decode", target_role::decode);
    const auto request = begin(world, world.makePrompt(tag, 7, 90, 290), at(0s));
    CHECK(world.nameOf(request.start.target) == "decode");
    CHECK(request.start.stage == attempt_stage::whole);
}

TEST_CASE("test_stream_that_can_be_resumed_goes_on_elsewhere_when_cut")
{
    dispatch_world world;
    world.addEngine("d1", target_role::decode);
    world.addEngine("d2", target_role::decode);
    const auto request = begin(world, world.makePrompt(tag, 7, 90, 290), at(0s));
    world.decisions.firstByteReceived(request.id, request.start.attempt, at(100ms));
    world.decisions.responseStarted(request.id, request.start.attempt, at(10ms));
    command_list out;
    world.decisions.attemptEnded(request.id, request.start.attempt, attempt_result::cut, {}, at(110ms), out);
    const auto* again = find<start_attempt>(out);
    REQUIRE(again);
    CHECK(again->target != request.start.target);
}

TEST_CASE("test_retry_of_a_prompt_that_was_read_apart_takes_one_send")
{
    // Guards against more retries than the shared bound allows. A prompt is prefilled separately, the decode engine
    // fails, and a retry that prefilled it separately again would make two sends after one check of the bound, and
    // exceed the route's attempt limit. Only the first prefill of a prompt is not counted.
    dispatch_world world;
    world.addEngine("prefill-1", target_role::prefill);
    world.addEngine("prefill-2", target_role::prefill);
    world.addEngine("d1", target_role::decode);
    world.addEngine("d2", target_role::decode);
    auto request = world.makePrompt(tag, 7, 13'000, 4'000);
    const auto first = begin(world, std::move(request), at(0s));
    REQUIRE(first.start.stage == attempt_stage::prefill);
    command_list out;
    world.decisions.attemptEnded(first.id, first.start.attempt, attempt_result::prefilled, "kv-1", at(100ms), out);
    const auto* decode = find<start_attempt>(out);
    REQUIRE(decode);
    command_list retry;
    world.decisions.attemptEnded(first.id, decode->attempt, attempt_result::broken, {}, at(200ms), retry);
    const auto* again = find<start_attempt>(retry);
    REQUIRE(again);
    CHECK(again->stage == attempt_stage::whole);
}

TEST_CASE("test_prompt_that_reached_no_reader_is_read_apart_by_another")
{
    // Guards against all streams of decode engines pausing for half a second after prefill engines crash. A long prompt
    // is sent to a prefill engine that has just crashed and refuses connections. The attempt that never arrived must
    // not use up the one uncounted prefill, or the prompt is prefilled at a decode engine.
    dispatch_world world;
    world.addEngine("prefill-1", target_role::prefill);
    world.addEngine("prefill-2", target_role::prefill);
    world.addEngine("d1", target_role::decode);
    const auto first = begin(world, world.makePrompt(tag, 7, 13'000, 4'000), at(0s));
    REQUIRE(first.start.stage == attempt_stage::prefill);
    command_list out;
    world.decisions.attemptEnded(first.id, first.start.attempt, attempt_result::unreached, {}, at(4ms), out);
    const auto* again = find<start_attempt>(out);
    REQUIRE(again);
    CHECK(again->stage == attempt_stage::prefill);
    CHECK(again->target != first.start.target);
    // This attempt has arrived, so the next one counts as a send.
    command_list retry;
    world.decisions.attemptEnded(first.id, again->attempt, attempt_result::broken, {}, at(50ms), retry);
    const auto* whole = find<start_attempt>(retry);
    REQUIRE(whole);
    CHECK(whole->stage == attempt_stage::whole);
}

TEST_CASE("test_retries_use_no_kept_connection")
{
    // Guards against a look-up failing although all targets work. All open connections have gone silent; the first
    // attempt is stopped after a while, and the retry must not use another idle connection, which may be silent too.
    dispatch_world world;
    world.addPlain("p1");
    world.addPlain("p2");
    const auto request = begin(world, world.make(lookUp), at(0s));
    CHECK(request.start.longestIdle > 0s);
    command_list out;
    world.decisions.tick(at(90ms), out);
    const auto* again = find<start_attempt>(out);
    REQUIRE(again);
    CHECK(again->longestIdle == 0s);
}

TEST_CASE("test_engine_that_imports_a_cache_is_given_time")
{
    dispatch_world world;
    world.addEngine("prefill", target_role::prefill);
    world.addEngine("d1", target_role::decode);
    world.addEngine("d2", target_role::decode);
    const auto first = begin(world, world.makePrompt(tag, 7, 13'000, 4'000), at(0s));
    command_list out;
    world.decisions.attemptEnded(first.id, first.start.attempt, attempt_result::prefilled, "kv-1", at(100ms), out);
    command_list later;
    world.decisions.tick(at(500ms), later);
    CHECK(later.empty());
}

TEST_CASE("test_silent_target_is_left_when_the_request_may_be_repeated")
{
    // Guards against a look-up waiting until its deadline although other targets are free. A target accepts requests
    // and never responds, while its health checks succeed. The silence of an attempt must be limited.
    dispatch_world world;
    world.addPlain("p1");
    world.addPlain("p2");
    const auto request = begin(world, world.make(lookUp), at(0s));
    command_list out;
    for (int i = 1; i <= 20 && !find<start_attempt>(out); ++i)
        world.decisions.tick(at(i * 10ms), out);
    const auto* again = find<start_attempt>(out);
    REQUIRE(again);
    CHECK(again->target != request.start.target);
    // The silent target may still answer until the other one does.
    CHECK(count<stop_attempt>(out) == 0);
    CHECK(world.decisions.isCurrent(request.id, request.start.attempt));
    const auto second = again->attempt;
    out.clear();
    world.decisions.firstByteReceived(request.id, second, at(250ms));
    CHECK_FALSE(world.decisions.isCurrent(request.id, request.start.attempt));
    CHECK(world.decisions.isCurrent(request.id, second));
    CHECK(world.decisions.fleet().running(request.start.target) == 0);
    world.decisions.tick(at(260ms), out);
    REQUIRE(count<stop_attempt>(out) == 1);
    CHECK(find<stop_attempt>(out)->attempt == request.start.attempt);
    CHECK(find<stop_attempt>(out)->reason == stop_reason::silent);
}

// Guards against a second attempt that goes on although the target that had been silent answers.
TEST_CASE("test_target_that_had_been_silent_ends_the_attempt_beside_it")
{
    dispatch_world world;
    world.addPlain("p1");
    world.addPlain("p2");
    const auto request = begin(world, world.make(lookUp), at(0s));
    command_list out;
    for (int i = 1; i <= 20 && !find<start_attempt>(out); ++i)
        world.decisions.tick(at(i * 10ms), out);
    REQUIRE(find<start_attempt>(out));
    const auto second = *find<start_attempt>(out);
    world.decisions.firstByteReceived(request.id, request.start.attempt, at(250ms));
    CHECK_FALSE(world.decisions.isCurrent(request.id, second.attempt));
    CHECK(world.decisions.fleet().running(second.target) == 0);
    out.clear();
    world.decisions.tick(at(260ms), out);
    REQUIRE(count<stop_attempt>(out) == 1);
    CHECK(find<stop_attempt>(out)->attempt == second.attempt);
    CHECK(find<stop_attempt>(out)->reason == stop_reason::overtaken);
}

TEST_CASE("test_stream_that_falls_silent_goes_on_elsewhere")
{
    // Guards against a stream that stops after a few events until the caller disconnects. An engine fails in the middle
    // of a resumable stream without closing the connection. Gaps between events must be limited, not only the time to
    // the first event.
    dispatch_world world;
    world.addEngine("d1", target_role::decode);
    world.addEngine("d2", target_role::decode);
    const auto request = begin(world, world.makePrompt(tag, 7, 90, 290), at(0s));
    world.decisions.firstByteReceived(request.id, request.start.attempt, at(100ms));
    world.decisions.responseStarted(request.id, request.start.attempt, at(10ms));
    for (int i = 0; i < 10; ++i)
        world.decisions.streamEventReceived(request.id, request.start.attempt, at(100ms + i * 300ms));
    command_list out;
    world.decisions.tick(at(3s), out);
    CHECK(out.empty());
    for (int i = 0; i < 20 && !find<start_attempt>(out); ++i)
        world.decisions.tick(at(3s + i * 100ms), out);
    const auto* again = find<start_attempt>(out);
    REQUIRE(again);
    CHECK(again->target != request.start.target);
}

namespace {

/// Ticks every 20 ms up to `until`.
command_list tickUntil(dispatch_world& world, duration from, duration until)
{
    command_list out;
    for (auto now = from; now <= until; now += 20ms)
        world.decisions.tick(at(now), out);
    return out;
}

}

TEST_CASE("test_silent_target_keeps_its_request_while_no_other_has_room")
{
    // Guards against a stream that ends in its middle because a sound engine was silent for some seconds.
    dispatch_world world;
    world.addEngine("d1", target_role::decode);
    const auto request = begin(world, world.makePrompt(tag, 7, 90, 290), at(0s));
    world.decisions.firstByteReceived(request.id, request.start.attempt, at(100ms));
    world.decisions.responseStarted(request.id, request.start.attempt, at(10ms));
    world.decisions.streamEventReceived(request.id, request.start.attempt, at(100ms));
    CHECK(tickUntil(world, 100ms, 4s).empty());
    CHECK(world.decisions.isCurrent(request.id, request.start.attempt));
    command_list out;
    world.decisions.streamEventReceived(request.id, request.start.attempt, at(4s));
    world.decisions.attemptEnded(request.id, request.start.attempt, attempt_result::answered, {}, at(4s), out);
    CHECK(out.empty());
    CHECK(world.decisions.held() == 0);
}

TEST_CASE("test_silent_target_keeps_a_call_while_no_other_has_room")
{
    // Guards against a call that is refused although the silent target would have answered it in time.
    dispatch_world world;
    world.addPlain("p1");
    const auto request = begin(world, world.make(lookUp), at(0s));
    CHECK(tickUntil(world, 20ms, 500ms).empty());
    command_list out;
    world.decisions.attemptEnded(request.id, request.start.attempt, attempt_result::answered, {}, at(510ms), out);
    CHECK(out.empty());
    CHECK(world.decisions.held() == 0);
}

TEST_CASE("test_silent_reader_keeps_its_prompt_while_no_other_has_room")
{
    // Guards against a prompt that is refused although the silent engine would have prefilled it in time.
    dispatch_world world;
    world.addEngine("p1", target_role::prefill);
    const auto request = begin(world, world.makePrompt(summary, 7, 13'000, 4'000), at(0s));
    REQUIRE(request.start.stage == attempt_stage::prefill);
    CHECK(tickUntil(world, 100ms, 5s).empty());
    CHECK(world.decisions.isCurrent(request.id, request.start.attempt));
}

TEST_CASE("test_silent_target_keeps_a_request_that_may_not_be_sent_again")
{
    // Guards against a stream that ends in its middle because its request was quarantined while its engine was silent.
    const request_digest digest { 1, 2 };
    dispatch_world world;
    world.addEngine("d1", target_role::decode);
    world.addEngine("d2", target_role::decode);
    auto prompt = world.makePrompt(tag, 7, 90, 290);
    prompt.digest = digest;
    const auto request = begin(world, std::move(prompt), at(0s));
    world.decisions.firstByteReceived(request.id, request.start.attempt, at(100ms));
    world.decisions.responseStarted(request.id, request.start.attempt, at(10ms));
    world.decisions.streamEventReceived(request.id, request.start.attempt, at(100ms));
    for (std::uint32_t target = 1; target <= 3; ++target)
        world.decisions.quarantine().targetEnded(digest, target, at(200ms));
    REQUIRE(world.decisions.quarantine().isQuarantined(digest));
    CHECK(tickUntil(world, 220ms, 3s).empty());
    CHECK(world.decisions.isCurrent(request.id, request.start.attempt));
}

TEST_CASE("test_begun_stream_stays_at_a_silent_engine_until_its_caller_would_leave")
{
    // Guards against a stream that leaves a sound engine for one that turns out to reject it.
    dispatch_world world;
    world.addEngine("d1", target_role::decode);
    world.addEngine("d2", target_role::decode);
    const auto request = begin(world, world.makePrompt(tag, 7, 90, 290), at(0s));
    world.decisions.firstByteReceived(request.id, request.start.attempt, at(100ms));
    world.decisions.responseStarted(request.id, request.start.attempt, at(10ms));
    world.decisions.streamEventReceived(request.id, request.start.attempt, at(100ms));
    CHECK(tickUntil(world, 120ms, 1900ms).empty());
    const auto out = tickUntil(world, 1920ms, 2400ms);
    const auto* again = find<start_attempt>(out);
    REQUIRE(again);
    CHECK(again->target != request.start.target);
}

TEST_CASE("test_silent_stream_moves_only_to_an_engine_with_a_free_slot")
{
    // Guards against a stream that leaves a sound engine and ends because the next one rejects it.
    dispatch_world world;
    world.addEngine("d1", target_role::decode, "a", 1);
    world.addEngine("d2", target_role::decode, "a", 1);
    const auto request = begin(world, world.makePrompt(tag, 7, 90, 290), at(0s));
    const auto other = begin(world, world.makePrompt(tag, 8, 90, 290), at(0s));
    REQUIRE(other.start.target != request.start.target);
    for (const auto& item : { request, other }) {
        world.decisions.firstByteReceived(item.id, item.start.attempt, at(100ms));
        world.decisions.responseStarted(item.id, item.start.attempt, at(10ms));
        world.decisions.streamEventReceived(item.id, item.start.attempt, at(100ms));
    }
    for (auto now = 100ms; now <= 2s; now += 20ms) {
        command_list out;
        world.decisions.streamEventReceived(other.id, other.start.attempt, at(now));
        world.decisions.tick(at(now), out);
        CHECK(out.empty());
    }
    command_list out;
    world.decisions.attemptEnded(other.id, other.start.attempt, attempt_result::answered, {}, at(2s), out);
    out = tickUntil(world, 2020ms, 2200ms);
    const auto* again = find<start_attempt>(out);
    REQUIRE(again);
    CHECK(again->target == other.start.target);
}

TEST_CASE("test_target_is_not_taken_for_silent_while_nothing_is_read_from_it")
{
    // Guards against a stream that is sent to target after target because its caller receives slowly.
    dispatch_world world;
    world.addEngine("d1", target_role::decode);
    world.addEngine("d2", target_role::decode);
    const auto request = begin(world, world.makePrompt(tag, 7, 90, 290), at(0s));
    world.decisions.firstByteReceived(request.id, request.start.attempt, at(100ms));
    world.decisions.responseStarted(request.id, request.start.attempt, at(10ms));
    world.decisions.streamEventReceived(request.id, request.start.attempt, at(100ms));
    world.decisions.readingPaused(request.id, request.start.attempt, true, at(100ms));
    CHECK(tickUntil(world, 120ms, 3s).empty());
    world.decisions.readingPaused(request.id, request.start.attempt, false, at(3s));
    CHECK(tickUntil(world, 3020ms, 4s).empty());
    const auto out = tickUntil(world, 4020ms, 5s);
    REQUIRE(find<start_attempt>(out));
    CHECK(find<start_attempt>(out)->target != request.start.target);
}

TEST_CASE("test_stream_that_was_cut_waits_for_room")
{
    // Guards against a stream that ends in its middle because all engines are full at the moment of a failure.
    dispatch_world world;
    world.addEngine("d1", target_role::decode, "a", 1);
    world.addEngine("d2", target_role::decode, "a", 1);
    const auto request = begin(world, world.makePrompt(tag, 7, 90, 290), at(0s));
    world.decisions.firstByteReceived(request.id, request.start.attempt, at(100ms));
    world.decisions.responseStarted(request.id, request.start.attempt, at(10ms));
    world.decisions.streamEventReceived(request.id, request.start.attempt, at(100ms));
    std::vector<started_request> others;
    for (int i = 0; i < 3; ++i)
        others.push_back(begin(world, world.makePrompt(tag, 8, 90, 290), at(110ms)));
    command_list out;
    world.decisions.attemptEnded(request.id, request.start.attempt, attempt_result::cut, {}, at(300ms), out);
    CHECK(find<refuse_request>(out) == nullptr);
    out = tickUntil(world, 320ms, 900ms);
    CHECK(find<refuse_request>(out) == nullptr);
    out.clear();
    for (const auto& other : others)
        world.decisions.attemptEnded(other.id, other.start.attempt, attempt_result::answered, {}, at(1s), out);
    const auto* again = find<start_attempt>(out);
    REQUIRE(again);
    CHECK(again->request == request.id);
}

TEST_CASE("test_partly_sent_answer_of_a_plain_target_is_not_continued_by_another")
{
    // Guards against an answer that begins with the bytes of one target and goes on with those of another.
    dispatch_world world;
    world.addPlain("p1");
    world.addPlain("p2");
    const auto request = begin(world, world.make(lookUp), at(0s));
    command_list out;
    world.decisions.firstByteReceived(request.id, request.start.attempt, at(5ms));
    world.decisions.responseStarted(request.id, request.start.attempt, at(10ms));
    world.decisions.attemptEnded(request.id, request.start.attempt, attempt_result::cut, {}, at(10ms), out);
    CHECK(find<start_attempt>(out) == nullptr);
    const auto* refused = find<refuse_request>(out);
    REQUIRE(refused);
    CHECK(refused->kind == error_kind::answer_cut);
}

TEST_CASE("test_events_of_attempts_that_are_over_have_no_effect")
{
    dispatch_world world;
    world.addPlain("p1");
    world.addPlain("p2");
    const auto request = begin(world, world.make(lookUp), at(0s));
    command_list out;
    world.decisions.attemptEnded(request.id, request.start.attempt, attempt_result::broken, {}, at(5ms), out);
    const auto held = world.decisions.held();
    command_list late;
    world.decisions.attemptEnded(request.id, request.start.attempt, attempt_result::answered, {}, at(6ms), late);
    CHECK(late.empty());
    CHECK(world.decisions.held() == held);
}

namespace {

/// Has the prompt prefilled at the engine that the dispatcher chooses, and decoded. Returns the engine of each stage.
std::pair<std::string, std::string> serve(dispatch_world& world, serving_request request, instant now)
{
    const auto begun = begin(world, std::move(request), now);
    command_list out;
    world.decisions.attemptEnded(begun.id, begun.start.attempt, attempt_result::prefilled, "kv", now + 300ms, out);
    const auto* decode = find<start_attempt>(out);
    REQUIRE(decode);
    command_list end;
    world.decisions.firstByteReceived(begun.id, decode->attempt, now + 350ms);
    world.decisions.attemptEnded(begun.id, decode->attempt, attempt_result::answered, {}, now + 400ms, end);
    return { world.nameOf(begun.start.target), world.nameOf(decode->target) };
}

/// The sample configuration with engines of which the platform may reclaim those of a whole zone.
std::shared_ptr<const serving_configuration> configurationWithSpotEngines()
{
    const auto sample = sampleConfiguration();
    auto services = sample->services();
    for (auto& service : services) {
        if (service.engine)
            service.scaling = instance_scaling { 1, 10, 4s, 0.2, {} };
    }
    return std::make_shared<const serving_configuration>(1, sample->routes(), services, sample->limits());
}

}

// Guards against prefixes that are lost with their engine although it could still hand them out.
TEST_CASE("test_prefix_is_fetched_from_an_engine_that_leaves")
{
    dispatch_world world;
    world.addEngine("leaving", target_role::decode);
    const auto first = begin(world, world.makePrompt(summary, 7, 13'000, 4'000), at(0s));
    command_list out;
    world.decisions.firstByteReceived(first.id, first.start.attempt, at(300ms));
    world.decisions.attemptEnded(first.id, first.start.attempt, attempt_result::answered, {}, at(400ms), out);
    auto draining = targetRecord("leaving", "engines", target_role::decode, 64);
    draining.isDraining = true;
    world.decisions.targetListed(draining);
    world.addEngine("staying", target_role::decode);
    const auto second = begin(world, world.makePrompt(summary, 7, 13'000, 4'000), at(500ms));
    CHECK(world.nameOf(second.start.target) == "staying");
    REQUIRE(second.start.fetchFrom.isValid());
    CHECK(world.nameOf(second.start.fetchFrom) == "leaving");
    world.decisions.targetGone("leaving", at(600ms));
    CHECK_FALSE(begin(world, world.makePrompt(summary, 8, 13'000, 4'000), at(700ms)).start.fetchFrom.isValid());
}

// Guards against prefixes that are all lost when the spot engines of one zone are reclaimed.
TEST_CASE("test_long_prefix_is_decoded_in_a_zone_that_has_no_copy")
{
    for (const bool areSpot : { true, false }) {
        dispatch_world world;
        if (areSpot)
            world.configuration = configurationWithSpotEngines();
        world.addEngine("prefill-a", target_role::prefill, "a");
        world.addEngine("decode-a", target_role::decode, "a");
        world.addEngine("decode-b", target_role::decode, "b");
        const auto served = serve(world, world.makePrompt(summary, 7, 13'000, 4'000), at(0s));
        CHECK(served.first == "prefill-a");
        CHECK(served.second == (areSpot ? "decode-b" : "decode-a"));
    }
}
