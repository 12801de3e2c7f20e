// Sequences, removals and lapses.
#include "serving/target_list.h"

#include <algorithm>

namespace tamarack::serving {

namespace {

    /// Late records of a gone instance come within seconds.
    constexpr duration goneMemory = std::chrono::minutes(2);
    /// Lives of one target that are told from a new one. A target starts anew once in some seconds at most, and a
    /// record that a former life sent is written some seconds later at most.
    constexpr std::size_t mostFormerBirths = 8;

    /// Whether anything that matters to the fleet differs.
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

bool target_list::isNextLife(const entry& known, const target_record& record)
{
    const auto& former = known.formerBirths;
    return record.bornAt != known.record.bornAt
        && std::find(former.begin(), former.end(), record.bornAt) == former.end();
}

// What goes wrong without it: a target that starts again under its name counts its records from the beginning, so they
// are taken for late ones and it gets nothing until its count has caught up; and what is believed of the former life,
// like the prompts that it kept, is believed of one that holds nothing.
void target_list::beginLife(entry& known, const target_record& record, target_changes& out)
{
    if (!known.isGone)
        out.replaced.push_back({ known.record.name, known.record.instance() });
    // A clock that was set back makes the new life seem the older one; the other may then turn out to be the newer.
    if (record.bornAt > known.record.bornAt)
        known.formerBirths.push_back(known.record.bornAt);
    if (known.formerBirths.size() > mostFormerBirths)
        known.formerBirths.erase(known.formerBirths.begin());
}

void target_list::take(const target_record& record, instant now, target_changes& out)
{
    auto [at, isNew] = m_entries.try_emplace(record.name);
    auto& known = at->second;
    // Whoever told its birth once goes on telling it: this is another writer's.
    if (!isNew && record.bornAt == 0 && known.record.bornAt != 0)
        return end(known, now, out);
    const bool isNext = !isNew && isNextLife(known, record);
    const bool isLater = record.bornAt == known.record.bornAt && record.sequence > known.record.sequence;
    if (!isNew && !isNext && !isLater)
        return;
    if (isNext)
        beginLife(known, record, out);
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
    return m_readsSeldom || (m_hasReturned && now < m_returnedAt + m_lapseGrace);
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

// What goes wrong without the wait: entries run out while the store cannot be written to, so after an outage the whole
// fleet looks gone although every target works; requests would be refused until the targets have written again.
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

std::string target_list::listedLife(const std::string& name) const
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
            found->second.isLapsed = false; // still there, and nothing new
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
        m_entries, [&](const auto& item) { return item.second.isGone && now >= item.second.goneAt + goneMemory; });
    return out;
}

}
