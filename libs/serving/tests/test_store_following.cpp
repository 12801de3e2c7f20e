// Simulates how fast a new configuration version reaches all nodes while the nodes that read the store fail.
#include "serving/duty_assignment.h"
#include "serving/freshness.h"
#include "serving/peer_clock.h"
#include "serving/retry_backoff.h"

#include "base/random_source.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>

using namespace tamarack;
using namespace tamarack::serving;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t zones = 3;
constexpr duration callLimit = 700ms;
constexpr duration storeLatency = 4ms;
constexpr duration dutyInterval = 100ms;
constexpr duration pullTime = 60ms;
constexpr duration pullLimit = 800ms;
constexpr int heartbeatsPerSecond = 160;

enum class store_path { open, silent, refused };

struct fleet_options {
    std::size_t nodes = 77;
    duration bound = 3s;
    bool refreshesWhenStale = true;
    duration warmUp = 8s; // between the start of all nodes and the injection of faults
};

/// Nodes that follow one configuration in virtual time. A frozen node runs its pending events when the freeze ends.
class simulated_fleet {
public:
    simulated_fleet(fleet_options options, std::uint64_t seed)
        : m_options(options)
        , m_random(seed)
        , m_heartbeat(std::max<duration>(100ms, fromSeconds(static_cast<double>(options.nodes) / heartbeatsPerSecond)))
        , m_heartbeatTimeout(std::max<duration>(700ms, fromSeconds(3.2 * seconds(m_heartbeat))))
    {
        for (std::size_t i = 0; i < options.nodes; ++i)
            m_nodes.push_back(std::make_unique<simulated_node>(options, i, m_now));
        for (std::size_t i = 0; i < options.nodes; ++i) {
            for (std::size_t j = 0; j < options.nodes; ++j)
                m_nodes[i]->peerStates.push_back({ m_now, m_nodes[j]->state });
            schedule(randomUpTo(m_heartbeat), i, [this, i] { sendHeartbeat(i); });
            schedule(randomUpTo(dutyInterval), i, [this, i] { updateDuties(i); });
        }
        runFor(options.warmUp);
    }

    std::size_t size() const { return m_nodes.size(); }
    instant now() const { return m_now; }
    random_source& random() { return m_random; }
    int storeCalls() const { return m_storeCalls; }
    duration oldest() const
    {
        duration out {};
        for (const auto& node : m_nodes)
            out = std::max(out, node->configuration.age(m_now));
        return out;
    }
    bool reads(std::size_t node) const { return m_nodes[node]->state.readsForOthers; }

    void runFor(duration length)
    {
        const instant end = m_now + length;
        while (!m_events.empty() && m_events.begin()->first <= end) {
            auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        m_now = end;
    }
    void at(duration wait, std::function<void()> what) { m_events.emplace(m_now + wait, std::move(what)); }

    std::uint64_t publish()
    {
        ++m_version;
        for (std::size_t i = 0; i < size(); ++i) {
            auto& node = *m_nodes[i];
            if (node.isWaiting && node.path == store_path::open)
                sendAnswer(i, node.call, m_now);
        }
        return m_version;
    }
    void freeze(std::size_t node, duration length)
    {
        auto& self = *m_nodes[node];
        self.frozenUntil = std::max(self.frozenUntil, m_now + length);
        self.lastFreezeEnd = self.frozenUntil;
    }
    /// Delays the events scheduled at the node within `length` by up to 300 ms each, except answers from the store.
    void slowDown(std::size_t node, duration length) { m_nodes[node]->slowUntil = m_now + length; }
    void setPath(std::size_t node, store_path path)
    {
        auto& self = *m_nodes[node];
        if (self.path != path)
            ++self.pathChanges; // drops the answers of outstanding calls
        self.path = path;
    }
    void setReceivesFromPeers(std::size_t node, bool receives) { m_nodes[node]->receivesFromPeers = receives; }
    void kill(std::size_t node) { m_nodes[node]->isDead = true; }

    /// Whether the node has run without a freeze or slowdown since `since`, and can reach the store or a running peer
    /// that can.
    bool canLearnVersion(std::size_t node, instant since) const
    {
        const auto isRunning = [&](const simulated_node& other) {
            return !other.isDead && other.lastFreezeEnd <= since && other.slowUntil <= since
                && m_now >= other.frozenUntil;
        };
        const auto& self = *m_nodes[node];
        if (!isRunning(self))
            return false;
        if (self.path == store_path::open)
            return true;
        return self.receivesFromPeers && std::any_of(m_nodes.begin(), m_nodes.end(), [&](const auto& other) {
            return isRunning(*other) && other->path == store_path::open && other->receivesFromPeers;
        });
    }
    std::uint64_t versionAt(std::size_t node) const { return m_nodes[node]->state.configurationVersion; }

private:
    struct peer_state {
        instant at;
        node_state state;
    };
    struct simulated_node {
        simulated_node(const fleet_options& options, std::size_t index, instant now)
            : configuration(options.bound, now)
            , retries(150ms, 600ms)
        {
            state.vm = "vm-" + std::to_string(index);
            state.availabilityZone = std::string(1, static_cast<char>('a' + index % zones));
            state.linkMegabits = index % 4 == 0 ? 200 : 20;
        }
        node_state state;
        freshness configuration;
        retry_backoff retries;
        std::vector<peer_state> peerStates;
        std::map<std::size_t, peer_clock> clocks;
        store_path path = store_path::open;
        instant frozenUntil;
        instant lastFreezeEnd;
        instant slowUntil;
        bool isDead = false;
        bool receivesFromPeers = true;
        bool isPulling = false;
        bool isWaiting = false;
        bool isConfirming = false;
        int pathChanges = 0;
        std::uint64_t call = 0;
        instant askedAt;
        duration wait {};
    };

    duration randomUpTo(duration most) { return fromSeconds(m_random.unit() * seconds(most)); }

    /// Runs an event at a node; postponed until the end of a freeze.
    void schedule(duration wait, std::size_t node, std::function<void()> what)
    {
        if (m_now < m_nodes[node]->slowUntil)
            wait += randomUpTo(300ms);
        m_events.emplace(m_now + wait, [this, node, what = std::move(what)] { run(node, what); });
    }
    void run(std::size_t node, const std::function<void()>& what)
    {
        const auto& self = *m_nodes[node];
        if (self.isDead)
            return;
        if (m_now < self.frozenUntil)
            m_events.emplace(self.frozenUntil, [this, node, what] { run(node, what); });
        else
            what();
    }

    void broadcast(std::size_t from, const std::function<void(std::size_t)>& onReceived)
    {
        if (!m_nodes[from]->receivesFromPeers)
            return;
        for (std::size_t to = 0; to < size(); ++to) {
            if (to != from && m_nodes[to]->receivesFromPeers)
                schedule(2ms + randomUpTo(20ms), to, [onReceived, to] { onReceived(to); });
        }
    }

    void sendHeartbeat(std::size_t node)
    {
        const auto state = m_nodes[node]->state;
        broadcast(node, [this, node, state](std::size_t to) {
            m_nodes[to]->peerStates[node] = { m_now, state };
            versionSeen(to, node, state.configurationVersion);
        });
        schedule(fromSeconds(seconds(m_heartbeat) * (0.85 + 0.3 * m_random.unit())), node,
            [this, node] { sendHeartbeat(node); });
    }

    void updateDuties(std::size_t node)
    {
        schedule(dutyInterval, node, [this, node] { updateDuties(node); });
        auto& self = *m_nodes[node];
        std::vector<node_state> alive;
        for (std::size_t i = 0; i < size(); ++i) {
            if (i != node && m_now < self.peerStates[i].at + m_heartbeatTimeout)
                alive.push_back(self.peerStates[i].state);
        }
        const bool wasReader = self.state.readsForOthers;
        self.state.readsForOthers = readsForZone(self.state, alive);
        self.retries.setMaxDelay(self.state.readsForOthers ? 600ms : 5s);
        self.isConfirming = m_options.refreshesWhenStale && confirmsForFleet(self.state, alive);
        const bool isRefreshDue = m_options.refreshesWhenStale && self.configuration.isStale(m_now)
            && self.configuration.claimRefresh(refreshRank(self.state, alive), m_now);
        if (isRefreshDue || (self.state.readsForOthers && !wasReader))
            readStore(node, 0s);
    }

    void readStore(std::size_t node, duration wait)
    {
        auto& self = *m_nodes[node];
        const auto call = ++self.call;
        const auto path = self.pathChanges;
        self.askedAt = m_now;
        self.wait = wait;
        self.isWaiting = wait > 0s && self.path == store_path::open;
        ++m_storeCalls;
        if (self.path == store_path::open) {
            m_events.emplace(m_now + wait, [this, node, call, path] {
                if (m_nodes[node]->pathChanges == path)
                    sendAnswer(node, call, m_now);
            });
        }
        const auto limit = self.path == store_path::refused ? storeLatency : wait + callLimit;
        schedule(limit, node, [this, node, call] { onFailure(node, call); });
    }

    void sendAnswer(std::size_t node, std::uint64_t call, instant at)
    {
        m_nodes[node]->isWaiting = false;
        const auto version = m_version;
        m_events.emplace(at + storeLatency,
            [this, node, call, version] { run(node, [this, node, call, version] { onAnswer(node, call, version); }); });
    }

    void onAnswer(std::size_t node, std::uint64_t call, std::uint64_t version)
    {
        auto& self = *m_nodes[node];
        if (call != self.call)
            return;
        ++self.call;
        self.retries.succeeded();
        self.state.storeReach = store_reach::reached;
        const bool isNew = version > self.state.configurationVersion;
        self.state.configurationVersion = std::max(self.state.configurationVersion, version);
        const auto completeAt = isNew ? self.askedAt : self.askedAt + self.wait;
        self.configuration.confirmed(completeAt);
        if (m_options.refreshesWhenStale)
            tellReadProgress(node, completeAt);
        else if (isNew)
            broadcast(node, [this, node, version](std::size_t to) { versionSeen(to, node, version); });
        const auto share = self.isConfirming ? freshness_share::confirmerWait : 0.8;
        const auto next = ++self.call;
        if (self.state.readsForOthers)
            schedule(20ms, node, [this, node, next, share] {
                if (m_nodes[node]->call == next)
                    readStore(node, fromSeconds(share * seconds(m_options.bound)));
            });
    }

    void onFailure(std::size_t node, std::uint64_t call)
    {
        auto& self = *m_nodes[node];
        if (call != self.call)
            return;
        self.isWaiting = false;
        self.state.storeReach = store_reach::lost;
        const auto next = ++self.call;
        const auto pause = self.state.readsForOthers ? self.retries.nextDelay() : 5s;
        schedule(pause, node, [this, node, next] {
            if (m_nodes[node]->call == next)
                readStore(node, 0s);
        });
    }

    void tellReadProgress(std::size_t node, instant completeAt)
    {
        const auto version = m_nodes[node]->state.configurationVersion;
        broadcast(node, [this, node, version, completeAt, sentAt = m_now](std::size_t to) {
            auto& self = *m_nodes[to];
            auto& clock = self.clocks[node];
            clock.observed(sentAt, m_now);
            versionSeen(to, node, version);
            if (self.state.configurationVersion >= version)
                self.configuration.confirmed(clock.toLocal(completeAt));
        });
    }

    void versionSeen(std::size_t node, std::size_t from, std::uint64_t version)
    {
        auto& self = *m_nodes[node];
        if (version <= self.state.configurationVersion || self.isPulling)
            return;
        self.isPulling = true;
        const auto& peer = *m_nodes[from];
        const bool doesAnswer
            = !peer.isDead && m_now >= peer.frozenUntil && peer.receivesFromPeers && self.receivesFromPeers;
        schedule(doesAnswer ? pullTime + randomUpTo(pullTime) : pullLimit, node, [this, node, from, doesAnswer] {
            auto& self = *m_nodes[node];
            self.isPulling = false;
            if (!doesAnswer)
                return readStore(node, 0s);
            self.state.configurationVersion
                = std::max(self.state.configurationVersion, m_nodes[from]->state.configurationVersion);
        });
    }

    fleet_options m_options;
    random_source m_random;
    duration m_heartbeat;
    duration m_heartbeatTimeout;
    instant m_now { 1h };
    std::multimap<instant, std::function<void()>> m_events;
    std::vector<std::unique_ptr<simulated_node>> m_nodes;
    std::uint64_t m_version = 1;
    int m_storeCalls = 0;
};

/// Publishes versions while faults are injected, mostly at readers. Counts, over all versions, the nodes that were
/// still on an older one at the end of the bound although they were able to learn of it.
int countLate(fleet_options options, std::uint64_t seed)
{
    // Guards against late versions when nodes fail during the start of the fleet.
    if (seed % 3 == 0)
        options.warmUp = 200ms;
    simulated_fleet fleet(options, seed);
    auto& random = fleet.random();
    const auto isFaulty
        = [&](std::size_t node, double share) { return random.unit() < (fleet.reads(node) ? 0.8 : share); };
    const double frozen = random.unit() * 0.4;
    const double cut = 0.5 + 0.48 * random.unit();
    const auto how = random.unit() < 0.5 ? store_path::silent : store_path::refused;
    const duration length = 2s + fromSeconds(3 * random.unit());
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        if (isFaulty(node, frozen))
            fleet.at(fromSeconds(0.3 * random.unit()), [&fleet, node, length] { fleet.freeze(node, length); });
        else if (random.unit() < 0.02)
            fleet.at(fromSeconds(random.unit()), [&fleet, node] { fleet.kill(node); });
        else if (random.unit() < 0.05)
            fleet.at(fromSeconds(random.unit()), [&fleet, node] { fleet.setReceivesFromPeers(node, false); });
        else if (random.unit() < 0.1)
            fleet.at(fromSeconds(random.unit()), [&fleet, node, length] { fleet.slowDown(node, length); });
        if (isFaulty(node, cut))
            fleet.at(fromSeconds(0.3 + 0.1 * random.unit()), [&fleet, node, how] { fleet.setPath(node, how); });
    }
    int late = 0;
    for (int i = 0; i < 3; ++i) {
        fleet.at(fromSeconds(0.4 + 2 * random.unit()), [&fleet, &late, bound = options.bound] {
            const auto version = fleet.publish();
            const auto since = fleet.now();
            fleet.at(bound, [&fleet, &late, version, since] {
                for (std::size_t node = 0; node < fleet.size(); ++node)
                    late += fleet.canLearnVersion(node, since) && fleet.versionAt(node) < version;
            });
        });
    }
    fleet.runFor(10s);
    return late;
}

int seedCount(int defaultCount)
{
    const char* given = std::getenv("TAMARACK_SEEDS");
    return given ? std::atoi(given) : defaultCount;
}

}

TEST_CASE("test_version_is_in_force_within_the_bound_while_readers_of_the_store_fail")
{
    // Guards against waiting for frozen or disconnected readers while other nodes can reach the store.
    const auto [nodes, bound, seeds] = GENERATE(table<std::size_t, duration, int>(
        { { 6, 2s, seedCount(100) }, { 77, 3s, seedCount(20) }, { 295, 4s, std::min(seedCount(2), 20) } }));
    int lateWithoutRefresh = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
        INFO(nodes << " nodes, seed " << seed);
        CHECK(countLate({ nodes, bound, true }, static_cast<std::uint64_t>(seed)) == 0);
        lateWithoutRefresh += countLate({ nodes, bound, false }, static_cast<std::uint64_t>(seed)) > 0;
    }
    CHECK(lateWithoutRefresh > 0);
}

TEST_CASE("test_all_nodes_have_asked_within_the_bound")
{
    // Guards against a refresh schedule that leaves no time for the store's answer.
    constexpr duration slowestAnswer = 250ms;
    for (const std::size_t nodes : { 6U, 77U, 295U }) {
        for (const duration bound : { 2s, 3s, 4s }) {
            const freshness known(bound, instant(1h));
            duration age = 0ms;
            while (known.refreshQuota(instant(1h) + age) < nodes)
                age += 1ms;
            CHECK(age + dutyInterval + slowestAnswer <= bound);
        }
    }
}

TEST_CASE("test_node_asks_once_until_the_next_confirmation")
{
    freshness known(2s, instant(1h));
    const auto at = [](duration time) { return instant(1h) + time; };
    CHECK_FALSE(known.claimRefresh(0, at(999ms)));
    CHECK(known.claimRefresh(0, at(1s)));
    CHECK_FALSE(known.claimRefresh(0, at(1500ms)));
    known.confirmed(at(1200ms));
    CHECK(known.age(at(1500ms)) == 300ms);
    known.confirmed(at(700ms)); // out of order
    CHECK(known.age(at(1500ms)) == 300ms);
    CHECK_FALSE(known.claimRefresh(4, at(2200ms)));
    CHECK(known.claimRefresh(4, at(2400ms)));
}

TEST_CASE("test_message_that_waited_does_not_make_knowledge_newer")
{
    // Guards against a delayed confirmation being taken for a recent one.
    peer_clock clock;
    clock.observed(instant(10s), instant(500s));
    clock.observed(instant(11s), instant(504s)); // delayed by 3 s
    CHECK(clock.toLocal(instant(11s)) == instant(501s));
    clock.observed(instant(12s), instant(501990ms));
    CHECK(clock.toLocal(instant(12s)) == instant(501990ms));
    // Samples older than two windows expire, since clocks drift.
    clock.observed(instant(10min), instant(10min + 490500ms));
    clock.observed(instant(12min), instant(12min + 490500ms));
    CHECK(clock.toLocal(instant(12min)) == instant(12min + 490500ms));
}

TEST_CASE("test_calls_to_the_store_do_not_grow_with_the_nodes_on_a_calm_day")
{
    for (const std::size_t nodes : { 6U, 77U, 295U }) {
        simulated_fleet fleet({ nodes, 3s, true }, 1);
        const auto before = fleet.storeCalls();
        duration oldest {};
        for (int i = 0; i < 300; ++i) {
            fleet.runFor(100ms);
            if (i % 50 == 0)
                fleet.publish();
            oldest = std::max(oldest, fleet.oldest());
        }
        INFO(
            nodes << " nodes: " << fleet.storeCalls() - before << " calls in 30 s, oldest " << seconds(oldest) << " s");
        CHECK(fleet.storeCalls() - before < 90);
        CHECK(oldest < 3s * freshness_share::staleAfter);
    }
}

TEST_CASE("test_outage_of_the_store_costs_each_node_one_call_at_first")
{
    simulated_fleet fleet({ 295, 3s, true }, 1);
    const auto before = fleet.storeCalls();
    for (std::size_t node = 0; node < fleet.size(); ++node)
        fleet.setPath(node, store_path::silent);
    int most = 0;
    int last = before;
    for (int i = 0; i < 40; ++i) {
        fleet.runFor(100ms);
        most = std::max(most, fleet.storeCalls() - last);
        last = fleet.storeCalls();
    }
    CHECK(last - before < 295 + 60);
    CHECK(most < 260);
}
