// Tests how nodes know which build began a stream: notes, questions and what follows from the list of targets.
#include "serving_fixture.h"

#include "base/random_source.h"
#include "serving/stream_origins.h"

#include <memory>
#include <set>

using namespace tamarack;
using namespace tamarack::serving;
using namespace tamarack::serving::tests;

namespace {

constexpr duration lifetime = 16s;
constexpr std::uint16_t port = 7660;

origin_scope scope() { return { { shortHash("engines") }, lifetime }; }

/// Nodes in virtual time, whose messages arrive at once unless they are lost.
struct origin_world {
    struct node {
        std::string vm;
        std::string zone;
        node_endpoint address;
        fleet_table fleet { "a" };
        std::unique_ptr<stream_origins> origins;
        bool isAlive = true;
        int side = 0; // nodes of different sides don't hear each other
        int sent = 0;
    };

    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::string> builds { "v1", "v2" };
    random_source random { 11 };
    double loss = 0;
    std::uint64_t nextRequest = 1;
    /// While a question waits, the list of this node is confirmed all the time; -1: of none.
    int inTouch = -1;

    origin_world(int count, int zones, std::vector<std::string> given = { "v1", "v2" })
        : builds(std::move(given))
    {
        for (int i = 0; i < count; ++i) {
            auto item = std::make_unique<node>();
            item->vm = "node-" + std::to_string(i);
            item->zone = std::string(1, static_cast<char>('a' + i % zones));
            item->address = { "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250), port };
            nodes.push_back(std::move(item));
            restart(i, instant());
        }
        for (int i = 0; i < count; ++i)
            updatePeers(i);
    }

    /// A node starts without notes; `knownSince`: from when on it has noticed every build.
    void restart(int at, instant knownSince)
    {
        auto& item = *nodes[static_cast<std::size_t>(at)];
        item.isAlive = true;
        item.fleet = fleet_table("a");
        for (std::size_t i = 0; i < builds.size(); ++i)
            list(at, "t" + std::to_string(i), builds[i]);
        item.origins = std::make_unique<stream_origins>(item.fleet, knownSince);
    }

    void list(int at, const std::string& target, const std::string& build)
    {
        auto record = targetRecord(target, "engines", target_role::decode, 8);
        record.build = build;
        nodes[static_cast<std::size_t>(at)]->fleet.upsert(record);
    }

    bool hears(const node& a, const node& b) const { return a.isAlive && b.isAlive && a.side == b.side; }

    void updatePeers(int at)
    {
        const auto& self = *nodes[static_cast<std::size_t>(at)];
        std::vector<origin_peer> peers;
        for (const auto& other : nodes) {
            if (other.get() != &self && hears(self, *other))
                peers.push_back({ other->vm, other->zone, other->address });
        }
        self.origins->setPeers(std::move(peers));
    }

    void confirm(int at, instant now) { nodes[static_cast<std::size_t>(at)]->origins->listConfirmed(now); }

    node* at(const node_endpoint& address)
    {
        for (auto& item : nodes) {
            if (item->address == address)
                return item.get();
        }
        return nullptr;
    }

    void deliver(instant now)
    {
        for (bool isIdle = false; !isIdle;) {
            isIdle = true;
            for (auto& from : nodes) {
                for (const auto& item : from->origins->takeMessages()) {
                    isIdle = false;
                    for (const auto& to : item.to)
                        send(*from, *at(to), item.message, now);
                }
            }
        }
    }

    void send(node& from, node& to, const origin_message& message, instant now)
    {
        ++from.sent;
        if (!hears(from, to) || random.unit() < loss)
            return;
        if (const auto* notes = std::get_if<origin_notes>(&message))
            to.origins->notesReceived(*notes, now);
        else if (const auto* question = std::get_if<origin_question>(&message))
            send(to, from, to.origins->replyTo(*question, now), now);
        else
            to.origins->replyReceived(from.address, std::get<origin_reply>(message));
    }

    void begin(int at, stream_key stream, const std::string& build, instant now)
    {
        nodes[static_cast<std::size_t>(at)]->origins->began(stream, buildIdOf("engines", build), scope(), now);
        deliver(now);
    }

    /// Asks at a node and lets the time pass until it has decided.
    origin_finding find(int at, stream_key stream, instant now)
    {
        auto& origins = *nodes[static_cast<std::size_t>(at)]->origins;
        if (const auto known = origins.find({ nextRequest++ }, stream, scope(), now))
            return *known;
        for (int i = 0; i < 130; ++i) {
            deliver(now);
            if (const auto found = origins.takeFindings(now); !found.empty())
                return found.front();
            now += 10ms;
            if (inTouch >= 0)
                confirm(inTouch, now);
            origins.tick(now);
        }
        FAIL("a question has no end");
        return {};
    }
};

}

TEST_CASE("test_peers_know_the_build_of_a_stream_whose_node_has_died")
{
    // Guards against calls that take up a stream at a node that never held it and are placed at any build.
    origin_world world(9, 3);
    const auto stream = streamKey("", "call-1");
    world.begin(0, stream, "v2", at(0s));
    world.nodes[0]->isAlive = false;
    for (int node = 1; node < 9; ++node) {
        const auto found = world.find(node, stream, at(1s));
        CHECK(found.build == buildIdOf("engines", "v2"));
    }
    CHECK(world.find(3, streamKey("", "call-2"), at(1s)).source == origin_source::unknown);
    CHECK(world.find(3, streamKey("other", "call-1"), at(1s)).source == origin_source::unknown);
    CHECK(world.find(3, {}, at(1s)).source == origin_source::unknown);
    CHECK(world.find(3, stream, at(lifetime + 1s)).source == origin_source::unknown);
}

TEST_CASE("test_node_that_is_cut_off_from_all_holders_does_not_guess_the_build")
{
    // Guards against a guess by a node that cannot ask: two builds must not be in one answer, in touch or not.
    origin_world world(9, 3);
    const auto stream = streamKey("", "call-1");
    world.begin(0, stream, "v1", at(0s));
    world.nodes[4]->side = 1;
    CHECK(world.find(4, stream, at(1s)).source == origin_source::unanswered);
    world.updatePeers(4);
    CHECK_FALSE(world.find(4, stream, at(1s)).build.isValid());
}

TEST_CASE("test_stream_of_a_service_with_one_build_needs_no_note")
{
    // Guards against refusals while there is no doubt, and against notes that nobody needs.
    origin_world world(9, 3, { "v1" });
    const auto stream = streamKey("", "call-1");
    world.confirm(0, at(0s));
    world.begin(0, stream, "v1", at(0s));
    CHECK(world.nodes[0]->sent == 0);
    world.nodes[0]->isAlive = false;
    world.confirm(5, at(1s));
    CHECK(world.find(5, stream, at(1s)).source == origin_source::only_build);
    CHECK(world.find(5, {}, at(1s)).source == origin_source::only_build);
    // Neither this node's list nor that of a peer is current any more.
    CHECK_FALSE(world.find(5, stream, at(5s)).build.isValid());
    world.confirm(6, at(5s));
    world.inTouch = 6;
    CHECK(world.find(5, stream, at(5s)).source == origin_source::only_build);
}

TEST_CASE("test_node_that_lags_behind_the_list_hears_of_other_builds_from_its_peers")
{
    // Guards against a node that takes the only build in its old list for the only one.
    origin_world world(9, 3, { "v1" });
    for (int node = 0; node < 9; ++node) {
        world.confirm(node, at(0s));
        if (node != 5)
            world.list(node, "t9", "v2");
    }
    CHECK(world.find(5, {}, at(100ms)).source == origin_source::unknown);
}

TEST_CASE("test_node_that_has_just_started_does_not_take_the_only_listed_build_for_the_only_one")
{
    // Guards against a guess by a node that does not know which builds have left a moment ago.
    origin_world world(1, 1, { "v2" });
    world.restart(0, at(0s));
    const auto confirmUntil = [&](instant from, instant until) {
        for (auto now = from; now < until; now += 1s)
            world.confirm(0, now);
        world.confirm(0, until);
    };
    confirmUntil(at(0s), at(lifetime - 1s));
    CHECK(world.find(0, {}, at(lifetime - 1s)).source == origin_source::unknown);
    confirmUntil(at(lifetime - 1s), at(lifetime));
    CHECK(world.find(0, {}, at(lifetime)).source == origin_source::only_build);
    // What a peer has noticed counts as if this node had.
    world.restart(0, at(20s));
    auto& builds = world.nodes[0]->origins->builds();
    builds.add({ { shortHash("engines"), buildIdOf("engines", "v1"), 5s } }, at(20s));
    builds.adoptHistory(1min, at(20s));
    world.confirm(0, at(21s));
    CHECK(world.find(0, {}, at(21s)).source == origin_source::unknown);
    confirmUntil(at(21s), at(32s));
    CHECK(world.find(0, {}, at(32s)).source == origin_source::only_build);
}

TEST_CASE("test_running_streams_are_told_when_a_second_build_appears")
{
    // Guards against streams that began while nobody needed a note and are cut while two builds serve.
    origin_world world(9, 3, { "v1" });
    const auto stream = streamKey("", "call-1");
    world.begin(0, stream, "v1", at(0s));
    for (int node = 0; node < 9; ++node)
        world.list(node, "t9", "v2");
    world.nodes[0]->origins->tick(at(1s));
    world.deliver(at(1s));
    world.nodes[0]->isAlive = false;
    CHECK(world.find(7, stream, at(2s)).source != origin_source::unknown);
    CHECK(world.find(7, stream, at(2s)).build == buildIdOf("engines", "v1"));
}

TEST_CASE("test_stream_that_two_notes_give_different_builds_is_unknown")
{
    // Guards against a caller that uses another's call id and so moves its stream to another build.
    origin_world world(3, 1);
    const auto stream = streamKey("", "call-1");
    world.begin(0, stream, "v1", at(0s));
    world.begin(1, stream, "v2", at(1s));
    for (int node = 0; node < 3; ++node)
        CHECK_FALSE(world.find(node, stream, at(2s)).build.isValid());
}

TEST_CASE("test_notes_are_bounded_and_the_oldest_go_first")
{
    // Guards against a table that grows with the rate of streams, or that a prolonged note keeps full.
    origin_table table(100);
    const auto build = buildIdOf("engines", "v1");
    for (std::uint64_t i = 0; i < 1000; ++i) {
        table.add({ { i }, build, lifetime }, false, at(0s));
        table.add({ { i }, build, lifetime }, false, at(0s));
    }
    CHECK(table.size() == 100);
    CHECK_FALSE(table.find({ 899 }, at(0s)));
    CHECK(table.find({ 900 }, at(0s)));
    table.add({ { 2000 }, build, lifetime }, false, at(lifetime));
    CHECK(table.size() == 1);
}

TEST_CASE("test_most_streams_go_on_when_many_nodes_are_killed_at_any_moment")
{
    // Guards against holders that are lost together, and against notes of the wrong build.
    struct {
        int nodes;
        int zones;
        int killed;
        double minShare;
    } const cases[] { { 9, 3, 1, 0.99 }, { 9, 3, 3, 0.9 }, { 9, 3, 5, 0.75 }, { 90, 3, 45, 0.75 }, { 300, 5, 1, 0.99 },
        { 300, 5, 60, 0.95 }, { 300, 5, 150, 0.75 } };
    for (const auto& item : cases) {
        origin_world world(item.nodes, item.zones);
        world.loss = 0.03;
        constexpr int streams = 1500;
        std::vector<std::pair<int, std::string>> begun;
        for (int i = 0; i < streams; ++i) {
            begun.emplace_back(static_cast<int>(world.random.next() % static_cast<std::uint64_t>(item.nodes)),
                world.builds[world.random.next() % 2]);
            world.begin(begun.back().first, streamKey("", "call-" + std::to_string(i)), begun.back().second, at(0s));
        }
        std::set<int> killed;
        while (static_cast<int>(killed.size()) < item.killed)
            killed.insert(static_cast<int>(world.random.next() % static_cast<std::uint64_t>(item.nodes)));
        // Half of them are back without notes when the streams are taken up.
        int index = 0;
        for (const auto node : killed) {
            world.nodes[static_cast<std::size_t>(node)]->isAlive = false;
            if (index++ % 2 == 0)
                world.restart(node, at(1s));
        }
        for (int node = 0; node < item.nodes; ++node)
            world.updatePeers(node);
        int takenUp = 0;
        int known = 0;
        for (int i = 0; i < streams; ++i) {
            const auto& [node, build] = begun[static_cast<std::size_t>(i)];
            if (!killed.contains(node))
                continue;
            int asker = 0;
            while (!world.nodes[static_cast<std::size_t>(asker)]->isAlive || killed.contains(asker))
                asker = static_cast<int>(world.random.next() % static_cast<std::uint64_t>(item.nodes));
            const auto found = world.find(asker, streamKey("", "call-" + std::to_string(i)), at(2s));
            ++takenUp;
            known += found.build.isValid();
            if (found.build.isValid())
                CHECK(found.build == buildIdOf("engines", build));
        }
        std::printf(
            "%d nodes, %d killed: the build of %d of %d streams is known\n", item.nodes, item.killed, known, takenUp);
        CHECK(known >= item.minShare * takenUp);
    }
}

TEST_CASE("test_streams_of_an_availability_zone_that_is_lost_whole_stay_known")
{
    // Guards against holders of a stream that are all in the availability zone of the node that began it.
    constexpr int nodes = 12;
    constexpr int zones = 3;
    constexpr int streams = 1000;
    origin_world world(nodes, zones);
    for (int i = 0; i < streams; ++i)
        world.begin(zones * (i % (nodes / zones)), streamKey("", "call-" + std::to_string(i)), "v2", at(0s));
    for (int node = 0; node < nodes; node += zones)
        world.nodes[static_cast<std::size_t>(node)]->isAlive = false;
    for (int node = 0; node < nodes; ++node)
        world.updatePeers(node);
    for (int i = 0; i < streams; ++i) {
        const auto found = world.find(1 + i % 2, streamKey("", "call-" + std::to_string(i)), at(1s));
        CHECK(found.build == buildIdOf("engines", "v2"));
    }
}

TEST_CASE("test_halves_of_a_fleet_that_are_cut_apart_take_up_most_streams_and_guess_none")
{
    // Guards against refusing most streams, or guessing, where a part of the holders cannot be asked.
    constexpr int nodes = 9;
    constexpr int streams = 200;
    origin_world world(nodes, 3);
    for (int i = 0; i < streams; ++i)
        world.begin(
            i % 5, streamKey("", "call-" + std::to_string(i)), world.builds[static_cast<std::size_t>(i) % 2], at(0s));
    for (int node = 5; node < nodes; ++node)
        world.nodes[static_cast<std::size_t>(node)]->side = 1;
    for (int node = 0; node < nodes; ++node)
        world.updatePeers(node);
    int known = 0;
    for (int i = 0; i < streams; ++i) {
        const auto found = world.find(5 + i % 4, streamKey("", "call-" + std::to_string(i)), at(1s));
        known += found.build.isValid();
        if (found.build.isValid())
            CHECK(found.build == buildIdOf("engines", world.builds[static_cast<std::size_t>(i) % 2]));
    }
    std::printf("9 nodes cut in two: the build of %d of %d streams is known\n", known, streams);
    CHECK(2 * known >= streams);
}

TEST_CASE("test_stream_of_a_split_route_goes_on_at_the_service_that_began_it")
{
    // Guards against a call that takes up a stream and is sent to another service of its route, by its own id.
    dispatch_world world;
    auto route = world.configuration->routes()[3];
    route.shares = { { "engines", 1 }, { "engines-2", 1 } };
    auto services
        = std::vector { *world.configuration->findService("engines"), *world.configuration->findService("engines") };
    services[1].name = "engines-2";
    world.configuration = std::make_shared<const serving_configuration>(
        2, std::vector { route }, std::move(services), caller_limits {});
    for (const auto* service : { "engines", "engines-2" })
        world.decisions.targetListed(targetRecord(std::string("t-") + service, service, target_role::decode, 8));
    for (int i = 0; i < 20; ++i) {
        auto first = world.make(0);
        first.service = chooseService(route, first.id);
        command_list out;
        const auto id = world.decisions.submit(first, at(i * 1s), out);
        const auto start = *find<start_attempt>(out);
        world.decisions.responseStarted(id, start.attempt, at(i * 1s));
        world.decisions.callerDisconnected(id, at(i * 1s), out);
        auto next = world.make(0);
        next.service = chooseService(route, next.id);
        next.takesUpStream = true;
        next.firstCallId = first.id;
        out.clear();
        world.decisions.submit(next, at(i * 1s + 100ms), out);
        const auto* resumed = find<start_attempt>(out);
        REQUIRE(resumed);
        CHECK(resumed->target == start.target);
        world.decisions.attemptEnded(
            resumed->request, resumed->attempt, attempt_result::answered, {}, at(i * 1s + 200ms), out);
    }
}

TEST_CASE("test_call_waits_for_the_origin_of_its_stream_and_goes_on_at_its_build")
{
    // Guards against a call that is placed before its stream's build is known, or held when it cannot be known.
    dispatch_world world;
    for (const auto* build : { "v1", "v2" }) {
        auto record = targetRecord(std::string("t-") + build, "engines", target_role::decode, 8);
        record.build = build;
        world.decisions.targetListed(record);
    }
    const node_endpoint peer { "10.0.0.2", port };
    world.decisions.origins().setPeers({ { "node-2", "b", peer } });
    auto request = world.make(3);
    request.takesUpStream = true;
    request.firstCallId = "call-1";
    command_list out;
    const auto id = world.decisions.submit(request, at(0s), out);
    CHECK(out.empty());
    const auto messages = world.decisions.origins().takeMessages();
    REQUIRE(messages.size() == 1);
    const auto& question = std::get<origin_question>(messages.front().message);
    SECTION("a peer knows it")
    {
        world.decisions.originReplyReceived(
            peer, { question.number, buildIdOf("engines", "v2"), {}, true }, at(5ms), out);
        const auto* start = find<start_attempt>(out);
        REQUIRE(start);
        CHECK(world.nameOf(start->target) == "t-v2");
    }
    SECTION("a peer names a build that has left")
    {
        world.decisions.originReplyReceived(
            peer, { question.number, buildIdOf("engines", "v0"), {}, true }, at(5ms), out);
        REQUIRE(find<refuse_request>(out));
        CHECK(find<refuse_request>(out)->kind == error_kind::stream_not_resumable);
    }
    SECTION("no peer knows it")
    {
        world.decisions.originReplyReceived(peer, { question.number, {}, {}, true }, at(5ms), out);
        REQUIRE(find<refuse_request>(out));
        CHECK(find<refuse_request>(out)->kind == error_kind::stream_not_resumable);
        CHECK(find<refuse_request>(out)->retryAfter > duration::zero());
    }
    SECTION("no peer answers")
    {
        for (auto now = at(0s); now < at(200ms); now += 20ms)
            world.decisions.tick(now, out);
        REQUIRE(find<refuse_request>(out));
        CHECK(world.decisions.held() == 0);
    }
    SECTION("the caller leaves")
    {
        world.decisions.callerDisconnected(id, at(5ms), out);
        world.decisions.originReplyReceived(
            peer, { question.number, buildIdOf("engines", "v2"), {}, true }, at(6ms), out);
        CHECK_FALSE(find<start_attempt>(out));
        CHECK(world.decisions.held() == 0);
    }
}

TEST_CASE("test_node_that_was_out_of_touch_does_not_take_the_only_listed_build_for_the_only_one")
{
    // Guards against a guess by a node that was frozen or cut off while another build came and went.
    origin_world world(1, 1, { "v1" });
    world.restart(0, at(0s));
    for (auto now = at(0s); now <= at(20s); now += 1s)
        world.confirm(0, now);
    CHECK(world.find(0, {}, at(20s)).source == origin_source::only_build);
    world.confirm(0, at(30s));
    CHECK(world.find(0, {}, at(30s)).source == origin_source::unknown);
    for (auto now = at(30s); now <= at(30s) + lifetime; now += 1s)
        world.confirm(0, now);
    CHECK(world.find(0, {}, at(30s) + lifetime).source == origin_source::only_build);
}

TEST_CASE("test_node_out_of_touch_hands_no_history_to_a_node_that_starts")
{
    // Guards against a node that adopts a long history from a peer which has missed the latest builds.
    origin_world world(2, 1, { "v1" });
    for (auto now = at(0s); now <= at(20s); now += 1s)
        world.confirm(0, now);
    CHECK(world.nodes[0]->origins->historyToShare(at(20s)) >= 20s);
    CHECK(world.nodes[0]->origins->historyToShare(at(25s)) == duration::zero());
}

TEST_CASE("test_stream_of_a_build_that_a_node_has_not_heard_of_yet_does_not_go_on_there")
{
    // Guards against a guess by a list that is older than the call: a new build began the stream, and its node died.
    origin_world world(3, 1, { "v1" });
    for (int node = 0; node < 3; ++node)
        world.confirm(node, at(10s));
    world.list(0, "t9", "v2");
    world.loss = 1;
    const auto stream = streamKey("", "call-1");
    world.begin(0, stream, "v2", at(10300ms));
    world.nodes[0]->isAlive = false;
    world.loss = 0;
    auto& origins = *world.nodes[1]->origins;
    const auto askedAt = at(10500ms);
    CHECK_FALSE(origins.find({ 77 }, stream, scope(), askedAt));
    std::vector<origin_finding> found;
    for (auto now = askedAt; now < at(10900ms); now += 10ms) {
        world.deliver(now);
        origins.tick(now);
        for (const auto& item : origins.takeFindings(now))
            found.push_back(item);
    }
    CHECK(found.empty());
    world.list(1, "t9", "v2");
    world.confirm(1, at(10900ms));
    origins.tick(at(10900ms));
    found = origins.takeFindings(at(10900ms));
    REQUIRE(found.size() == 1);
    CHECK_FALSE(found.front().build.isValid());
}

TEST_CASE("test_only_build_counts_once_a_list_younger_than_the_call_shows_no_other")
{
    // Guards against refusals of the streams of a node that has died while one build serves.
    origin_world world(3, 1, { "v1" });
    for (int node = 0; node < 3; ++node)
        world.confirm(node, at(10s));
    world.nodes[0]->isAlive = false;
    world.inTouch = 1;
    const auto own = world.find(1, streamKey("", "call-1"), at(10500ms));
    CHECK(own.source == origin_source::only_build);
    CHECK(own.waited < 100ms);
    // A node that is out of touch learns it from a peer, in time for the callers.
    world.inTouch = 2;
    for (auto now = at(10s); now < at(14s); now += 1s)
        world.confirm(2, now);
    const auto peers = world.find(1, streamKey("", "call-1"), at(14s));
    CHECK(peers.source == origin_source::only_build);
    CHECK(peers.waited < 1200ms);
}

TEST_CASE("test_question_outlasts_the_time_for_which_a_list_counts_as_current")
{
    // Guards against a refusal because the list gets old while the call waits for a younger one.
    origin_world world(1, 1, { "v1" });
    world.confirm(0, at(10s));
    auto& origins = *world.nodes[0]->origins;
    CHECK_FALSE(origins.find({ 77 }, streamKey("", "call-1"), scope(), at(10900ms)));
    for (auto now = at(10900ms); now < at(11500ms); now += 20ms) {
        origins.tick(now);
        REQUIRE(origins.takeFindings(now).empty());
    }
    world.confirm(0, at(11500ms));
    const auto found = origins.takeFindings(at(11500ms));
    REQUIRE(found.size() == 1);
    CHECK(found.front().source == origin_source::only_build);
}
