// Claims, renewals, releases.
#include "decide/lease_system.h"

namespace tamarack {

namespace {

    constexpr std::size_t maxPendingSends = 64;
    constexpr int renewalsPerLength = 3;

    const std::string* leaseOf(const record_body& body)
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

void lease_system::recordSeen(const log_record& record, verdict v, instant now)
{
    const std::string* name = leaseOf(record.body);
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
    item.lastSeen = record.offset;
    item.sightOfLast = now;
    item.everSeen = true;
    const auto sent = isMine ? item.sentAt.find(record.origin.sequence) : item.sentAt.end();
    if (!isMine || std::holds_alternative<release_record>(record.body)) {
        item.isTrusted = false;
        return;
    }
    if (sent == item.sentAt.end())
        return; // sent so long ago that its time is forgotten: it proves nothing about now
    item.trustedUntil = sent->second + m_settings.length;
    item.isTrusted = true;
    item.nextRenewal = sent->second + m_settings.length / renewalsPerLength;
    item.sentAt.erase(item.sentAt.begin(), std::next(sent));
}

// What goes wrong without it: a node that was frozen gets a peer's state before the log answers, finds the lease's last
// record as old as its own freeze, and claims it from a holder that renewed a moment ago. Two nodes then hold the lease
// until the first one reads the claim; one notices by targets that get the same order under two numbers.
void lease_system::restored(const agreed_state& state, instant now)
{
    for (auto& [name, item] : m_entries) {
        const lease_state& held = state.lease(name);
        if (!held.last.isValid() || held.last == item.lastSeen)
            continue;
        item.lastSeen = held.last;
        item.sightOfLast = now;
        item.everSeen = true;
        if (held.holder != m_self)
            item.isTrusted = false;
    }
}

std::vector<wanted_append> lease_system::step(const agreed_state& state, instant now, bool mayClaim)
{
    std::vector<wanted_append> out;
    for (auto& [name, item] : m_entries)
        stepOne(name, item, state, now, mayClaim, out);
    return out;
}

bool lease_system::isVacant(const entry& item, const lease_state& held, instant now) const
{
    const duration stagger = m_settings.appendRetry / 4 * item.rank;
    if (!held.holder.isValid())
        return now >= item.firstWanted + stagger;
    const instant since = item.everSeen ? item.sightOfLast : item.firstWanted;
    return now >= since + m_settings.length + m_settings.margin + stagger;
}

void lease_system::stepOne(const std::string& name, entry& item, const agreed_state& state, instant now, bool mayClaim,
    std::vector<wanted_append>& out)
{
    if (item.firstWanted == instant())
        item.firstWanted = now;
    if (item.isPending && now < item.pendingSince + m_settings.appendRetry)
        return;
    const lease_state& held = state.lease(name);
    if (held.holder == m_self) {
        if (m_releasing)
            out.push_back({ release_record { name, held.term } });
        else if (now >= item.nextRenewal)
            out.push_back({ renewal_record { name, held.term } });
        return;
    }
    if (mayClaim && !m_releasing && isVacant(item, held, now))
        out.push_back({ claim_record { name, held.last } });
}

void lease_system::appendSent(const record_body& body, std::uint64_t sequence, instant now)
{
    const std::string* name = leaseOf(body);
    if (!name || !m_entries.contains(*name))
        return;
    entry& item = m_entries[*name];
    item.isPending = true;
    item.pendingSince = now;
    item.sentAt[sequence] = now;
    while (item.sentAt.size() > maxPendingSends)
        item.sentAt.erase(item.sentAt.begin());
}

bool lease_system::holds(const std::string& lease, const agreed_state& state, instant now) const
{
    const auto found = m_entries.find(lease);
    if (found == m_entries.end() || !found->second.isTrusted)
        return false;
    return state.lease(lease).holder == m_self && now < found->second.trustedUntil;
}

log_offset lease_system::term(const std::string& lease, const agreed_state& state) const
{
    return state.lease(lease).term;
}

}
