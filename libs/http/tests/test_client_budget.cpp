// Tests of the account of what is held for clients, without a network.
#include "http/client_budget.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

struct fake_connection final : budgeted_connection {
    int dropped = 0;
    int closed = 0;
    client_budget* budget = nullptr; // whose places it leaves
    void dropReceived() override { ++dropped; }
    void giveUpPlace() override
    {
        ++closed;
        budget->waiting().erase(*this);
        budget->closed();
    }
};

client_budget_limits limitsOf(std::uint64_t bytes, std::uint64_t reserved)
{
    client_budget_limits out;
    out.bytes = bytes;
    out.reservedBytes = reserved;
    out.smallBytes = 10;
    out.connections = 2;
    return out;
}

}

// Guards against a refusal of who comes last, while those that hold most stay.
TEST_CASE("test_connection_that_holds_most_goes_first")
{
    client_budget budget(limitsOf(100, 0));
    fake_connection large;
    fake_connection newcomer;
    budget.setReceived(large, 90);
    REQUIRE(budget.makeRoom(large));
    budget.setReceived(newcomer, 20);
    CHECK(budget.makeRoom(newcomer));
    CHECK(large.dropped == 1);
    CHECK(newcomer.dropped == 0);
    CHECK(budget.held() == 20);
}

TEST_CASE("test_connection_that_holds_most_itself_has_to_go")
{
    client_budget budget(limitsOf(100, 0));
    std::vector<pressure> kinds;
    budget.onLetGo = [&](pressure kind, std::size_t) { kinds.push_back(kind); };
    fake_connection small;
    fake_connection newcomer;
    budget.setReceived(small, 30);
    budget.setReceived(newcomer, 80);
    CHECK(!budget.makeRoom(newcomer));
    CHECK(small.dropped == 0);
    CHECK(kinds == std::vector { pressure::memory });
}

// Guards against long requests at work that leave no memory for short ones.
TEST_CASE("test_small_requests_are_taken_while_kept_ones_fill_the_rest")
{
    client_budget budget(limitsOf(100, 20));
    budget.addKept(100);
    fake_connection small;
    fake_connection large;
    budget.setReceived(small, 10);
    CHECK(budget.makeRoom(small));
    budget.setReceived(large, 11);
    CHECK(!budget.makeRoom(large));
}

TEST_CASE("test_connections_without_a_request_go_before_used_ones_the_longest_first")
{
    using rank = waiting_connections::rank;
    client_budget budget(limitsOf(100, 0));
    fake_connection used;
    fake_connection old;
    fake_connection young;
    fake_connection closing;
    for (auto* item : { &used, &old, &young, &closing }) {
        item->budget = &budget;
        budget.opened();
    }
    const instant now {};
    budget.waiting().set(used, rank::used, now);
    budget.waiting().set(young, rank::unused, now + 3s);
    budget.waiting().set(old, rank::unused, now + 1s);
    budget.waiting().set(closing, rank::closing, now + 5s);
    for (const auto* expected : { &closing, &old, &young, &used }) {
        CHECK(expected->closed == 0);
        REQUIRE(budget.freePlace(budget.waiting()));
        CHECK(expected->closed == 1);
    }
    CHECK(!budget.freePlace(budget.waiting()));
    CHECK(budget.hasPlace());
}

// Guards against a count that ends when a request is passed to its handler.
TEST_CASE("test_charge_is_counted_until_its_last_part_ends")
{
    const auto budget = std::make_shared<client_budget>(limitsOf(100, 0));
    budget_charge body;
    {
        budget_charge whole(budget, 70);
        body = whole.split(50);
        CHECK(whole.bytes() == 20);
        CHECK(budget->held() == 70);
    }
    CHECK(budget->held() == 50);
    body.set(60);
    CHECK(budget->held() == 60);
    body = {};
    CHECK(budget->held() == 0);
}
