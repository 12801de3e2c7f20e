// Implements the limits that targets name.
#include "serving/target_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tamarack::serving {

namespace {

    using namespace std::chrono_literals;

    /// A report takes less time from node to node.
    constexpr duration messageTime = 100ms;
    /// After the end of a limit, the rate doubles in each of these times, from at least this rate on.
    constexpr duration doublingTime = 500ms;
    constexpr double minEasedPerSecond = 1;
    /// An answer that is older than this tells nothing of a limit that has ended.
    constexpr duration maxAge = 1h;

}

target_limits::target_limits(fleet_table& fleet)
    : m_fleet(fleet)
{
}

target_limits::row_state& target_limits::at(target_id id)
{
    if (id.value >= m_rows.size())
        m_rows.resize(id.value + 1);
    return m_rows[id.value];
}

void target_limits::answered(target_id id, std::optional<request_rate> rate, instant askedAt, instant now)
{
    apply(id, rate, { askedAt, now }, true, now);
}

void target_limits::apply(const limit_report& report, instant now)
{
    const target_id id = m_fleet.findByHash(report.target);
    const bool isPlausible
        = report.answeredAge >= duration::zero() && report.askedAge >= report.answeredAge && report.askedAge <= maxAge;
    if (!id.isValid() || !isPlausible)
        return;
    // The time that the report has taken is unknown. If it counted as part of its age, what nodes repeat to each other
    // would never grow old.
    const evidence seen { now - report.askedAge - messageTime, now - report.answeredAge - messageTime };
    apply(id, report.rate, seen, false, now);
    // The sender would otherwise end a limit that this node has seen named since.
    if (auto& row = at(id); !report.rate && row.isLimited && !row.silent && row.isNamedToThisNode
        && row.endedAt == instant() && !std::exchange(row.isNews, true))
        m_news.push_back(id.value);
}

void target_limits::apply(target_id id, std::optional<request_rate> rate, const evidence& seen, bool isOwn, instant now)
{
    if (rate)
        named(id, *rate, seen, isOwn, now);
    else if (id.value < m_rows.size())
        silent(id, seen, isOwn);
}

void target_limits::named(target_id id, request_rate rate, const evidence& seen, bool isOwn, instant now)
{
    auto& row = at(id);
    const bool hasEnded = row.endedAt != instant();
    // An answer that was given before the end may arrive after it.
    if (hasEnded && row.silent && !seen.isNewerThan(*row.silent))
        return;
    const bool isFirst = !row.isLimited || hasEnded;
    if (!isFirst && row.named.isNewerThan(seen))
        return;
    const auto before = row.rate;
    if (isFirst || seen.isNewerThan(row.named))
        row.rate = rate;
    else
        row.rate = std::min(row.rate, rate);
    const bool isContested = row.silent.has_value() && !hasEnded;
    if (isFirst || isOwn)
        row.isNamedToThisNode = isOwn;
    row.named.askedAt = isFirst ? seen.askedAt : std::max(row.named.askedAt, seen.askedAt);
    row.named.answeredAt = isFirst ? seen.answeredAt : std::max(row.named.answeredAt, seen.answeredAt);
    row.silent.reset();
    row.endedAt = {};
    if (!row.isLimited)
        row.since = now;
    if (isFirst || row.rate != before)
        m_changes.push_back({ id, row.rate, now - row.since });
    setLimited(id, true);
    if (isOwn && (isFirst || isContested || row.rate != before) && !std::exchange(row.isNews, true))
        m_news.push_back(id.value);
}

void target_limits::silent(target_id id, const evidence& seen, bool isOwn)
{
    auto& row = m_rows[id.value];
    if (row.since == instant() || !seen.isNewerThan(row.named))
        return;
    if (seen.askedAt > row.lastSilent.askedAt)
        row.lastSilent = seen;
    if (row.silent)
        return;
    row.silent = seen;
    if (isOwn && !std::exchange(row.isNews, true))
        m_news.push_back(id.value);
}

void target_limits::tick(instant now)
{
    for (const auto number : std::vector(m_limited)) {
        auto& row = m_rows[number];
        if (row.endedAt == instant() && row.silent && now >= row.silent->answeredAt + confirmationTime) {
            row.endedAt = row.silent->answeredAt + confirmationTime;
            m_changes.push_back({ { number }, std::nullopt, now - row.since });
        }
        if (row.endedAt != instant() && now >= row.endedAt + easingTime)
            setLimited({ number }, false);
    }
}

std::optional<request_rate> target_limits::rate(target_id id, instant now) const
{
    if (id.value >= m_rows.size() || !m_rows[id.value].isLimited)
        return std::nullopt;
    const auto& row = m_rows[id.value];
    if (row.endedAt == instant())
        return row.rate;
    const double doublings = seconds(now - row.endedAt) / seconds(doublingTime);
    return request_rate { std::max(row.rate.perSecond, minEasedPerSecond) * std::exp2(doublings) };
}

void target_limits::setLimited(target_id id, bool isLimited)
{
    if (std::exchange(m_rows[id.value].isLimited, isLimited) == isLimited)
        return;
    m_fleet.isLimited[id.value] = isLimited;
    const auto place = std::lower_bound(m_limited.begin(), m_limited.end(), id.value);
    if (isLimited)
        m_limited.insert(place, id.value);
    else
        m_limited.erase(place);
}

void target_limits::forget(target_id id)
{
    if (id.value >= m_rows.size())
        return;
    setLimited(id, false);
    m_rows[id.value] = {};
    std::erase(m_news, id.value);
    std::erase_if(m_changes, [&](const auto& change) { return change.target == id; });
}

limit_report target_limits::reportOf(std::uint32_t number, instant now) const
{
    const auto& row = m_rows[number];
    const auto& seen = row.silent ? row.lastSilent : row.named;
    return { m_fleet.instanceHash[number], row.silent ? std::nullopt : std::optional(row.rate), now - seen.askedAt,
        now - seen.answeredAt };
}

std::vector<limit_report> target_limits::takeNews(instant now)
{
    std::vector<limit_report> out;
    for (const auto row : std::exchange(m_news, {})) {
        m_rows[row].isNews = false;
        out.push_back(reportOf(row, now));
    }
    return out;
}

std::optional<limit_report> target_limits::nextReport(instant now)
{
    if (m_limited.empty())
        return std::nullopt;
    return reportOf(m_limited[m_nextReport++ % m_limited.size()], now);
}

std::optional<limit_report> target_limits::endOf(std::uint32_t target, instant now) const
{
    const auto row = m_fleet.findByHash(target).value;
    if (row >= m_rows.size() || m_rows[row].endedAt == instant())
        return std::nullopt;
    return reportOf(row, now);
}

std::vector<limit_report> target_limits::reports(instant now) const
{
    std::vector<limit_report> out;
    for (const auto row : m_limited) {
        const auto& known = m_rows[row];
        if (known.endedAt == instant())
            out.push_back(
                { m_fleet.instanceHash[row], known.rate, now - known.named.askedAt, now - known.named.answeredAt });
    }
    return out;
}

std::vector<limit_change> target_limits::takeChanges() { return std::exchange(m_changes, {}); }

}
