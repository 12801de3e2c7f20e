// Sequences, removals and expired entries of targets.
#include "serving/target_list.h"

#include <algorithm>

namespace tamarack::serving {

namespace {

    /// Time for which a gone target is remembered. Delayed records of a gone instance arrive within seconds.
    constexpr duration goneRetention = std::chrono::minutes(2);
    /// Number of earlier incarnations of a target that are remembered. A target restarts once in several seconds at
    /// most, and a record sent by an earlier incarnation is written a few seconds later at most.
    constexpr std::size_t maxPreviousBirths = 8;

    /// Whether the records differ in anything that affects the fleet.
    bool differs(target_record a, target_record b)
    {
        a.sequence = b.sequence = 0;
        a.coldTime = b.coldTime = duration::zero();
        return !(a == b);
    }

}

target_list::target_list(duration lapseGrace)
    : m_lapseGrace(lapseGrace)
{
}

void target_list::storeReturned(instant now)
{
    m_returnedAt = now;
    m_hasReturned = true;
}

bool target_list::isNewInstance(const entry& known, const target_record& record)
{
    const auto& former = known.previousBirths;
    return record.bornAt != known.record.bornAt
        && std::find(former.begin(), former.end(), record.bornAt) == former.end();
}

// Starts a new incarnation. Without it, a target that restarts under the same name counts its records from the
// beginning, so they are taken for delayed ones and it receives no requests until its sequence has caught up. State of
// the earlier incarnation, such as its cached prompts, would also be assumed for an empty target.
void target_list::beginInstance(entry& known, const target_record& record, target_changes& out)
{
    if (!known.isGone)
        out.replaced.push_back({ known.record.name, known.record.instance() });
    // If the clock was set back, the new incarnation seems older. The other one may then turn out to be the newer.
    if (record.bornAt > known.record.bornAt)
        known.previousBirths.push_back(known.record.bornAt);
    if (known.previousBirths.size() > maxPreviousBirths)
        known.previousBirths.erase(known.previousBirths.begin());
}

void target_list::take(const target_record& record, instant now, target_changes& out)
{
    auto [at, isNew] = m_entries.try_emplace(record.name);
    auto& known = at->second;
    // A target that has reported its start time always reports it, so this record has another writer.
    if (!isNew && record.bornAt == 0 && known.record.bornAt != 0)
        return end(known, now, out);
    const bool isNext = !isNew && isNewInstance(known, record);
    const bool isLater = record.bornAt == known.record.bornAt && record.sequence > known.record.sequence;
    if (!isNew && !isNext && !isLater)
        return;
    if (isNext)
        beginInstance(known, record, out);
    const bool isChange = isNew || isNext || known.isGone || differs(known.record, record);
    known.record = record;
    known.isGone = known.isLapsed = false;
    if (isChange)
        out.listed.push_back(record);
}

target_changes target_list::listed(const target_record& record, instant now)
{
    target_changes out;
    take(record, now, out);
    return out;
}

bool target_list::mayComeBack(instant now) const
{
    return m_readsInfrequently || (m_hasReturned && now < m_returnedAt + m_lapseGrace);
}

void target_list::end(entry& known, instant now, target_changes& out)
{
    if (known.isGone)
        return;
    known.isGone = true;
    known.isLapsed = false;
    known.goneAt = now;
    out.gone.push_back({ known.record.name, known.record.instance() });
}

// Removal may have to wait. Entries expire while the store cannot be written, so after an outage all targets seem gone
// although they work, and requests would be refused until the targets have written again.
void target_list::drop(entry& known, instant now, target_changes& out)
{
    if (known.isGone || known.isLapsed)
        return;
    if (!mayComeBack(now))
        return end(known, now, out);
    known.isLapsed = true;
    known.lapsedAt = std::max(now, m_hasReturned ? m_returnedAt : now);
}

target_changes target_list::confirmedGone(const std::string& name, instant now)
{
    target_changes out;
    if (const auto found = m_entries.find(name); found != m_entries.end())
        end(found->second, now, out);
    return out;
}

target_changes target_list::dropped(const std::string& name, instant now)
{
    target_changes out;
    if (const auto found = m_entries.find(name); found != m_entries.end())
        drop(found->second, now, out);
    return out;
}

std::string target_list::listedInstance(const std::string& name) const
{
    const auto found = m_entries.find(name);
    const bool isListed = found != m_entries.end() && !found->second.isGone;
    return isListed ? found->second.record.instance() : std::string();
}

bool target_list::isLapsed(const std::string& name) const
{
    const auto found = m_entries.find(name);
    return found != m_entries.end() && found->second.isLapsed;
}

target_changes target_list::snapshot(const std::vector<target_record>& all, instant now)
{
    target_changes out;
    std::set<std::string> present;
    for (const auto& record : all) {
        present.insert(record.name);
        const auto found = m_entries.find(record.name);
        const bool isSame = found != m_entries.end() && found->second.record.bornAt == record.bornAt
            && found->second.record.sequence == record.sequence;
        if (isSame)
            found->second.isLapsed = false; // still listed and unchanged
        take(record, now, out);
    }
    for (auto& [name, known] : m_entries) {
        if (!present.contains(name))
            drop(known, now, out);
    }
    return out;
}

target_changes target_list::tick(instant now)
{
    target_changes out;
    for (auto& [name, known] : m_entries) {
        if (known.isLapsed && now >= known.lapsedAt + m_lapseGrace)
            end(known, now, out);
    }
    std::erase_if(
        m_entries, [&](const auto& item) { return item.second.isGone && now >= item.second.goneAt + goneRetention; });
    return out;
}

}
