// Offsets, chains and confirmations.
#include "serving/target_follower.h"

#include <algorithm>
#include <set>

namespace tamarack::serving {

namespace {

    void append(target_changes& to, target_changes from)
    {
        std::move(from.replaced.begin(), from.replaced.end(), std::back_inserter(to.replaced));
        std::move(from.listed.begin(), from.listed.end(), std::back_inserter(to.listed));
        std::move(from.gone.begin(), from.gone.end(), std::back_inserter(to.gone));
    }

}

std::int64_t target_follower::knownOffset(const std::string& name) const
{
    const auto found = m_known.find(name);
    return found == m_known.end() ? -1 : found->second.offset;
}

std::int64_t target_follower::belowLapsed(std::int64_t offset) const
{
    for (const auto& [name, news] : m_known) {
        if (!news.record && m_list.isLapsed(name))
            offset = std::min(offset, news.offset - 1);
    }
    return offset;
}

std::int64_t target_follower::lastChange() const { return belowLapsed(m_lastChange); }

void target_follower::take(const target_news& news, bool isConfirmed, instant now, target_changes& out)
{
    if (news.offset < knownOffset(news.name))
        return; // told by a peer before it was read, or read before it was told
    // What goes wrong without it: a note that comes late brings back a target that had come and gone before the whole
    // list was taken, of which nothing is known.
    if (news.offset <= m_wholeTo && !m_known.contains(news.name))
        return;
    auto& known = m_known[news.name];
    // A second removal in a row says nothing new, and its later place is not what peers confirm.
    if (news.record || known.record || known.name.empty())
        known = news;
    if (news.record)
        append(out, m_list.listed(*news.record, now));
    else if (isConfirmed || news.isForeign || news.offset <= m_confirmedTo)
        append(out, m_list.confirmedGone(news.name, now));
    else
        append(out, m_list.dropped(news.name, now));
}

follow_step target_follower::listRead(const std::vector<target_news>& all, std::int64_t next, instant now)
{
    std::map<std::string, target_news> present;
    std::vector<target_record> records;
    target_changes changes;
    for (const auto& news : all) {
        present[news.name] = news;
        if (news.record)
            records.push_back(*news.record);
        else
            append(changes, m_list.confirmedGone(news.name, now));
    }
    // What goes wrong without the removals' place: peers take one that is told without it for older than what they
    // know, and go on sending to a target that has left. The list was read up to `next` and had no entry.
    for (const auto& [name, news] : m_known) {
        if (!present.contains(name))
            present[name] = { std::max(news.offset, next - 1), name, std::nullopt };
    }
    m_known = std::move(present);
    m_wholeTo = std::max(m_wholeTo, next - 1);
    m_next = std::max(m_next, next);
    append(changes, m_list.snapshot(records, now));
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
    lives before;
    target_changes changes;
    for (const auto& item : news) {
        before.try_emplace(item.name, m_list.listedLife(item.name));
        take(item, false, now, changes);
    }
    m_next = std::max(m_next, next);
    return found(lastWords(before, changes));
}

// A step says one thing of each target: what is true at its end. One that was listed and has gone within it is told as
// gone, since a peer may have read the list in between.
target_changes target_follower::lastWords(const lives& before, const target_changes& changes) const
{
    target_changes out;
    for (const auto& [name, lifeBefore] : before) {
        const auto hasName = [&name = name](const auto& item) { return item.name == name; };
        const auto listed = std::find_if(changes.listed.rbegin(), changes.listed.rend(), hasName);
        const auto gone = std::find_if(changes.gone.rbegin(), changes.gone.rend(), hasName);
        const auto life = m_list.listedLife(name);
        const bool isOver = !lifeBefore.empty() && lifeBefore != life;
        if (life.empty() && gone != changes.gone.rend())
            out.gone.push_back({ name, isOver ? lifeBefore : gone->instance });
        else if (isOver)
            out.replaced.push_back({ name, lifeBefore });
        if (!life.empty() && listed != changes.listed.rend())
            out.listed.push_back(*listed);
    }
    return out;
}

follow_step target_follower::found(target_changes changes)
{
    target_note note { m_toldTo, -1, {} };
    for (const auto& record : changes.listed) {
        // Of one that is listed and waited for since, the removal is not to be told yet.
        const auto offset = knownOffset(record.name) - (m_list.isLapsed(record.name) ? 1 : 0);
        note.changes.push_back({ offset, record.name, record });
    }
    for (const auto& ended : changes.gone)
        note.changes.push_back({ std::max(knownOffset(ended.name), std::int64_t { 0 }), ended.name, std::nullopt });
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
        m_soughtTo = std::max(m_soughtTo, note.upTo);
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
    m_soughtTo = std::max(m_soughtTo, offset);
    step.mustRead = isBehind();
    return step;
}

// What goes wrong without it: a node that reads a removal before the peers that follow the list have told it waits out
// the whole grace, and sends to the target for longer than the drain bound allows.
void target_follower::confirmLapsed(std::int64_t offset, instant now, target_changes& out)
{
    if (offset <= m_confirmedTo)
        return;
    m_confirmedTo = offset;
    for (const auto& [name, news] : m_known) {
        if (!news.record && news.offset <= offset)
            append(out, m_list.confirmedGone(name, now));
    }
}

follow_step target_follower::stateTaken(const told_list& state, instant now)
{
    follow_step step;
    std::set<std::string> told;
    for (const auto& news : state.targets) {
        take(news, false, now, step.changes);
        told.insert(news.name);
        m_toldTo = std::max(m_toldTo, news.offset);
    }
    // What the peer would have told if it were there still has gone.
    for (auto& [name, known] : m_known) {
        if (known.offset > state.upTo || told.contains(name))
            continue;
        append(step.changes, m_list.confirmedGone(name, now));
        known = { state.upTo, name, std::nullopt };
    }
    m_wholeTo = std::max(m_wholeTo, state.upTo);
    m_hasList = m_hasList || !state.targets.empty();
    m_lastChange = std::max(m_lastChange, state.upTo);
    m_toldTo = std::max(m_toldTo, state.upTo);
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

told_list target_follower::known() const
{
    told_list out;
    for (const auto& [name, news] : m_known) {
        if (news.record || m_list.isLapsed(name))
            out.targets.push_back(news);
    }
    if (m_hasList)
        out.upTo = lastChange();
    return out;
}

}
