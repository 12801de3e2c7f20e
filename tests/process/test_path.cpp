// The whole path: caller, node, target and back.
#include "process_fixture.h"

#include "observe/span.h"

#include <catch2/catch.hpp>
#include <fstream>

using namespace tamarack;
using namespace tamarack::test;

TEST_CASE("test_process_whole_path")
{
    const auto run = startSmall("whole_path");
    harness::test_caller caller(callerAddresses(*run), 1);

    SECTION("streams and plain calls are whole")
    {
        CHECK(caller.call(streamCall("pipes of Fabrova ulica")).end == call_end::whole);
        CHECK(caller.call(plainCall()).end == call_end::whole);
        CHECK(caller.call(reportCall("one")).end == call_end::whole);
        CHECK(runsOf(*run, "one") == 1);
    }
    SECTION("entries name every node")
    {
        const auto vm = run->vms().front();
        REQUIRE(waitUntil([&] {
            const auto entries = harness::callJson(run->callerAddress(vm), "GET", "/v1/entries");
            return entries.is_object() && entries["entries"].size() == 3;
        }));
    }
    SECTION("an answer that is not streamed is the target's, whole")
    {
        const nlohmann::json body { { "model", "jazyk-sumar" }, { "prompt", "short" }, { "max_tokens", 5 } };
        const auto answer
            = harness::call(run->callerAddress(run->vms().front()), "POST", "/v1/completions", body.dump());
        REQUIRE(answer);
        CHECK(answer->status == 200);
        CHECK(nlohmann::json::parse(answer->body).contains("text"));
    }
    SECTION("a plain service's own headers reach the caller, those of the connection do not")
    {
        const auto answer
            = harness::call(run->callerAddress(run->vms().front()), "POST", "/services/teren/valves", "{}");
        REQUIRE(answer);
        CHECK(answer->headers.find("x-service").starts_with("teren-"));
        CHECK_FALSE(answer->headers.has("x-attempt-id"));
    }
    SECTION("one trace spans caller, node and target")
    {
        auto spec = streamCall("traced");
        spec.traceparent = "00-0123456789abcdef0123456789abcdef-0123456789abcdef-01";
        REQUIRE(caller.call(spec).end == call_end::whole);
        const auto readTree = [&] {
            std::vector<std::string> lines;
            auto names = run->vms();
            for (const auto& target : run->targetsOf("jazyk"))
                names.push_back(target);
            for (const auto& name : names) {
                std::ifstream stream(run->spanFile(name));
                for (std::string line; std::getline(stream, line);)
                    lines.push_back(line);
            }
            return formatTraceTree(lines, "0123456789abcdef0123456789abcdef");
        };
        REQUIRE(waitUntil([&] { return readTree().find("engine decode") != std::string::npos; }));
        const auto tree = readTree();
        INFO(tree);
        CHECK(tree.find("completion jazyk") < tree.find("attempt"));
        CHECK(tree.find("attempt") < tree.find("engine decode"));
    }
}

TEST_CASE("test_process_split_roles_serve_in_two_stages")
{
    const auto run = startSmall("split", { { "jazyk", { { "prefill_targets", 1 }, { "decode_targets", 2 } } } });
    const auto roles = [&](const std::string& wanted) {
        int count = 0;
        for (const auto& target : run->targetsOf("jazyk"))
            count += run->targetStatus(target).value("role", "") == wanted;
        return count;
    };
    REQUIRE(waitUntil([&] { return roles("prefill") == 1 && roles("decode") == 2; }));
    harness::test_caller caller(callerAddresses(*run), 1);
    for (int i = 0; i < 5; ++i)
        CHECK(caller.call(streamCall("long history " + std::string(12'000, 'x') + std::to_string(i))).end
            == call_end::whole);
}
