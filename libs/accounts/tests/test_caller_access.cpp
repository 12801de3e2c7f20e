// Tests which requests may use a route.
#include "accounts/caller_access.h"

#include <catch2/catch.hpp>
#include <set>

using namespace tamarack;

namespace {

account_directory oneAccount()
{
    client_account account;
    account.name = "huka";
    account.keys.push_back(digestOfKey("valid"));
    return account_directory({ account });
}

}

TEST_CASE("test_a_known_key_gives_access_to_its_account")
{
    const auto directory = oneAccount();
    const auto access = decideAccess(directory, { credential_state::key, "valid" }, false);
    CHECK(access.isAllowed);
    REQUIRE(access.account);
    CHECK(access.account->name == "huka");
}

TEST_CASE("test_every_other_credential_is_denied_with_a_reason_of_its_own")
{
    const auto directory = oneAccount();
    std::set<std::string_view> reasons;
    for (const auto& sent :
        { credential { credential_state::key, "unknown" }, credential {}, credential { credential_state::doubled, {} },
            credential { credential_state::other_scheme, {} }, credential { credential_state::malformed, {} } }) {
        const auto access = decideAccess(directory, sent, false);
        CHECK_FALSE(access.isAllowed);
        CHECK_FALSE(access.account);
        CHECK(access.reason.find("unknown") == std::string_view::npos);
        reasons.insert(access.reason);
    }
    CHECK(reasons.size() == 5);
}

TEST_CASE("test_a_public_route_needs_no_key_but_takes_the_account_of_a_valid_one")
{
    const auto directory = oneAccount();
    CHECK(decideAccess(directory, {}, true).isAllowed);
    CHECK_FALSE(decideAccess(directory, {}, true).account);
    CHECK(decideAccess(directory, { credential_state::key, "unknown" }, true).isAllowed);
    CHECK_FALSE(decideAccess(directory, { credential_state::key, "unknown" }, true).account);
    CHECK(decideAccess(directory, { credential_state::key, "valid" }, true).account->name == "huka");
}
