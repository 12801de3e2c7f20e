// Tests that nodes converge on the target list from reads and updates of peers when messages are lost.
#include "serving/target_follower.h"

#include "base/random_source.h"

#include <catch2/catch.hpp>
#include <utility>

using namespace tamarack;
using namespace tamarack::serving;
using namespace std::chrono_literals;

namespace {

instant at(duration since) { return instant(since + 1000s); }

target_record record(const std::string& name, std::uint64_t sequence, bool isDraining, std::uint64_t bornAt = 0)
{
    target_record out;
    out.name = name;
    out.bornAt = bornAt;
    out.sequence = sequence;
    out.isDraining = isDraining;
    return out;
}

/// A changing target list with one node that reads it and one that mostly relies on updates.
struct followed_list {
    std::vector<target_update> log;
    std::map<std::string, std::uint64_t> sequences;
    target_follower reader { 2s };
    target_follower follower { 2s };
    std::map<std::string, bool> usable; ///< by name: whether the follower considers it usable
    std::map<std::string, std::string> usedInstances; ///< by name: the instance that the follower uses
    std::map<std::string, std::uint64_t> startTimes;
    std::size_t readerNext = 0;
    std::size_t followerNext = 0;
    int reads = 0;
    bool usesSnapshots = false; ///< the follower receives snapshots from the reader instead of reading the list

    explicit followed_list(bool usesSnapshotsOnly = false)
        : usesSnapshots(usesSnapshotsOnly)
    {
        follower.setReadsInfrequently(true);
        for (int i = 0; i < 10; ++i)
            write("t" + std::to_string(i), false);
        reader.listRead(log, end(), at(0s));
        take(usesSnapshots ? follower.snapshotReceived(reader.known(), at(0s)) : follower.listRead(log, end(), at(0s)));
        readerNext = followerNext = log.size();
    }

    std::int64_t end() const { return static_cast<std::int64_t>(log.size()); }
    void write(const std::string& name, bool isDraining)
    {
        log.push_back({ end(), name, record(name, ++sequences[name], isDraining, startTimes[name]) });
    }
    void remove(const std::string& name) { log.push_back({ end(), name, std::nullopt }); }
    /// The target restarts under the same name, and its sequence starts anew.
    void restart(const std::string& name, std::uint64_t bornAt)
    {
        startTimes[name] = bornAt;
        sequences[name] = 0;
        write(name, false);
    }
    /// Another writer replaces the target's entry.
    void writeForeign(const std::string& name) { log.push_back({ end(), name, std::nullopt, true }); }

    follow_result read(target_follower& who, std::size_t& next, instant now)
    {
        const std::vector<target_update> updates(log.begin() + static_cast<std::ptrdiff_t>(next), log.end());
        next = log.size();
        return who.recordsRead(updates, end(), now);
    }
    void take(const follow_result& step, instant now = at(0s))
    {
        for (const auto& ended : step.changes.replaced)
            CHECK(std::exchange(usedInstances[ended.name], {}) == ended.instance);
        for (const auto& one : step.changes.listed) {
            usable[one.name] = !one.isDraining;
            // An incarnation listed without ending the former one would leave the former one's rows in use.
            CHECK((usedInstances[one.name].empty() || usedInstances[one.name] == one.instance()));
            usedInstances[one.name] = one.instance();
        }
        for (const auto& ended : step.changes.gone) {
            usable[ended.name] = false;
            const auto instance = std::exchange(usedInstances[ended.name], {});
            CHECK((instance.empty()
                || instance == ended.instance)); // one that appeared and was removed within a step was never used
        }
        if (!step.mustRead)
            return;
        ++reads;
        take(usesSnapshots ? follower.snapshotReceived(reader.known(), now) : read(follower, followerNext, now), now);
    }
    std::map<std::string, bool> truth() const
    {
        std::map<std::string, bool> out;
        for (const auto& updates : log)
            out[updates.name] = updates.record && !updates.record->isDraining;
        return out;
    }
};

}

TEST_CASE("test_follower_converges_with_the_reader_although_batches_are_lost")
{
    // Guards against nodes sending to a target that has left. Batches are lost or reordered and heartbeats arrive
    // occasionally; each heartbeat that arrives must close every gap before it.
    const bool usesSnapshots = GENERATE(false, true);
    int readsInAll = 0;
    int heartbeats = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        random_source random(seed);
        followed_list world(usesSnapshots);
        std::vector<target_update_batch> late;
        instant now = at(1s);
        for (int step = 0; step < 60; ++step, now += 500ms) {
            const auto instance = "t" + std::to_string(random.below(14));
            const auto what = random.below(4);
            if (what == 0)
                world.remove(instance);
            else
                world.write(instance, what == 1);
            if (random.below(3) == 0)
                continue; // the reader's next read finds several changes
            const auto found = world.read(world.reader, world.readerNext, now);
            if (found.batch && random.below(4) == 0)
                late.push_back(*found.batch);
            else if (found.batch && random.below(3) != 0)
                world.take(world.follower.batchReceived(*found.batch, now), now);
            if (!late.empty() && random.below(3) == 0) {
                world.take(world.follower.batchReceived(late.front(), now), now);
                late.erase(late.begin());
            }
            if (random.below(2) == 0)
                continue;
            ++heartbeats;
            world.take(world.follower.peerOffsetReceived(world.reader.lastChange(), now), now);
            auto expected = world.truth();
            for (auto& [name, isUsable] : expected) {
                INFO("seed " << seed << ", step " << step << ", " << name);
                CHECK(world.usable[name] == isUsable);
            }
        }
        readsInAll += world.reads;
    }
    // No reads are needed if all batches arrive; here a third of them is lost.
    CHECK(readsInAll < heartbeats);
}

TEST_CASE("test_restarts_and_foreign_entries_converge_although_batches_are_lost")
{
    // Guards against a restarted target receiving nothing from some nodes or being taken for its former incarnation,
    // and against the use of an entry that no target has written. Targets leave, drain and restart under their names,
    // other writers replace their entries, and batches are lost or reordered. Sequences of different incarnations must
    // not be compared, and foreign entries must not be ignored.
    const bool usesSnapshots = GENERATE(false, true);
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        random_source random(seed);
        followed_list world(usesSnapshots);
        std::vector<target_update_batch> late;
        instant now = at(1s);
        for (int step = 0; step < 60; ++step, now += 500ms) {
            const auto name = "t" + std::to_string(random.below(14));
            const auto what = random.below(5);
            if (what == 0)
                world.remove(name);
            else if (what == 1)
                world.restart(name, world.startTimes[name] + 1 + random.below(1000));
            else if (what == 2)
                world.writeForeign(name);
            else
                world.write(name, what == 3);
            if (random.below(3) == 0)
                continue;
            const auto found = world.read(world.reader, world.readerNext, now);
            if (found.batch && random.below(4) == 0)
                late.push_back(*found.batch);
            else if (found.batch && random.below(3) != 0)
                world.take(world.follower.batchReceived(*found.batch, now), now);
            if (!late.empty() && random.below(3) == 0) {
                world.take(world.follower.batchReceived(late.front(), now), now);
                late.erase(late.begin());
            }
            if (random.below(2) == 0)
                continue;
            world.take(world.follower.peerOffsetReceived(world.reader.lastChange(), now), now);
            for (const auto& [target, isUsable] : world.truth()) {
                INFO("seed " << seed << ", step " << step << ", " << target);
                CHECK(world.usable[target] == isUsable);
                if (isUsable)
                    CHECK(world.usedInstances[target] == instanceName(target, world.startTimes[target]));
            }
        }
    }
}

TEST_CASE("test_foreign_entry_in_a_reset_list_ends_its_target")
{
    // Guards against the use of a target whose entry no longer names one. The store's history is lost, and the list
    // that is read anew has another writer's entry in its place. An entry that cannot be decoded is a change too.
    followed_list world;
    world.writeForeign("t3");
    auto newest = world.log;
    std::erase_if(newest, [](const auto& updates) { return updates.name == "t3" && updates.record; });
    world.take(world.follower.listRead(newest, world.end(), at(1s)));
    CHECK_FALSE(world.usable["t3"]);
    CHECK(world.usable["t4"]);
}

TEST_CASE("test_follower_reads_nothing_while_all_batches_arrive")
{
    // Guards against each change of one target costing a store call from every node.
    followed_list world;
    random_source random(7);
    instant now = at(1s);
    for (int step = 0; step < 200; ++step, now += 500ms) {
        world.write("t" + std::to_string(random.below(14)), random.below(2) == 0);
        const auto found = world.read(world.reader, world.readerNext, now);
        if (found.batch)
            world.take(world.follower.batchReceived(*found.batch, now), now);
        world.take(world.follower.peerOffsetReceived(world.reader.lastChange(), now), now);
    }
    CHECK(world.reads == 0);
    CHECK(world.usable == world.truth());
}

TEST_CASE("test_change_before_a_new_readers_first_list_reaches_the_others")
{
    // Guards against one node sending to a leaving target for seconds longer than the others. The removal is recorded;
    // a starting node finds it in its first list and becomes the reader before the former reader has read it. A change
    // found in the first list must reach the others.
    followed_list world;
    world.write("t3", true);
    target_follower starting { 2s };
    starting.listRead(world.log, world.end(), at(1s));
    world.take(world.follower.peerOffsetReceived(starting.lastChange(), at(1s)), at(1s));
    CHECK_FALSE(world.usable["t3"]);
    CHECK(world.reads == 1);
    world.take(world.follower.peerOffsetReceived(starting.lastChange(), at(2s)), at(2s));
    CHECK(world.reads == 1);
}

TEST_CASE("test_lapsed_entry_is_not_confirmed_to_peers")
{
    // Guards against nodes that read at long intervals dropping working targets after an outage of the store. An entry
    // lapses during the outage, and another one changes after it and is published. The reader must not publish the
    // offset of its last change while it waits for an earlier entry to return.
    followed_list world;
    world.reader.storeReturned(at(1s));
    world.remove("t1");
    world.write("t2", true);
    const auto found = world.read(world.reader, world.readerNext, at(1s));
    REQUIRE(found.batch);
    world.take(world.follower.batchReceived(*found.batch, at(1s)), at(1s));
    world.take(world.follower.peerOffsetReceived(world.reader.lastChange(), at(1s)), at(1s));
    CHECK(world.usable["t1"]);
    CHECK_FALSE(world.usable["t2"]);
    const auto over = world.reader.tick(at(4s));
    REQUIRE(over.changes.gone.size() == 1);
    CHECK(over.changes.gone.front().name == "t1");
    // Also if that batch is lost.
    world.take(world.follower.peerOffsetReceived(world.reader.lastChange(), at(4s)), at(4s));
    CHECK_FALSE(world.usable["t1"]);
}
