// Tests the order lease under lost and late responses, freezes and restarts.
#include "serving/order_lease.h"

#include "base/random_source.h"

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

using namespace tamarack;
using namespace tamarack::serving;
using namespace std::chrono_literals;

namespace {

constexpr duration orderSpacing = 3s;
constexpr duration orderLimit = 400ms;

instant at(duration since) { return instant(1h) + since; }

/// Nodes that claim the lease and send orders at random. The store loses responses and executes appends late.
class claim_world {
public:
    claim_world(std::uint64_t seed, order_lease_settings settings)
        : m_settings(settings)
        , m_random(seed)
    {
        for (int i = 0; i < 4; ++i)
            m_nodes.push_back(make());
    }

    struct outcome {
        int orders = 0;
        int holders = 0; ///< changes of the node that sends orders
        int tooClose = 0; ///< orders of two nodes less than the spacing apart
        int numbersBack = 0; ///< orders whose fencing token does not exceed that of the previous node
    };

    outcome run()
    {
        for (m_now = at(0s); m_now < at(120s); m_now += 10ms) {
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                const auto happen = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                happen();
            }
            for (std::size_t node = 0; node < m_nodes.size(); ++node)
                act(node);
        }
        return m_outcome;
    }

private:
    struct simulated_node {
        std::unique_ptr<order_lease> lease;
        std::uint64_t incarnation = 0;
        instant frozenUntil;
        instant wantsUntil; // it sends orders until then
    };

    simulated_node make() { return { std::make_unique<order_lease>(m_settings), ++m_incarnations, {}, {} }; }

    bool happens(double perSecond) { return m_random.unit() < perSecond * 0.01; }

    void act(std::size_t index)
    {
        auto& node = m_nodes[index];
        if (m_now < node.frozenUntil)
            return;
        if (happens(0.03))
            node.frozenUntil = m_now + fromSeconds(m_random.unit() * 8);
        if (happens(0.03))
            node = make();
        if (happens(0.2))
            node.wantsUntil = m_now + 2s;
        if (m_now >= node.wantsUntil)
            return;
        if (node.lease->holdsFor(orderLimit, m_now))
            return order(index);
        if (const auto where = node.lease->claimAt(m_now))
            claim(index, *where);
    }

    void order(std::size_t index)
    {
        if (!happens(5))
            return;
        const auto number = m_nodes[index].lease->fencingNumber();
        later(fromSeconds(m_random.unit() * seconds(orderLimit)), [this, index, number] { ordered(index, number); });
    }

    void ordered(std::size_t index, std::int64_t number)
    {
        ++m_outcome.orders;
        if (m_lastNode >= 0 && m_lastNode != static_cast<int>(index)) {
            ++m_outcome.holders;
            m_outcome.tooClose += m_now < m_lastOrder + orderSpacing;
            m_outcome.numbersBack += number <= m_lastNumber;
        }
        m_lastNode = static_cast<int>(index);
        m_lastOrder = m_now;
        m_lastNumber = number;
    }

    /// The append reaches the store early or late, once or not at all. The response may be lost.
    void claim(std::size_t index, std::int64_t where)
    {
        auto& node = m_nodes[index];
        node.lease->claimSent(m_now);
        const auto incarnation = node.incarnation;
        const bool isLate = m_random.unit() < 0.1;
        const bool isLost = isLate || m_random.unit() < 0.1;
        later(isLate ? fromSeconds(1 + m_random.unit() * 5) : 5ms, [this, index, incarnation, where, isLost] {
            const bool isAppended = where == m_end;
            m_end += isAppended;
            const auto end = m_end;
            if (isLost)
                return;
            later(5ms, [this, index, incarnation, where, isAppended, end] {
                answer(index, incarnation, [=, this](order_lease& lease) {
                    if (isAppended)
                        lease.claimed(where);
                    else
                        lease.foundEnd(end, m_now);
                });
            });
        });
        if (isLost)
            later(700ms, [this, index, incarnation] {
                answer(index, incarnation, [this](order_lease& lease) { lease.claimFailed(m_now); });
            });
    }

    /// A frozen node receives it when it resumes, a former incarnation never.
    void answer(std::size_t index, std::uint64_t incarnation, std::function<void(order_lease&)> tell)
    {
        auto& node = m_nodes[index];
        if (node.incarnation != incarnation)
            return;
        if (m_now < node.frozenUntil)
            return later(
                node.frozenUntil - m_now, [this, index, incarnation, tell] { answer(index, incarnation, tell); });
        tell(*node.lease);
    }

    void later(duration wait, std::function<void()> what) { m_events.emplace(m_now + wait, std::move(what)); }

    order_lease_settings m_settings;
    random_source m_random;
    instant m_now;
    std::vector<simulated_node> m_nodes;
    std::multimap<instant, std::function<void()>> m_events;
    std::uint64_t m_incarnations = 0;
    std::int64_t m_end = 0; // end of the topic
    int m_lastNode = -1;
    instant m_lastOrder;
    std::int64_t m_lastNumber = 0;
    outcome m_outcome;
};

claim_world::outcome playWorlds(order_lease_settings settings)
{
    claim_world::outcome sum;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        const auto one = claim_world(seed, settings).run();
        sum.orders += one.orders;
        sum.holders += one.holders;
        sum.tooClose += one.tooClose;
        sum.numbersBack += one.numbersBack;
    }
    return sum;
}

}

TEST_CASE("test_orders_of_two_nodes_never_come_close_together")
{
    // Guards against alternating orders of two nodes at an engine, and against an older node's order after a newer
    // one's. Nodes are frozen or restarted, and their claims are lost or executed seconds later. A node must not use
    // its lease for longer than the others wait.
    const auto played = playWorlds({});
    CHECK(played.orders > 5'000);
    CHECK(played.holders > 300);
    CHECK(played.tooClose == 0);
    CHECK(played.numbersBack == 0);
}

TEST_CASE("test_orders_come_close_together_without_the_spacing")
{
    order_lease_settings settings;
    settings.orderSpacing = duration::zero();
    CHECK(playWorlds(settings).tooClose > 0);
}

TEST_CASE("test_first_claim_waits_for_nobody")
{
    order_lease lease({});
    REQUIRE(lease.claimAt(at(0s)) == 0);
    lease.claimSent(at(0s));
    CHECK_FALSE(lease.claimAt(at(10ms)));
    lease.claimed(0);
    CHECK(lease.holdsFor(orderLimit, at(20ms)));
    CHECK(lease.fencingNumber() == 1);
    CHECK_FALSE(lease.holdsFor(orderLimit, at(2700ms)));
    CHECK(lease.claimAt(at(3s)) == 1); // the last claim is its own, so there is no other lease to wait for
}

TEST_CASE("test_claim_of_unknown_outcome_gives_no_right")
{
    // Guards against two nodes sending orders at the same time. A claim gets no response and is executed seconds later
    // or not at all, so it must not be taken for executed.
    order_lease lease({});
    lease.claimSent(at(0s));
    lease.claimFailed(at(700ms));
    CHECK_FALSE(lease.holdsFor(orderLimit, at(710ms)));
    CHECK_FALSE(lease.claimAt(at(5s)));
    CHECK(lease.claimAt(at(8s)) == 0);
}
