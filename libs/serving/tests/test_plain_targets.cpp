// Tests short calls from many nodes to few plain targets, when no node knows the exact load of a target.
#include "base/random_source.h"
#include "serving_fixture.h"

#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>

using namespace tamarack;
using namespace tamarack::serving;
using namespace tamarack::serving::tests;

namespace {

/// Parameters of a load profile, in the terms of the users' profiles.
struct plain_profile {
    std::size_t nodes = 77;
    std::size_t targets = 3;
    std::size_t zones = 3;
    double perSecond = 340;
    double workMilliseconds = 30;
    std::vector<double> slowness { 1 }; ///< factors on the work time, assigned to the targets in rotation
    /// Factor on the work time of the first target during the middle third of the run.
    double slowdown = 1;
    duration heartbeat = 480ms;
};

struct plain_result {
    int asked = 0;
    int late = 0;
    int rejected = 0;
    int refused = 0;

    double share(int part) const { return static_cast<double>(part) / asked; }
};

/// Targets with slots and a bounded queue that reject excess calls, and nodes that exchange their load.
class plain_simulation {
public:
    explicit plain_simulation(plain_profile profile, std::uint64_t seed)
        : m_profile(std::move(profile))
        , m_random(seed)
        , m_targets(m_profile.targets)
    {
        for (std::size_t node = 0; node < m_profile.nodes; ++node) {
            auto settings = dispatch_world::settings();
            settings.availabilityZone = zoneOf(node);
            settings.seed = node + 1;
            settings.peerLoadExpiry = std::max<duration>(600ms, m_profile.heartbeat * 32 / 10);
            m_nodes.push_back(std::make_unique<dispatch_world>(settings));
            m_nodes.back()->decisions.setKnownNodes(static_cast<int>(m_profile.nodes));
            for (std::size_t target = 0; target < m_profile.targets; ++target)
                m_nodes.back()->addPlain("p" + std::to_string(target), zoneOf(target), slots);
            later(m_random.unit() * seconds(m_profile.heartbeat), [this, node] { sendHeartbeat(node); });
            later(m_random.unit() * 0.02, [this, node] { tick(node); });
        }
    }

    plain_result run()
    {
        scheduleNextCall();
        while (m_events.begin()->first < at(0s) + length) {
            m_now = m_events.begin()->first;
            const auto what = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            what();
        }
        return m_result;
    }

private:
    struct sent_call {
        std::size_t node = 0;
        request_id request;
        start_attempt start;
        instant askedAt;
    };
    struct plain_target {
        int running = 0;
        std::deque<sent_call> waiting;
    };

    static constexpr int slots = 6;
    static constexpr std::size_t queueCapacity = 24;
    static constexpr duration length = 18s;
    static constexpr duration networkDelay = 1ms;

    std::string zoneOf(std::size_t index) const { return "zone-" + std::to_string(index % m_profile.zones); }
    void later(double wait, std::function<void()> what)
    {
        m_events.emplace(m_now + fromSeconds(wait), std::move(what));
    }

    void scheduleNextCall()
    {
        later(-std::log(1 - m_random.unit()) / m_profile.perSecond, [this] {
            constexpr std::size_t report = 1;
            const auto node = m_random.below(m_nodes.size());
            auto& world = *m_nodes[node];
            command_list out;
            ++m_result.asked;
            const auto id = world.decisions.submit(world.make(report), m_now, out);
            m_askedAt[{ node, id }] = m_now;
            carryOut(node, out);
            scheduleNextCall();
        });
    }

    void carryOut(std::size_t node, const command_list& commands)
    {
        for (const auto& command : commands) {
            if (const auto* start = std::get_if<start_attempt>(&command)) {
                const sent_call call { node, start->request, *start, m_askedAt.at({ node, start->request }) };
                later(seconds(networkDelay), [this, call] { arriveAtTarget(call); });
            } else if (std::holds_alternative<refuse_request>(command)) {
                ++m_result.refused;
            }
        }
    }

    std::size_t targetOf(const sent_call& call) const
    {
        return static_cast<std::size_t>(std::stoi(m_nodes[call.node]->nameOf(call.start.target).substr(1)));
    }

    void arriveAtTarget(const sent_call& call)
    {
        auto& target = m_targets[targetOf(call)];
        if (target.running < slots)
            return begin(call);
        if (target.waiting.size() < queueCapacity) {
            target.waiting.push_back(call);
            return;
        }
        ++m_result.rejected;
        later(seconds(networkDelay), [this, call] { end(call, attempt_result::rejected); });
    }

    void begin(const sent_call& call)
    {
        const auto index = targetOf(call);
        ++m_targets[index].running;
        constexpr double spread = 0.5;
        const double normal = std::sqrt(-2 * std::log(1 - m_random.unit())) * std::cos(6.283185 * m_random.unit());
        double work = m_profile.workMilliseconds / 1e3 * std::exp(spread * normal - spread * spread / 2);
        work *= m_profile.slowness[index % m_profile.slowness.size()];
        if (index == 0 && m_now > at(0s) + length / 3 && m_now < at(0s) + length * 2 / 3)
            work *= m_profile.slowdown;
        later(work, [this, call, index] {
            auto& target = m_targets[index];
            --target.running;
            const reported_load load { m_now, target.running + 1, static_cast<int>(target.waiting.size()), slots };
            if (!target.waiting.empty()) {
                const auto next = target.waiting.front();
                target.waiting.pop_front();
                begin(next);
            }
            later(seconds(networkDelay), [this, call, load] {
                m_nodes[call.node]->decisions.updateTargetLoad(call.start.target, load);
                m_result.late += m_now - call.askedAt > 150ms;
                end(call, attempt_result::answered);
            });
        });
    }

    void end(const sent_call& call, attempt_result result)
    {
        command_list out;
        m_nodes[call.node]->decisions.attemptEnded(call.request, call.start.attempt, result, {}, m_now, out);
        carryOut(call.node, out);
    }

    void tick(std::size_t node)
    {
        command_list out;
        m_nodes[node]->decisions.tick(m_now, out);
        carryOut(node, out);
        later(0.02, [this, node] { tick(node); });
    }

    void sendHeartbeat(std::size_t node)
    {
        const auto load = m_nodes[node]->decisions.ownLoad();
        later(0.003, [this, node, load] {
            for (std::size_t peer = 0; peer < m_nodes.size(); ++peer) {
                if (peer != node)
                    m_nodes[peer]->decisions.updatePeerLoad("node-" + std::to_string(node), load, m_now);
            }
        });
        later(seconds(m_profile.heartbeat), [this, node] { sendHeartbeat(node); });
    }

    plain_profile m_profile;
    random_source m_random;
    instant m_now = at(0s);
    std::multimap<instant, std::function<void()>> m_events;
    std::vector<std::unique_ptr<dispatch_world>> m_nodes;
    std::vector<plain_target> m_targets;
    std::map<std::pair<std::size_t, request_id>, instant> m_askedAt;
    plain_result m_result;
};

plain_result simulate(const char* name, const plain_profile& profile)
{
    const auto result = plain_simulation(profile, 11).run();
    std::printf("%s: %d asked, late %.4f, rejected %.4f, refused %.4f\n", name, result.asked, result.share(result.late),
        result.share(result.rejected), result.share(result.refused));
    return result;
}

}

TEST_CASE("test_short_calls_are_spread_when_reported_loads_are_stale")
{
    // Guards against 18 of 100 calls to plain targets being refused and 6 being late while the targets are busy for
    // 57% of their time. 77 nodes exchange heartbeats twice a second, and a call takes 30 ms, so most reported calls
    // have ended already. Nodes considered free targets full, held calls back and sent them all at once, and all nodes
    // chose the target that had seemed the least busy. Shares of refused and late calls at 57% and at 75% load: 0.184
    // and 0.061, 0.387 and 0.097; with the present code 0 and 0.0003, 0 and 0.0005.
    plain_profile mediumFleet;
    for (const double perSecond : { 340, 450 }) {
        mediumFleet.perSecond = perSecond;
        const auto result = simulate("77 nodes, 3 targets", mediumFleet);
        CHECK(result.share(result.late) <= 0.02);
        CHECK(result.share(result.rejected + result.refused) <= 0.01);
    }
    plain_profile largeFleet;
    largeFleet.nodes = 295;
    largeFleet.targets = 5;
    largeFleet.zones = 5;
    largeFleet.perSecond = 675;
    largeFleet.heartbeat = 1840ms;
    const auto result = simulate("295 nodes, 5 targets", largeFleet);
    CHECK(result.share(result.late) <= 0.02);
    CHECK(result.share(result.rejected + result.refused) <= 0.01);
}

TEST_CASE("test_short_calls_leave_a_slow_target_at_any_number_of_nodes")
{
    plain_profile profile;
    profile.slowdown = 4;
    profile.perSecond = 180;
    for (const std::size_t nodes : { 7, 77, 295 }) {
        INFO(nodes);
        profile.nodes = nodes;
        profile.heartbeat = std::max<duration>(100ms, nodes * 1000ms / 160);
        const auto result = simulate("one target slow", profile);
        CHECK(result.share(result.late) <= 0.1);
    }
}

TEST_CASE("test_connections_of_all_nodes_stay_within_the_cap_of_a_target")
{
    // Guards against a part for each node whose sum exceeds the cap that all nodes share.
    constexpr int cap = 96; // of the sample configuration
    for (const int nodes : { 6, 9, 90, 300 }) {
        INFO(nodes << " nodes");
        int connections = 0;
        for (int node = 0; node < nodes; ++node) {
            auto settings = dispatch_world::settings();
            settings.vm = "node-" + std::to_string(node);
            dispatch_world world(settings);
            world.decisions.setKnownNodes(nodes);
            world.addPlain("p1", "a", 1000);
            command_list out;
            for (int request = 0; request < 2 * cap; ++request)
                world.decisions.submit(world.make(0), at(0s), out);
            connections += count<start_attempt>(out);
        }
        CHECK(connections <= cap);
    }
}
