// Rows of targets, and the peers' requests counted in them.
#include "serving/peer_load.h"
#include "serving_fixture.h"

#include "base/random_source.h"

using namespace tamarack;
using namespace tamarack::serving;
using namespace tamarack::serving::tests;

TEST_CASE("test_rows_of_a_service_are_those_that_are_listed")
{
    fleet_table fleet("a");
    const auto first = fleet.upsert(targetRecord("t1", "s", target_role::plain, 6));
    const auto second = fleet.upsert(targetRecord("t2", "s", target_role::plain, 6));
    fleet.upsert(targetRecord("t3", "other", target_role::plain, 6));
    CHECK(fleet.rowsOf("s") == std::vector<std::uint32_t> { first.value, second.value });
    const auto before = fleet.generation();
    fleet.upsert(targetRecord("t2", "s", target_role::plain, 6)); // the same again
    CHECK(fleet.generation() == before);
    CHECK(fleet.rowsOf("s").size() == 2);
    fleet.upsert(targetRecord("t2", "other", target_role::plain, 6)); // it serves something else now
    CHECK(fleet.rowsOf("s") == std::vector<std::uint32_t> { first.value });
    CHECK(fleet.rowsOf("other").size() == 2);
    fleet.remove("t1");
    fleet.remove("t1");
    CHECK(fleet.rowsOf("s").empty());
    CHECK(fleet.generation() > before);
    CHECK(fleet.upsert(targetRecord("t4", "s", target_role::plain, 6)).value == first.value); // the row is used again
}

TEST_CASE("test_peers_requests_add_up_whatever_comes_and_goes")
{
    // Symptom: a target looks busy for ever, or idle while it is full.
    // Sequence: peers tell their loads in any order, fall silent, and targets go and their rows are used again.
    // Cause: sums that are kept by what each heartbeat changes, and a change that is taken off another row.
    random_source random(11);
    fleet_table fleet("a");
    const duration life = 600ms;
    peer_load peers(fleet, life);
    int made = 0;
    std::vector<std::string> targets;
    struct told {
        instant at;
        std::vector<load_entry> entries;
    };
    std::map<std::string, told> last;
    for (instant now = at(0s); now < at(60s); now += 20ms) {
        if (targets.size() < 5 || random.below(20) == 0) {
            targets.push_back("t" + std::to_string(made++));
            fleet.upsert(targetRecord(targets.back(), "s", target_role::plain, 6));
        } else if (random.below(20) == 0) {
            fleet.remove(targets.front());
            targets.erase(targets.begin());
        }
        const auto peer = "n" + std::to_string(random.below(6));
        if (random.below(4) != 0) {
            std::vector<load_entry> entries;
            for (const auto& target : targets) {
                if (random.below(2) == 0)
                    entries.push_back({ shortHash(target), static_cast<std::uint16_t>(random.below(5)) });
            }
            peers.update(peer, entries, now);
            last[peer] = { now, entries };
        }
        peers.refresh(now);
    }
    const instant end = at(60s);
    peers.refresh(end + 100ms);
    for (const auto& target : targets) {
        int expected = 0;
        for (const auto& [peer, item] : last) {
            for (const auto& entry : item.entries)
                expected += end + 100ms < item.at + life && entry.target == shortHash(target) ? entry.running : 0;
        }
        CHECK(fleet.peersRunning[fleet.find(target).value] == expected);
    }
    peers.refresh(end + 2s);
    for (const auto& target : targets)
        CHECK(fleet.peersRunning[fleet.find(target).value] == 0);
}
