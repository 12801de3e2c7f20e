// Tests the encoding of statements.
#include "duties/duty_statement.h"

#include <catch2/catch.hpp>

using namespace tamarack;

TEST_CASE("test_statements_survive_encoding")
{
    const duty_record usage { "vm-1", 17, usage_statement { 353445120, { { "huka", 412 }, { "puhu", 1 } } } };
    const auto read = decodeDutyRecord(encodeDutyRecord(usage));
    REQUIRE(read);
    CHECK(read->holder == "vm-1");
    CHECK(read->process == 17);
    CHECK(read->statement == usage.statement);
    const duty_record orders { "vm-2", 3, instance_statement { { { "engines", "a", true, 6 } } } };
    CHECK(decodeDutyRecord(encodeDutyRecord(orders))->statement == orders.statement);
}

TEST_CASE("test_statements_of_neighbouring_windows_have_different_keys")
{
    for (std::int64_t other = 9; other < 8 + keptUsageStatements; ++other)
        CHECK(dutyKey(usage_statement { 8, {} }) != dutyKey(usage_statement { other, {} }));
    CHECK(dutyKey(usage_statement { 8, {} }) != dutyKey(instance_statement {}));
}

TEST_CASE("test_malformed_and_later_records_are_not_read")
{
    for (const char* text : { "", "{", "[]", "{}", R"({"format":2,"holder":"a","process":1,"instances":{"orders":[]}})",
             R"({"format":1,"holder":"a","process":1,"usage":{"window":"x","counts":{}}})",
             R"({"format":1,"holder":"a","process":1,"usage":{"window":1,"counts":{"a":-1.5e99}}})",
             R"({"format":1,"holder":5,"process":1,"instances":{"orders":[]}})" })
        CHECK_FALSE(decodeDutyRecord(text).has_value());
    CHECK(decodeDutyRecord(R"({"format":1,"holder":"a","process":1,"new":[1],"instances":{"orders":[],"new":2}})"));
}
