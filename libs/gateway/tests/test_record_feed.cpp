// Following a topic of the store through failures.
#include "fake_ports.h"
#include "record_feed.h"

using namespace tamarack;
using namespace tamarack::tests;
using namespace std::chrono_literals;

namespace {

struct followed_topic {
    fake_store store;
    std::vector<std::vector<keyed_record>> snapshots;
    std::vector<std::string> keys;
    std::vector<bool> reach;
    record_feed feed;

    explicit followed_topic(feed_options options = { store_topic::targets, 0ms, 1ms, 1ms, 1ms })
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
    followed_topic topic;
    topic.last(1).onNewest(newest_page { { record(4, "a") }, 7, true });
    CHECK(topic.last(2).key == "a"); // the page after it
    topic.last(2).onNewest(newest_page { { record(6, "b") }, 9, false });
    REQUIRE(topic.snapshots.size() == 1);
    CHECK(topic.snapshots[0].size() == 2);
    // Pages are no snapshot: what was written between them is read again.
    CHECK(topic.last(3).from == 7);
    topic.last(3).onRead(record_page { { record(7, "c") }, 8, 8 });
    CHECK(topic.keys == std::vector<std::string> { "c" });
    CHECK(topic.last(4).from == 8);
}

TEST_CASE("test_page_that_failed_is_asked_for_again_and_waited_for_longer")
{
    // Symptom: after a start of all nodes of a large fleet none serves for half a minute.
    // Sequence: all read a long list at once; the store needs longer for a page than it is waited for.
    // Cause: a page without an answer in time made the reading begin anew, and the store answers what nobody waits for.
    followed_topic topic;
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
    // Symptom: a node goes on with an old configuration for ever.
    // Sequence: the store drops its history while a node was not reading.
    // Cause: the answer "not kept any more" is taken for a failure that passes.
    followed_topic topic;
    topic.last(1).onNewest(newest_page { {}, 5, false });
    topic.last(2).onRead(store_error::expired);
    CHECK(topic.last(3).what == "newest");
    CHECK(topic.reach == std::vector<bool> { true });
}

TEST_CASE("test_feed_goes_on_after_failures_and_tells_once")
{
    followed_topic topic;
    topic.last(1).onNewest(newest_page { {}, 5, false });
    topic.last(2).onRead(store_error::unreachable);
    topic.last(3).onRead(store_error::refused);
    topic.last(4).onRead(record_page { { record(5, "d") }, 6, 6 });
    CHECK(topic.keys == std::vector<std::string> { "d" });
    CHECK(topic.reach == std::vector<bool> { true, false, true });
}

TEST_CASE("test_hurried_feed_does_not_wait_for_a_call_that_hangs")
{
    // Symptom: a new version is in force on all nodes but one for as long as its waiting read lasts.
    // Sequence: its connection to the store has gone silent; a peer names a newer version.
    // Cause: one call at a time, and the outstanding one never ends.
    followed_topic topic({ store_topic::configuration, 20s, 1ms, 1ms, 1ms });
    topic.last(1).onNewest(newest_page { {}, 5, false });
    auto& hanging = topic.last(2);
    const auto late = hanging.onRead;
    topic.feed.readNow();
    topic.last(3).onRead(record_page { { record(5, "new") }, 6, 6 });
    CHECK(topic.keys == std::vector<std::string> { "new" });
    late(record_page { { record(5, "new") }, 6, 6 }); // has no effect any more
    CHECK(topic.keys.size() == 1);
}

TEST_CASE("test_hurried_feed_lets_an_answer_come_to_its_end")
{
    // Symptom: a large configuration is in force seconds late on nodes with narrow links, and the store gets thousands
    // of calls.
    // Sequence: the configuration is on its way for a second; each peer that names it has it asked for again.
    // Cause: the outstanding call was given up for a new one each time, and its answer thrown away.
    followed_topic topic({ store_topic::configuration, 20s, 1h, 1ms, 1ms });
    topic.feed.readNow();
    topic.feed.readNow();
    CHECK(topic.store.calls.size() == 1);
    topic.last(1).onNewest(newest_page { { record(4, "a") }, 5, false });
    CHECK(topic.last(2).wait == 20s); // asked at once, as there may be more by now
    topic.feed.readNow(); // that call waits for the next record, so it is given up
    CHECK(topic.last(3).wait == 0s);
    topic.feed.readNow();
    CHECK(topic.store.calls.size() == 3);
    topic.store.calls[2].onRead(record_page { { record(5, "b") }, 6, 6 });
    CHECK(topic.keys == std::vector<std::string> { "b" });
}

TEST_CASE("test_feed_tells_that_the_store_failed_at_first")
{
    // Symptom: a node that starts during an outage of the store says nothing about it, and waits before asking peers.
    // Sequence: the very first read fails.
    // Cause: only the change from reached to lost is told, and nothing was ever reached.
    followed_topic topic;
    topic.last(1).onNewest(store_error::refused);
    CHECK(topic.reach == std::vector<bool> { false });
    topic.last(2).onNewest(store_error::refused);
    CHECK(topic.reach == std::vector<bool> { false });
    topic.last(3).onNewest(newest_page { {}, 0, false });
    CHECK(topic.reach == std::vector<bool> { false, true });
}

TEST_CASE("test_empty_answer_of_a_waiting_read_confirms_its_end")
{
    followed_topic topic({ store_topic::configuration, 50ms, 1ms, 1ms, 1ms });
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

TEST_CASE("test_feed_that_was_told_the_records_reads_what_follows")
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

TEST_CASE("test_retry_of_a_failed_call_is_deferred_once_when_a_peer_has_told_its_answer")
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
