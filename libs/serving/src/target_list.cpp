// Sequences, removals and lapses.
#include "serving/target_list.h"

#include <algorithm>

namespace tamarack::serving {

namespace {

    /// Late records of a gone instance come within seconds.
    constexpr duration goneMemory = std::chrono::minutes(2);

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

void target_list::take(const target_record& record, target_changes& out)
{
    auto [at, isNew] = m_entries.try_emplace(record.instance);
    auto& known = at->second;
    if (!isNew && record.sequence <= known.record.sequence)
        return;
    const bool isChange = isNew || known.isGone || differs(known.record, record);
    known.record = record;
    known.isGone = known.isLapsed = false;
    if (isChange)
        out.listed.push_back(record);
}

target_changes target_list::listed(const target_record& record, instant)
{
    target_changes out;
    take(record, out);
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
    out.gone.push_back(known.record.instance);
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

target_changes target_list::confirmedGone(const std::string& instance, instant now)
{
    target_changes out;
    if (const auto found = m_entries.find(instance); found != m_entries.end())
        end(found->second, now, out);
    return out;
}

target_changes target_list::dropped(const std::string& instance, instant now)
{
    target_changes out;
    if (const auto found = m_entries.find(instance); found != m_entries.end())
        drop(found->second, now, out);
    return out;
}

bool target_list::isLapsed(const std::string& instance) const
{
    const auto found = m_entries.find(instance);
    return found != m_entries.end() && found->second.isLapsed;
}

target_changes target_list::snapshot(const std::vector<target_record>& all, instant now)
{
    target_changes out;
    std::set<std::string> present;
    for (const auto& record : all) {
        present.insert(record.instance);
        const auto found = m_entries.find(record.instance);
        if (found != m_entries.end() && found->second.record.sequence == record.sequence)
            found->second.isLapsed = false; // still there, and nothing new
        take(record, out);
    }
    for (auto& [instance, known] : m_entries) {
        if (!present.contains(instance))
            drop(known, now, out);
    }
    return out;
}

target_changes target_list::tick(instant now)
{
    target_changes out;
    for (auto& [instance, known] : m_entries) {
        if (known.isLapsed && now >= known.lapsedAt + m_lapseGrace)
            end(known, now, out);
    }
    std::erase_if(
        m_entries, [&](const auto& item) { return item.second.isGone && now >= item.second.goneAt + goneMemory; });
    return out;
}

}
