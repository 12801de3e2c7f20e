// Blocks and failure shares.
#include "serving/target_health.h"

#include <algorithm>
#include <cmath>
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
    /// A target that is left brings no answers, so what is known of it fades by time: a failing one is tried again
    /// within some seconds.
    constexpr duration forgetHalf = 3s;
    /// Answers that are taken for granted: with one failure of one answer a target is not yet bad.
    constexpr double priorAnswers = 4;
    /// What a failure counts: answers that were lost or spoiled; failures that the target tells, which can be its
    /// ordinary answers; rejections, which say that it is full. Of targets that are alike the one with fewer is taken.
    constexpr double lostWeight = 1;
    constexpr double toldFailureWeight = 0.1;
    constexpr double rejectionWeight = 0.3;
    /// Peers in other zones may meet a target otherwise, so an own attempt counts for more.
    constexpr double peerWeight = 0.5;
    /// Below it a target is as good as sound, and peers need not hear of it.
    constexpr double leastToldFailures = 0.3;
    constexpr double tenths = 10;

}

target_health::target_health(fleet_table& fleet)
    : m_fleet(fleet)
{
}

void target_health::reserveRow(std::size_t row)
{
    if (row < m_evidence.size())
        return;
    m_failuresInARow.resize(row + 1, 0);
    m_evidence.resize(row + 1);
    m_untold.resize(row + 1);
    m_isLeft.resize(row + 1, 0);
}

target_health::evidence target_health::agedTo(const evidence& item, instant now)
{
    const double kept = std::exp2(-seconds(now - item.at) / seconds(forgetHalf));
    return { item.answers * kept, item.failures * kept, now };
}

void target_health::add(target_id id, double answers, double failures, instant now)
{
    reserveRow(id.value);
    auto& item = m_evidence[id.value];
    item = agedTo(item, now);
    item.answers += answers;
    item.failures += failures;
}

void target_health::count(target_id id, double failure, instant now)
{
    add(id, 1, failure, now);
    ++m_untold[id.value].answers;
    m_untold[id.value].failures += failure;
}

// What goes wrong without it: with many nodes each one meets a failing target every few seconds, and goes on sending it
// as much as before. Nine nodes sent two targets that lost 30% of their answers as many requests as in the seconds
// before.
void target_health::told(target_id id, const health_news& news, instant now)
{
    add(id, peerWeight * news.answers, peerWeight * news.failures / tenths, now);
}

std::vector<health_news> target_health::takeNews(instant now)
{
    std::vector<health_news> out;
    for (std::uint32_t row = 0; row < m_untold.size(); ++row) {
        const auto untold = std::exchange(m_untold[row], {});
        const bool isNews = untold.answers > 0 && agedTo(m_evidence[row], now).failures >= leastToldFailures;
        if (isNews)
            out.push_back({ m_fleet.instanceHash[row], static_cast<std::uint16_t>(untold.answers),
                static_cast<std::uint16_t>(std::lround(untold.failures * tenths)) });
    }
    return out;
}

void target_health::succeeded(target_id id, instant now)
{
    count(id, 0, now);
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
    count(id, lostWeight, now);
    const int inARow = ++m_failuresInARow[id.value];
    if (inARow < failuresUntilBlocked)
        return;
    const int doublings = std::min(inARow - failuresUntilBlocked, 4);
    block(id, now, std::min<duration>(firstBlock * (1 << doublings), longestBlock), "failed");
}

void target_health::rejected(target_id id, instant now)
{
    count(id, rejectionWeight, now);
    m_fleet.blockedUntil[id.value] = std::max(m_fleet.blockedUntil[id.value], now + rejectionBlock);
}

void target_health::misdirected(target_id id, instant now) { m_fleet.blockedUntil[id.value] = now + misdirectionBlock; }

void target_health::answeredFailure(target_id id, instant now)
{
    count(id, toldFailureWeight, now);
    m_failuresInARow[id.value] = 0;
}

double target_health::failureShare(target_id id, instant now) const
{
    if (id.value >= m_evidence.size() || m_evidence[id.value].failures <= 0)
        return 0;
    const auto item = agedTo(m_evidence[id.value], now);
    return item.failures / (item.answers + priorAnswers);
}

void target_health::forget(target_id id)
{
    reserveRow(id.value);
    m_failuresInARow[id.value] = 0;
    m_evidence[id.value] = {};
    m_untold[id.value] = {};
    m_isLeft[id.value] = 0;
}

}
