// From a request's id to its cause.
#include "observe/log_story.h"

#include <catch2/catch.hpp>

using namespace tamarack;

namespace {

const std::vector<std::string> lines {
    R"({"ts_ms":2000,"level":"info","event":"request_taken","vm":"n1","instance":"n1/1","request":"r1","route":"look-up"})",
    R"( 1.5 n1 {"ts_ms":1500,"level":"warning","event":"target_blocked","vm":"n1","instance":"n1/1","target":"t1","reason":"failed"})",
    R"({"ts_ms":1600,"level":"info","event":"target_gone","vm":"n1","instance":"n1/1","target":"t9"})",
    R"({"ts_ms":2100,"level":"info","event":"attempt_failed","vm":"n1","instance":"n1/1","request":"r1","target":"t1","stage":"whole","result":"broken","reason":"timed out","status":0})",
    "not a line of a log",
    R"({"ts_ms":2200,"level":"info","event":"request_refused","vm":"n1","instance":"n1/1","request":"r1","route":"look-up","kind":"attempt-timeout"})",
    R"({"ts_ms":2300,"level":"info","event":"request_refused","vm":"n2","instance":"n2/1","request":"r2","route":"summary","kind":"overloaded"})",
    R"({"ts_ms":2400,"level":"info","event":"request_refused","vm":"n2","instance":"n2/1","request":"r3","route":"summary","kind":"overloaded"})",
    R"({"ts_ms":9000,"level":"info","event":"request_refused","vm":"n2","instance":"n2/1","request":"r4","route":"summary","kind":"overloaded"})",
};

}

TEST_CASE("test_story_of_a_request_is_in_order_and_has_what_decided_it")
{
    const auto story = formatRequestStory(lines, "r1");
    CHECK(story.find("target_blocked") < story.find("request_taken"));
    CHECK(story.find("request_taken") < story.find("attempt_failed"));
    CHECK(story.find("attempt_failed") < story.find("request_refused"));
    CHECK(story.find("result=broken") != std::string::npos);
    CHECK(story.find("t9") == std::string::npos);
    CHECK(story.find("r2") == std::string::npos);
    CHECK(formatRequestStory(lines, "nobody").empty());
}

TEST_CASE("test_failures_are_counted_by_cause_the_largest_first")
{
    const auto summary = formatFailureSummary(lines, { 0, 5000 });
    CHECK(summary.starts_with("3 of 1 requests"));
    CHECK(summary.find("2  summary  refused: overloaded") < summary.find("1  look-up  refused: attempt-timeout"));
    CHECK(summary.find("after whole broken (timed out)") != std::string::npos);
}
