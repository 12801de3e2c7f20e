// Tests of the logger: lines are well-formed, limited in number, and never block the process.
#include "observe/logger.h"

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <fcntl.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

using namespace tamarack;

namespace {

struct pipe_pair {
    std::array<int, 2> ends {};

    pipe_pair() { REQUIRE(pipe(ends.data()) == 0); }
    ~pipe_pair()
    {
        close(ends[0]);
        closeWriting();
    }
    void closeWriting()
    {
        if (ends[1] >= 0)
            close(ends[1]);
        ends[1] = -1;
    }
    std::string readAll()
    {
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
        std::string out;
        std::array<char, 65536> part;
        for (;;) {
            const auto count = read(ends[0], part.data(), part.size());
            if (count <= 0)
                return out;
            out.append(part.data(), static_cast<std::size_t>(count));
        }
    }
};

logger_options optionsFor(int descriptor)
{
    logger_options out;
    out.vm = "vm-1";
    out.instance = "vm-1@1";
    out.descriptor = descriptor;
    return out;
}

std::vector<nlohmann::json> linesOf(const std::string& text)
{
    std::vector<nlohmann::json> out;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);)
        out.push_back(nlohmann::json::parse(line));
    return out;
}

}

TEST_CASE("test_each_event_is_one_line_of_json")
{
    pipe_pair pipe;
    const logger log(optionsFor(pipe.ends[1]));
    log.write(log_event::store_lost,
        { { "topic", "a \"quoted\"\nname\x01\xff" }, { "away_ms", 12 }, { "share", 0.5 }, { "flag", true } });
    const auto lines = linesOf(pipe.readAll());
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["event"] == "store_lost");
    CHECK(lines[0]["level"] == "warning");
    CHECK(lines[0]["vm"] == "vm-1");
    CHECK(lines[0]["away_ms"] == 12);
    CHECK(lines[0]["share"] == 0.5);
    CHECK(lines[0]["flag"] == true);
    CHECK(lines[0]["topic"].get<std::string>().starts_with("a \"quoted\"\nname"));
}

// Guards against log lines as long as what a client sends.
TEST_CASE("test_long_values_are_cut_in_log_lines")
{
    pipe_pair pipe;
    const logger log(optionsFor(pipe.ends[1]));
    const std::string path(9'000, 'x');
    const std::string odd(9'000, '\xff');
    log.write(
        log_event::request_without_route, { { "path", path }, { "host", odd }, { "request", "0123456789abcdef" } });
    const auto text = pipe.readAll();
    constexpr std::size_t maxLineBytes = 8'000;
    CHECK(text.size() <= maxLineBytes);
    const auto lines = linesOf(text);
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["path"].get<std::string>().starts_with("xxxx"));
    CHECK(lines[0]["request"] == "0123456789abcdef");
}

TEST_CASE("test_stalled_reader_causes_dropped_lines_and_no_blocking")
{
    // Guards against requests that time out because a log write blocks: the reader of standard output stops reading,
    // its pipe fills up, and the write waits for the reader.
    pipe_pair pipe;
    auto options = optionsFor(pipe.ends[1]);
    options.bufferBytes = 100'000;
    for (auto& bound : options.linesPerSecond)
        bound = 1'000'000;
    const logger log(options);
    for (int i = 0; i < 20'000; ++i) // a blocking write would never return
        log.write(log_event::request_ended, { { "request", "0123456789abcdef" } });
    CHECK(log.linesLeftOut() > 10'000);
    std::string text;
    for (std::string part = pipe.readAll(); !part.empty(); part = pipe.readAll()) {
        text += part;
        log.flush();
    }
    CHECK(linesOf(text).size() > 1'000);
}

TEST_CASE("test_reader_that_is_gone_does_not_end_the_process")
{
    pipe_pair pipe;
    const logger log(optionsFor(pipe.ends[1]));
    close(pipe.ends[0]);
    for (int i = 0; i < 10; ++i)
        log.write(log_event::store_lost);
    CHECK(log.linesLeftOut() > 0);
    pipe.ends[0] = dup(pipe.ends[1]);
}

TEST_CASE("test_flood_of_one_group_does_not_drop_lines_of_the_others")
{
    // Guards against losing the line that says why a request failed: with one limit for all lines, thousands of
    // served requests in one second use it up, and the lines of refused requests are dropped.
    pipe_pair pipe;
    auto options = optionsFor(pipe.ends[1]);
    options.isUnbuffered = false;
    const logger log(options);
    for (int i = 0; i < 5'000; ++i)
        log.write(log_event::request_ended, { { "request", i } });
    for (int i = 0; i < 50; ++i)
        log.write(log_event::request_refused, { { "request", i } });
    log.write(log_event::store_lost);
    log.flush();
    int servedLines = 0;
    int refusedLines = 0;
    int lostLines = 0;
    for (const auto& line : linesOf(pipe.readAll())) {
        servedLines += line["event"] == "request_ended";
        refusedLines += line["event"] == "request_refused";
        lostLines += line["event"] == "store_lost";
    }
    CHECK(servedLines < 5'000);
    CHECK(servedLines >= 300);
    CHECK(refusedLines == 50);
    CHECK(lostLines == 1);
    CHECK(log.linesLeftOut() >= 4'000);
}

TEST_CASE("test_operations_page_names_every_event")
{
    std::ifstream page(TAMARACK_SOURCE_DIR "/docs/OPERATIONS.md");
    std::stringstream text;
    text << page.rdbuf();
    for (const auto& event : logEvents()) {
        INFO(event.name);
        CHECK(text.str().find("`" + std::string(event.name) + "`") != std::string::npos);
    }
}
