// What a node believes of configuration and targets, from the store and from peers.
#include "fake_ports.h"
#include "shared_view.h"

using namespace tamarack;
using namespace tamarack::tests;
using namespace std::chrono_literals;

namespace {

struct viewed_store {
    fake_store store;
    fake_decoder decoder;
    serving::dispatcher decisions { {} };
    serving::node_directory nodes { "n1", {} };
    metrics counters;
    logger log { quietLog() };
    std::vector<std::uint64_t> versions;
    std::vector<serving::target_update_batch> told;
    int storeLosses = 0;
    int timesBehind = 0;
    cluster_view view;

    explicit viewed_store(bool isStarted = true)
        : view({ decoder, store, decisions, nodes, counters, log }, {},
            { [this](const auto& configuration) { versions.push_back(configuration->version()); },
                [this](serving::target_update_batch note) { told.push_back(std::move(note)); },
                [this] { ++storeLosses; }, [this] { ++timesBehind; } })
    {
        if (!isStarted)
            return;
        view.start();
        view.setReader(true);
    }

    fake_store::call& lastCall(const std::string& what, store_topic topic)
    {
        fake_store::call* found = nullptr;
        REQUIRE(spinUntil([&] {
            for (auto& item : store.calls) {
                if (item.what == what && item.topic == topic && (item.onNewest || item.onRead))
                    found = &item;
            }
            return found != nullptr;
        }));
        return *found;
    }
    void listTargets(std::vector<keyed_record> records, std::int64_t end)
    {
        lastCall("newest", store_topic::targets).onNewest(newest_page { std::move(records), end, false });
    }
    serving::target_update news(std::int64_t offset, const std::string& instance, const std::string& value) const
    {
        return { offset, instance, std::get<serving::target_record>(decoder.decodeTarget(instance, value)) };
    }
    bool takesWork(const std::string& instance) const
    {
        const auto id = decisions.fleet().find(instance);
        return id.isValid() && decisions.fleet().acceptsWork(id, boot_clock::now());
    }
};

}

TEST_CASE("test_node_whose_last_call_failed_does_not_count_as_reaching_the_store")
{
    // Guards against a stale success for one topic hiding failures of the other, so that a failing reader is kept.
    using serving::store_reach;
    viewed_store world;
    world.listTargets({ { 1, "t1", "s/1" } }, 2);
    world.lastCall("newest", store_topic::configuration)
        .onNewest(newest_page { { { 3, "configuration", "7" } }, 4, false });
    CHECK(world.view.storeReach() == store_reach::reached);
    world.lastCall("read", store_topic::configuration).onRead(store_error::refused);
    CHECK(world.view.storeReach() == store_reach::lost);
    world.lastCall("read", store_topic::targets).onRead(record_page { {}, 2, 2 });
    CHECK(world.view.storeReach() == store_reach::reached);
}

TEST_CASE("test_store_reach_check_detects_a_lost_store")
{
    // Guards against a node that keeps counting as reaching the store because of a read long ago.
    viewed_store world;
    world.listTargets({ { 1, "t1", "s/1" } }, 2);
    world.lastCall("newest", store_topic::configuration)
        .onNewest(newest_page { { { 3, "configuration", "7" } }, 4, false });
    world.view.setReader(false);
    CHECK(world.view.storeReach() == serving::store_reach::reached);
    world.view.checkStoreReach();
    world.lastCall("read", store_topic::configuration).onRead(store_error::unreachable);
    CHECK(world.view.storeReach() == serving::store_reach::lost);
}

TEST_CASE("test_reader_that_is_told_late_by_a_peer_goes_on_reading")
{
    // Guards against startFromPeer() postponing the next read of feeds that are already reading.
    viewed_store world(false);
    world.view.setReader(true);
    world.listTargets({ { 1, "t1", "s/1" } }, 2);
    world.lastCall("newest", store_topic::configuration)
        .onNewest(newest_page { { { 3, "configuration", "7" } }, 4, false });
    world.view.startFromPeer();
    CHECK(spinUntil([&] { return world.store.count("read", store_topic::targets) > 0; }));
    CHECK(world.store.count("read", store_topic::configuration) > 0);
}

TEST_CASE("test_node_that_nobody_confirms_asks_the_store_itself")
{
    // Guards against a node that stays on an old version when no reader can be heard.
    viewed_store world;
    const auto now = boot_clock::now();
    world.listTargets({ { 1, "t1", "s/1" } }, 2);
    world.lastCall("newest", store_topic::configuration)
        .onNewest(newest_page { { { 3, "configuration", "7" } }, 4, false });
    world.view.setReader(false);
    const auto reads = [&] { return world.store.count("read", store_topic::configuration); };
    const auto before = reads();
    world.view.refreshIfStale(0, now + 900ms);
    CHECK(reads() == before);
    CHECK_FALSE(world.view.sharesReads());
    world.view.refreshIfStale(0, now + 1500ms);
    CHECK(reads() == before + 1);
    CHECK(world.view.sharesReads());
    world.view.refreshIfStale(0, now + 1900ms);
    CHECK(reads() == before + 1);
}

TEST_CASE("test_confirmation_of_a_peer_counts_only_for_what_is_known_here")
{
    viewed_store world;
    world.listTargets({ { 1, "t1", "s/1" } }, 2);
    world.lastCall("newest", store_topic::configuration)
        .onNewest(newest_page { { { 3, "configuration", "7" } }, 4, false });
    world.view.setReader(false);
    const auto readAt = boot_clock::now();
    REQUIRE(spinUntil([&] { return boot_clock::now() > readAt + 30ms; }));
    const auto later = boot_clock::now();
    read_progress note;
    note.configurationAt = note.targetsAt = 1;
    note.configurationVersion = 8;
    note.lastTargetChange = 5;
    world.view.onPeerReadProgress(note, later, later);
    CHECK(world.view.configurationAge(later) >= 30ms);
    CHECK(world.view.targetsAge(later) >= 30ms);
    note.configurationVersion = 7;
    note.lastTargetChange = 1;
    world.view.onPeerReadProgress(note, later, later);
    CHECK(world.view.configurationAge(later) == 0s);
    CHECK(world.view.targetsAge(later) == 0s);
    // Guards against data that counts as fresh until a future time because a peer's timestamp is ahead.
    const auto future = later + 1h;
    world.view.onPeerReadProgress(note, future, future);
    CHECK(world.view.configurationAge(future) > 59min);
}

TEST_CASE("test_node_that_does_not_tell_peers_of_target_changes_does_not_confirm_the_list")
{
    // Guards against a peer that lacks a change and takes its list for complete, confirmed by a node that did not tell
    // it of the change.
    viewed_store world;
    world.listTargets({ { 1, "t1", "s/1" } }, 2);
    CHECK(world.view.readProgress().targetsAt != 0);
    world.view.setReader(false);
    CHECK(world.view.readProgress().targetsAt == 0);
}

TEST_CASE("test_versions_only_rise")
{
    // Symptom: a route that was added disappears again.
    // Sequence: a peer that lags is asked for its state, or an older record is read again after a start over.
    // Cause: whatever is read last is put in force.
    viewed_store world;
    world.lastCall("newest", store_topic::configuration)
        .onNewest(newest_page { { { 3, "configuration", "7" } }, 4, false });
    world.view.applyState({ compress({ 2, "configuration", "5" }), {}, {} });
    world.view.applyState({ compress({ 5, "configuration", "9" }), {}, {} });
    world.view.applyState({ compress({ 6, "configuration", "nonsense" }), {}, {} });
    CHECK(world.versions == std::vector<std::uint64_t> { 7, 9 });
}

TEST_CASE("test_only_readers_ask_the_store_for_a_version_that_a_peer_has")
{
    viewed_store world;
    world.lastCall("newest", store_topic::configuration)
        .onNewest(newest_page { { { 3, "configuration", "7" } }, 4, false });
    const auto reads = [&] { return world.store.count("read", store_topic::configuration); };
    world.view.setReader(false);
    const auto before = reads();
    world.view.onPeerVersion(9);
    CHECK(world.timesBehind == 1);
    CHECK(reads() == before);
    world.view.onPeerVersion(9); // told by the next peer, a moment later
    CHECK(world.timesBehind == 1);
    CHECK(world.view.exportState({}).configuration.has_value());
}

TEST_CASE("test_change_found_by_a_peer_is_obeyed_at_once")
{
    viewed_store world;
    world.listTargets({ { 1, "t1", "s/1" }, { 2, "t2", "s/1" } }, 3);
    world.view.setReader(false);
    world.view.applyTargetNote({ 2, 5, { world.news(5, "t1", "s/2/draining") } });
    CHECK_FALSE(world.takesWork("t1"));
    world.view.applyTargetNote({ 5, 6, { { 6, "t2", std::nullopt } } });
    CHECK_FALSE(world.takesWork("t2"));
    CHECK(world.view.lastTargetChange() == -1); // the one that found it tells all
    world.view.setReader(true);
    CHECK(world.view.lastTargetChange() == 6);
    CHECK(world.told.empty()); // not told on: the one that found it tells all
}

TEST_CASE("test_entry_of_another_writer_ends_the_use_of_its_target_and_of_no_other")
{
    // Symptom: requests go to a target whose entry names none any more.
    // Sequence: another writer puts something over a target's entry, while removals wait for the store's return.
    // Cause: an entry that cannot be read was passed over, and what it said before went on being believed.
    viewed_store world;
    world.listTargets({ { 1, "t1", "s/1" }, { 2, "t2", "s/1" }, { 3, "t3", "nothing" } }, 4);
    world.view.tick(boot_clock::now());
    const auto page = [&](std::vector<keyed_record> records, std::int64_t end) {
        world.lastCall("read", store_topic::targets).onRead(record_page { std::move(records), end, end });
    };
    world.lastCall("read", store_topic::targets).onRead(store_error::unreachable);
    page({ { 4, "t1", "nothing" } }, 5);
    CHECK_FALSE(world.takesWork("t1"));
    CHECK(world.takesWork("t2"));
    CHECK_FALSE(world.takesWork("t3"));
    REQUIRE(world.told.size() == 1);
    CHECK(world.told[0].changes.at(0).name == "t1");
    CHECK_FALSE(world.told[0].changes.at(0).record.has_value());
    page({ { 5, "t1", "s/2" } }, 6);
    CHECK(world.takesWork("t1"));
}

TEST_CASE("test_target_that_starts_again_is_another_one_for_the_fleet")
{
    // Symptom: prompts go to an engine for what its former life kept; a target that was left for its failures is left
    // on.
    // Sequence: a target starts again under its name, as this node reads, or hears from a peer.
    // Cause: what is believed of a target kept by its name.
    viewed_store world;
    world.listTargets({ { 1, "t1", "s/7@1000" } }, 2);
    const auto former = world.decisions.fleet().find("t1/1000");
    REQUIRE(former.isValid());
    world.decisions.applyCacheEvents(former, { { 77, 4000 } });
    world.view.setReader(false);
    world.view.applyTargetNote({ 1, 2, { world.news(2, "t1", "s/1@2000") } });
    CHECK_FALSE(world.takesWork("t1/1000"));
    REQUIRE(world.takesWork("t1/2000"));
    const auto next = world.decisions.fleet().find("t1/2000");
    CHECK(world.decisions.cachedParts(next).empty());
    CHECK(world.decisions.fleet().name[next.value] == "t1");
    // From a peer that lags.
    world.view.applyTargetNote({ 2, 3, { world.news(3, "t1", "s/8@1000") } });
    CHECK(world.takesWork("t1/2000"));
    CHECK_FALSE(world.takesWork("t1/1000"));
}

TEST_CASE("test_removal_read_before_it_was_confirmed_is_obeyed_when_a_peer_confirms_it")
{
    // Symptom: a request reaches a target later after its leaving than the drain bound allows.
    // Sequence: a node that reads seldom hurries to read a change, and finds a removal behind it; then a peer's
    // heartbeat names that removal.
    // Cause: removals that waited for a confirmation were looked at again only when the grace was over.
    viewed_store world;
    world.listTargets({ { 1, "t1", "s/1" }, { 2, "t2", "s/1" } }, 3);
    world.view.setReader(false);
    world.view.onPeerTargetChange(5);
    world.lastCall("read", store_topic::targets)
        .onRead(record_page { { { 5, "t1", "s/2/draining" }, { 6, "t2", std::nullopt } }, 7, 7 });
    CHECK(world.takesWork("t2")); // it may have lapsed while the store was away, of which this node does not know
    world.view.onPeerTargetChange(6);
    CHECK_FALSE(world.takesWork("t2"));
}

TEST_CASE("test_removal_that_is_waited_for_is_not_confirmed_to_peers")
{
    // Symptom: after an outage of the store targets that work are given up by nodes that read seldom.
    // Sequence: an entry lapses during the outage, and another one changes after it; the change's offset is told.
    // Cause: a node that follows the list tells the offset of its last change, though it waits for an earlier removal.
    viewed_store world;
    world.listTargets({ { 1, "t1", "s/1" }, { 2, "t2", "s/1" } }, 3);
    world.lastCall("read", store_topic::targets).onRead(store_error::unreachable);
    world.lastCall("read", store_topic::targets)
        .onRead(record_page { { { 5, "t1", std::nullopt }, { 6, "t2", "s/2/draining" } }, 7, 7 });
    CHECK(world.takesWork("t1"));
    CHECK(world.view.lastTargetChange() == 4);
}

TEST_CASE("test_removal_found_by_reading_anew_is_told_with_its_place")
{
    // Symptom: peers go on sending to a target that has left.
    // Sequence: the store drops its history, the list is read anew, and an entry is missing.
    // Cause: the removal was told without an offset, so that peers took it for older than the entry.
    viewed_store world;
    world.listTargets({ { 1, "t1", "s/1" }, { 2, "t2", "s/1" } }, 3);
    const auto reads = [&] { return world.store.count("newest", store_topic::targets); };
    const auto before = reads();
    world.lastCall("read", store_topic::targets).onRead(store_error::expired);
    REQUIRE(spinUntil([&] { return reads() == before + 1; }));
    world.listTargets({ { 8, "t1", "s/2" } }, 10);
    REQUIRE(world.told.size() == 1);
    REQUIRE(world.told[0].changes.size() == 1);
    CHECK(world.told[0].changes[0].name == "t2");
    CHECK(world.told[0].changes[0].offset == 9);
}

TEST_CASE("test_notes_of_many_changes_fit_into_datagrams")
{
    // Symptom: when many targets change at once, none of the peers hears of it.
    // Cause: all changes went into one datagram, longer than its readers' buffer.
    constexpr std::size_t mtu = 1'472;
    serving::target_update_batch note { 7, 60, {} };
    for (int i = 0; i < 40; ++i) {
        serving::target_record record;
        record.name = "target-" + std::to_string(i);
        record.service = std::string(static_cast<std::size_t>(i), 's');
        record.coldTime = 1500ms;
        note.changes.push_back({ 10 + i, record.name, record });
    }
    note.changes.push_back({ 50, "target-gone", std::nullopt });
    std::vector<serving::target_update> received;
    std::int64_t reached = note.previous;
    for (auto& part : splitTargetNote(note)) {
        const auto bytes = encodeDatagram(std::move(part));
        CHECK(bytes.size() <= mtu);
        const auto decoded = decodeDatagram(bytes);
        REQUIRE(decoded);
        const auto& read = std::get<serving::target_update_batch>(*decoded);
        CHECK(read.previous == reached);
        reached = read.upTo;
        received.insert(received.end(), read.changes.begin(), read.changes.end());
    }
    CHECK(reached == note.upTo);
    REQUIRE(received.size() == note.changes.size());
    for (std::size_t i = 0; i < received.size(); ++i) {
        CHECK(received[i].offset == note.changes[i].offset);
        CHECK(received[i].record == note.changes[i].record);
    }
}

TEST_CASE("test_heartbeats_fit_into_datagrams")
{
    constexpr std::size_t mtu = 1'472;
    node_heartbeat full;
    full.fullState = serving::node_state {};
    full.fullState->vm = std::string(30, 'v');
    full.fullState->availabilityZone = std::string(20, 'z');
    full.fullState->address = "100.200.100.200";
    full.load.resize(200);
    full.jobs.resize(200);
    full.caches.resize(200);
    full.health.resize(200);
    full.changingEngines.resize(200);
    CHECK(encodeDatagram(full).size() <= mtu);
    const auto notes = splitCacheUpdates(std::vector<cache_update>(300));
    CHECK(notes.size() == 4);
    for (const auto& note : notes)
        CHECK(encodeDatagram(note).size() <= mtu);

    node_heartbeat usual;
    usual.pulse = { 7, 8, 9, 10, true, false, serving::store_reach::reached, false };
    usual.load = { { 1, 2 } };
    usual.jobs.resize(1);
    const auto bytes = encodeDatagram(usual);
    CHECK(bytes.size() <= 100);
    const auto decoded = decodeDatagram(bytes);
    REQUIRE(decoded);
    const auto& heard = std::get<node_heartbeat>(*decoded);
    CHECK(heard.pulse.node == 7);
    CHECK(heard.pulse.lastTargetChange == 10);
    CHECK(heard.pulse.storeReach == serving::store_reach::reached);
    CHECK_FALSE(heard.fullState);
    REQUIRE(heard.load.size() == 1);
    CHECK(heard.load[0].running == 2);
    CHECK(heard.jobs.size() == 1);
}

TEST_CASE("test_node_asks_for_the_list_when_a_note_was_lost")
{
    // Symptom: a node sends to a target for seconds after the others have given it up.
    // Sequence: of two notes of a peer the first is lost; the second one comes.
    // Cause: the node took the last change that it was told of for the last one that it had to know.
    const bool doesPeerAnswer = GENERATE(true, false);
    viewed_store world;
    world.listTargets({ { 1, "t1", "s/1" }, { 2, "t2", "s/1" } }, 3);
    world.view.setReader(false);
    const auto before = world.store.count("read", store_topic::targets);
    world.view.applyTargetNote({ 2, 4, { world.news(4, "t3", "s/1") } });
    CHECK(world.store.count("read", store_topic::targets) == before);
    // The note { 4, 6 } with the leaving of t1 is lost.
    world.view.applyTargetNote({ 6, 8, { world.news(8, "t4", "s/1") } });
    CHECK(world.timesBehind == 1);
    CHECK(world.view.isBehindTargets());
    CHECK(world.store.count("read", store_topic::targets) == before);
    if (doesPeerAnswer) {
        shared_state state;
        state.targets = { { world.news(6, "t1", "s/2/draining"), world.news(2, "t2", "s/1"), world.news(4, "t3", "s/1"),
                              world.news(8, "t4", "s/1") },
            8 };
        world.view.applyState(state);
        CHECK_FALSE(world.view.isBehindTargets());
    } else {
        world.view.readMissing();
        CHECK(world.store.count("read", store_topic::targets) == before + 1);
        world.lastCall("read", store_topic::targets)
            .onRead(record_page { { { 6, "t1", "s/2/draining" }, { 8, "t4", "s/1" } }, 9, 9 });
    }
    CHECK_FALSE(world.takesWork("t1"));
    CHECK(world.takesWork("t4"));
    world.view.setReader(true);
    CHECK(world.view.lastTargetChange() == 8);
}

TEST_CASE("test_node_that_was_told_the_list_and_reads_it_later_waits_for_nothing")
{
    // Symptom: requests reach a target that has left for longer than the drain bound allows.
    // Sequence: a node is told the list by a peer, later is the one to read it, and finds a target gone at its first
    // read.
    // Cause: it took its first answer of the store for the store's return, after which entries may come back.
    viewed_store world;
    shared_state state;
    state.targets = { { world.news(1, "t1", "s/1"), world.news(2, "t2", "s/1") }, 2 };
    world.view.applyState(state);
    CHECK(world.takesWork("t1"));
    world.listTargets({ { 2, "t2", "s/1" } }, 4);
    CHECK_FALSE(world.takesWork("t1"));
    CHECK(world.takesWork("t2"));
}

TEST_CASE("test_late_word_of_a_peer_does_not_undo_what_was_read")
{
    viewed_store world;
    world.listTargets({ { 8, "t1", "s/4" } }, 9);
    world.view.applyTargetNote({ 2, 5, { { 5, "t1", std::nullopt } } });
    CHECK(world.takesWork("t1"));
    world.view.applyTargetNote({ 5, 6, { world.news(6, "t1", "s/2/draining") } });
    CHECK(world.takesWork("t1"));
}

TEST_CASE("test_node_that_reads_closely_tells_its_peers_what_changed")
{
    viewed_store world;
    world.listTargets({ { 1, "t1", "s/1" }, { 2, "t2", "s/1" } }, 3);
    world.lastCall("read", store_topic::targets)
        .onRead(record_page { { { 3, "t1", "s/2" }, { 4, "t2", "s/2/draining" }, { 5, "t1", std::nullopt } }, 6, 6 });
    REQUIRE(world.told.size() == 1);
    const auto& changes = world.told[0].changes;
    REQUIRE(changes.size() == 2); // a record that changes nothing is not told
    CHECK(changes[0].name == "t2");
    CHECK(changes[1].name == "t1");
    CHECK_FALSE(changes[1].record);
}

TEST_CASE("test_node_asks_when_a_peer_knows_of_a_change_that_it_does_not_know")
{
    viewed_store world;
    world.listTargets({ { 1, "t1", "s/1" } }, 2);
    world.view.setReader(false);
    const auto before = world.store.count("read", store_topic::targets);
    world.view.onPeerTargetChange(7);
    CHECK(world.timesBehind == 1);
    CHECK(world.store.count("read", store_topic::targets) == before);
    world.view.readMissing(); // no peer answers
    CHECK(world.store.count("read", store_topic::targets) == before + 1);
    // Confirmed by the peer, so the removal is believed at once.
    world.lastCall("read", store_topic::targets).onRead(record_page { { { 7, "t1", std::nullopt } }, 8, 8 });
    CHECK_FALSE(world.takesWork("t1"));
}
