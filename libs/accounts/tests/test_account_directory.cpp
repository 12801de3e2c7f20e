// Tests the lookup of client accounts by their keys.
#include "accounts/account_directory.h"

#include <catch2/catch.hpp>

using namespace tamarack;

namespace {

client_account account(std::string name, const std::vector<std::string>& keys)
{
    client_account out;
    out.name = std::move(name);
    for (const auto& key : keys)
        out.keys.push_back(digestOfKey(key));
    return out;
}

}

TEST_CASE("test_accounts_are_found_by_each_of_their_keys_only")
{
    const account_directory directory({ account("huka", { "k1", "k2" }), account("puhu", { "k3" }) });
    REQUIRE(directory.findByKey("k2"));
    CHECK(directory.findByKey("k1")->name == "huka");
    CHECK(directory.findByKey("k2")->name == "huka");
    CHECK(directory.findByKey("k3")->name == "puhu");
    for (const char* key : { "", "k", "k4", "K1", "k1 " })
        CHECK_FALSE(directory.findByKey(key));
}

// Guards against a key that gives access to the account that happens to be listed first.
TEST_CASE("test_a_key_of_two_accounts_is_valid_for_neither")
{
    const account_directory directory({ account("huka", { "shared", "own" }), account("puhu", { "shared" }) });
    CHECK_FALSE(directory.findByKey("shared"));
    CHECK(directory.findByKey("own")->name == "huka");
    CHECK(directory.ambiguousAccount() == "puhu");
}

TEST_CASE("test_a_key_listed_twice_in_one_account_is_valid")
{
    const account_directory directory({ account("huka", { "k1", "k1" }) });
    CHECK(directory.findByKey("k1"));
    CHECK(directory.ambiguousAccount().empty());
}

TEST_CASE("test_key_digests_differ_in_every_byte_position")
{
    const auto digest = digestOfKey("k1");
    CHECK(isEqual(digest, digestOfKey("k1")));
    for (std::size_t i = 0; i < digest.bytes.size(); ++i) {
        auto other = digest;
        other.bytes[i] ^= 1;
        CHECK_FALSE(isEqual(digest, other));
    }
}

TEST_CASE("test_fifteen_thousand_accounts_are_found_by_each_key")
{
    std::vector<client_account> accounts;
    for (int i = 0; i < 15'000; ++i)
        accounts.push_back(account("a" + std::to_string(i), { "x" + std::to_string(i), "y" + std::to_string(i) }));
    const account_directory directory(std::move(accounts));
    int found = 0;
    for (int i = 0; i < 15'000; ++i) {
        const auto* owner = directory.findByKey("y" + std::to_string(i));
        found += owner && owner->name == "a" + std::to_string(i);
    }
    CHECK(found == 15'000);
}
