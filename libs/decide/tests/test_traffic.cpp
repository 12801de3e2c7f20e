// Traffic decisions: refusals, retries and the guarantees that error kinds give.
#include "base/random_source.h"
#include "decide/traffic_system.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <deque>
#include <map>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

instant at(double s) { return instant(fromSeconds(1000 + s)); }

std::shared_ptr<deployment> smallDeployment(int targets = 3, int slots = 10)
{
    auto config = std::make_shared<deployment>();
    config->name = "test";
    config->availabilityZones = { "za", "zb", "zc" };
    service_entry model;
    model.name = "model";
    model.kind = service_kind::engine;
    model.model = "m";
    model.slots = slots;
    service_entry app;
    app.name = "app";
    app.slots = slots;
    for (int i = 0; i < targets; ++i) {
        const auto zone = config->availabilityZones[static_cast<std::size_t>(i) % 3];
        model.targets.push_back({ "m" + std::to_string(i), "127.0.0.1:" + std::to_string(1000 + i), zone });
        app.targets.push_back({ "p" + std::to_string(i), "127.0.0.1:" + std::to_string(2000 + i), zone });
    }
    config->services = { model, app };
    config->policy.accountRequestsPerSecond = 1e6;
    config->policy.accountBurst = 1e6;
    return config;
}

request_shape completion()
{
    request_shape shape;
    shape.service = { 0 };
    shape.promptTokens = 1000;
    shape.outputTokens = 50;
    return shape;
}

struct traffic_fixture {
    traffic_system traffic { "vm", "za", 7 };
    traffic_commands commands;

    explicit traffic_fixture(std::shared_ptr<deployment> config = smallDeployment())
    {
        traffic.configure(std::move(config), at(0), commands);
    }

    request_id admit(const request_shape& shape, double time)
    {
        commands.clear();
        return traffic.admit(shape, at(time), commands);
    }
    const refuse_request* refusal() const
    {
        return commands.empty() ? nullptr : std::get_if<refuse_request>(&commands.back());
    }
    const start_attempt* started() const
    {
        return commands.empty() ? nullptr : std::get_if<start_attempt>(&commands.back());
    }
    void end(request_id id, attempt_result result, double time)
    {
        const auto attempt = started()->attempt;
        commands.clear();
        traffic.attemptEnded(id, attempt, result, at(time), commands);
    }
};

}

TEST_CASE("test_refusals_say_when_to_come_back_at_once")
{
    SECTION("all targets leaving")
    {
        traffic_fixture f;
        for (auto& flag : f.traffic.targets().isLeaving)
            flag = 1;
        f.admit(completion(), 1);
        REQUIRE(f.refusal());
        CHECK(f.refusal()->kind == error_kind::no_target);
        CHECK(f.refusal()->retryAfter > duration::zero());
    }
    SECTION("a backlog longer than the deadline")
    {
        traffic_fixture f;
        auto shape = completion();
        shape.outputTokens = 1000;
        for (int i = 0; i < 200 && !f.refusal(); ++i)
            f.admit(shape, 1);
        REQUIRE(f.refusal());
        CHECK(f.refusal()->kind == error_kind::deadline_unreachable);
        CHECK(f.refusal()->retryAfter > duration::zero());
    }
    SECTION("an account over its limit")
    {
        auto config = smallDeployment();
        config->policy.accountRequestsPerSecond = 1;
        config->policy.accountBurst = 2;
        traffic_fixture f(config);
        auto shape = completion();
        shape.account = 5;
        f.admit(shape, 1);
        f.admit(shape, 1);
        CHECK(f.started());
        f.admit(shape, 1);
        REQUIRE(f.refusal());
        CHECK(f.refusal()->kind == error_kind::account_limit);
        shape.account = 6;
        f.admit(shape, 1);
        CHECK(f.started());
    }
    SECTION("a wait that turns out too long is ended before the deadline")
    {
        traffic_fixture f(smallDeployment(1, 3));
        auto shape = completion();
        shape.deadline = 3s;
        std::map<std::uint64_t, bool> refused;
        for (int i = 0; i < 6; ++i)
            f.admit(shape, 1);
        f.commands.clear();
        f.traffic.tick(at(3.5), f.commands); // 0.65 s are needed, but only 0.5 s are left
        CHECK(f.traffic.waiting() == 0);
        CHECK_FALSE(f.commands.empty());
        for (const auto& command : f.commands) {
            REQUIRE(std::holds_alternative<refuse_request>(command));
            CHECK(std::get<refuse_request>(command).retryAfter > duration::zero());
        }
    }
}

TEST_CASE("test_leaving_target_gets_no_new_work")
{
    traffic_fixture f;
    f.traffic.targets().isLeaving[f.traffic.targets().find("m1").value] = 1;
    for (int i = 0; i < 12; ++i) {
        f.admit(completion(), 1);
        if (f.started())
            CHECK(f.traffic.targets().name[f.started()->target.value] != "m1");
    }
}

TEST_CASE("test_target_gets_no_work_before_the_end_of_the_rest_that_it_asked_for")
{
    // Guards against work that a target has turned away and told when to bring.
    const auto stage = GENERATE(request_stage::whole, request_stage::prefill, request_stage::decode);
    traffic_fixture f(smallDeployment(4, 1000));
    auto shape = completion();
    shape.deadline = 600s;
    if (stage != request_stage::whole) {
        shape.promptTokens = 100'000;
        for (std::uint32_t row = 0; row < 4; ++row)
            f.traffic.targets().role[row] = row % 2 ? engine_role::prefill : engine_role::decode;
    }
    auto id = f.admit(shape, 1);
    REQUIRE(f.started());
    if (stage == request_stage::decode)
        f.end(id, attempt_result::answered, 1);
    REQUIRE(f.started()->stage == stage);
    const auto resting = f.started()->target;
    f.traffic.targetAskedForRest(id, f.started()->attempt, 3s, at(1));
    f.end(id, attempt_result::refused, 1);
    bool isUsedAgain = false;
    for (double time = 1; time < 10; time += 0.02) {
        id = f.admit(shape, time);
        while (f.started()) {
            CHECK((f.started()->target != resting || time >= 4));
            isUsedAgain |= f.started()->target == resting;
            f.end(id, attempt_result::answered, time);
        }
    }
    CHECK(isUsedAgain);
}

TEST_CASE("test_request_is_refused_at_once_if_all_targets_rest_beyond_its_deadline")
{
    // Guards against requests that wait although it is known that no target takes them in time.
    traffic_fixture f(smallDeployment(2));
    for (const int target : { 0, 1 }) {
        INFO(target);
        const auto id = f.admit(completion(), 1);
        REQUIRE(f.started());
        f.traffic.targetAskedForRest(id, f.started()->attempt, 20s, at(1));
        f.end(id, attempt_result::refused, 1);
        if (f.started())
            f.end(id, attempt_result::answered, 1);
    }
    auto shape = completion();
    shape.deadline = 10s;
    f.admit(shape, 2);
    REQUIRE(f.refusal());
    CHECK(f.refusal()->kind == error_kind::deadline_unreachable);
    CHECK(f.refusal()->retryAfter == 19s);
    shape.deadline = 30s;
    f.admit(shape, 2);
    CHECK(f.commands.empty());
    f.traffic.tick(at(21.1), f.commands);
    CHECK(f.started());
}

TEST_CASE("test_silent_attempt_is_stopped_only_if_another_target_has_room")
{
    // Guards against requests that lose the only target at work on them, which may go on.
    traffic_fixture f(smallDeployment(2));
    const auto id = f.admit(completion(), 1);
    REQUIRE(f.started());
    const auto attempt = f.started()->attempt;
    const std::uint32_t other = f.started()->target == target_id { 0 } ? 1 : 0;
    CHECK(f.traffic.shouldStopSilent(id, attempt, true, at(6)));
    CHECK_FALSE(f.traffic.shouldStopSilent(id, attempt, false, at(6)));
    f.traffic.targets().ownRunning[other] = 10;
    CHECK_FALSE(f.traffic.shouldStopSilent(id, attempt, true, at(6)));
    CHECK(f.traffic.shouldStopSilent(id, attempt, false, at(31)));
}

TEST_CASE("test_answer_that_was_cut_is_resumed_if_its_rest_meets_the_deadline")
{
    // Guards against begun answers that are given up because a run from the start would miss the deadline.
    traffic_fixture f(smallDeployment(1));
    auto shape = completion();
    shape.outputTokens = 1000;
    shape.deadline = 16s;
    const auto id = f.admit(shape, 1);
    REQUIRE(f.started());
    f.traffic.tokensReceived(id, f.started()->attempt, 900);
    f.end(id, attempt_result::cut, 13);
    CHECK(f.commands.empty()); // the only target is in its back-off
    f.traffic.tick(at(13.6), f.commands);
    CHECK(f.started());
    CHECK(f.traffic.held() == 1);
}

TEST_CASE("test_outcome_of_a_sent_non_idempotent_request_is_unknown")
{
    // The request was sent and the connection broke before an answer. Such a request must not be reported as "not run",
    // or the caller would repeat a request that may have been executed.
    request_shape shape;
    shape.service = { 1 };
    shape.isIdempotent = false;
    traffic_fixture f;
    auto id = f.admit(shape, 1);
    f.end(id, attempt_result::maybe_run, 2);
    REQUIRE(f.refusal());
    CHECK(f.refusal()->kind == error_kind::outcome_unknown);
    id = f.admit(shape, 3);
    f.end(id, attempt_result::not_sent, 3);
    CHECK(f.started());
}

TEST_CASE("test_late_events_of_a_former_attempt_have_no_effect")
{
    traffic_fixture f;
    const auto id = f.admit(completion(), 1);
    const auto first = f.started()->attempt;
    f.end(id, attempt_result::maybe_run, 2);
    REQUIRE(f.started());
    const auto second = f.started()->attempt;
    CHECK_FALSE(f.traffic.isCurrent(id, first));
    CHECK(f.traffic.isCurrent(id, second));
    traffic_commands none;
    f.traffic.attemptEnded(id, first, attempt_result::answered, at(3), none);
    CHECK(none.empty());
    CHECK(f.traffic.counts().staleEvents == 1);
    CHECK(f.traffic.held() == 1);
}

TEST_CASE("test_configuration_change_keeps_held_requests")
{
    traffic_fixture f(smallDeployment(1, 3));
    std::vector<request_id> ids;
    for (int i = 0; i < 4; ++i)
        ids.push_back(f.admit(completion(), 1));
    const auto held = f.traffic.held();
    auto next = smallDeployment(3, 10);
    std::swap(next->services[0], next->services[1]);
    f.commands.clear();
    f.traffic.configure(next, at(2), f.commands);
    CHECK(f.traffic.held() == held);
    CHECK(f.traffic.waiting() == 0);
    for (const auto& command : f.commands)
        CHECK(std::holds_alternative<start_attempt>(command));
}

TEST_CASE("test_request_of_a_removed_service_outlives_further_changes")
{
    // A service is removed while one of its requests is running, and another configuration follows before the request
    // ends. The second change must not look up the service of that request, which would abort the node.
    traffic_fixture f;
    const auto id = f.admit(completion(), 1);
    const auto attempt = f.started()->attempt;
    auto without = smallDeployment();
    without->services.erase(without->services.begin());
    f.traffic.configure(without, at(2), f.commands);
    f.traffic.configure(smallDeployment(), at(3), f.commands);
    CHECK(f.traffic.held() == 1);
    f.commands.clear();
    f.traffic.attemptEnded(id, attempt, attempt_result::answered, at(4), f.commands);
    CHECK(f.traffic.held() == 0);
}

namespace {

struct random_outcome {
    int ends = 0;
    int falseNotRun = 0; // refused as "not run" although a target may have executed it
    int doubleRuns = 0; // non-idempotent requests sent again after they may have run
    int unreleasedLoad = 0; // targets with load still counted after all requests have ended
    int requests = 0;
};

random_outcome randomTraffic(std::uint64_t seed)
{
    struct state {
        bool isIdempotent;
        int mayHaveRun = 0;
        int ends = 0;
        attempt_id attempt;
        request_stage stage = request_stage::whole;
        bool isRunning = false;
    };
    random_source random(seed);
    auto config = smallDeployment(6, 4);
    traffic_system traffic("vm", "za", seed);
    traffic_commands commands;
    traffic.configure(config, at(0), commands);
    std::map<std::uint64_t, state> requests;
    random_outcome outcome;
    double time = 1;
    // In half of the simulations engines are split by role.
    if (seed % 2) {
        for (std::uint32_t row = 0; row < traffic.targets().size(); ++row)
            traffic.targets().role[row] = row % 2 ? engine_role::prefill : engine_role::decode;
    }
    const auto executeCommands = [&] {
        for (const auto& command : commands) {
            if (const auto* start = std::get_if<start_attempt>(&command)) {
                auto& item = requests[start->request.value];
                item.attempt = start->attempt;
                item.stage = start->stage;
                item.isRunning = true;
                outcome.doubleRuns += !item.isIdempotent && item.mayHaveRun > 0;
                continue;
            }
            const auto& refusal = std::get<refuse_request>(command);
            auto& item = requests[refusal.request.value];
            ++item.ends;
            item.isRunning = false;
            outcome.falseNotRun += item.mayHaveRun > 0 && answerFor(refusal.kind).executed == ran::no;
        }
        commands.clear();
    };
    for (int step = 0; step < 400; ++step) {
        time += 0.05 * random.unit();
        const double dice = random.unit();
        if (dice < 0.45 && step < 300) {
            request_shape shape = completion();
            shape.service = { static_cast<std::uint32_t>(random.below(2)) };
            shape.isIdempotent = shape.service.value == 0 || random.unit() < 0.5;
            shape.isUrgent = random.unit() < 0.3;
            shape.depth = static_cast<int>(random.below(3));
            shape.deadline = fromSeconds(0.5 + 3 * random.unit());
            // The commands may already contain the result of admit(), so the request is recorded before they are read.
            const auto id = traffic.admit(shape, at(time), commands);
            requests[id.value].isIdempotent = shape.isIdempotent;
            ++outcome.requests;
        } else if (dice < 0.9) {
            std::vector<std::uint64_t> running;
            for (auto& [id, item] : requests) {
                if (item.isRunning)
                    running.push_back(id);
            }
            if (!running.empty()) {
                const auto id = running[random.below(running.size())];
                auto& item = requests[id];
                const auto result
                    = static_cast<attempt_result>(random.below(static_cast<std::uint64_t>(attempt_result::count)));
                const bool isPrefill = item.stage == request_stage::prefill;
                if (result == attempt_result::cut)
                    traffic.tokensReceived({ id }, item.attempt, 5);
                if (result == attempt_result::answered || result == attempt_result::cut
                    || result == attempt_result::maybe_run)
                    ++item.mayHaveRun;
                item.isRunning = false;
                traffic.attemptEnded({ id }, item.attempt, result, at(time), commands);
                if (result == attempt_result::answered && !isPrefill)
                    ++item.ends;
            }
        } else {
            const auto row = random.below(traffic.targets().size());
            traffic.targets().isLeaving[row] = random.unit() < 0.2;
            traffic.tick(at(time), commands);
        }
        executeCommands();
    }
    for (int rounds = 0; rounds < 200 && traffic.held() > 0; ++rounds) {
        time += 0.2;
        for (auto& [id, item] : requests) {
            if (!item.isRunning)
                continue;
            item.isRunning = false;
            const bool isPrefill = item.stage == request_stage::prefill;
            ++item.mayHaveRun;
            traffic.attemptEnded({ id }, item.attempt, attempt_result::answered, at(time), commands);
            if (!isPrefill)
                ++item.ends;
            executeCommands();
        }
        traffic.tick(at(time), commands);
        executeCommands();
    }
    for (const auto& [id, item] : requests)
        outcome.ends += item.ends == 1;
    for (std::uint32_t row = 0; row < traffic.targets().size(); ++row)
        outcome.unreleasedLoad
            += traffic.targets().ownRunning[row] != 0 || traffic.targets().ownPrefillTokens[row] != 0;
    return outcome;
}

}

TEST_CASE("test_refusals_that_say_not_run_are_true")
{
    // An attempt may have run and a later attempt is refused. The error kind must not say "not run" on account of the
    // last attempt alone, or the caller would repeat the request and the work would be done twice.
    random_outcome sum;
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        const auto one = randomTraffic(seed);
        sum.ends += one.ends;
        sum.falseNotRun += one.falseNotRun;
        sum.doubleRuns += one.doubleRuns;
        sum.unreleasedLoad += one.unreleasedLoad;
        sum.requests += one.requests;
    }
    std::printf("%d requests in 500 random runs: %d ended once, %d false \"not run\", %d doubled\n", sum.requests,
        sum.ends, sum.falseNotRun, sum.doubleRuns);
    CHECK(sum.falseNotRun == 0);
    CHECK(sum.doubleRuns == 0);
    CHECK(sum.unreleasedLoad == 0);
    CHECK(sum.ends == sum.requests);
}

namespace {

/// Each outer call occupies a slot until its nested call is answered. Returns the number of outer calls that completed.
int outerCallsEnded(bool nestedDepthIsSent)
{
    traffic_system traffic("vm", "za", 3);
    traffic_commands commands;
    traffic.configure(smallDeployment(2, 8), at(0), commands);
    struct outer_call {
        request_id id;
        attempt_id attempt;
        request_id nested;
    };
    std::vector<outer_call> outers;
    std::map<std::uint64_t, attempt_id> running;
    int ended = 0;
    double time = 1;
    const auto note = [&] {
        for (const auto& command : commands) {
            if (const auto* start = std::get_if<start_attempt>(&command))
                running[start->request.value] = start->attempt;
        }
        commands.clear();
    };
    for (int step = 0; step < 200; ++step) {
        time += 0.1;
        auto shape = completion();
        shape.deadline = 600s;
        constexpr int burst = 40;
        for (int i = 0; i < (step == 0 ? burst : 1); ++i) {
            outers.push_back({ traffic.admit(shape, at(time), commands), {}, {} });
            note();
        }
        for (auto& outer : outers) {
            if (running.contains(outer.id.value) && !outer.nested.isValid()) {
                shape.depth = nestedDepthIsSent ? 1 : 0;
                outer.nested = traffic.admit(shape, at(time), commands);
                note();
            }
        }
        std::vector<outer_call> kept;
        for (const auto& outer : outers) {
            if (!outer.nested.isValid() || !running.contains(outer.nested.value)) {
                kept.push_back(outer);
                continue;
            }
            traffic.attemptEnded(
                outer.nested, running[outer.nested.value], attempt_result::answered, at(time), commands);
            traffic.attemptEnded(outer.id, running[outer.id.value], attempt_result::answered, at(time), commands);
            ++ended;
            note();
        }
        outers = std::move(kept);
    }
    return ended;
}

}

TEST_CASE("test_nested_calls_make_progress_on_a_full_fleet")
{
    // Without reserved slots a full fleet deadlocks: outer calls occupy all slots and wait for nested calls, which
    // queue behind new outer calls.
    const int with = outerCallsEnded(true);
    const int without = outerCallsEnded(false);
    std::printf("outer calls ended in 200 steps: %d with the nested share, %d without\n", with, without);
    CHECK(with > 150);
    CHECK(without == 0);
}

namespace {

/// Attempts per request while two of three zones fail every request after it was sent.
double attemptsPerRequest(double budget)
{
    auto config = smallDeployment(9, 64);
    config->policy.retryBudget = budget;
    traffic_system traffic("vm", "za", 5);
    traffic_commands commands;
    traffic.configure(config, at(0), commands);
    int requests = 0;
    int attempts = 0;
    double time = 1;
    for (int i = 0; i < 3000; ++i) {
        time += 0.01;
        auto shape = completion();
        traffic.admit(shape, at(time), commands);
        ++requests;
        while (!commands.empty()) {
            const auto command = commands.back();
            commands.pop_back();
            const auto* start = std::get_if<start_attempt>(&command);
            if (!start)
                continue;
            ++attempts;
            // Clears the backoff, since the failing zones respond, but always with an error.
            traffic.targets().blockedUntil[start->target.value] = {};
            const bool fails
                = traffic.targets().zone[start->target.value] == 1 || traffic.targets().zone[start->target.value] == 2;
            const auto result = fails ? attempt_result::maybe_run : attempt_result::answered;
            traffic.attemptEnded(start->request, start->attempt, result, at(time), commands);
            traffic.targets().blockedUntil[start->target.value] = {};
        }
    }
    return static_cast<double>(attempts) / requests;
}

}

TEST_CASE("test_retries_do_not_amplify_a_failing_zone")
{
    const double bounded = attemptsPerRequest(0.1);
    const double unbounded = attemptsPerRequest(1.0);
    std::printf("attempts for each request with two zones failing: %.3f with the budget, %.3f with ten times it\n",
        bounded, unbounded);
    CHECK(bounded < 1.11);
    CHECK(unbounded > bounded + 0.2);
}
