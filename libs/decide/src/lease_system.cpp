// Claims, renewals and releases of leases.
#include "decide/lease_system.h"

namespace tamarack {

namespace {

    constexpr std::size_t maxPendingSends = 64;
    constexpr int renewalsPerLength = 3;

    const std::string* leaseNameOf(const record_body& body)
    {
        if (const auto* claim = std::get_if<claim_record>(&body))
            return &claim->lease;
        if (const auto* renewal = std::get_if<renewal_record>(&body))
            return &renewal->lease;
        if (const auto* release = std::get_if<release_record>(&body))
            return &release->lease;
        return nullptr;
    }

}

lease_system::lease_system(instance_id self, lease_settings settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
}

void lease_system::setLeases(const std::map<std::string, int>& rankByLease)
{
    std::erase_if(m_entries, [&](const auto& item) { return !rankByLease.contains(item.first); });
    for (const auto& [name, rank] : rankByLease)
        m_entries[name].rank = rank;
}

void lease_system::onLogRecord(const log_record& record, verdict v, instant now)
{
    const std::string* name = leaseNameOf(record.body);
    if (!name)
        return;
    const auto found = m_entries.find(*name);
    if (found == m_entries.end())
        return;
    entry& item = found->second;
    const bool isMine = record.origin.writer == m_self;
    if (isMine)
        item.isPending = false;
    if (v != verdict::valid)
        return;
    item.lastSeenOffset = record.offset;
    item.lastSeenAt = now;
    item.hasSeenRecord = true;
    const auto sent = isMine ? item.sentAt.find(record.origin.sequence) : item.sentAt.end();
    if (!isMine || std::holds_alternative<release_record>(record.body)) {
        item.isConfirmed = false;
        return;
    }
    if (sent == item.sentAt.end())
        return; // this node sent the record so long ago that it has discarded the sending time, from which the expiry
                // is computed
    item.validUntil = sent->second + m_settings.length;
    item.isConfirmed = true;
    item.nextRenewal = sent->second + m_settings.length / renewalsPerLength;
    item.sentAt.erase(item.sentAt.begin(), std::next(sent));
}

// A node that resumes after a freeze may receive a peer's state before the log responds. If the lease records in that
// state did not count as seen now, the node would date the lease's last record from before its freeze and claim the
// lease from a holder that has just renewed it. Two nodes would then hold the lease until the first one reads the
// claim, which shows as targets that receive the same order with two fencing tokens.
void lease_system::onStateRestored(const replicated_state& state, instant now)
{
    for (auto& [name, item] : m_entries) {
        const lease_state& held = state.lease(name);
        if (!held.last.isValid() || held.last == item.lastSeenOffset)
            continue;
        item.lastSeenOffset = held.last;
        item.lastSeenAt = now;
        item.hasSeenRecord = true;
        if (held.holder != m_self)
            item.isConfirmed = false;
    }
}

std::vector<append_request> lease_system::step(const replicated_state& state, instant now, bool mayClaim)
{
    std::vector<append_request> out;
    for (auto& [name, item] : m_entries)
        stepLease(name, item, state, now, mayClaim, out);
    return out;
}

bool lease_system::isClaimable(const entry& item, const lease_state& held, instant now) const
{
    const duration stagger = m_settings.appendRetry / 4 * item.rank;
    if (!held.holder.isValid())
        return now >= item.firstConsideredAt + stagger;
    const instant since = item.hasSeenRecord ? item.lastSeenAt : item.firstConsideredAt;
    return now >= since + m_settings.length + m_settings.margin + stagger;
}

void lease_system::stepLease(const std::string& name, entry& item, const replicated_state& state, instant now,
    bool mayClaim, std::vector<append_request>& out)
{
    if (item.firstConsideredAt == instant())
        item.firstConsideredAt = now;
    if (item.isPending && now < item.pendingSince + m_settings.appendRetry)
        return;
    const lease_state& held = state.lease(name);
    if (held.holder == m_self) {
        if (m_isReleasing)
            out.push_back({ release_record { name, held.term } });
        else if (now >= item.nextRenewal)
            out.push_back({ renewal_record { name, held.term } });
        return;
    }
    if (mayClaim && !m_isReleasing && isClaimable(item, held, now))
        out.push_back({ claim_record { name, held.last } });
}

void lease_system::onAppendSent(const record_body& body, std::uint64_t sequence, instant now)
{
    const std::string* name = leaseNameOf(body);
    if (!name || !m_entries.contains(*name))
        return;
    entry& item = m_entries[*name];
    item.isPending = true;
    item.pendingSince = now;
    item.sentAt[sequence] = now;
    while (item.sentAt.size() > maxPendingSends)
        item.sentAt.erase(item.sentAt.begin());
}

bool lease_system::holds(const std::string& lease, const replicated_state& state, instant now) const
{
    const auto found = m_entries.find(lease);
    if (found == m_entries.end() || !found->second.isConfirmed)
        return false;
    return state.lease(lease).holder == m_self && now < found->second.validUntil;
}

log_offset lease_system::term(const std::string& lease, const replicated_state& state) const
{
    return state.lease(lease).term;
}

}
