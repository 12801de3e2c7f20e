// Tests of the reports on requests: the timeline, and the summaries of failed and late requests.
#include "observe/log_story.h"

#include <catch2/catch.hpp>

using namespace tamarack;

namespace {

const std::vector<std::string> lines {
    R"({"ts_ms":2000,"level":"info","event":"request_taken","vm":"n1","instance":"n1/1","request":"r1","route":"look-up"})",
    R"( 1.5 n1 {"ts_ms":1500,"level":"warning","event":"target_blocked","vm":"n1","instance":"n1/1","target":"t1","reason":"failed"})",
    R"({"ts_ms":1550,"level":"info","event":"target_leaves","vm":"n1","instance":"n1/1","target":"t1","call":"whole","status":200})",
    R"({"ts_ms":1600,"level":"info","event":"target_gone","vm":"n1","instance":"n1/1","target":"t9"})",
    R"({"ts_ms":2100,"level":"info","event":"attempt_failed","vm":"n1","instance":"n1/1","request":"r1","target":"t1","stage":"whole","result":"broken","reason":"timed out","status":0})",
    "not a line of a log",
    R"({"ts_ms":2200,"level":"info","event":"request_refused","vm":"n1","instance":"n1/1","request":"r1","route":"look-up","kind":"attempt-timeout"})",
    R"({"ts_ms":2300,"level":"info","event":"request_refused","vm":"n2","instance":"n2/1","request":"r2","route":"summary","kind":"overloaded"})",
    R"({"ts_ms":2400,"level":"info","event":"request_refused","vm":"n2","instance":"n2/1","request":"r3","route":"summary","kind":"overloaded"})",
    R"({"ts_ms":9000,"level":"info","event":"request_refused","vm":"n2","instance":"n2/1","request":"r4","route":"summary","kind":"overloaded"})",
};

}

TEST_CASE("test_request_timeline_is_in_order_and_includes_relevant_state_changes")
{
    const auto timeline = formatRequestTimeline(lines, "r1");
    CHECK(timeline.find("target_blocked") < timeline.find("request_taken"));
    CHECK(timeline.find("target_leaves") < timeline.find("request_taken"));
    CHECK(timeline.find("request_taken") < timeline.find("attempt_failed"));
    CHECK(timeline.find("attempt_failed") < timeline.find("request_refused"));
    CHECK(timeline.find("result=broken") != std::string::npos);
    CHECK(timeline.find("t9") == std::string::npos);
    CHECK(timeline.find("r2") == std::string::npos);
    CHECK(formatRequestTimeline(lines, "nobody").empty());
}

TEST_CASE("test_failures_are_counted_by_cause_the_largest_first")
{
    const auto summary = formatFailureSummary(lines, { 0, 5000 });
    CHECK(summary.starts_with("3 of 1 requests"));
    CHECK(summary.find("2  summary  refused: overloaded") < summary.find("1  look-up  refused: attempt-timeout"));
    CHECK(summary.find("after whole broken (timed out)") != std::string::npos);
}

TEST_CASE("test_late_answers_are_counted_by_cause_the_largest_first")
{
    const auto taken = [](const char* id, int at) {
        return R"({"ts_ms":)" + std::to_string(at) + R"(,"event":"request_taken","vm":"n1","request":")" + id
            + R"(","route":"note","aim_ms":250,"gap_aim_ms":150})";
    };
    const auto started = [](const char* id, int at, const char* stage, int predicted, int work, bool isLate = false) {
        return R"({"ts_ms":)" + std::to_string(at) + R"(,"event":"attempt_started","vm":"n1","request":")" + id
            + R"(","target":"t1","stage":")" + stage + R"(","predicted_ms":)" + std::to_string(predicted)
            + R"(,"wait_ms":10,"work":)" + std::to_string(work) + R"(,"late":)" + (isLate ? "true" : "false") + "}";
    };
    const auto attemptEnded = [](const char* id, int at, const char* stage, int first, int took) {
        return R"({"ts_ms":)" + std::to_string(at) + R"(,"event":"attempt_ended","vm":"n1","request":")" + id
            + R"(","target":"t1","stage":")" + stage + R"(","first_ms":)" + std::to_string(first) + R"(,"took_ms":)"
            + std::to_string(took) + "}";
    };
    const auto ended = [](const char* id, int at, int first, int pause) {
        return R"({"ts_ms":)" + std::to_string(at) + R"(,"event":"request_ended","vm":"n1","request":")" + id
            + R"(","route":"note","first_ms":)" + std::to_string(first) + R"(,"longest_pause_ms":)"
            + std::to_string(pause) + "}";
    };
    const auto summary = formatLateSummary(
        { taken("held", 0), started("held", 300, "whole", 40, 0), attemptEnded("held", 900, "whole", 40, 600),
            ended("held", 900, 340, 0), //
            taken("queued", 0), started("queued", 1, "prefill", 100, 900),
            attemptEnded("queued", 400, "prefill", -1, 399), started("queued", 401, "decode", 10, 0),
            attemptEnded("queued", 900, "decode", 12, 499), ended("queued", 900, 412, 60), //
            taken("paused", 2000), started("paused", 2000, "whole", 30, 300),
            attemptEnded("paused", 3000, "whole", 30, 1000), ended("paused", 3000, 30, 240), //
            taken("reader", 2500), started("reader", 2500, "whole", 60, 2'000),
            attemptEnded("reader", 2900, "whole", 70, 400), ended("reader", 2900, 70, 57), //
            taken("queued-2", 5000), started("queued-2", 5001, "prefill", 100, 900),
            attemptEnded("queued-2", 5400, "prefill", -1, 399), started("queued-2", 5401, "decode", 10, 0),
            attemptEnded("queued-2", 5900, "decode", 12, 499), ended("queued-2", 5900, 412, 60) },
        {});
    CHECK(summary.starts_with("4 of 5 whole answers were late"));
    CHECK(summary.find("2  note  first event: prefill prompt processing took longer than predicted")
        < summary.find("1  note"));
    CHECK(summary.find("1  note  first event: held by the node before the first attempt  (such as held)")
        != std::string::npos);
    CHECK(summary.find("1  note  pause: its engine ran prefill for other requests  (such as paused)")
        != std::string::npos);
}

TEST_CASE("test_summary_and_timeline_say_that_a_target_rests")
{
    const std::vector<std::string> resting {
        R"({"ts_ms":1900,"level":"info","event":"target_rests","vm":"n1","instance":"n1/1","target":"t1","rest_ms":3000})",
        R"({"ts_ms":2100,"level":"info","event":"attempt_failed","vm":"n1","instance":"n1/1","request":"r1","target":"t1","stage":"decode","result":"rejected","reason":"","status":503,"rest_ms":3000})",
        R"({"ts_ms":2200,"level":"info","event":"request_refused","vm":"n1","instance":"n1/1","request":"r1","route":"tag","kind":"overloaded"})",
        R"({"ts_ms":2300,"level":"info","event":"attempt_failed","vm":"n1","instance":"n1/1","request":"r2","target":"t2","stage":"whole","result":"rejected","reason":"","status":503,"rest_ms":-1})",
        R"({"ts_ms":2400,"level":"info","event":"request_refused","vm":"n1","instance":"n1/1","request":"r2","route":"tag","kind":"overloaded"})",
    };
    CHECK(formatRequestTimeline(resting, "r1").find("target_rests") != std::string::npos);
    const auto summary = formatFailureSummary(resting, { 0, 5000 });
    CHECK(summary.find("after decode rejected 503, the target rests") != std::string::npos);
    CHECK(summary.find("after whole rejected 503") != std::string::npos);
    CHECK(summary.find("whole rejected 503, the target rests") == std::string::npos);
}

TEST_CASE("test_summary_and_timeline_say_that_targets_name_limits")
{
    const std::vector<std::string> limited {
        R"({"ts_ms":1900,"level":"info","event":"target_limits","vm":"n1","instance":"n1/1","target":"t1","per_second":4.8,"since_ms":0})",
        R"({"ts_ms":2000,"level":"info","event":"request_taken","vm":"n1","instance":"n1/1","request":"r1","route":"tag"})",
        R"({"ts_ms":2200,"level":"info","event":"request_refused","vm":"n1","instance":"n1/1","request":"r1","route":"tag","kind":"overloaded","for_limits":true})",
        R"({"ts_ms":2400,"level":"info","event":"request_refused","vm":"n1","instance":"n1/1","request":"r2","route":"tag","kind":"overloaded","for_limits":false})",
    };
    CHECK(formatRequestTimeline(limited, "r1").find("target_limits") != std::string::npos);
    const auto summary = formatFailureSummary(limited, { 0, 5000 });
    CHECK(summary.find("refused: overloaded, since all its targets name limits") != std::string::npos);
    CHECK(summary.find("refused: overloaded  ") != std::string::npos);
}

TEST_CASE("test_summary_says_that_an_attempt_went_by_a_peer")
{
    const std::vector<std::string> lines {
        R"({"ts_ms":1900,"level":"warning","event":"service_unreached","vm":"n1","instance":"n1/1","service":"s","targets":3,"reason":"silent","since_ms":150})",
        R"({"ts_ms":2100,"level":"info","event":"attempt_failed","vm":"n1","instance":"n1/1","request":"r1","target":"t1","stage":"whole","via":"n2","result":"unreached","reason":"the peer does not reach the target","status":0,"rest_ms":-1})",
        R"({"ts_ms":2200,"level":"info","event":"request_refused","vm":"n1","instance":"n1/1","request":"r1","route":"tag","kind":"no-target"})",
    };
    CHECK(formatRequestTimeline(lines, "r1").find("service_unreached") != std::string::npos);
    const auto summary = formatFailureSummary(lines, { 0, 5000 });
    CHECK(summary.find("after whole unreached by a peer (the peer does not reach the target)") != std::string::npos);
}
