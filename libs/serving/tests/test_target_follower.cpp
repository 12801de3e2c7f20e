// The target list as nodes know it from reading and from each other, whatever is lost on the way.
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

/// A list of targets that changes, one node that reads it and one that mostly hears of it.
struct followed_list {
    std::vector<target_update> log;
    std::map<std::string, std::uint64_t> sequences;
    target_follower reader { 2s };
    target_follower hearer { 2s };
    std::map<std::string, bool> believed; ///< by name: whether the hearer takes it for usable
    std::map<std::string, std::string> livesBelieved; ///< by name: the life that the hearer uses
    std::map<std::string, std::uint64_t> births;
    std::size_t readerNext = 0;
    std::size_t hearerNext = 0;
    int reads = 0;
    bool asksPeers = false; ///< the hearer is told by the reader what it lacks, and never reads the list

    explicit followed_list(bool isToldAll = false)
        : asksPeers(isToldAll)
    {
        hearer.setReadsInfrequently(true);
        for (int i = 0; i < 10; ++i)
            write("t" + std::to_string(i), false);
        reader.listRead(log, end(), at(0s));
        take(asksPeers ? hearer.snapshotReceived(reader.known(), at(0s)) : hearer.listRead(log, end(), at(0s)));
        readerNext = hearerNext = log.size();
    }

    std::int64_t end() const { return static_cast<std::int64_t>(log.size()); }
    void write(const std::string& name, bool isDraining)
    {
        log.push_back({ end(), name, record(name, ++sequences[name], isDraining, births[name]) });
    }
    void remove(const std::string& name) { log.push_back({ end(), name, std::nullopt }); }
    /// The target starts again under its name, and counts from the beginning.
    void startAgain(const std::string& name, std::uint64_t bornAt)
    {
        births[name] = bornAt;
        sequences[name] = 0;
        write(name, false);
    }
    /// Another writer puts something over the target's entry.
    void writeForeign(const std::string& name) { log.push_back({ end(), name, std::nullopt, true }); }

    follow_result read(target_follower& who, std::size_t& next, instant now)
    {
        const std::vector<target_update> news(log.begin() + static_cast<std::ptrdiff_t>(next), log.end());
        next = log.size();
        return who.recordsRead(news, end(), now);
    }
    void take(const follow_result& step, instant now = at(0s))
    {
        for (const auto& ended : step.changes.replaced)
            CHECK(std::exchange(livesBelieved[ended.name], {}) == ended.instance);
        for (const auto& one : step.changes.listed) {
            believed[one.name] = !one.isDraining;
            // A life that begins without a word on the former one would leave that one's rows in use.
            CHECK((livesBelieved[one.name].empty() || livesBelieved[one.name] == one.instance()));
            livesBelieved[one.name] = one.instance();
        }
        for (const auto& ended : step.changes.gone) {
            believed[ended.name] = false;
            const auto life = std::exchange(livesBelieved[ended.name], {});
            CHECK((life.empty() || life == ended.instance)); // one that came and went within a step was never used
        }
        if (!step.mustRead)
            return;
        ++reads;
        take(asksPeers ? hearer.snapshotReceived(reader.known(), now) : read(hearer, hearerNext, now), now);
    }
    std::map<std::string, bool> truth() const
    {
        std::map<std::string, bool> out;
        for (const auto& news : log)
            out[news.name] = news.record && !news.record->isDraining;
        return out;
    }
};

}

TEST_CASE("test_hearer_knows_what_the_reader_knows_although_notes_are_lost")
{
    // Symptom: some nodes go on sending to a target that has left.
    // Sequence: any notes are lost or come in another order; heartbeats come now and then.
    // Cause: none that is allowed to matter; each heartbeat that comes must close every gap before it.
    const bool asksPeers = GENERATE(false, true);
    int readsInAll = 0;
    int heartbeats = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        random_source random(seed);
        followed_list world(asksPeers);
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
                world.take(world.hearer.batchReceived(*found.batch, now), now);
            if (!late.empty() && random.below(3) == 0) {
                world.take(world.hearer.batchReceived(late.front(), now), now);
                late.erase(late.begin());
            }
            if (random.below(2) == 0)
                continue;
            ++heartbeats;
            world.take(world.hearer.peerOffsetReceived(world.reader.lastChange(), now), now);
            auto expected = world.truth();
            for (auto& [name, isUsable] : expected) {
                INFO("seed " << seed << ", step " << step << ", " << name);
                CHECK(world.believed[name] == isUsable);
            }
        }
        readsInAll += world.reads;
    }
    // Where all notes come, nothing is read; here a third of them does not.
    CHECK(readsInAll < heartbeats);
}

TEST_CASE("test_lives_and_foreign_entries_are_known_alike_although_notes_are_lost")
{
    // Symptom: a target that has started again under its name gets nothing from some nodes, or is taken for the one
    // that it was; an entry that no target has written is used.
    // Sequence: targets leave, drain, start again under their names; other writers put entries over theirs; notes are
    // lost or come in another order.
    // Cause: sequences of different lives compared with each other, entries of others passed over.
    const bool asksPeers = GENERATE(false, true);
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        random_source random(seed);
        followed_list world(asksPeers);
        std::vector<target_update_batch> late;
        instant now = at(1s);
        for (int step = 0; step < 60; ++step, now += 500ms) {
            const auto name = "t" + std::to_string(random.below(14));
            const auto what = random.below(5);
            if (what == 0)
                world.remove(name);
            else if (what == 1)
                world.startAgain(name, world.births[name] + 1 + random.below(1000));
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
                world.take(world.hearer.batchReceived(*found.batch, now), now);
            if (!late.empty() && random.below(3) == 0) {
                world.take(world.hearer.batchReceived(late.front(), now), now);
                late.erase(late.begin());
            }
            if (random.below(2) == 0)
                continue;
            world.take(world.hearer.peerOffsetReceived(world.reader.lastChange(), now), now);
            for (const auto& [target, isUsable] : world.truth()) {
                INFO("seed " << seed << ", step " << step << ", " << target);
                CHECK(world.believed[target] == isUsable);
                if (isUsable)
                    CHECK(world.livesBelieved[target] == instanceName(target, world.births[target]));
            }
        }
    }
}

TEST_CASE("test_foreign_entry_found_at_a_start_over_ends_its_target")
{
    // Symptom: a target is used although its entry names none any more.
    // Sequence: the store's history is lost; the list is read anew, and has another writer's entry in place of it.
    // Cause: an entry that is there but cannot be read counted as no news.
    followed_list world;
    world.writeForeign("t3");
    auto newest = world.log;
    std::erase_if(newest, [](const auto& news) { return news.name == "t3" && news.record; });
    world.take(world.hearer.listRead(newest, world.end(), at(1s)));
    CHECK_FALSE(world.believed["t3"]);
    CHECK(world.believed["t4"]);
}

TEST_CASE("test_hearer_reads_nothing_while_all_notes_come")
{
    // Symptom: each change of one target costs a call to the store from every node.
    followed_list world;
    random_source random(7);
    instant now = at(1s);
    for (int step = 0; step < 200; ++step, now += 500ms) {
        world.write("t" + std::to_string(random.below(14)), random.below(2) == 0);
        const auto found = world.read(world.reader, world.readerNext, now);
        if (found.batch)
            world.take(world.hearer.batchReceived(*found.batch, now), now);
        world.take(world.hearer.peerOffsetReceived(world.reader.lastChange(), now), now);
    }
    CHECK(world.reads == 0);
    CHECK(world.believed == world.truth());
}

TEST_CASE("test_change_before_a_new_readers_first_list_reaches_the_others")
{
    // Symptom: one node sends to a leaving target for seconds longer than the others.
    // Sequence: a target's leaving is recorded; a node starts, finds it in its first list, and reads for all from then
    // on; the former reader had not read it yet.
    // Cause: what a node finds in its first list is told to nobody.
    followed_list world;
    world.write("t3", true);
    target_follower starting { 2s };
    starting.listRead(world.log, world.end(), at(1s));
    world.take(world.hearer.peerOffsetReceived(starting.lastChange(), at(1s)), at(1s));
    CHECK_FALSE(world.believed["t3"]);
    CHECK(world.reads == 1);
    world.take(world.hearer.peerOffsetReceived(starting.lastChange(), at(2s)), at(2s));
    CHECK(world.reads == 1);
}

TEST_CASE("test_what_is_waited_for_is_not_confirmed_to_peers")
{
    // Symptom: after an outage of the store targets that work are given up by nodes that read seldom.
    // Sequence: an entry lapses during the outage, and another one changes after it; the change is told.
    // Cause: the reader names its last change, though it still waits for an entry before that to come back.
    followed_list world;
    world.reader.storeReturned(at(1s));
    world.remove("t1");
    world.write("t2", true);
    const auto found = world.read(world.reader, world.readerNext, at(1s));
    REQUIRE(found.batch);
    world.take(world.hearer.batchReceived(*found.batch, at(1s)), at(1s));
    world.take(world.hearer.peerOffsetReceived(world.reader.lastChange(), at(1s)), at(1s));
    CHECK(world.believed["t1"]);
    CHECK_FALSE(world.believed["t2"]);
    const auto over = world.reader.tick(at(4s));
    REQUIRE(over.changes.gone.size() == 1);
    CHECK(over.changes.gone.front().name == "t1");
    // Also if that note is lost.
    world.take(world.hearer.peerOffsetReceived(world.reader.lastChange(), at(4s)), at(4s));
    CHECK_FALSE(world.believed["t1"]);
}
