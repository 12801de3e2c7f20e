// Tests the encoding of log records as text.
#include "platform/record_codec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace tamarack;

namespace {

replicated_data someData()
{
    replicated_data data;
    data.asOf = { 77 };
    data.configuration = { 3, { 12 }, "{ \"text\": \"\xc4\x8d\" }", "anna", 99 };
    data.leases["r/s"] = { { "a", 5 }, { 10 }, { 20 } };
    data.leases["r/free"] = { {}, { 10 }, { 21 } };
    data.orders["x"] = { { 30 }, true, "r/s", { 10 }, { "a", 5 }, { order_kind::version, "7" }, true, 4, true };
    return data;
}

}

TEST_CASE("test_every_record_kind_survives_its_text")
{
    const record_origin origin { { "node-1", 123456789012345ULL }, 17 };
    const record_body bodies[] {
        publication_record { 4, "text", "anna" },
        claim_record { "r/s", {} },
        renewal_record { "r/s", { 5 } },
        release_record { "r/s", { 5 } },
        order_record { "r/s", { 5 }, "x", { order_kind::role, "decode" }, true, { 3 }, true, 8 },
        order_end_record { "r/s", { 5 }, "x", { 6 }, order_end::delivery_closed },
        snapshot_record { someData() },
    };
    for (const auto& body : bodies) {
        const auto text = encodeRecord(origin, body);
        const auto read = decodeRecord({ 9 }, text);
        INFO(text);
        REQUIRE(read);
        CHECK(read->offset.value == 9);
        CHECK(read->origin.writer == origin.writer);
        CHECK(encodeRecord(read->origin, read->body) == text);
    }
    const auto read = decodeRecord({ 9 }, encodeRecord(origin, snapshot_record { someData() }));
    CHECK(std::get<snapshot_record>(read->body).data == someData());
}

TEST_CASE("test_unknown_fields_are_passed_over")
{
    const auto read = decodeRecord(
        { 0 }, R"({"kind":"claim","writer":"a@1","sequence":1,"lease":"l","previous":-1,"added_later":true})");
    REQUIRE(read);
    CHECK(std::get<claim_record>(read->body).lease == "l");
}

TEST_CASE("test_damaged_records_do_not_decode")
{
    for (const char* text :
        { "", "{", "null", "5", "{}", R"({"kind":"claim"})",
            R"({"kind":"claim","writer":"nobody","sequence":1,"lease":"l","previous":1})",
            R"({"kind":"claim","writer":"a@1","sequence":1,"lease":5,"previous":1})",
            R"({"kind":"order-end","writer":"a@1","sequence":1,"lease":"l","term":1,"target":"x","ends":1,"reason":"odd"})",
            R"({"kind":"order","writer":"a@1","sequence":1,"lease":"l","term":1,"target":"x","order":"odd","value":"","checks_fencing":true,"previous":1,"replaces_open":false,"target_incarnation":1})" }) {
        INFO(text);
        CHECK_FALSE(decodeRecord({ 0 }, text));
    }
    const auto whole = encodeRecord({ { "a", 1 }, 1 }, snapshot_record { someData() });
    CHECK(rc::check("a cut record does not decode, and nothing breaks", [&] {
        const auto length = *rc::gen::inRange<std::size_t>(0, whole.size());
        RC_ASSERT(!decodeRecord({ 0 }, whole.substr(0, length)));
    }));
}
