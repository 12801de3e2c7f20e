// Tests how a node learns the configuration and the targets from the store and from peers.
#include "cluster_view.h"
#include "fake_ports.h"

#include <limits>

using namespace tamarack;
using namespace tamarack::tests;
using namespace std::chrono_literals;

namespace {

struct view_fixture {
    fake_store store;
    fake_decoder decoder;
    serving::dispatcher decisions;
    serving::node_directory nodes { "n1", {} };
    metrics counters;
    logger log { quietLog() };
    std::vector<std::uint64_t> versions;
    std::vector<serving::target_update_batch> sentNotes;
    int storeLosses = 0;
    int behindCalls = 0;
    cluster_view view;

    static serving::dispatcher_settings settingsFor(instant processStart)
    {
        serving::dispatcher_settings out;
        out.startedAt = processStart;
        out.buildsKnownSince = processStart;
        return out;
    }

    /// `processStart` is unset for the first start of the whole system.
    explicit view_fixture(bool isStarted = true, instant processStart = {})
        : decisions(settingsFor(processStart))
        , view({ decoder, store, decisions, nodes, counters, log }, {},
              { [this](const auto& configuration) { versions.push_back(configuration->version()); },
                  [this](serving::target_update_batch note) { sentNotes.push_back(std::move(note)); },
                  [this] { ++storeLosses; }, [this] { ++behindCalls; } })
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
    serving::target_update targetUpdate(
        std::int64_t offset, const std::string& instance, const std::string& value) const
    {
        return { offset, instance, std::get<serving::target_record>(decoder.decodeTarget(instance, value)) };
    }
    bool acceptsWork(const std::string& instance) const
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
    view_fixture world;
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
    view_fixture world;
    world.listTargets({ { 1, "t1", "s/1" } }, 2);
    world.lastCall("newest", store_topic::configuration)
        .onNewest(newest_page { { { 3, "configuration", "7" } }, 4, false });
    world.view.setReader(false);
    CHECK(world.view.storeReach() == serving::store_reach::reached);
    world.view.checkStoreReach();
    world.lastCall("read", store_topic::configuration).onRead(store_error::unreachable);
    CHECK(world.view.storeReach() == serving::store_reach::lost);
}

TEST_CASE("test_reader_continues_reading_after_a_late_peer_snapshot")
{
    // Guards against startFromPeer() postponing the next read of feeds that are already reading.
    view_fixture world(false);
    world.view.setReader(true);
    world.listTargets({ { 1, "t1", "s/1" } }, 2);
    world.lastCall("newest", store_topic::configuration)
        .onNewest(newest_page { { { 3, "configuration", "7" } }, 4, false });
    world.view.startFromPeer();
    CHECK(spinUntil([&] { return world.store.count("read", store_topic::targets) > 0; }));
    CHECK(world.store.count("read", store_topic::configuration) > 0);
}

TEST_CASE("test_node_without_confirmations_reads_the_store_itself")
{
    // Guards against a node that stays on an old version when no messages from readers arrive.
    view_fixture world;
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

TEST_CASE("test_peer_confirmation_counts_only_for_data_known_locally")
{
    view_fixture world;
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
    // Guards against a peer that lacks a change and takes its list for complete, confirmed by a node that did not send
    // it the change.
    view_fixture world;
    world.listTargets({ { 1, "t1", "s/1" } }, 2);
    CHECK(world.view.readProgress().targetsAt != 0);
    world.view.setReader(false);
    CHECK(world.view.readProgress().targetsAt == 0);
}

TEST_CASE("test_configuration_versions_only_increase")
{
    // Guards against an added route disappearing again: the state of a lagging peer or an older record that is read
    // again after a restart of the feed must not replace a newer version.
    view_fixture world;
    world.lastCall("newest", store_topic::configuration)
        .onNewest(newest_page { { { 3, "configuration", "7" } }, 4, false });
    world.view.applyState({ compress({ 2, "configuration", "5" }), {}, {} });
    world.view.applyState({ compress({ 5, "configuration", "9" }), {}, {} });
    world.view.applyState({ compress({ 6, "configuration", "nonsense" }), {}, {} });
    CHECK(world.versions == std::vector<std::uint64_t> { 7, 9 });
}

TEST_CASE("test_only_readers_ask_the_store_for_a_version_that_a_peer_has")
{
    view_fixture world;
    world.lastCall("newest", store_topic::configuration)
        .onNewest(newest_page { { { 3, "configuration", "7" } }, 4, false });
    const auto reads = [&] { return world.store.count("read", store_topic::configuration); };
    world.view.setReader(false);
    const auto before = reads();
    world.view.onPeerVersion(9);
    CHECK(world.behindCalls == 1);
    CHECK(reads() == before);
    world.view.onPeerVersion(9); // announced by the next peer a moment later
    CHECK(world.behindCalls == 1);
    CHECK(world.view.exportState({}).configuration.has_value());
}

TEST_CASE("test_change_found_by_a_peer_is_applied_at_once")
{
    view_fixture world;
    world.listTargets({ { 1, "t1", "s/1" }, { 2, "t2", "s/1" } }, 3);
    world.view.setReader(false);
    world.view.applyTargetNote({ 2, 5, { world.targetUpdate(5, "t1", "s/2/draining") } });
    CHECK_FALSE(world.acceptsWork("t1"));
    world.view.applyTargetNote({ 5, 6, { { 6, "t2", std::nullopt } } });
    CHECK_FALSE(world.acceptsWork("t2"));
    CHECK(world.view.lastTargetChange() == -1); // only the node that has read it confirms it
    world.view.setReader(true);
    CHECK(world.view.lastTargetChange() == 6);
    CHECK(world.sentNotes.empty()); // not forwarded: the node that has read it sends it to all
}

TEST_CASE("test_foreign_entry_removes_its_target_and_no_other")
{
    // Guards against requests to a target that its entry no longer names. Another writer overwrites the entry while
    // removals are deferred until the store returns; an entry that cannot be decoded must not leave the former target
    // in use.
    view_fixture world;
    world.listTargets({ { 1, "t1", "s/1" }, { 2, "t2", "s/1" }, { 3, "t3", "nothing" } }, 4);
    world.view.tick(boot_clock::now());
    const auto page = [&](std::vector<keyed_record> records, std::int64_t end) {
        world.lastCall("read", store_topic::targets).onRead(record_page { std::move(records), end, end });
    };
    world.lastCall("read", store_topic::targets).onRead(store_error::unreachable);
    page({ { 4, "t1", "nothing" } }, 5);
    CHECK_FALSE(world.acceptsWork("t1"));
    CHECK(world.acceptsWork("t2"));
    CHECK_FALSE(world.acceptsWork("t3"));
    REQUIRE(world.sentNotes.size() == 1);
    CHECK(world.sentNotes[0].changes.at(0).name == "t1");
    CHECK_FALSE(world.sentNotes[0].changes.at(0).record.has_value());
    page({ { 5, "t1", "s/2" } }, 6);
    CHECK(world.acceptsWork("t1"));
}

TEST_CASE("test_restarted_target_is_a_new_instance")
{
    // Guards against state of a target's former process: prompts sent to an engine for prefixes that its former process
    // had cached, and a target that stays blocked for its former failures. A target restarts under its name, as read
    // from the store or received from a peer.
    view_fixture world;
    world.listTargets({ { 1, "t1", "s/7@1000" } }, 2);
    const auto former = world.decisions.fleet().find("t1/1000");
    REQUIRE(former.isValid());
    world.decisions.applyCacheEvents(former, { { 77, 4000 } });
    world.view.setReader(false);
    world.view.applyTargetNote({ 1, 2, { world.targetUpdate(2, "t1", "s/1@2000") } });
    CHECK_FALSE(world.acceptsWork("t1/1000"));
    REQUIRE(world.acceptsWork("t1/2000"));
    const auto next = world.decisions.fleet().find("t1/2000");
    CHECK(world.decisions.cachedParts(next).empty());
    CHECK(world.decisions.fleet().name[next.value] == "t1");
    // From a lagging peer.
    world.view.applyTargetNote({ 2, 3, { world.targetUpdate(3, "t1", "s/8@1000") } });
    CHECK(world.acceptsWork("t1/2000"));
    CHECK_FALSE(world.acceptsWork("t1/1000"));
}

TEST_CASE("test_unconfirmed_removal_is_applied_when_a_peer_confirms_it")
{
    // Guards against requests to a removed target beyond the drain bound. A node that rarely reads the store catches up
    // on a change and finds a removal after it; when a peer's heartbeat then names that removal, it must not wait for
    // the end of the grace period.
    view_fixture world;
    world.listTargets({ { 1, "t1", "s/1" }, { 2, "t2", "s/1" } }, 3);
    world.view.setReader(false);
    world.view.onPeerTargetChange(5);
    world.lastCall("read", store_topic::targets)
        .onRead(record_page { { { 5, "t1", "s/2/draining" }, { 6, "t2", std::nullopt } }, 7, 7 });
    CHECK(world.acceptsWork("t2")); // it may have expired during an outage of the store that this node has not noticed
    world.view.onPeerTargetChange(6);
    CHECK_FALSE(world.acceptsWork("t2"));
}

TEST_CASE("test_deferred_removal_is_not_confirmed_to_peers")
{
    // Guards against nodes that give up working targets after an outage of the store. An entry expires during the
    // outage and another one changes after it; a node that still defers the removal must not announce the later offset
    // to its peers.
    view_fixture world;
    world.listTargets({ { 1, "t1", "s/1" }, { 2, "t2", "s/1" } }, 3);
    world.lastCall("read", store_topic::targets).onRead(store_error::unreachable);
    world.lastCall("read", store_topic::targets)
        .onRead(record_page { { { 5, "t1", std::nullopt }, { 6, "t2", "s/2/draining" } }, 7, 7 });
    CHECK(world.acceptsWork("t1"));
    CHECK(world.view.lastTargetChange() == 4);
}

TEST_CASE("test_removal_found_by_a_full_read_is_sent_with_its_offset")
{
    // Guards against peers that keep sending requests to a removed target. The store has dropped records, the list is
    // read anew and an entry is missing; a removal sent without an offset would count as older than the entry.
    view_fixture world;
    world.listTargets({ { 1, "t1", "s/1" }, { 2, "t2", "s/1" } }, 3);
    const auto reads = [&] { return world.store.count("newest", store_topic::targets); };
    const auto before = reads();
    world.lastCall("read", store_topic::targets).onRead(store_error::expired);
    REQUIRE(spinUntil([&] { return reads() == before + 1; }));
    world.listTargets({ { 8, "t1", "s/2" } }, 10);
    REQUIRE(world.sentNotes.size() == 1);
    REQUIRE(world.sentNotes[0].changes.size() == 1);
    CHECK(world.sentNotes[0].changes[0].name == "t2");
    CHECK(world.sentNotes[0].changes[0].offset == 9);
}

TEST_CASE("test_notes_of_many_changes_fit_into_datagrams")
{
    // Guards against a lost notification when many targets change at once: all changes in one datagram would exceed the
    // receivers' buffer.
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
    full.quarantine
        = quarantine_record { promptPartTrait(2), 1, 1, std::vector<std::uint32_t>(12, 3), true, {}, 1h, 2h, true };
    full.limit = serving::limit_report { 7, request_rate { 4.8 }, 20ms, 10ms };
    CHECK(encodeDatagram(full).size() <= mtu);
    full.fullState.reset();
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
    const auto& received = std::get<node_heartbeat>(*decoded);
    CHECK(received.pulse.node == 7);
    CHECK(received.pulse.lastTargetChange == 10);
    CHECK(received.pulse.storeReach == serving::store_reach::reached);
    CHECK_FALSE(received.fullState);
    REQUIRE(received.load.size() == 1);
    CHECK(received.load[0].running == 2);
    CHECK(received.jobs.size() == 1);
    CHECK_FALSE(received.quarantine);
}

TEST_CASE("test_origins_of_streams_fit_into_datagrams_and_round_trip")
{
    constexpr std::size_t mtu = 1'472;
    const serving::origin_note note { { 0xfffffffffffffff0 }, { 7 }, 16s };
    const auto parts = splitOrigins(serving::origin_notes { std::vector<serving::origin_note>(200, note) });
    CHECK(parts.size() == 3);
    std::size_t received = 0;
    for (const auto& part : parts) {
        const auto bytes = encodeDatagram(std::get<serving::origin_notes>(part));
        CHECK(bytes.size() <= mtu);
        const auto decoded = decodeDatagram(bytes);
        REQUIRE(decoded);
        for (const auto& item : std::get<serving::origin_notes>(*decoded).notes)
            received += item == note;
    }
    CHECK(received == 200);
    const auto question = decodeDatagram(encodeDatagram(serving::origin_question { 3, {}, { { 4, 5 }, 10min } }));
    REQUIRE(question);
    const auto& asked = std::get<serving::origin_question>(*question);
    CHECK(asked.number == 3);
    CHECK_FALSE(asked.stream.isValid());
    CHECK(asked.scope.services == std::vector<std::uint32_t> { 4, 5 });
    CHECK(asked.scope.lifetime == 10min);
    const auto reply = decodeDatagram(encodeDatagram(serving::origin_reply { 3, { 8 }, { { 8 }, { 9 } }, true }));
    REQUIRE(reply);
    const auto& answer = std::get<serving::origin_reply>(*reply);
    CHECK(answer.number == 3);
    CHECK(answer.build == build_id { 8 });
    CHECK(answer.builds == std::vector<build_id> { { 8 }, { 9 } });
    CHECK(answer.isComplete);
    // Cut off bytes are no message.
    const auto bytes = encodeDatagram(serving::origin_reply { 3, { 8 }, { { 8 }, { 9 } }, true });
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodeDatagram(bytes.substr(0, length)));
}

TEST_CASE("test_quarantine_records_fit_into_datagrams_and_round_trip")
{
    constexpr std::size_t mtu = 1'472;
    quarantine_record record { promptPartTrait(0xffffffffffffffff), 7, 3, { 1, 2, 3 }, true, { 2, 9, 1 }, 23h, 24h,
        true };
    const auto notes = splitQuarantineNote(std::vector<quarantine_record>(100, record));
    CHECK(notes.size() == 5);
    for (const auto& note : notes)
        CHECK(encodeDatagram(note).size() <= mtu);
    const auto decoded = decodeDatagram(encodeDatagram(notes.front()));
    REQUIRE(decoded);
    const auto& read = std::get<quarantine_note>(*decoded).records.front();
    CHECK(read.trait == record.trait);
    CHECK(read.clearances == 3);
    CHECK(read.targets == record.targets);
    CHECK(read.age == record.age);
    CHECK(read.isStored);
    CHECK(read.account == 7);
    CHECK(read.hasBegun);
    CHECK(read.trial.round == 2);
    CHECK(read.trial.node == 9);
    CHECK(read.trial.sent == 1);
    CHECK(read.firstAge == record.firstAge);
    record.targets.resize(12);
    for (const auto& note : splitQuarantineNote(std::vector<quarantine_record>(100, record)))
        CHECK(encodeDatagram(note).size() <= mtu);
    auto tooMany = record;
    tooMany.targets.resize(200);
    CHECK_FALSE(decodeQuarantine(encodeQuarantine(tooMany)));
    auto ofNoKind = record;
    ofNoKind.trait.kind = trait_kind::count;
    CHECK_FALSE(decodeQuarantine(encodeQuarantine(ofNoKind)));
}

TEST_CASE("test_missing_changes_are_requested_after_a_lost_note")
{
    // Guards against requests to a target for seconds after the other nodes have given it up. The first of two notes of
    // a peer is lost; the second one must not hide the gap.
    const bool doesPeerAnswer = GENERATE(true, false);
    view_fixture world;
    world.listTargets({ { 1, "t1", "s/1" }, { 2, "t2", "s/1" } }, 3);
    world.view.setReader(false);
    const auto before = world.store.count("read", store_topic::targets);
    world.view.applyTargetNote({ 2, 4, { world.targetUpdate(4, "t3", "s/1") } });
    CHECK(world.store.count("read", store_topic::targets) == before);
    // The note { 4, 6 } with the removal of t1 is lost.
    world.view.applyTargetNote({ 6, 8, { world.targetUpdate(8, "t4", "s/1") } });
    CHECK(world.behindCalls == 1);
    CHECK(world.view.isBehindTargets());
    CHECK(world.store.count("read", store_topic::targets) == before);
    if (doesPeerAnswer) {
        shared_state state;
        state.targets = { { world.targetUpdate(6, "t1", "s/2/draining"), world.targetUpdate(2, "t2", "s/1"),
                              world.targetUpdate(4, "t3", "s/1"), world.targetUpdate(8, "t4", "s/1") },
            8 };
        world.view.applyState(state);
        CHECK_FALSE(world.view.isBehindTargets());
    } else {
        world.view.readMissing();
        CHECK(world.store.count("read", store_topic::targets) == before + 1);
        world.lastCall("read", store_topic::targets)
            .onRead(record_page { { { 6, "t1", "s/2/draining" }, { 8, "t4", "s/1" } }, 9, 9 });
    }
    CHECK_FALSE(world.acceptsWork("t1"));
    CHECK(world.acceptsWork("t4"));
    world.view.setReader(true);
    CHECK(world.view.lastTargetChange() == 8);
}

TEST_CASE("test_first_store_read_after_a_peer_snapshot_applies_removals_at_once")
{
    // Guards against requests to a removed target beyond the drain bound. A node gets the target list from a peer,
    // becomes a reader later and finds a target missing at its first read; that read must not count as the store's
    // return after an outage, when missing entries are kept for a grace period.
    view_fixture world;
    shared_state state;
    state.targets = { { world.targetUpdate(1, "t1", "s/1"), world.targetUpdate(2, "t2", "s/1") }, 2 };
    world.view.applyState(state);
    CHECK(world.acceptsWork("t1"));
    world.listTargets({ { 2, "t2", "s/1" } }, 4);
    CHECK_FALSE(world.acceptsWork("t1"));
    CHECK(world.acceptsWork("t2"));
}

TEST_CASE("test_node_that_starts_from_a_peers_state_knows_which_builds_there_have_been")
{
    // Guards against a restarted node that refuses each call which takes up a stream, or guesses its build.
    const serving::origin_scope scope { { serving::shortHash("s") }, 16s };
    const auto findAt = [&](view_fixture& world, const shared_state& state) {
        const auto now = boot_clock::now();
        auto& origins = world.decisions.origins();
        const auto bytes = encodeState(state);
        world.view.applyState(*decodeState(bytes));
        origins.listConfirmed(now);
        return origins.find({ 1 }, {}, scope, now)->source;
    };
    view_fixture source;
    source.listTargets({ { 1, "t1", "s/1" } }, 2);
    source.decisions.origins().listConfirmed(boot_clock::now());
    {
        view_fixture world(true, boot_clock::now());
        CHECK(findAt(world, source.view.exportState({})) == serving::origin_source::only_build);
    }
    {
        view_fixture world(true, boot_clock::now());
        auto state = source.view.exportState({});
        state.builds.push_back({ serving::shortHash("s"), serving::buildIdOf("s", "former"), 5s });
        CHECK(findAt(world, state) == serving::origin_source::unknown);
    }
    {
        view_fixture world(true, boot_clock::now());
        auto state = source.view.exportState({});
        state.buildHistory = 1s;
        CHECK(findAt(world, state) == serving::origin_source::unknown);
    }
}

TEST_CASE("test_late_peer_note_does_not_revert_newer_records")
{
    view_fixture world;
    world.listTargets({ { 8, "t1", "s/4" } }, 9);
    world.view.applyTargetNote({ 2, 5, { { 5, "t1", std::nullopt } } });
    CHECK(world.acceptsWork("t1"));
    world.view.applyTargetNote({ 5, 6, { world.targetUpdate(6, "t1", "s/2/draining") } });
    CHECK(world.acceptsWork("t1"));
}

TEST_CASE("test_reader_sends_target_changes_to_its_peers")
{
    view_fixture world;
    world.listTargets({ { 1, "t1", "s/1" }, { 2, "t2", "s/1" } }, 3);
    world.lastCall("read", store_topic::targets)
        .onRead(record_page { { { 3, "t1", "s/2" }, { 4, "t2", "s/2/draining" }, { 5, "t1", std::nullopt } }, 6, 6 });
    REQUIRE(world.sentNotes.size() == 1);
    const auto& changes = world.sentNotes[0].changes;
    REQUIRE(changes.size() == 2); // a record without a change is not sent
    CHECK(changes[0].name == "t2");
    CHECK(changes[1].name == "t1");
    CHECK_FALSE(changes[1].record);
}

TEST_CASE("test_unknown_change_announced_by_a_peer_is_requested")
{
    view_fixture world;
    world.listTargets({ { 1, "t1", "s/1" } }, 2);
    world.view.setReader(false);
    const auto before = world.store.count("read", store_topic::targets);
    world.view.onPeerTargetChange(7);
    CHECK(world.behindCalls == 1);
    CHECK(world.store.count("read", store_topic::targets) == before);
    world.view.readMissing(); // no peer responds
    CHECK(world.store.count("read", store_topic::targets) == before + 1);
    // The peer has confirmed the change, so the removal is applied at once.
    world.lastCall("read", store_topic::targets).onRead(record_page { { { 7, "t1", std::nullopt } }, 8, 8 });
    CHECK_FALSE(world.acceptsWork("t1"));
}

TEST_CASE("test_limits_and_permits_survive_the_way_to_a_peer")
{
    constexpr std::size_t mtu = 1'472;
    const std::vector<serving::limit_report> reports(120, { 7, request_rate { 4.8 }, 2s, 1500ms });
    const auto notes = splitLimits(reports);
    CHECK(notes.size() == 3);
    for (const auto& note : notes)
        CHECK(encodeDatagram(note).size() <= mtu);
    const auto note = decodeDatagram(encodeDatagram(notes.front()));
    REQUIRE(note);
    const auto& report = std::get<limit_note>(*note).limits.front();
    CHECK(report.target == 7);
    CHECK(report.rate == request_rate { 4.8 });
    CHECK(report.askedAge == 2s);
    CHECK(report.answeredAge == 1500ms);
    const auto ended = decodeDatagram(encodeDatagram(limit_note { { { 7, std::nullopt, 2s, 1s } } }));
    REQUIRE(ended);
    CHECK_FALSE(std::get<limit_note>(*ended).limits.front().rate);

    const permit_request asks { std::vector<serving::permit_ask>(100, { 7, serving::permit_use::waiting, 150ms }) };
    CHECK(encodeDatagram(asks).size() <= mtu);
    const auto ask = decodeDatagram(encodeDatagram(asks));
    REQUIRE(ask);
    CHECK(std::get<permit_request>(*ask).asks.front().use == serving::permit_use::waiting);
    CHECK(std::get<permit_request>(*ask).asks.front().lifetime == 150ms);
    const permit_reply permits { std::vector<serving::permit_grant>(100, { 7, 3, 180ms }) };
    CHECK(encodeDatagram(permits).size() <= mtu);
    const auto permit = decodeDatagram(encodeDatagram(permits));
    REQUIRE(permit);
    CHECK(std::get<permit_reply>(*permit).grants.front().count == 3);
    CHECK(std::get<permit_reply>(*permit).grants.front().lifetime == 180ms);

    CHECK_FALSE(decodeDatagram(encodeDatagram(permit_request { { { 7, serving::permit_use::count, 1s } } })));
    const auto infinite = std::numeric_limits<double>::infinity();
    CHECK_FALSE(decodeDatagram(encodeDatagram(limit_note { { { 7, request_rate { infinite }, 2s, 1s } } })));
    const auto bytes = encodeDatagram(permits);
    for (std::size_t size = 0; size < bytes.size(); size += 7)
        CHECK_FALSE(decodeDatagram(bytes.substr(0, size)));
}
