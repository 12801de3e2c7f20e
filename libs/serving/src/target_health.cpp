// Implements the blocking of targets and their failure shares.
#include "serving/target_health.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tamarack::serving {

namespace {

    using namespace std::chrono_literals;

    /// A single failure also happens at healthy targets. A target is blocked from its second consecutive failure on.
    constexpr int failuresUntilBlocked = 2;
    constexpr duration initialBlock = 250ms;
    /// The record of a crashed target stays listed for some heartbeat intervals, so longer blocks gain nothing.
    constexpr duration maxBlock = 4s;
    /// A full target frees a slot within the time of some requests.
    constexpr duration rejectionBlock = 30ms;
    constexpr duration misdirectionBlock = 5s;
    /// A blocked target gets no requests, so the evidence about it decays with time: a failing target is tried again
    /// within some seconds.
    constexpr duration evidenceHalfLife = 3s;
    /// A prior number of successful answers, so that one failure in one answer does not mark a target as bad.
    constexpr double priorAnswers = 4;
    /// The weights of failures: answers that were lost or incomplete; failure answers, which can be ordinary answers of
    /// the target; and rejections, which mean that it is full. Among otherwise equal targets the one with fewer is
    /// chosen.
    constexpr double lostWeight = 1;
    constexpr double failureAnswerWeight = 0.1;
    constexpr double rejectionWeight = 0.3;
    /// Peers in other availability zones may see a target differently, so this node's own attempts count for more.
    constexpr double peerWeight = 0.5;
    /// A target whose weighted failures are below this counts as healthy and is not reported to peers.
    constexpr double minReportedFailures = 0.3;
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
    m_unreported.resize(row + 1);
    m_isAvoided.resize(row + 1, 0);
}

target_health::evidence target_health::decayedTo(const evidence& item, instant now)
{
    const double kept = std::exp2(-seconds(now - item.at) / seconds(evidenceHalfLife));
    return { item.answers * kept, item.failures * kept, now };
}

void target_health::add(target_id id, double answers, double failures, instant now)
{
    reserveRow(id.value);
    auto& item = m_evidence[id.value];
    item = decayedTo(item, now);
    item.answers += answers;
    item.failures += failures;
}

void target_health::recordOutcome(target_id id, double failure, instant now)
{
    add(id, 1, failure, now);
    ++m_unreported[id.value].answers;
    m_unreported[id.value].failures += failure;
}

// Without peers' reports each of many nodes would meet a failing target only every few seconds and keep sending it as
// much as before. Nine nodes sent as many requests as before to two targets that lost 30% of their answers.
void target_health::applyPeerReport(target_id id, const health_report& report, instant now)
{
    add(id, peerWeight * report.answers, peerWeight * report.failures / tenths, now);
}

std::vector<health_report> target_health::takeReports(instant now)
{
    std::vector<health_report> out;
    for (std::uint32_t row = 0; row < m_unreported.size(); ++row) {
        const auto unreported = std::exchange(m_unreported[row], {});
        const bool mustReport
            = unreported.answers > 0 && decayedTo(m_evidence[row], now).failures >= minReportedFailures;
        if (mustReport)
            out.push_back({ m_fleet.instanceHash[row], static_cast<std::uint16_t>(unreported.answers),
                static_cast<std::uint16_t>(std::lround(unreported.failures * tenths)) });
    }
    return out;
}

void target_health::recordSuccess(target_id id, instant now)
{
    recordOutcome(id, 0, now);
    m_failuresInARow[id.value] = 0;
    if (std::exchange(m_isAvoided[id.value], 0))
        m_changes.push_back({ id, "answered", 0, duration::zero() });
}

void target_health::block(target_id id, instant now, duration length, std::string_view reason)
{
    m_fleet.blockedUntil[id.value] = now + length;
    m_isAvoided[id.value] = 1;
    m_changes.push_back({ id, reason, m_failuresInARow[id.value], length });
}

std::vector<health_change> target_health::takeChanges() { return std::exchange(m_changes, {}); }

void target_health::recordFailure(target_id id, instant now)
{
    recordOutcome(id, lostWeight, now);
    blockIfFailedInARow(id, now);
}

void target_health::recordClosed(target_id id, instant now)
{
    recordOutcome(id, lostWeight, now);
    if (!isLastOfService(id, now))
        blockIfFailedInARow(id, now);
}

bool target_health::isLastOfService(target_id id, instant now) const
{
    const auto& rows = m_fleet.rowsOf(m_fleet.service[id.value]);
    return std::none_of(rows.begin(), rows.end(), [&](std::uint32_t row) {
        return row != id.value && m_fleet.role[row] == m_fleet.role[id.value] && m_fleet.acceptsWork({ row }, now);
    });
}

void target_health::recordUnreached(target_id id, instant now)
{
    add(id, 1, lostWeight, now);
    blockIfFailedInARow(id, now);
}

void target_health::blockIfFailedInARow(target_id id, instant now)
{
    const int inARow = ++m_failuresInARow[id.value];
    if (inARow < failuresUntilBlocked)
        return;
    const int doublings = std::min(inARow - failuresUntilBlocked, 4);
    block(id, now, std::min<duration>(initialBlock * (1 << doublings), maxBlock), "failed");
}

void target_health::recordRejection(target_id id, instant now)
{
    recordOutcome(id, rejectionWeight, now);
    m_fleet.blockedUntil[id.value] = std::max(m_fleet.blockedUntil[id.value], now + rejectionBlock);
}

void target_health::recordMisdirection(target_id id, instant now)
{
    m_fleet.blockedUntil[id.value] = now + misdirectionBlock;
}

void target_health::recordFailureAnswer(target_id id, instant now)
{
    recordOutcome(id, failureAnswerWeight, now);
    m_failuresInARow[id.value] = 0;
}

double target_health::failureShare(target_id id, instant now) const
{
    if (id.value >= m_evidence.size() || m_evidence[id.value].failures <= 0)
        return 0;
    const auto item = decayedTo(m_evidence[id.value], now);
    return item.failures / (item.answers + priorAnswers);
}

void target_health::forget(target_id id)
{
    reserveRow(id.value);
    m_failuresInARow[id.value] = 0;
    m_evidence[id.value] = {};
    m_unreported[id.value] = {};
    m_isAvoided[id.value] = 0;
}

}
