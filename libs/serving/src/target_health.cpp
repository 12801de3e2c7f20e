// Blocks and failure shares.
#include "serving/target_health.h"

#include <algorithm>
#include <utility>

namespace tamarack::serving {

namespace {

    using namespace std::chrono_literals;

    /// One failure in a row happens to healthy targets too; from the second on the target is left.
    constexpr int failuresUntilBlocked = 2;
    constexpr duration firstBlock = 250ms;
    /// A crashed target's entry stays listed for some heartbeat intervals, so longer blocks gain nothing.
    constexpr duration longestBlock = 4s;
    /// A full target frees a slot within the time of some requests.
    constexpr duration rejectionBlock = 30ms;
    constexpr duration misdirectionBlock = 5s;
    /// About the last 20 answers count.
    constexpr double answerWeight = 0.05;

}

target_health::target_health(fleet_table& fleet)
    : m_fleet(fleet)
{
}

void target_health::reserveRow(std::size_t row)
{
    if (row < m_failureShare.size())
        return;
    m_failuresInARow.resize(row + 1, 0);
    m_failureShare.resize(row + 1, 0);
    m_isLeft.resize(row + 1, 0);
}

void target_health::countAnswer(target_id id, double failure)
{
    reserveRow(id.value);
    m_failureShare[id.value] += answerWeight * (failure - m_failureShare[id.value]);
}

void target_health::succeeded(target_id id)
{
    countAnswer(id, 0);
    m_failuresInARow[id.value] = 0;
    if (std::exchange(m_isLeft[id.value], 0))
        m_changes.push_back({ id, "answered", 0, duration::zero() });
}

void target_health::block(target_id id, instant now, duration length, std::string_view reason)
{
    m_fleet.blockedUntil[id.value] = now + length;
    m_isLeft[id.value] = 1;
    m_changes.push_back({ id, reason, m_failuresInARow[id.value], length });
}

std::vector<health_change> target_health::takeChanges() { return std::exchange(m_changes, {}); }

void target_health::failed(target_id id, instant now)
{
    countAnswer(id, 1);
    const int inARow = ++m_failuresInARow[id.value];
    if (inARow < failuresUntilBlocked)
        return;
    const int doublings = std::min(inARow - failuresUntilBlocked, 4);
    block(id, now, std::min<duration>(firstBlock * (1 << doublings), longestBlock), "failed");
}

void target_health::rejected(target_id id, instant now)
{
    m_fleet.blockedUntil[id.value] = std::max(m_fleet.blockedUntil[id.value], now + rejectionBlock);
}

void target_health::misdirected(target_id id, instant now) { m_fleet.blockedUntil[id.value] = now + misdirectionBlock; }

void target_health::answeredFailure(target_id id)
{
    countAnswer(id, 1);
    m_failuresInARow[id.value] = 0;
}

double target_health::failureShare(target_id id) const
{
    return id.value < m_failureShare.size() ? m_failureShare[id.value] : 0;
}

void target_health::forget(target_id id)
{
    reserveRow(id.value);
    m_failuresInARow[id.value] = 0;
    m_failureShare[id.value] = 0;
    m_isLeft[id.value] = 0;
}

}
