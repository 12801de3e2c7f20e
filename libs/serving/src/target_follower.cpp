// Ordering of updates by offset, chains of batches and confirmation of removals.
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

std::int64_t target_follower::capBelowLapsed(std::int64_t offset) const
{
    for (const auto& [name, update] : m_known) {
        if (!update.record && m_list.isLapsed(name))
            offset = std::min(offset, update.offset - 1);
    }
    return offset;
}

std::int64_t target_follower::lastChange() const { return capBelowLapsed(m_lastChange); }

void target_follower::take(const target_update& update, bool isConfirmed, instant now, target_changes& out)
{
    if (update.offset < knownOffset(update.name))
        return; // already received from a peer, or already read
    // A delayed batch must not bring back a target that appeared and was removed before the full list was applied, of
    // which nothing is known here.
    if (update.offset <= m_snapshotUpTo && !m_known.contains(update.name))
        return;
    auto& known = m_known[update.name];
    // A repeated removal adds nothing, and its later offset is not the one that peers confirm.
    if (update.record || known.record || known.name.empty())
        known = update;
    if (update.record)
        append(out, m_list.listed(*update.record, now));
    else if (isConfirmed || update.isForeign || update.offset <= m_confirmedUpTo)
        append(out, m_list.confirmedGone(update.name, now));
    else
        append(out, m_list.dropped(update.name, now));
}

follow_result target_follower::listRead(const std::vector<target_update>& all, std::int64_t next, instant now)
{
    std::map<std::string, target_update> present;
    std::vector<target_record> records;
    target_changes changes;
    for (const auto& update : all) {
        present[update.name] = update;
        if (update.record)
            records.push_back(*update.record);
        else
            append(changes, m_list.confirmedGone(update.name, now));
    }
    // A known target that is missing from the list counts as removed, and its removal needs an offset. Without one,
    // peers consider the removal older than their state and keep sending to a target that has left. The list was read
    // up to, but not including, `next`. The removal therefore gets the last offset that was read, unless the known
    // update is newer.
    for (const auto& [name, update] : m_known) {
        if (!present.contains(name))
            present[name] = { std::max(update.offset, next - 1), name, std::nullopt };
    }
    m_known = std::move(present);
    m_snapshotUpTo = std::max(m_snapshotUpTo, next - 1);
    m_next = std::max(m_next, next);
    append(changes, m_list.snapshot(records, now));
    if (!m_hasList) {
        // The first list is not sent to peers, since every node reads it at its start. The first batch names the offset
        // from which it continues.
        m_hasList = true;
        m_publishedUpTo = next - 1;
        // Heartbeats publish this offset. Otherwise a change found in the first list of a node is distributed by nobody
        // if the previous reader had not read it yet. Peers with an older list read once when they receive this offset.
        m_lastChange = std::max(m_lastChange, next - 1);
        return { std::move(changes), std::nullopt, false };
    }
    return finishStep(std::move(changes));
}

follow_result target_follower::recordsRead(const std::vector<target_update>& updates, std::int64_t next, instant now)
{
    instances_by_name before;
    target_changes changes;
    for (const auto& item : updates) {
        before.try_emplace(item.name, m_list.listedInstance(item.name));
        take(item, false, now, changes);
    }
    m_next = std::max(m_next, next);
    return finishStep(netChanges(before, changes));
}

// A step reports one change per target: its state at the end of the step. A target that was listed and removed within
// the step is reported as gone, since a peer may have read the list in between.
target_changes target_follower::netChanges(const instances_by_name& before, const target_changes& changes) const
{
    target_changes out;
    for (const auto& [name, instanceBefore] : before) {
        const auto hasName = [&name = name](const auto& item) { return item.name == name; };
        const auto listed = std::find_if(changes.listed.rbegin(), changes.listed.rend(), hasName);
        const auto gone = std::find_if(changes.gone.rbegin(), changes.gone.rend(), hasName);
        const auto instance = m_list.listedInstance(name);
        const bool isOver = !instanceBefore.empty() && instanceBefore != instance;
        if (instance.empty() && gone != changes.gone.rend())
            out.gone.push_back({ name, isOver ? instanceBefore : gone->instance });
        else if (isOver)
            out.replaced.push_back({ name, instanceBefore });
        if (!instance.empty() && listed != changes.listed.rend())
            out.listed.push_back(*listed);
    }
    return out;
}

follow_result target_follower::finishStep(target_changes changes)
{
    target_update_batch batch { m_publishedUpTo, -1, {} };
    for (const auto& record : changes.listed) {
        // The removal of a listed target whose entry has lapsed since is not published yet.
        const auto offset = knownOffset(record.name) - (m_list.isLapsed(record.name) ? 1 : 0);
        batch.changes.push_back({ offset, record.name, record });
    }
    for (const auto& ended : changes.gone)
        batch.changes.push_back({ std::max(knownOffset(ended.name), std::int64_t { 0 }), ended.name, std::nullopt });
    std::sort(batch.changes.begin(), batch.changes.end(),
        [](const target_update& a, const target_update& b) { return a.offset < b.offset; });
    if (!batch.changes.empty())
        m_newest = std::max(m_newest, batch.changes.back().offset);
    if (m_newest < m_next)
        m_lastChange = std::max(m_lastChange, m_newest);
    m_publishedUpTo = std::max(m_publishedUpTo, capBelowLapsed(m_newest));
    batch.upTo = m_publishedUpTo;
    follow_result step { std::move(changes), std::nullopt, false };
    if (!batch.changes.empty())
        step.batch = std::move(batch);
    return step;
}

follow_result target_follower::batchReceived(const target_update_batch& batch, instant now)
{
    follow_result step;
    if (!m_hasList)
        return step; // the full list has not been read yet
    for (const auto& update : batch.changes) {
        take(update, true, now, step.changes);
        m_newest = std::max(m_newest, update.offset);
    }
    // A gap in the chain means that a batch was lost. Without this check, the node would take the later change for the
    // last one it needs, and some nodes would drop a target that others keep.
    if (std::max(m_lastChange, m_next - 1) < batch.previous) {
        m_requiredUpTo = std::max(m_requiredUpTo, batch.upTo);
        step.mustRead = true;
        m_publishedUpTo = std::max(m_publishedUpTo, batch.upTo); // batches of this node start after that offset
        return step;
    }
    m_lastChange = std::max(m_lastChange, batch.upTo);
    m_publishedUpTo = std::max(m_publishedUpTo, batch.upTo);
    confirmLapsed(batch.upTo, now, step.changes);
    return step;
}

follow_result target_follower::peerOffsetReceived(std::int64_t offset, instant now)
{
    follow_result step;
    confirmLapsed(offset, now, step.changes);
    m_requiredUpTo = std::max(m_requiredUpTo, offset);
    step.mustRead = isBehind();
    return step;
}

// Confirms removals that this node has read before the batch of the peers that follow the list. Without the
// confirmation, it would wait for the full grace period and send to the target for longer than the drain bound allows.
void target_follower::confirmLapsed(std::int64_t offset, instant now, target_changes& out)
{
    if (offset <= m_confirmedUpTo)
        return;
    m_confirmedUpTo = offset;
    for (const auto& [name, update] : m_known) {
        if (!update.record && update.offset <= offset)
            append(out, m_list.confirmedGone(name, now));
    }
}

follow_result target_follower::snapshotReceived(const target_list_snapshot& state, instant now)
{
    follow_result step;
    std::set<std::string> listedNames;
    for (const auto& update : state.targets) {
        take(update, false, now, step.changes);
        listedNames.insert(update.name);
        m_publishedUpTo = std::max(m_publishedUpTo, update.offset);
    }
    // Entries that the peer's list lacks, although it covers their offset, are gone.
    for (auto& [name, known] : m_known) {
        if (known.offset > state.upTo || listedNames.contains(name))
            continue;
        append(step.changes, m_list.confirmedGone(name, now));
        known = { state.upTo, name, std::nullopt };
    }
    m_snapshotUpTo = std::max(m_snapshotUpTo, state.upTo);
    m_hasList = m_hasList || !state.targets.empty();
    m_lastChange = std::max(m_lastChange, state.upTo);
    m_publishedUpTo = std::max(m_publishedUpTo, state.upTo);
    return step;
}

follow_result target_follower::tick(instant now)
{
    auto changes = m_list.tick(now);
    std::erase_if(m_known, [this](const auto& item) { return !item.second.record && !m_list.isKnown(item.first); });
    if (changes.gone.empty())
        return {};
    return finishStep(std::move(changes));
}

target_list_snapshot target_follower::known() const
{
    target_list_snapshot out;
    for (const auto& [name, update] : m_known) {
        if (update.record || m_list.isLapsed(name))
            out.targets.push_back(update);
    }
    if (m_hasList)
        out.upTo = lastChange();
    return out;
}

}
