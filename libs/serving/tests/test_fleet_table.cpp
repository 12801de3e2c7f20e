// Tests the rows of the fleet table and the sums of the peers' requests in it.
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
    fleet.upsert(targetRecord("t2", "s", target_role::plain, 6)); // no change
    CHECK(fleet.generation() == before);
    CHECK(fleet.rowsOf("s").size() == 2);
    fleet.upsert(targetRecord("t2", "other", target_role::plain, 6)); // the target now serves another service
    CHECK(fleet.rowsOf("s") == std::vector<std::uint32_t> { first.value });
    CHECK(fleet.rowsOf("other").size() == 2);
    fleet.remove("t1");
    fleet.remove("t1");
    CHECK(fleet.rowsOf("s").empty());
    CHECK(fleet.generation() > before);
    CHECK(fleet.upsert(targetRecord("t4", "s", target_role::plain, 6)).value == first.value); // the row is reused
}

TEST_CASE("test_peers_requests_add_up_whatever_comes_and_goes")
{
    // Peers report their loads in any order and fall silent, and targets are removed and their rows reused. A sum that
    // is kept by differences drifts if a difference is subtracted from a row that belongs to another target by then;
    // the target then looks busy for ever, or idle while it is full.
    random_source random(11);
    fleet_table fleet("a");
    const duration timeToLive = 600ms;
    peer_load peers(fleet, timeToLive);
    int made = 0;
    std::vector<std::string> targets;
    struct last_report {
        instant at;
        std::vector<load_entry> entries;
    };
    std::map<std::string, last_report> last;
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
                expected += end + 100ms < item.at + timeToLive && entry.target == shortHash(target) ? entry.running : 0;
        }
        CHECK(fleet.peersRunning[fleet.find(target).value] == expected);
    }
    peers.refresh(end + 2s);
    for (const auto& target : targets)
        CHECK(fleet.peersRunning[fleet.find(target).value] == 0);
}
