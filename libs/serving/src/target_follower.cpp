// Offsets, chains and confirmations.
#include "serving/target_follower.h"

#include <algorithm>

namespace tamarack::serving {

namespace {

    void append(target_changes& to, target_changes from)
    {
        std::move(from.listed.begin(), from.listed.end(), std::back_inserter(to.listed));
        std::move(from.gone.begin(), from.gone.end(), std::back_inserter(to.gone));
    }

}

std::int64_t target_follower::knownOffset(const std::string& instance) const
{
    const auto found = m_known.find(instance);
    return found == m_known.end() ? -1 : found->second.offset;
}

std::int64_t target_follower::belowLapsed(std::int64_t offset) const
{
    for (const auto& [instance, news] : m_known) {
        if (!news.record && m_list.isLapsed(instance))
            offset = std::min(offset, news.offset - 1);
    }
    return offset;
}

std::int64_t target_follower::lastChange() const { return belowLapsed(m_lastChange); }

void target_follower::take(const target_news& news, bool isConfirmed, instant now, target_changes& out)
{
    if (news.offset < knownOffset(news.instance))
        return; // told by a peer before it was read, or read before it was told
    auto& known = m_known[news.instance];
    // A second removal in a row says nothing new, and its later place is not what peers confirm.
    if (news.record || known.record || known.instance.empty())
        known = news;
    if (news.record)
        append(out, m_list.listed(*news.record, now));
    else if (isConfirmed || news.offset <= m_confirmedTo)
        append(out, m_list.confirmedGone(news.instance, now));
    else
        append(out, m_list.dropped(news.instance, now));
}

follow_step target_follower::listRead(const std::vector<target_news>& all, std::int64_t next, instant now)
{
    std::map<std::string, target_news> present;
    std::vector<target_record> records;
    for (const auto& news : all) {
        present[news.instance] = news;
        if (news.record)
            records.push_back(*news.record);
    }
    // What goes wrong without the removals' place: peers take one that is told without it for older than what they
    // know, and go on sending to a target that has left. The list was read up to `next` and had no entry.
    for (const auto& [instance, news] : m_known) {
        if (!present.contains(instance))
            present[instance] = { std::max(news.offset, next - 1), instance, std::nullopt };
    }
    m_known = std::move(present);
    m_next = std::max(m_next, next);
    auto changes = m_list.snapshot(records, now);
    if (!m_hasList) {
        // What everybody reads at its start is told to nobody; the first note says from where on it tells.
        m_hasList = true;
        m_toldTo = next - 1;
        // What goes wrong without it: a change that a node finds in its first list is told by nobody, if the one that
        // followed the list before had not read it yet. Peers whose list is older read once when they hear this offset.
        m_lastChange = std::max(m_lastChange, next - 1);
        return { std::move(changes), std::nullopt, false };
    }
    return found(std::move(changes));
}

follow_step target_follower::recordsRead(const std::vector<target_news>& news, std::int64_t next, instant now)
{
    target_changes changes;
    for (const auto& item : news)
        take(item, false, now, changes);
    m_next = std::max(m_next, next);
    return found(lastWords(changes));
}

// A step says one thing of each target. One that changed back within it is told too, since a peer may have read the
// list in between.
target_changes target_follower::lastWords(const target_changes& changes) const
{
    std::map<std::string, target_record> lastListed;
    for (const auto& record : changes.listed)
        lastListed[record.instance] = record;
    std::set<std::string> touched(changes.gone.begin(), changes.gone.end());
    for (const auto& [instance, record] : lastListed)
        touched.insert(instance);
    target_changes out;
    for (const auto& instance : touched) {
        const auto& last = m_known.at(instance);
        if (last.record)
            out.listed.push_back(*last.record);
        else if (!m_list.isLapsed(instance))
            out.gone.push_back(instance);
        else if (const auto found = lastListed.find(instance); found != lastListed.end())
            out.listed.push_back(found->second); // and removed again, but it may come back
    }
    return out;
}

follow_step target_follower::found(target_changes changes)
{
    target_note note { m_toldTo, -1, {} };
    for (const auto& record : changes.listed) {
        // Of one that is listed and waited for since, the removal is not to be told yet.
        const auto offset = knownOffset(record.instance) - (m_list.isLapsed(record.instance) ? 1 : 0);
        note.changes.push_back({ offset, record.instance, record });
    }
    for (const auto& instance : changes.gone)
        note.changes.push_back({ std::max(knownOffset(instance), std::int64_t { 0 }), instance, std::nullopt });
    std::sort(note.changes.begin(), note.changes.end(),
        [](const target_news& a, const target_news& b) { return a.offset < b.offset; });
    if (!note.changes.empty())
        m_newest = std::max(m_newest, note.changes.back().offset);
    if (m_newest < m_next)
        m_lastChange = std::max(m_lastChange, m_newest);
    m_toldTo = std::max(m_toldTo, belowLapsed(m_newest));
    note.upTo = m_toldTo;
    follow_step step { std::move(changes), std::nullopt, false };
    if (!note.changes.empty())
        step.note = std::move(note);
    return step;
}

follow_step target_follower::noteHeard(const target_note& note, instant now)
{
    follow_step step;
    if (!m_hasList)
        return step; // the whole list is still to come
    for (const auto& news : note.changes) {
        take(news, true, now, step.changes);
        m_newest = std::max(m_newest, news.offset);
    }
    // What goes wrong without the chain: a note that was lost is followed by one that comes, and this node takes the
    // later change for the last one it has to know. One notices by a target that some nodes give up and others do not.
    if (std::max(m_lastChange, m_next - 1) < note.previous) {
        step.mustRead = true;
        m_toldTo = std::max(m_toldTo, note.upTo); // what this node tells from now on begins after that
        return step;
    }
    m_lastChange = std::max(m_lastChange, note.upTo);
    m_toldTo = std::max(m_toldTo, note.upTo);
    confirmLapsed(note.upTo, now, step.changes);
    return step;
}

follow_step target_follower::changeSeen(std::int64_t offset, instant now)
{
    follow_step step;
    confirmLapsed(offset, now, step.changes);
    step.mustRead = m_hasList && offset > m_lastChange && offset >= m_next;
    return step;
}

// What goes wrong without it: a node that reads a removal before the peers that follow the list have told it waits out
// the whole grace, and sends to the target for longer than the drain bound allows.
void target_follower::confirmLapsed(std::int64_t offset, instant now, target_changes& out)
{
    if (offset <= m_confirmedTo)
        return;
    m_confirmedTo = offset;
    for (const auto& [instance, news] : m_known) {
        if (!news.record && news.offset <= offset)
            append(out, m_list.confirmedGone(instance, now));
    }
}

follow_step target_follower::stateTaken(const std::vector<target_news>& all, instant now)
{
    follow_step step;
    for (const auto& news : all)
        take(news, false, now, step.changes);
    m_hasList = m_hasList || !all.empty();
    for (const auto& news : all)
        m_toldTo = std::max(m_toldTo, news.offset);
    return step;
}

follow_step target_follower::tick(instant now)
{
    auto changes = m_list.tick(now);
    std::erase_if(m_known, [this](const auto& item) { return !item.second.record && !m_list.isKnown(item.first); });
    if (changes.gone.empty())
        return {};
    return found(std::move(changes));
}

std::vector<target_news> target_follower::known() const
{
    std::vector<target_news> out;
    for (const auto& [instance, news] : m_known) {
        if (news.record)
            out.push_back(news);
    }
    return out;
}

}
