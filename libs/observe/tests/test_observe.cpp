// Tests of traces and metrics.
#include "observe/metrics.h"
#include "observe/span.h"

#include <catch2/catch.hpp>

using namespace tamarack;

TEST_CASE("test_traceparent_round_trip")
{
    span_id_source ids(1);
    const auto root = ids.child({});
    REQUIRE(root.isValid());
    const auto parsed = parseTraceparent(formatTraceparent(root));
    CHECK(parsed.traceId == root.traceId);
    CHECK(parsed.spanId == root.spanId);
    const auto child = ids.child(root);
    CHECK(child.traceId == root.traceId);
    CHECK(child.spanId != root.spanId);
    for (const char* bad : { "", "00-xyz", "01-0123456789abcdef0123456789abcdef-0123456789abcdef-01",
             "00-0123456789ABCDEF0123456789abcdef-0123456789abcdef-01" })
        CHECK_FALSE(parseTraceparent(bad).isValid());
}

TEST_CASE("test_trace_tree_shows_children_below_parents")
{
    const std::string id(32, 'a');
    const std::vector<std::string> lines {
        R"({"traceId":")" + id
            + R"(","spanId":"2","parentSpanId":"1","name":"inner","startTimeUnixNano":2,"endTimeUnixNano":3})",
        "not JSON",
        R"({"traceId":")" + id
            + R"(","spanId":"1","parentSpanId":"0","name":"outer","startTimeUnixNano":1,"endTimeUnixNano":4})",
        R"({"traceId":"other","spanId":"3","parentSpanId":"","name":"else"})",
    };
    const auto tree = formatTraceTree(lines, id);
    CHECK(tree.find("outer") < tree.find("  inner"));
    CHECK(tree.find("else") == std::string::npos);
    CHECK(formatTraceTree(lines, "nothing").empty());
}

TEST_CASE("test_metrics_text")
{
    metrics counters;
    counters.count("tamarack_x_total", { { "kind", "a" } }, 2);
    counters.count("tamarack_x_total", { { "kind", "a" } });
    counters.set("tamarack_y", 4);
    counters.observeSeconds("tamarack_z_seconds", 0.004);
    CHECK(counters.counterValue("tamarack_x_total", { { "kind", "a" } }) == 3);
    const auto text = counters.text();
    CHECK(text.find("tamarack_x_total{kind=\"a\"} 3") != std::string::npos);
    CHECK(text.find("tamarack_z_seconds_bucket") != std::string::npos);
}
