// Fuzzes the request parser: however the bytes are cut, it comes to the same result and holds a bounded part of them.
#include "src/request_reader.h"

#include "base/random_source.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace tamarack;
using detail::reader_state;
using detail::request_reader;

namespace {

constexpr std::uint32_t headerBytes = 300;
constexpr std::uint64_t bodyBytes = 200;
constexpr std::size_t readBytes = 64;

const std::vector<std::string>& samples()
{
    static const std::vector<std::string> out {
        "GET /a?b HTTP/1.1\r\nHost: x\r\nA: \r\n\r\n",
        "\r\nPOST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nabcd\r\nA\r\n0123456789\r\n0\r\nX: y\r\n\r\n",
        "POST / HTTP/1.0\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 500\r\n\r\n",
        "GET / HTTP/1.1\nHost: x\n\n",
        "GET / HTTP/1.1\r\nHost: x\nA: b\r\n\r\n",
    };
    return out;
}

std::string mutated(random_source& random, std::string text)
{
    constexpr std::string_view odd = "\r\n\r\n:;0aF \xff\0";
    for (auto changes = random.below(4); changes > 0 && !text.empty(); --changes) {
        const auto at = random.below(text.size());
        switch (random.below(4)) {
        case 0:
            text[at] = odd[random.below(odd.size())];
            break;
        case 1:
            text.erase(at, 1 + random.below(4));
            break;
        case 2:
            text.insert(at, text.substr(at, 1 + random.below(8)));
            break;
        default: // a part without end
            text = text.substr(0, at) + std::string(random.below(900), random.below(2) ? 'x' : '0');
        }
    }
    return text;
}

struct result {
    reader_state state = reader_state::empty;
    std::string request;
    auto operator<=>(const result&) const = default;
};

/// Feeds the bytes in reads of at most `mostBytes` and checks what is held after each of them.
result readAll(std::string_view bytes, random_source& random, std::size_t mostBytes)
{
    request_reader reader(headerBytes, bodyBytes);
    std::string input;
    result out;
    while (!bytes.empty() && reader.state() != reader_state::complete && reader.state() != reader_state::refused) {
        const auto part = bytes.substr(0, 1 + random.below(mostBytes));
        input += part;
        bytes.remove_prefix(part.size());
        reader.feed(input);
        const bool isGoingOn = reader.state() != reader_state::complete && reader.state() != reader_state::refused;
        CHECK((!isGoingOn || input.size() <= headerBytes));
        CHECK(reader.bodyBytesBuffered() <= bodyBytes);
        if (reader.state() == reader_state::head)
            CHECK(reader.bytesHeld() == 0);
    }
    out.state = reader.state();
    if (out.state == reader_state::complete) {
        const auto request = reader.take();
        out.request = request.method + " " + request.target + "|" + request.body;
        for (const auto& header : request.headers.entries)
            out.request += "|" + header.name + ":" + header.value;
    }
    return out;
}

}

// Guards against bytes that are held without a bound, and against a result that depends on how they arrive.
TEST_CASE("test_request_parser_holds_a_bounded_part_of_any_bytes_in_any_cut")
{
    random_source random(20261206);
    int complete = 0;
    int refused = 0;
    constexpr int rounds = 4000;
    for (int i = 0; i < rounds; ++i) {
        const auto text = mutated(random, samples()[random.below(samples().size())]);
        INFO(text);
        const auto inBytes = readAll(text, random, 1);
        const auto inParts = readAll(text, random, readBytes);
        CHECK(inBytes == inParts);
        complete += inBytes.state == reader_state::complete;
        refused += inBytes.state == reader_state::refused;
    }
    CHECK(complete > rounds / 20);
    CHECK(refused > rounds / 20);
}

TEST_CASE("test_each_unfinished_part_of_a_request_is_refused_above_the_limit")
{
    const std::string post = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n";
    const std::string beginnings[] { "GET /", "GET / HTTP/1.1\r\nA: ", post + "\r\n4;x=", post + "\r\n0\r\nX: " };
    for (const auto& beginning : beginnings) {
        INFO(beginning);
        request_reader reader(headerBytes, bodyBytes);
        std::string input = beginning + std::string(headerBytes, 'x');
        CHECK(reader.feed(input) == reader_state::refused);
        CHECK(reader.refusalKind() == error_kind::header_too_large);
    }
}
