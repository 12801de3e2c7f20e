// Implements the table of suspected and quarantined traits.
#include "quarantine/request_quarantine.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

    constexpr std::size_t answerSlots = 16384;
    /// Of the nodes that know something in favour of a trait, this many tell the others at once.
    constexpr std::uint64_t spokesmen = 8;
    /// Records take less time from node to node.
    constexpr duration messageTime = std::chrono::milliseconds(100);
    /// A record is not repeated during the last part of its lifetime.
    constexpr duration repeatMargin = std::chrono::seconds(10);

}

request_quarantine::request_quarantine(quarantine_limits limits, std::uint32_t node)
    : m_limits(limits)
    , m_node(node)
    , m_answers(answerSlots)
{
}

std::size_t request_quarantine::slotOf(const request_trait& trait)
{
    return (trait.content + static_cast<std::size_t>(trait.kind)) % answerSlots;
}

request_quarantine::recent_answer request_quarantine::answerTo(const request_trait& trait) const
{
    const auto& slot = m_answers[slotOf(trait)];
    return slot.trait == trait ? slot : recent_answer {};
}

request_quarantine::recent_answer& request_quarantine::answerSlot(const request_trait& trait)
{
    auto& slot = m_answers[slotOf(trait)];
    if (slot.trait != trait)
        slot = { trait, {}, {} };
    return slot;
}

bool request_quarantine::isProvenHarmless(const request_trait& trait, instant now) const
{
    const auto provenAt = answerTo(trait).provenAt;
    const bool isPart = trait.kind == trait_kind::prompt_part;
    return provenAt != instant() && now < provenAt + (isPart ? m_limits.partMemory : m_limits.answerMemory);
}

bool request_quarantine::hasBegunBefore(const request_trait& trait, instant now) const
{
    const auto begunAt = answerTo(trait).begunAt;
    return trait.kind == trait_kind::prompt_part && begunAt != instant() && now < begunAt + m_limits.begunMemory;
}

std::size_t request_quarantine::targetsNeeded(const entry& item) const
{
    return item.hasBegun ? m_limits.targetsOnceBegun : m_limits.targetsUntilQuarantine;
}

std::uint8_t request_quarantine::trialsAllowed(const entry& item) const
{
    return item.hasBegun ? m_limits.maxTrialsOnceBegun : m_limits.maxTrials;
}

std::size_t request_quarantine::countUnexplained(const entry& item) const
{
    auto targets = item.targets;
    for (const auto& other : m_entries) {
        const auto& known = other.second;
        if (other.first.kind != trait_kind::prompt_part || known.hasBegun
            || known.targets.size() < m_limits.targetsOnceBegun)
            continue;
        std::erase_if(targets, [&](std::uint32_t target) {
            return std::find(known.targets.begin(), known.targets.end(), target) != known.targets.end();
        });
    }
    return targets.size();
}

bool request_quarantine::hasEnough(const table::value_type& item) const
{
    const auto& [trait, known] = item;
    if (known.targets.size() < targetsNeeded(known))
        return false;
    if (trait.kind == trait_kind::repeat || !known.hasBegun)
        return true;
    return known.changedAt - known.firstEndAt >= m_limits.minSpreadOnceBegun
        && countUnexplained(known) >= m_limits.targetsOnceBegun;
}

void request_quarantine::settle(table::value_type& item, instant now)
{
    auto& [trait, known] = item;
    if (!hasEnough(item))
        known.enoughSince = {};
    else if (known.enoughSince == instant())
        known.enoughSince = now;
    const bool hasSettled = trait.kind == trait_kind::repeat || now >= known.enoughSince + m_limits.settleTime;
    const bool isNow = known.enoughSince != instant() && (known.isQuarantined || hasSettled);
    if (std::exchange(known.isQuarantined, isNow) == isNow)
        return;
    m_changes.push_back({ recordOf(item, now), isNow });
    m_begun += isNow;
    if (!isNow) {
        known.isStored = false;
        m_ended.push_back(trait);
    }
}

duration request_quarantine::lifetimeOf(const entry& item) const
{
    if (item.isQuarantined)
        return m_limits.quarantineLifetime;
    return item.targets.empty() ? m_limits.clearanceLifetime : m_limits.suspicionLifetime;
}

bool request_quarantine::isExpired(const entry& item, instant now) const
{
    return now >= item.changedAt + lifetimeOf(item);
}

bool request_quarantine::isRepeatable(const entry& item, bool withSuspicions, instant now) const
{
    const bool isSettled = item.targets.size() >= m_limits.targetsUntilQuarantine || item.clearances > 0;
    return (isSettled || withSuspicions) && now + repeatMargin < item.changedAt + lifetimeOf(item);
}

quarantine_record request_quarantine::recordOf(const table::value_type& item, instant now) const
{
    const auto& [trait, known] = item;
    return { trait, known.account, known.clearances, known.targets, known.hasBegun, known.trial,
        std::max(duration::zero(), now - known.changedAt), std::max(duration::zero(), now - known.firstEndAt),
        known.isStored };
}

bool request_quarantine::addTarget(entry& item, std::uint32_t target) const
{
    const bool isKnown = std::find(item.targets.begin(), item.targets.end(), target) != item.targets.end();
    if (isKnown || item.targets.size() >= m_limits.maxTargets)
        return false;
    item.targets.push_back(target);
    return true;
}

void request_quarantine::addNews(const request_trait& trait)
{
    if (m_news.size() < m_limits.maxRecords)
        m_news.push_back(trait);
}

void request_quarantine::targetEnded(
    const request_trait& trait, std::uint32_t target, instant now, const attempt_evidence& evidence)
{
    if (isProvenHarmless(trait, now))
        return;
    auto found = m_entries.find(trait);
    if (found == m_entries.end()) {
        const auto account = trait.kind == trait_kind::repeat ? trait.account : evidence.account;
        makeRoom(trait.kind, account);
        found = m_entries.try_emplace(trait).first;
        found->second.account = account;
    }
    auto& item = found->second;
    const bool isFull = item.targets.size() >= m_limits.maxTargets;
    if (item.targets.empty())
        item.firstEndAt = now;
    if (!addTarget(item, target) && !isFull)
        return;
    item.hasBegun |= evidence.hasBegun || hasBegunBefore(trait, now);
    item.changedAt = now;
    addNews(trait);
    settle(*found, now);
}

void request_quarantine::begun(const request_trait& trait, instant now) { answerSlot(trait).begunAt = now; }

void request_quarantine::answered(const request_trait& trait, instant begunAt, instant now)
{
    auto& slot = answerSlot(trait);
    slot.begunAt = std::max(slot.begunAt, begunAt);
    slot.provenAt = std::max(slot.provenAt, begunAt);
    if (m_entries.empty())
        return;
    const auto found = m_entries.find(trait);
    if (found != m_entries.end() && !found->second.targets.empty() && begunAt >= found->second.changedAt)
        clear(found, now);
}

void request_quarantine::clear(table::iterator found, instant now)
{
    auto& item = found->second;
    ++item.clearances;
    item.targets.clear();
    item.changedAt = now;
    item.hasBegun = false;
    item.trial = {};
    addNews(found->first);
    settle(*found, now);
}

bool request_quarantine::release(const request_trait& trait, instant now)
{
    const auto found = m_entries.find(trait);
    if (found == m_entries.end() || !found->second.isQuarantined)
        return false;
    clear(found, now);
    return true;
}

void request_quarantine::apply(const quarantine_record& record, instant now)
{
    auto found = m_entries.find(record.trait);
    if (found == m_entries.end()) {
        makeRoom(record.trait.kind, record.account);
        found = m_entries.try_emplace(record.trait).first;
        found->second.account = record.account;
        found->second.clearances = record.clearances;
        found->second.changedAt = now - record.age;
    }
    auto& item = found->second;
    if (record.clearances < item.clearances)
        return;
    if (record.clearances > item.clearances) {
        item.clearances = record.clearances;
        item.targets.clear();
        item.changedAt = now - record.age;
        item.hasBegun = false;
        item.trial = {};
    }
    const auto firstEndAt = now - record.firstAge;
    if (!record.targets.empty())
        item.firstEndAt = item.targets.empty() ? firstEndAt : std::min(item.firstEndAt, firstEndAt);
    for (const auto target : record.targets) {
        if (addTarget(item, target))
            item.changedAt = std::max(item.changedAt, now - record.age);
    }
    // Of targets that have no place in the record only the time is told. Without the deduction, records that nodes
    // repeat would move it on and on.
    item.changedAt = std::max(item.changedAt, now - record.age - messageTime);
    item.hasBegun |= record.hasBegun;
    applyTrial(item, record.trial, now);
    settle(*found, now);
    item.isStored |= record.isStored && item.isQuarantined;
    speakFor(found, now);
}

void request_quarantine::applyTrial(entry& item, const quarantine_trial& trial, instant now)
{
    if (trial.round > item.trial.round) {
        item.trial.round = trial.round;
        item.trial.node = trial.node;
        item.claimedAt = m_lastClaimAt = now;
    } else if (trial.round == item.trial.round) {
        item.trial.node = std::min(item.trial.node, trial.node);
    }
    item.trial.sent = std::max(item.trial.sent, trial.sent);
}

void request_quarantine::speakFor(table::iterator found, instant now)
{
    auto& item = found->second;
    if (item.targets.empty())
        return;
    const bool isPart = found->first.kind == trait_kind::prompt_part;
    if (isPart ? answerTo(found->first).provenAt >= item.changedAt : isProvenHarmless(found->first, now))
        return clear(found, now);
    const bool isNearly = item.targets.size() + 1 >= m_limits.targetsUntilQuarantine;
    if (item.hasBegun || !isNearly || !hasBegunBefore(found->first, now))
        return;
    item.hasBegun = true;
    settle(*found, now);
    if (isSpokesman(found->first))
        addNews(found->first);
}

bool request_quarantine::isSpokesman(const request_trait& trait) const
{
    const auto nodes = static_cast<std::uint64_t>(std::max(1, m_knownNodes));
    return stableHash(toString(trait), m_node) % nodes < spokesmen;
}

void request_quarantine::setStored(const request_trait& trait)
{
    const auto found = m_entries.find(trait);
    if (found != m_entries.end() && found->second.isQuarantined)
        found->second.isStored = true;
}

// An expired quarantine becomes a clearance instead of being removed, so that a peer whose clock is a moment behind
// does not restore it.
void request_quarantine::tick(instant now)
{
    for (auto at = m_entries.begin(); at != m_entries.end();) {
        const auto item = at++;
        if (!isExpired(item->second, now)) {
            settle(*item, now);
            continue;
        }
        if (item->second.isQuarantined)
            clear(item, now);
        else
            m_entries.erase(item);
    }
}

const request_quarantine::entry* request_quarantine::findQuarantined(const request_trait& trait) const
{
    if (m_entries.empty())
        return nullptr;
    const auto found = m_entries.find(trait);
    return found != m_entries.end() && found->second.isQuarantined ? &found->second : nullptr;
}

bool request_quarantine::isQuarantined(const request_trait& trait) const { return findQuarantined(trait); }

std::optional<instant> request_quarantine::trialDueAt(const request_trait& trait) const
{
    const auto* item = findQuarantined(trait);
    if (!item || trait.kind != trait_kind::prompt_part || item->trial.sent >= trialsAllowed(*item))
        return std::nullopt;
    auto pause = m_limits.trialPause;
    for (int sent = 0; sent < item->trial.sent; ++sent)
        pause *= m_limits.trialPauseFactor;
    return std::max(item->changedAt, item->claimedAt) + pause;
}

std::optional<duration> request_quarantine::untilTrial(const std::vector<request_trait>& traits, instant now) const
{
    instant dueAt = m_lastClaimAt + m_limits.trialSpacing;
    for (const auto& trait : traits) {
        const auto due = trialDueAt(trait);
        if (!due)
            return std::nullopt;
        dueAt = std::max(dueAt, *due);
    }
    if (traits.size() > 1)
        dueAt += (traits.size() - 1) * m_limits.trialPause;
    return std::max(duration::zero(), dueAt - now);
}

void request_quarantine::claimTrial(const request_trait& trait, instant now)
{
    const auto found = m_entries.find(trait);
    if (found == m_entries.end() || !found->second.isQuarantined)
        return;
    auto& item = found->second;
    ++item.trial.round;
    item.trial.node = m_node;
    item.claimedAt = m_lastClaimAt = now;
    addNews(trait);
}

bool request_quarantine::ownsTrial(const request_trait& trait) const
{
    const auto* item = findQuarantined(trait);
    return item && item->trial.round > 0 && item->trial.node == m_node && item->trial.sent < trialsAllowed(*item);
}

void request_quarantine::trialSent(const request_trait& trait)
{
    const auto found = m_entries.find(trait);
    if (found == m_entries.end())
        return;
    ++found->second.trial.sent;
    addNews(trait);
}

void request_quarantine::heldBack(const request_trait& trait)
{
    if (const auto found = m_entries.find(trait); found != m_entries.end())
        ++found->second.heldBack;
}

std::uint64_t request_quarantine::countHeldBack(const request_trait& trait) const
{
    const auto found = m_entries.find(trait);
    return found == m_entries.end() ? 0 : found->second.heldBack;
}

std::size_t request_quarantine::countQuarantined() const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(), [](const auto& item) { return item.second.isQuarantined; }));
}

quarantine_counts request_quarantine::countOf(trait_kind kind) const
{
    quarantine_counts out;
    for (const auto& [trait, item] : m_entries) {
        if (trait.kind != kind)
            continue;
        out.quarantined += item.isQuarantined;
        out.suspected += !item.isQuarantined;
    }
    return out;
}

std::vector<quarantine_record> request_quarantine::takeNews(instant now)
{
    std::vector<quarantine_record> out;
    for (const auto& trait : std::exchange(m_news, {})) {
        if (const auto found = m_entries.find(trait); found != m_entries.end())
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
        if (item.second.isQuarantined && !item.second.isStored)
            return recordOf(item, now);
    }
    return std::nullopt;
}

std::vector<request_trait> request_quarantine::takeEnded() { return std::exchange(m_ended, {}); }

std::vector<quarantine_change> request_quarantine::takeChanges() { return std::exchange(m_changes, {}); }

void request_quarantine::makeRoom(trait_kind kind, std::uint64_t account)
{
    using group = std::pair<trait_kind, std::uint64_t>;
    const auto groupOf = [](const auto& item) { return group(item.first.kind, item.second.account); };
    std::map<group, std::size_t> counts;
    for (const auto& item : m_entries)
        ++counts[groupOf(item)];
    const group own(kind, account);
    if (counts[own] >= m_limits.maxRecordsPerAccount)
        return removeLeastUseful([&](const auto& item) { return groupOf(item) == own; });
    if (m_entries.size() < m_limits.maxRecords)
        return;
    const auto largest = std::max_element(
        counts.begin(), counts.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    removeLeastUseful([&](const auto& item) { return counts[groupOf(item)] == largest->second; });
}

template <class Predicate> void request_quarantine::removeLeastUseful(Predicate isCandidate)
{
    // Forgetting a record costs as many targets as it has.
    const auto usefulness
        = [](const auto& item) { return std::pair(item.second.targets.size(), item.second.changedAt); };
    auto worst = m_entries.end();
    for (auto at = m_entries.begin(); at != m_entries.end(); ++at) {
        if (isCandidate(*at) && (worst == m_entries.end() || usefulness(*at) < usefulness(*worst)))
            worst = at;
    }
    m_entries.erase(worst);
}

}
