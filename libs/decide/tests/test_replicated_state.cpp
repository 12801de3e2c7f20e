// Verdicts of the replicated state, snapshots, and repeated records.
#include "decide/log_follower.h"
#include "decide/replicated_state.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace tamarack;

namespace {

const instance_id a { "a", 1 };
const instance_id b { "b", 1 };
const std::string lease = "r/s";

/// Builds a log record by record.
struct log_builder {
    replicated_state state;
    std::vector<log_record> records;

    verdict add(const instance_id& writer, record_body body)
    {
        const log_offset offset { static_cast<std::int64_t>(records.size()) };
        records.push_back({ offset, { writer, records.size() + 1 }, std::move(body) });
        return state.apply(records.back());
    }
    verdict order(const instance_id& writer, log_offset term, const std::string& value, bool replaces = false)
    {
        return add(writer,
            order_record { lease, term, "x", { order_kind::role, value }, true, state.orders("x").last, replaces, 1 });
    }
    verdict end(const instance_id& writer, log_offset term, log_offset which, order_end reason)
    {
        return add(writer, order_end_record { lease, term, "x", which, reason });
    }
};

record_body randomBody(const std::vector<std::int64_t>& dice, std::int64_t at)
{
    const auto pick = [&](std::size_t i) { return dice[i % dice.size()]; };
    const log_offset some { pick(1) % (at + 2) - 1 };
    const log_offset other { pick(2) % (at + 2) - 1 };
    switch (pick(0) % 6) {
    case 0:
        return publication_record { static_cast<std::uint64_t>(pick(1) % 4), "text" + std::to_string(at), "op" };
    case 1:
        return claim_record { lease, some };
    case 2:
        return renewal_record { lease, some };
    case 3:
        return release_record { lease, some };
    case 4:
        return order_record { lease, some, "x", { order_kind::role, "decode" }, pick(3) % 2 == 0, other,
            pick(4) % 2 == 0, 1 };
    default:
        return order_end_record { lease, some, "x", other, static_cast<order_end>(pick(3) % 6) };
    }
}

std::vector<log_record> randomLog()
{
    const auto length = *rc::gen::inRange(1, 60);
    std::vector<log_record> records;
    for (int i = 0; i < length; ++i) {
        const auto dice = *rc::gen::container<std::vector<std::int64_t>>(5, rc::gen::inRange<std::int64_t>(0, 1000));
        const auto writer = dice[4] % 2 ? a : b;
        records.push_back({ { i }, { writer, static_cast<std::uint64_t>(i) + 1 }, randomBody(dice, i) });
    }
    return records;
}

}

TEST_CASE("test_publication_race_has_one_winner")
{
    log_builder log;
    CHECK(log.add(a, publication_record { 0, "one", "anna" }) == verdict::valid);
    CHECK(log.add(a, publication_record { 1, "two", "anna" }) == verdict::valid);
    CHECK(log.add(b, publication_record { 1, "also two", "boris" }) == verdict::stale_base);
    CHECK(log.state.configuration().version == 2);
    CHECK(log.state.configuration().text == "two");
}

TEST_CASE("test_claim_appended_after_a_take_over_is_rejected")
{
    // A claim or renewal of a former holder can be delayed and be appended after the successor's claim. It must be
    // judged by its offset, not by the time at which it was written, or the former holder would appear to hold the
    // lease again.
    log_builder log;
    CHECK(log.add(a, claim_record { lease, {} }) == verdict::valid);
    CHECK(log.add(b, claim_record { lease, { 0 } }) == verdict::valid);
    CHECK(log.add(a, renewal_record { lease, { 0 } }) == verdict::stale_term);
    CHECK(log.add(a, claim_record { lease, { 0 } }) == verdict::stale_previous);
    CHECK(log.state.lease(lease).holder == b);
    CHECK(log.order(a, { 0 }, "decode") == verdict::stale_term);
}

TEST_CASE("test_order_appended_twice_counts_once")
{
    // If the answer to an append is lost and the append is repeated, the copy may be appended after the order was
    // closed. Without the compare-and-set on the previous order, the target would receive an outdated order again.
    log_builder log;
    log.add(a, claim_record { lease, {} });
    const auto first = order_record { lease, { 0 }, "x", { order_kind::role, "decode" }, true, {}, false, 1 };
    CHECK(log.add(a, first) == verdict::valid);
    CHECK(log.add(a, first) == verdict::stale_previous);
    CHECK(log.end(a, { 0 }, { 1 }, order_end::effect_seen) == verdict::valid);
    CHECK(log.add(a, first) == verdict::stale_previous);
}

TEST_CASE("test_target_has_one_open_order")
{
    log_builder log;
    log.add(a, claim_record { lease, {} });
    CHECK(log.order(a, { 0 }, "decode") == verdict::valid);
    CHECK(log.order(a, { 0 }, "prefill") == verdict::order_open);
    CHECK(log.order(a, { 0 }, "prefill", true) == verdict::order_open);
    CHECK(log.order(a, { 0 }, "decode", true) == verdict::valid);
}

TEST_CASE("test_reissue_is_not_closed_as_never_sent")
{
    // A successor reissues an open order, drops its own copy unsent, closes the order and issues a different one. Since
    // never_sent is true only of the reissue, the former holder's copy may still be in flight and take effect later.
    log_builder log;
    log.add(a, claim_record { lease, {} });
    log.order(a, { 0 }, "decode");
    log.add(b, claim_record { lease, { 0 } });
    CHECK(log.order(b, { 2 }, "decode", true) == verdict::valid);
    CHECK(log.end(b, { 2 }, { 3 }, order_end::never_sent) == verdict::not_entitled);
    CHECK(log.state.orders("x").isOpen);
    CHECK(log.end(b, { 2 }, { 3 }, order_end::effect_seen) == verdict::valid);
}

TEST_CASE("test_only_the_deliverer_says_never_sent")
{
    log_builder log;
    log.add(a, claim_record { lease, {} });
    log.order(a, { 0 }, "decode");
    log.add(b, claim_record { lease, { 0 } });
    CHECK(log.end(b, { 2 }, { 1 }, order_end::never_sent) == verdict::not_entitled);
    CHECK(log.end(a, { 0 }, { 1 }, order_end::effect_seen) == verdict::stale_term);
    CHECK(log.end(a, { 0 }, { 1 }, order_end::never_sent) == verdict::valid);
}

TEST_CASE("test_every_record_counts_at_most_once")
{
    // Appends are repeated after lost answers, so duplicating any record of a log must not change the state.
    CHECK(rc::check("doubling a record changes nothing but offsets", [] {
        const auto records = randomLog();
        const auto doubled = static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(records.size())));
        replicated_state state;
        for (std::size_t i = 0; i <= doubled; ++i)
            state.apply(records[i]);
        const auto before = state.data();
        log_record copy = records[doubled];
        copy.offset = { static_cast<std::int64_t>(doubled) + 1 };
        const bool isRenewal = std::holds_alternative<renewal_record>(copy.body);
        const auto v = state.apply(copy);
        if (isRenewal)
            return; // a repeated renewal is valid and has the same effect
        RC_ASSERT(v != verdict::valid);
        auto after = state.data();
        after.asOf = before.asOf;
        RC_ASSERT(after == before);
    }));
}

TEST_CASE("test_snapshot_and_rest_equal_the_whole_log")
{
    CHECK(rc::check("a node that starts from a snapshot agrees with one that read everything", [] {
        const auto records = randomLog();
        const auto cut = static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(records.size())));
        replicated_state whole;
        replicated_state restored;
        for (std::size_t i = 0; i < records.size(); ++i) {
            if (i == cut)
                restored.restore(whole.data());
            const auto v = whole.apply(records[i]);
            if (i >= cut)
                RC_ASSERT(restored.apply(records[i]) == v);
        }
        RC_ASSERT(restored.data() == whole.data());
    }));
}

namespace {

decoded_page pageOf(const std::vector<log_record>& records, std::int64_t first, std::int64_t from)
{
    decoded_page page { { first }, { static_cast<std::int64_t>(records.size()) }, {} };
    for (auto at = std::max(first, from); at < static_cast<std::int64_t>(records.size()); ++at)
        page.items.push_back({ { at }, records[static_cast<std::size_t>(at)] });
    return page;
}

}

TEST_CASE("test_node_starting_on_a_truncated_log_finds_the_configuration")
{
    // A node that starts after the publication has expired from the log must obtain the configuration in force from a
    // snapshot; without one it would serve no configuration or an old one.
    log_builder log;
    log.add(a, publication_record { 0, "one", "anna" });
    log.add(a, claim_record { lease, {} });
    log.add(a, snapshot_record { log.state.data() });
    log.add(a, publication_record { 1, "two", "anna" });
    log_follower follower([](const log_record&, verdict) {});
    follower.applyPage(pageOf(log.records, 1, 0));
    CHECK_FALSE(follower.hasGap());
    CHECK(follower.state().data() == log.state.data());
    CHECK(follower.hasReachedEnd());
}

TEST_CASE("test_gap_is_not_skipped")
{
    // If records expire before a node has read them, it must not continue from its old state: compare-and-set against
    // that state would make two nodes reach different verdicts on the same record.
    log_builder log;
    log.add(a, publication_record { 0, "one", "anna" });
    log_follower follower([](const log_record&, verdict) {});
    follower.applyPage(pageOf(log.records, 0, 0));
    log.add(a, publication_record { 1, "two", "anna" });
    log.add(a, publication_record { 2, "three", "anna" });
    follower.applyPage(pageOf(log.records, 2, 1));
    CHECK(follower.hasGap());
    CHECK_FALSE(follower.hasReachedEnd());
    CHECK(follower.state().configuration().version == 1);
    SECTION("a snapshot covers it")
    {
        log.add(a, snapshot_record { log.state.data() });
        follower.applyPage(pageOf(log.records, 2, follower.readFrom().value));
        CHECK_FALSE(follower.hasGap());
        CHECK(follower.state().configuration().version == 3);
    }
    SECTION("a peer's state covers it")
    {
        CHECK(follower.adopt(log.state.data()));
        CHECK(follower.state().configuration().version == 3);
    }
}

TEST_CASE("test_undecodable_record_is_counted_and_passed_over")
{
    log_follower follower([](const log_record&, verdict) {});
    decoded_page page { { 0 }, { 2 }, {} };
    page.items.push_back({ { 0 }, std::nullopt });
    page.items.push_back({ { 1 }, log_record { { 1 }, { a, 1 }, publication_record { 0, "one", "anna" } } });
    follower.applyPage(page);
    CHECK(follower.undecodable() == 1);
    CHECK(follower.state().configuration().version == 1);
}
