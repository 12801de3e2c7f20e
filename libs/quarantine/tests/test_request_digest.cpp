// Tests that digests identify requests by account, method, target and body.
#include "quarantine/request_digest.h"

#include <catch2/catch.hpp>
#include <set>

using namespace tamarack;

TEST_CASE("test_request_digest_differs_in_every_part")
{
    std::set<request_digest> digests;
    digests.insert(digestOf("a", "POST", "/x", "body"));
    digests.insert(digestOf("b", "POST", "/x", "body"));
    digests.insert(digestOf("a", "GET", "/x", "body"));
    digests.insert(digestOf("a", "POST", "/x?q=1", "body"));
    digests.insert(digestOf("a", "POST", "/x", "bodz"));
    digests.insert(digestOf("a", "POST", "/xb", "ody"));
    CHECK(digests.size() == 6);
    CHECK(digestOf("a", "POST", "/x", "body") == digestOf("a", "POST", "/x", "body"));
}

TEST_CASE("test_request_digest_is_parsed_from_its_text_only")
{
    const auto digest = digestOf("a", "POST", "/x", "body");
    CHECK(parseRequestDigest(toString(digest)) == digest);
    CHECK(toString(request_digest { 1, 0xab }) == "000000000000000100000000000000ab");
    for (const char* text : { "", "1", "000000000000000100000000000000ag", "00000000000000010000000000000-ab",
             "000000000000000100000000000000ab0" })
        CHECK_FALSE(parseRequestDigest(text));
}
