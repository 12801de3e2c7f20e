// Tests how record_feed follows a topic of the store through failures.
#include "fake_ports.h"
#include "record_feed.h"

using namespace tamarack;
using namespace tamarack::tests;
using namespace std::chrono_literals;

namespace {

struct feed_fixture {
    fake_store store;
    std::vector<std::vector<keyed_record>> snapshots;
    std::vector<std::string> keys;
    std::vector<bool> reach;
    record_feed feed;

    explicit feed_fixture(feed_options options = { store_topic::targets, 0ms, 1ms, 1ms, 1ms })
        : feed(store, options,
            { [this](const std::vector<keyed_record>& all) { snapshots.push_back(all); },
                [this](const std::vector<keyed_record>& records) {
                    for (const auto& record : records)
                        keys.push_back(record.key);
                },
                [this](bool isReachable, std::string_view) { reach.push_back(isReachable); } })
    {
        feed.start();
    }

    fake_store::call& last(std::size_t calls)
    {
        REQUIRE(spinUntil([&] { return store.calls.size() >= calls; }));
        return store.calls[calls - 1];
    }
};

keyed_record record(std::int64_t offset, const std::string& key) { return { offset, key, "value" }; }

}

TEST_CASE("test_feed_reads_the_newest_once_and_then_follows")
{
    feed_fixture topic;
    topic.last(1).onNewest(newest_page { { record(4, "a") }, 7, true });
    CHECK(topic.last(2).key == "a"); // the page after it
    topic.last(2).onNewest(newest_page { { record(6, "b") }, 9, false });
    REQUIRE(topic.snapshots.size() == 1);
    CHECK(topic.snapshots[0].size() == 2);
    // The pages are not an atomic snapshot: records written between them are read again.
    CHECK(topic.last(3).from == 7);
    topic.last(3).onRead(record_page { { record(7, "c") }, 8, 8 });
    CHECK(topic.keys == std::vector<std::string> { "c" });
    CHECK(topic.last(4).from == 8);
}

TEST_CASE("test_failed_page_is_retried_with_a_longer_timeout")
{
    // Guards against a large fleet that serves nothing for half a minute after a start of all nodes. All of them read a
    // long list at once and the store needs longer for a page than the timeout; restarting the whole read then
    // saturates the store with responses that no node waits for.
    feed_fixture topic;
    topic.last(1).onNewest(newest_page { { record(4, "a") }, 7, true });
    const auto usual = topic.last(2).wait;
    topic.last(2).onNewest(store_error::unreachable);
    CHECK(topic.last(3).key == "a"); // not the first page
    CHECK(topic.last(3).wait == 2 * usual);
    topic.last(3).onNewest(newest_page { { record(6, "b") }, 9, false });
    REQUIRE(topic.snapshots.size() == 1);
    CHECK(topic.snapshots[0].size() == 2);
    CHECK(topic.last(4).from == 7);
}

TEST_CASE("test_feed_starts_over_when_records_have_expired")
{
    // Guards against a node that keeps an old configuration forever: the store has dropped records that the node has
    // not read, and `expired` must not be handled as a transient failure.
    feed_fixture topic;
    topic.last(1).onNewest(newest_page { {}, 5, false });
    topic.last(2).onRead(store_error::expired);
    CHECK(topic.last(3).what == "newest");
    CHECK(topic.reach == std::vector<bool> { true });
}

TEST_CASE("test_feed_continues_after_failures_and_reports_each_change_once")
{
    feed_fixture topic;
    topic.last(1).onNewest(newest_page { {}, 5, false });
    topic.last(2).onRead(store_error::unreachable);
    topic.last(3).onRead(store_error::refused);
    topic.last(4).onRead(record_page { { record(5, "d") }, 6, 6 });
    CHECK(topic.keys == std::vector<std::string> { "d" });
    CHECK(topic.reach == std::vector<bool> { true, false, true });
}

TEST_CASE("test_immediate_read_abandons_a_hanging_long_poll")
{
    // Guards against a new version being late on one node for as long as its long poll lasts: the connection to the
    // store is dead, and only a peer announces the version.
    feed_fixture topic({ store_topic::configuration, 20s, 1ms, 1ms, 1ms });
    topic.last(1).onNewest(newest_page { {}, 5, false });
    auto& hanging = topic.last(2);
    const auto late = hanging.onRead;
    topic.feed.readNow();
    topic.last(3).onRead(record_page { { record(5, "new") }, 6, 6 });
    CHECK(topic.keys == std::vector<std::string> { "new" });
    late(record_page { { record(5, "new") }, 6, 6 }); // ignored by now
    CHECK(topic.keys.size() == 1);
}

TEST_CASE("test_immediate_read_does_not_interrupt_a_read_in_progress")
{
    // Guards against late configurations on nodes with narrow links and thousands of store calls. A large configuration
    // takes a second to transfer, and each peer that announces it must not make the node abandon the outstanding read.
    feed_fixture topic({ store_topic::configuration, 20s, 1h, 1ms, 1ms });
    topic.feed.readNow();
    topic.feed.readNow();
    CHECK(topic.store.calls.size() == 1);
    topic.last(1).onNewest(newest_page { { record(4, "a") }, 5, false });
    CHECK(topic.last(2).wait == 20s); // requested at once, as there may be more records by now
    topic.feed.readNow(); // that call waits for new records, so it is abandoned
    CHECK(topic.last(3).wait == 0s);
    topic.feed.readNow();
    CHECK(topic.store.calls.size() == 3);
    topic.store.calls[2].onRead(record_page { { record(5, "b") }, 6, 6 });
    CHECK(topic.keys == std::vector<std::string> { "b" });
}

TEST_CASE("test_feed_reports_a_failure_of_the_first_read")
{
    // Guards against a node that starts during an outage of the store, does not log it and asks its peers late: the
    // failure of the first read must be reported as well, although the store was never reached.
    feed_fixture topic;
    topic.last(1).onNewest(store_error::refused);
    CHECK(topic.reach == std::vector<bool> { false });
    topic.last(2).onNewest(store_error::refused);
    CHECK(topic.reach == std::vector<bool> { false });
    topic.last(3).onNewest(newest_page { {}, 0, false });
    CHECK(topic.reach == std::vector<bool> { false, true });
}

TEST_CASE("test_empty_long_poll_response_confirms_freshness_up_to_its_end")
{
    feed_fixture topic({ store_topic::configuration, 50ms, 1ms, 1ms, 1ms });
    topic.last(1).onNewest(newest_page { { record(4, "a") }, 5, false });
    auto asked = boot_clock::now();
    topic.last(2).onRead(record_page { { record(5, "b") }, 6, 6 });
    CHECK(topic.feed.freshAt() <= boot_clock::now());
    CHECK(topic.feed.freshAt() < asked + 50ms);
    const auto& waiting = topic.last(3);
    asked = boot_clock::now();
    REQUIRE(spinUntil([&] { return boot_clock::now() > asked + 60ms; }));
    waiting.onRead(record_page { {}, 6, 6 });
    CHECK(topic.feed.freshAt() >= asked + 40ms);
    CHECK(topic.feed.freshAt() <= asked + 50ms);
}

TEST_CASE("test_feed_skips_records_supplied_by_a_peer")
{
    // Guards against a full read of a topic that a peer has already supplied, which can take a second on a slow link.
    fake_store store;
    record_feed feed(store, { store_topic::configuration, 0ms, 1h },
        { [](const auto&) {}, [](const auto&) {}, [](bool, std::string_view) {} });
    feed.skipTo(7);
    feed.readNow();
    REQUIRE(store.calls.size() == 1);
    CHECK(store.calls[0].what == "read");
    CHECK(store.calls[0].from == 7);
}

TEST_CASE("test_retry_of_a_failed_call_is_deferred_once_when_a_peer_has_supplied_its_answer")
{
    fake_store store;
    record_feed feed(store, { store_topic::configuration, 0ms, 1h, 30ms, 30ms },
        { [](const auto&) {}, [](const auto&) {}, [](bool, std::string_view) {} });
    feed.skipTo(7);
    feed.readNow();
    const auto fail = store.calls[0].onRead;
    fail(store_error::unreachable);
    const auto failedAt = boot_clock::now();
    CHECK(spinUntil([&] {
        feed.deferRetry(150ms); // repeated calls must not postpone the retry further
        return store.calls.size() == 2;
    }));
    CHECK(boot_clock::now() >= failedAt + 142ms); // timers fire up to a twentieth early
}
