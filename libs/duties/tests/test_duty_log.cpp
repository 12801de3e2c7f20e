// Tests that the calls of all holders of the duties look like those of one, under lost and late answers, freezes,
// restarts and cuts.
#include "duties/duty_log.h"

#include "base/random_source.h"

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

constexpr duration handover = 3s;
constexpr duration callLimit = 1s;

instant at(duration since) { return instant(1h) + since; }

/// Nodes that all want to report the windows of a shared clock, with counts of their own that differ. The store loses
/// answers and executes appends late. The platform records what it is told.
class duty_world {
public:
    struct outcome {
        int reported = 0; ///< windows
        int contradictions = 0; ///< reports of one window with different counts
        int sharedNumbers = 0; ///< calls of two processes with one fencing number
        int numbersBack = 0; ///< calls with a lower number than an earlier one
        int turns = 0; ///< calls of A, B, A within the handover interval
        int holders = 0;
    };

    duty_world(std::uint64_t seed, int nodes)
        : m_random(seed)
    {
        for (int i = 0; i < nodes; ++i)
            m_nodes.push_back(make(i));
    }

    outcome run()
    {
        for (m_now = at(0s); m_now < at(120s); m_now += 50ms) {
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                const auto happen = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                happen();
            }
            for (std::size_t node = 0; node < m_nodes.size(); ++node)
                act(node);
        }
        m_outcome.reported = static_cast<int>(m_reports.size());
        return m_outcome;
    }

private:
    struct simulated_node {
        std::shared_ptr<duty_log> log;
        std::int64_t process = 0;
        std::string vm;
        instant frozenUntil;
        instant cutUntil; // from the store
        instant wantsUntil; // it takes itself for the holder until then
        bool isCalling = false;
        instant pauseUntil;
    };

    simulated_node make(int index)
    {
        simulated_node out;
        out.process = ++m_processes;
        out.vm = "vm-" + std::to_string(index);
        serving::order_lease_settings lease;
        lease.length = handover;
        lease.orderSpacing = 0s;
        out.log = std::make_shared<duty_log>(out.vm, out.process, lease);
        return out;
    }

    bool happens(double perSecond) { return m_random.unit() < perSecond * 0.05; }
    duration delay() { return fromSeconds(0.004 + 0.05 * m_random.unit()); }

    void act(std::size_t index)
    {
        auto& node = m_nodes[index];
        if (m_now < node.frozenUntil)
            return;
        if (happens(0.02))
            node.frozenUntil = m_now + fromSeconds(8 * m_random.unit());
        if (happens(0.02))
            node.cutUntil = m_now + fromSeconds(6 * m_random.unit());
        if (happens(0.02))
            node = make(static_cast<int>(index));
        if (happens(0.1))
            node.wantsUntil = m_now + fromSeconds(12 * m_random.unit());
        if (m_now >= node.wantsUntil || node.isCalling || m_now < node.pauseUntil)
            return;
        if (node.log->mustRead())
            return read(index);
        const auto window = (m_now - at(0s)) / 5s - 1;
        if (window < 0)
            return;
        const auto* stated = node.log->usageOf(window);
        if (stated && node.log->holdsFor(callLimit, m_now))
            return report(index, *stated);
        if (const auto offset = node.log->appendAt(m_now)) {
            auto statement = stated ? *stated : usage_statement { window, { { "a", m_random.below(1000) } } };
            append(index, *offset, std::move(statement));
        }
    }

    /// Runs `then` at the node, if its process is still the same, once the node is not frozen.
    void answer(std::size_t index, std::int64_t process, duration wait, std::function<void(simulated_node&)> then)
    {
        m_events.emplace(m_now + wait, [this, index, process, then] {
            auto& node = m_nodes[index];
            if (node.process != process)
                return;
            if (m_now < node.frozenUntil)
                return answer(index, process, node.frozenUntil - m_now, then);
            node.isCalling = false;
            then(node);
        });
    }

    void read(std::size_t index)
    {
        auto& node = m_nodes[index];
        node.isCalling = true;
        if (m_now < node.cutUntil || m_random.unit() < 0.1)
            return answer(index, node.process, 700ms, [this](auto& self) { self.pauseUntil = m_now + 300ms; });
        std::vector<stored_statement> records;
        for (const auto& [key, record] : m_newest)
            records.push_back(record);
        answer(index, node.process, delay(),
            [this, records, end = m_end](auto& self) { self.log->readCompleted(records, end, m_now); });
    }

    void append(std::size_t index, std::int64_t offset, usage_statement statement)
    {
        auto& node = m_nodes[index];
        node.isCalling = true;
        const auto key = dutyKey(statement);
        const auto value = encodeDutyRecord(node.log->appendSent(std::move(statement), m_now));
        const auto execute = [this, offset, key, value] {
            if (m_end != offset)
                return false;
            m_newest[key] = { m_end++, value };
            return true;
        };
        const double luck = m_random.unit();
        if (m_now < node.cutUntil || luck < 0.1) // lost
            return answer(index, node.process, 700ms, [this](auto& self) { self.log->appendFailed(m_now); });
        if (luck < 0.3) { // executed, at times late, and not answered
            const auto late = luck < 0.2 ? fromSeconds(6 * m_random.unit()) : duration::zero();
            m_events.emplace(m_now + late, [execute] { execute(); });
            return answer(index, node.process, 700ms, [this](auto& self) { self.log->appendFailed(m_now); });
        }
        const bool isAppended = execute();
        answer(index, node.process, delay(), [isAppended, offset](auto& self) {
            if (isAppended)
                self.log->appended(offset);
            else
                self.log->appendRejected();
        });
    }

    // The call arrives within its time limit, however late. A node makes one call at a time.
    void report(std::size_t index, const usage_statement& usage)
    {
        auto& node = m_nodes[index];
        node.isCalling = true;
        node.pauseUntil = m_now + 500ms;
        const auto fence = node.log->fencingNumber();
        const auto delay = fromSeconds(seconds(callLimit) * m_random.unit());
        m_events.emplace(
            m_now + delay, [this, usage, fence, process = node.process] { arrive(usage, fence, process); });
        answer(index, node.process, callLimit, [](auto&) {});
    }

    void arrive(const usage_statement& usage, std::int64_t fence, std::int64_t process)
    {
        const auto [report, isNew] = m_reports.try_emplace(usage.window, usage.counts);
        m_outcome.contradictions += !isNew && report->second != usage.counts;
        const auto [owner, isFirst] = m_owners.try_emplace(fence, process);
        m_outcome.sharedNumbers += !isFirst && owner->second != process;
        m_outcome.numbersBack += fence < m_highest;
        m_highest = std::max(m_highest, fence);
        if (m_holders.empty() || m_holders.back().second != process) {
            ++m_outcome.holders;
            m_holders.emplace_back(m_now, process);
        }
        const auto count = m_holders.size();
        if (count >= 3 && m_holders[count - 3].second == process)
            m_outcome.turns
                += m_now - m_lastCallOf[process] < handover && m_holders[count - 2].first > m_lastCallOf[process];
        m_lastCallOf[process] = m_now;
    }

    random_source m_random;
    instant m_now;
    std::vector<simulated_node> m_nodes;
    std::multimap<instant, std::function<void()>> m_events;
    std::map<std::string, stored_statement> m_newest; // of the topic, by key
    std::int64_t m_end = 0;
    std::int64_t m_processes = 0;
    std::map<std::int64_t, std::map<std::string, std::uint64_t>> m_reports;
    std::map<std::int64_t, std::int64_t> m_owners; // processes by fencing number
    std::map<std::int64_t, instant> m_lastCallOf;
    std::vector<std::pair<instant, std::int64_t>> m_holders;
    std::int64_t m_highest = 0;
    outcome m_outcome;
};

}

TEST_CASE("test_duties_of_many_holders_are_never_contradictory")
{
    int reported = 0;
    int holders = 0;
    for (const int nodes : { 3, 6, 90 }) {
        const std::uint64_t seeds = nodes == 90 ? 40 : 500;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto outcome = duty_world(seed, nodes).run();
            INFO("seed " << seed << " nodes " << nodes);
            CHECK(outcome.contradictions == 0);
            CHECK(outcome.sharedNumbers == 0);
            CHECK(outcome.numbersBack == 0);
            CHECK(outcome.turns == 0);
            reported += outcome.reported;
            holders += outcome.holders;
        }
    }
    CHECK(reported > 4000);
    CHECK(holders > 2000);
}

TEST_CASE("test_a_successor_repeats_what_its_predecessor_has_stated")
{
    duty_log first("vm-1", 1, {});
    first.readCompleted({}, 0, at(0s));
    REQUIRE(first.appendAt(at(0s)) == 0);
    const auto record = first.appendSent(usage_statement { 9, { { "huka", 5 } } }, at(0s));
    first.appended(0);
    CHECK(first.holdsFor(1s, at(1s)));
    CHECK_FALSE(first.holdsFor(1s, at(2100ms)));

    duty_log second("vm-2", 2, {});
    second.readCompleted({ { 0, encodeDutyRecord(record) } }, 1, at(1s));
    CHECK_FALSE(second.appendAt(at(3s)));
    CHECK(second.appendAt(at(20s)) == 1);
    REQUIRE(second.usageOf(9));
    CHECK(second.usageOf(9)->counts.at("huka") == 5);
}

// Guards against a holder that pauses for a whole lease whenever the answer to one of its appends is lost.
TEST_CASE("test_a_holder_whose_append_was_not_answered_continues_at_once")
{
    duty_log log("vm-1", 1, {});
    log.readCompleted({}, 0, at(0s));
    const auto record = log.appendSent(usage_statement { 9, {} }, at(0s));
    log.appendFailed(at(700ms));
    CHECK(log.mustRead());
    log.readCompleted({ { 0, encodeDutyRecord(record) } }, 1, at(800ms));
    CHECK_FALSE(log.holdsFor(1ms, at(800ms)));
    CHECK(log.appendAt(at(1800ms)) == 1);
}

// Guards against a restarted process that takes the statements of its former self for its own.
TEST_CASE("test_a_restarted_process_waits_for_the_lease_of_its_former_one")
{
    duty_log former("vm-1", 1, {});
    former.readCompleted({}, 0, at(0s));
    const auto record = former.appendSent(usage_statement { 9, {} }, at(0s));
    duty_log restarted("vm-1", 2, {});
    restarted.readCompleted({ { 0, encodeDutyRecord(record) } }, 1, at(100ms));
    CHECK_FALSE(restarted.appendAt(at(2s)));
}
