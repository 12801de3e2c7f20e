// Implements the table of suspected and quarantined requests.
#include "quarantine/request_quarantine.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace tamarack {

namespace {

    constexpr std::size_t answerSlots = 4096;
    /// A record is not repeated during the last part of its lifetime.
    constexpr duration repeatMargin = std::chrono::seconds(10);

}

request_quarantine::request_quarantine(quarantine_limits limits)
    : m_limits(limits)
    , m_answers(answerSlots)
{
}

std::size_t request_quarantine::answerSlot(const request_digest& digest) { return digest.content % answerSlots; }

bool request_quarantine::wasAnswered(const request_digest& digest, instant now) const
{
    const auto& answer = m_answers[answerSlot(digest)];
    return answer.at != instant() && answer.digest == digest && now < answer.at + m_limits.answerMemory;
}

duration request_quarantine::lifetimeOf(const entry& item) const
{
    if (isQuarantined(item))
        return m_limits.quarantineLifetime;
    return item.targets.empty() ? m_limits.clearanceLifetime : m_limits.suspicionLifetime;
}

bool request_quarantine::isExpired(const entry& item, instant now) const
{
    return now >= item.changedAt + lifetimeOf(item);
}

bool request_quarantine::isRepeatable(const entry& item, bool withSuspicions, instant now) const
{
    const bool isSettled = isQuarantined(item) || item.clearances > 0;
    return (isSettled || withSuspicions) && now + repeatMargin < item.changedAt + lifetimeOf(item);
}

quarantine_record request_quarantine::recordOf(const table::value_type& item, instant now) const
{
    const auto& [digest, known] = item;
    return { digest, known.clearances, known.targets, std::max(duration::zero(), now - known.changedAt),
        known.isStored };
}

bool request_quarantine::addTarget(entry& item, std::uint32_t target) const
{
    const bool isKnown = std::find(item.targets.begin(), item.targets.end(), target) != item.targets.end();
    if (isKnown || isQuarantined(item))
        return false;
    item.targets.push_back(target);
    return true;
}

void request_quarantine::recordChange(const table::value_type& item, bool wasQuarantined, instant now)
{
    const bool isNow = isQuarantined(item.second);
    if (isNow == wasQuarantined)
        return;
    m_changes.push_back({ recordOf(item, now), isNow });
    m_begun += isNow;
    if (wasQuarantined)
        m_ended.push_back(item.first);
}

void request_quarantine::addNews(const request_digest& digest)
{
    if (m_news.size() < m_limits.maxRecords)
        m_news.push_back(digest);
}

void request_quarantine::targetEnded(const request_digest& digest, std::uint32_t target, instant now)
{
    if (wasAnswered(digest, now))
        return;
    if (!m_entries.contains(digest))
        makeRoom(digest.account);
    const auto found = m_entries.try_emplace(digest).first;
    auto& item = found->second;
    const bool wasQuarantined = isQuarantined(item);
    if (!addTarget(item, target))
        return;
    item.changedAt = now;
    addNews(digest);
    recordChange(*found, wasQuarantined, now);
}

void request_quarantine::answered(const request_digest& digest, instant now)
{
    m_answers[answerSlot(digest)] = { digest, now };
    const auto found = m_entries.find(digest);
    if (found != m_entries.end() && !found->second.targets.empty())
        clear(found, now);
}

void request_quarantine::clear(table::iterator found, instant now)
{
    auto& item = found->second;
    const bool wasQuarantined = isQuarantined(item);
    ++item.clearances;
    item.targets.clear();
    item.changedAt = now;
    item.isStored = false;
    addNews(found->first);
    recordChange(*found, wasQuarantined, now);
}

bool request_quarantine::release(const request_digest& digest, instant now)
{
    const auto found = m_entries.find(digest);
    if (found == m_entries.end() || !isQuarantined(found->second))
        return false;
    clear(found, now);
    return true;
}

void request_quarantine::apply(const quarantine_record& record, instant now)
{
    auto found = m_entries.find(record.digest);
    if (found == m_entries.end()) {
        makeRoom(record.digest.account);
        found = m_entries.try_emplace(record.digest).first;
        found->second.clearances = record.clearances;
        found->second.changedAt = now - record.age;
    }
    auto& item = found->second;
    if (record.clearances < item.clearances)
        return;
    const bool wasQuarantined = isQuarantined(item);
    if (record.clearances > item.clearances)
        item = { record.clearances, {}, now - record.age, false };
    for (const auto target : record.targets) {
        if (addTarget(item, target))
            item.changedAt = std::max(item.changedAt, now - record.age);
    }
    item.isStored |= record.isStored && isQuarantined(item);
    recordChange(*found, wasQuarantined, now);
    if (!item.targets.empty() && wasAnswered(record.digest, now))
        clear(found, now);
}

void request_quarantine::setStored(const request_digest& digest)
{
    const auto found = m_entries.find(digest);
    if (found != m_entries.end() && isQuarantined(found->second))
        found->second.isStored = true;
}

// An expired quarantine becomes a clearance instead of being removed, so that a peer whose clock is a moment behind
// does not restore it.
void request_quarantine::tick(instant now)
{
    for (auto at = m_entries.begin(); at != m_entries.end();) {
        const auto item = at++;
        if (!isExpired(item->second, now))
            continue;
        if (isQuarantined(item->second))
            clear(item, now);
        else
            m_entries.erase(item);
    }
}

bool request_quarantine::isQuarantined(const request_digest& digest) const
{
    if (m_entries.empty())
        return false;
    const auto found = m_entries.find(digest);
    return found != m_entries.end() && isQuarantined(found->second);
}

std::size_t request_quarantine::countQuarantined() const
{
    return static_cast<std::size_t>(std::count_if(
        m_entries.begin(), m_entries.end(), [this](const auto& item) { return isQuarantined(item.second); }));
}

std::vector<quarantine_record> request_quarantine::takeNews(instant now)
{
    std::vector<quarantine_record> out;
    for (const auto& digest : std::exchange(m_news, {})) {
        if (const auto found = m_entries.find(digest); found != m_entries.end())
            out.push_back(recordOf(*found, now));
    }
    return out;
}

std::optional<quarantine_record> request_quarantine::nextRecord(instant now, bool withSuspicions)
{
    const auto isWanted = [&](const auto& item) { return isRepeatable(item.second, withSuspicions, now); };
    const auto first = m_entries.upper_bound(m_lastRepeated);
    auto found = std::find_if(first, m_entries.end(), isWanted);
    if (found == m_entries.end()) {
        found = std::find_if(m_entries.begin(), first, isWanted);
        if (found == first)
            return std::nullopt;
    }
    m_lastRepeated = found->first;
    return recordOf(*found, now);
}

std::vector<quarantine_record> request_quarantine::records(instant now) const
{
    std::vector<quarantine_record> out;
    for (const auto& item : m_entries) {
        if (!isExpired(item.second, now))
            out.push_back(recordOf(item, now));
    }
    return out;
}

std::optional<quarantine_record> request_quarantine::nextToStore(instant now) const
{
    for (const auto& item : m_entries) {
        if (isQuarantined(item.second) && !item.second.isStored)
            return recordOf(item, now);
    }
    return std::nullopt;
}

std::vector<request_digest> request_quarantine::takeEnded() { return std::exchange(m_ended, {}); }

std::vector<quarantine_change> request_quarantine::takeChanges() { return std::exchange(m_changes, {}); }

void request_quarantine::makeRoom(std::uint64_t account)
{
    std::unordered_map<std::uint64_t, std::size_t> counts;
    for (const auto& item : m_entries)
        ++counts[item.first.account];
    if (counts[account] >= m_limits.maxRecordsPerAccount)
        return removeOldest(account);
    if (m_entries.size() < m_limits.maxRecords)
        return;
    const auto largest = std::max_element(
        counts.begin(), counts.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    removeOldest(largest->first);
}

void request_quarantine::removeOldest(std::uint64_t account)
{
    // Forgetting a record costs as many targets as it has.
    const auto isLessUseful = [](const auto& a, const auto& b) {
        return std::pair(a.second.targets.size(), a.second.changedAt)
            < std::pair(b.second.targets.size(), b.second.changedAt);
    };
    const auto first = m_entries.lower_bound({ account, 0 });
    const auto last
        = std::find_if(first, m_entries.end(), [&](const auto& item) { return item.first.account != account; });
    m_entries.erase(std::min_element(first, last, isLessUseful));
}

}
