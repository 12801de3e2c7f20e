// Configuration: in force everywhere, never back, whatever the log and the nodes go through.
#include "process_fixture.h"

#include <catch2/catch.hpp>

using namespace tamarack;
using namespace tamarack::test;

namespace {

bool allServe(const deployment_run& run, std::uint64_t version)
{
    for (const auto& vm : run.vms()) {
        const auto status = run.status(vm);
        if (!status.is_object() || status.value("served_version", 0ULL) != version)
            return false;
    }
    return true;
}

nlohmann::json policyChange(double deadline) { return { { "policy", { { "default_deadline", deadline } } } }; }

void fault(const deployment_run& run, const nlohmann::json& what)
{
    harness::callJson(run.platformAddress(), "POST", "/fault", what);
}

}

TEST_CASE("test_process_publication_race_has_one_winner_who_is_named")
{
    // Symptom: an operator's change vanishes.
    // Sequence: two operators start from version 1 and publish, one after the other.
    // Cause: the later text, made from version 1, replaces what the earlier one changed.
    const auto run = startSmall("race");
    REQUIRE(run->publish(policyChange(31)) == 0);
    REQUIRE(waitUntil([&] { return allServe(*run, 2); }));
    std::string output;
    const int code = run->ctl({ "publish", run->workDir() + "/text.json", "--base", "1", "--author", "late", "--log",
                                  toString(run->platformAddress()) },
        &output);
    CHECK(code == 1);
    CHECK(output.find("version 2 by harness is in force") != std::string::npos);
    CHECK(output.find("/policy/default_deadline") != std::string::npos);
    CHECK(allServe(*run, 2));
}

TEST_CASE("test_process_invalid_text_does_not_take_the_valid_one_out_of_use")
{
    // Symptom: every node stops serving at once.
    // Sequence: a text that is not valid reaches the log past tamarackctl's check.
    // Cause: nodes put it in force unread.
    const auto run = startSmall("invalid");
    std::string output;
    CHECK(run->ctl({ "publish", run->workDir() + "/" + run->vms().front() + ".json", "--log",
                       toString(run->platformAddress()) },
              &output)
        == 1);
    CHECK(output.find("services") != std::string::npos);
    const nlohmann::json record { { "kind", "publication" }, { "writer", "someone@1" }, { "sequence", 1 },
        { "base", 1 }, { "text", "{ not a text" }, { "author", "someone" } };
    harness::call(run->platformAddress(), "POST", "/streams/tamarack/records", record.dump());
    const auto vm = run->vms().front();
    REQUIRE(waitUntil([&] { return run->status(vm).value("configuration_version", 0) == 2; }));
    const auto status = run->status(vm);
    CHECK(status.value("served_version", 0) == 1);
    CHECK(status["alarms"].dump().find("configuration_invalid") != std::string::npos);
    harness::test_caller caller(callerAddresses(*run), 1);
    CHECK(caller.call(streamCall("goes on")).end == call_end::whole);
    REQUIRE(run->publish(policyChange(33)) == 0);
    CHECK(waitUntil([&] { return allServe(*run, 3); }));
}

TEST_CASE("test_process_node_started_during_an_outage_serves_the_configuration_in_force")
{
    // Symptom: a replaced node refuses everything until the log is back, or serves an old version.
    // Sequence: the log is down; a node is killed and replaced.
    // Cause: the log was the only place to learn the configuration from.
    const auto run = startSmall("outage");
    REQUIRE(run->publish(policyChange(32)) == 0);
    REQUIRE(waitUntil([&] { return allServe(*run, 2); }));
    fault(*run, { { "log", "down" } });
    harness::test_caller caller(callerAddresses(*run), 1);
    CHECK(caller.call(streamCall("log is down")).end == call_end::whole);
    const auto vm = run->vms().front();
    run->kill(vm);
    run->startNode(vm);
    REQUIRE(waitUntil([&] { return run->isReady(vm); }));
    CHECK(run->status(vm).value("served_version", 0) == 2);
    CHECK(caller.call(streamCall("through the new node")).end == call_end::whole);
    fault(*run, { { "log", "up" } });
    REQUIRE(run->publish(policyChange(34)) == 0);
    CHECK(waitUntil([&] { return allServe(*run, 3); }));
}

TEST_CASE("test_process_node_cut_off_from_log_and_peers_refuses")
{
    // Symptom: one node serves an old configuration for as long as it is cut off.
    // Sequence: neither the log nor any peer answers it.
    // Cause: silence was not taken for ignorance. Here: the log is down and the two other nodes are frozen.
    const auto run = startSmall("cut_off");
    const auto vms = run->vms();
    fault(*run, { { "log", "down" } });
    run->freeze(vms[1]);
    run->freeze(vms[2]);
    REQUIRE(waitUntil([&] { return run->status(vms[0]).value("state", "") == "cut-off"; }));
    const nlohmann::json body { { "model", "jazyk-sumar" }, { "prompt", "x" }, { "max_tokens", 3 } };
    const auto answer = harness::call(run->callerAddress(vms[0]), "POST", "/v1/completions", body.dump());
    REQUIRE(answer);
    CHECK(answer->status == 503);
    CHECK(answer->body.find("\"ran\":\"no\"") != std::string::npos);
    run->thaw(vms[1]);
    run->thaw(vms[2]);
    fault(*run, { { "log", "up" } });
    CHECK(waitUntil([&] { return run->isReady(vms[0]); }));
}

TEST_CASE("test_process_configuration_outlives_the_logs_retention_and_every_node")
{
    // Symptom: after a quiet week and a rolling replacement, nobody knows the configuration.
    // Sequence: the log forgets the publication; all nodes are replaced one by one, then the log goes on.
    // Cause: nobody restated what was published.
    const auto run = startSmall("retention", nlohmann::json::object(), 20);
    REQUIRE(run->publish(policyChange(35)) == 0);
    REQUIRE(waitUntil([&] { return allServe(*run, 2); }));
    REQUIRE(waitUntil([&] { return run->status(run->vms().front()).value("log_reach", 0) > 30; }));
    for (const auto& vm : run->vms()) {
        run->kill(vm);
        run->startNode(vm);
        REQUIRE(waitUntil([&] { return run->isReady(vm); }));
    }
    CHECK(allServe(*run, 2));
}

TEST_CASE("test_process_answer_lost_after_the_append")
{
    // Symptom: a publication counts twice, or its author is told that it failed while it is in force.
    // Sequence: the log takes the record, the answer is lost.
    // Cause: the answer was believed instead of the log.
    const auto run = startSmall("lost_answer");
    fault(*run, { { "log", "lose_answers" } });
    std::string output;
    CHECK(run->publish(policyChange(36)) == 0);
    CHECK(waitUntil([&] { return allServe(*run, 2); }));
    fault(*run, { { "log", "late" } });
    CHECK(run->publish(policyChange(37)) == 0);
    CHECK(waitUntil([&] { return allServe(*run, 3); }));
    fault(*run, { { "log", "up" } });
    const auto status = run->status(run->vms().front());
    CHECK(status.value("configuration_version", 0) == 3);
}

TEST_CASE("test_process_outage_longer_than_the_logs_retention")
{
    // Symptom: after a long outage no node accepts a publication any more.
    // Sequence: the log is down until all its records have expired, then it is up again, and empty.
    // Cause: what the nodes know was taken to be on the log.
    const auto run = startSmall("long_outage");
    REQUIRE(run->publish(policyChange(32)) == 0);
    REQUIRE(waitUntil([&] { return allServe(*run, 2); }));
    const auto hasAlarm = [&](const char* name) {
        return run->status(run->vms().front())["alarms"].dump().find(name) != std::string::npos;
    };
    fault(*run, { { "log", "down" } });
    REQUIRE(waitUntil([&] { return hasAlarm("log_unreachable"); }));
    harness::test_caller caller(callerAddresses(*run), 1);
    CHECK(caller.call(streamCall("in the outage")).end == call_end::whole);

    SECTION("nothing was appended meanwhile: all goes on")
    {
        fault(*run, { { "expire", true } });
        fault(*run, { { "log", "up" } });
        // The holder's next snapshot brings the state back to the log, so that operators can publish again.
        REQUIRE(waitUntil([&] { return run->publish(policyChange(33)) == 0; }));
        CHECK(waitUntil([&] { return allServe(*run, 3); }));
        run->kill(run->vms().front());
        run->startNode(run->vms().front());
        CHECK(waitUntil([&] { return run->isReady(run->vms().front()); }));
    }
    SECTION("records were lost unread: the gap is shown, requests go on")
    {
        fault(*run, { { "append", "a record that nobody will read" } });
        fault(*run, { { "expire", true } });
        fault(*run, { { "log", "up" } });
        REQUIRE(waitUntil([&] { return hasAlarm("log_gap"); }));
        CHECK(caller.call(streamCall("over the gap")).end == call_end::whole);
        CHECK(allServe(*run, 2));
    }
}
