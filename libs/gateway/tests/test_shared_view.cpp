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
    logger log { quiet() };
    std::vector<std::uint64_t> versions;
    std::vector<keyed_record> told;
    int storeLosses = 0;
    shared_view view;

    static logger_options quiet()
    {
        logger_options out;
        out.lowest = log_level::error;
        out.descriptor = 2;
        return out;
    }

    viewed_store()
        : view({ decoder, store, decisions, nodes, counters, log }, {},
            { [this](const auto& configuration) { versions.push_back(configuration->version()); },
                [this](std::vector<keyed_record> changes) { told.insert(told.end(), changes.begin(), changes.end()); },
                [this] { ++storeLosses; } })
    {
        view.start();
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
    bool takesWork(const std::string& instance) const
    {
        const auto id = decisions.fleet().find(instance);
        return id.isValid() && decisions.fleet().takesWork(id, boot_clock::now());
    }
};

}

TEST_CASE("test_versions_only_rise")
{
    // Symptom: a route that was added disappears again.
    // Sequence: a peer that lags is asked for its state, or an older record is read again after a start over.
    // Cause: whatever is read last is put in force.
    viewed_store world;
    world.lastCall("newest", store_topic::configuration)
        .onNewest(newest_page { { { 3, "configuration", "7" } }, 4, false });
    world.view.take({ keyed_record { 2, "configuration", "5" }, {}, {} });
    world.view.take({ keyed_record { 5, "configuration", "9" }, {}, {} });
    world.view.take({ keyed_record { 6, "configuration", "nonsense" }, {}, {} });
    CHECK(world.versions == std::vector<std::uint64_t> { 7, 9 });
}

TEST_CASE("test_change_found_by_a_peer_is_obeyed_at_once")
{
    viewed_store world;
    world.listTargets({ { 1, "t1", "s/1" }, { 2, "t2", "s/1" } }, 3);
    world.view.setReadsClosely(false);
    world.view.targetsTold({ { 5, "t1", "s/2/draining" } });
    CHECK_FALSE(world.takesWork("t1"));
    world.view.targetsTold({ { 6, "t2", std::nullopt } });
    CHECK_FALSE(world.takesWork("t2"));
    CHECK(world.view.lastTargetChange() == 6);
    CHECK(world.told.empty()); // not told on: the one that found it tells all
}

TEST_CASE("test_late_word_of_a_peer_does_not_undo_what_was_read")
{
    viewed_store world;
    world.listTargets({ { 8, "t1", "s/4" } }, 9);
    world.view.targetsTold({ { 5, "t1", std::nullopt } });
    CHECK(world.takesWork("t1"));
    world.view.targetsTold({ { 6, "t1", "s/2/draining" } });
    CHECK(world.takesWork("t1"));
}

TEST_CASE("test_node_that_reads_closely_tells_its_peers_what_changed")
{
    viewed_store world;
    world.listTargets({ { 1, "t1", "s/1" }, { 2, "t2", "s/1" } }, 3);
    world.lastCall("read", store_topic::targets)
        .onRead(record_page { { { 3, "t1", "s/2" }, { 4, "t2", "s/2/draining" }, { 5, "t1", std::nullopt } }, 6, 6 });
    REQUIRE(world.told.size() == 2); // a heartbeat that changes nothing is not told
    CHECK(world.told[0].key == "t2");
    CHECK(world.told[1].key == "t1");
    CHECK_FALSE(world.told[1].value);
}

TEST_CASE("test_node_reads_when_a_peer_knows_of_a_change_that_it_does_not_know")
{
    viewed_store world;
    world.listTargets({ { 1, "t1", "s/1" } }, 2);
    world.view.setReadsClosely(false);
    const auto before = world.store.count("read", store_topic::targets);
    world.view.targetChangeSeen(7);
    CHECK(world.store.count("read", store_topic::targets) == before + 1);
    // Confirmed by the peer, so the removal is believed at once.
    world.lastCall("read", store_topic::targets).onRead(record_page { { { 7, "t1", std::nullopt } }, 8, 8 });
    CHECK_FALSE(world.takesWork("t1"));
}
