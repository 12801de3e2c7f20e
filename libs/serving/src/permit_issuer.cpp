// Implements the token buckets from which permits are issued.
#include "serving/permit_issuer.h"

#include "base/hash.h"

#include <algorithm>

namespace tamarack::serving {

namespace {

    using namespace std::chrono_literals;

    /// Share of a limit that is issued. The rest covers permits that are used up to their lifetime later than others.
    constexpr double issuedShare = 0.98;
    /// A bucket holds one permit, and what comes in during this time at a high rate.
    constexpr duration issueInterval = 20ms;
    /// Permits lapse after this time, and after the time between two of them.
    constexpr duration minLifetime = 60ms;
    constexpr duration maxLifetime = 1s;
    constexpr duration maxAskLifetime = 1s;
    /// A limit is known to all nodes after this time. Before it, there was no issuer to take over from.
    constexpr duration tellingTime = 500ms;
    /// Ticks come every few milliseconds, so a longer pause means that the process was suspended.
    constexpr duration maxTickPause = 300ms;
    constexpr std::size_t maxAskers = 512;
    constexpr std::uint8_t maxCount = 255;
    /// The number of nodes that ask for permits of a target before they need them.
    constexpr std::size_t maxExpectingNodes = 16;

    duration lifetimeOf(request_rate rate)
    {
        const auto interval = rate.perSecond > 0 ? fromSeconds(1 / rate.perSecond) : maxLifetime;
        return std::min(minLifetime + interval, maxLifetime);
    }

}

permit_issuer::permit_issuer(const target_limits& limits, const fleet_table& fleet)
    : m_limits(limits)
    , m_fleet(fleet)
{
}

void permit_issuer::setNodes(
    const node_state& self, const std::vector<node_state>& alive, int known, duration takeoverTime)
{
    const auto takesPart = [](const node_state& node) { return node.isReady && !node.isStopping; };
    m_takeoverTime = takeoverTime;
    const auto seen = static_cast<double>(alive.size() + 1);
    if (known <= 0)
        m_share = 0; // any number of other nodes may issue as well
    else
        m_share = 2 * seen > known ? 1 : seen / known;
    std::uint64_t hash = takesPart(self) ? rendezvousSeed(self.vm) : 1;
    for (const auto& node : alive) {
        if (takesPart(node))
            hash += rendezvousSeed(node.vm) + stableHash(node.address);
    }
    m_self = { rendezvousSeed(self.vm), { self.address, self.peerPort } };
    if (hash == m_nodesHash)
        return;
    m_nodesHash = hash;
    m_candidates.clear();
    if (takesPart(self))
        m_candidates.push_back(m_self);
    for (const auto& node : alive) {
        if (takesPart(node))
            m_candidates.push_back({ rendezvousSeed(node.vm), { node.address, node.peerPort } });
    }
}

void permit_issuer::choose(target_id id, bucket& item)
{
    const auto& instance = m_fleet.instance[id.value];
    const candidate* best = nullptr;
    std::uint64_t highest = 0;
    std::uint64_t own = 0;
    std::size_t ahead = 0; // nodes with a higher weight than this one
    if (const bool takesPart = !m_candidates.empty() && m_candidates.front().seed == m_self.seed; takesPart)
        own = rendezvousWeight(m_self.seed, instance);
    for (const auto& node : m_candidates) {
        const auto weight = rendezvousWeight(node.seed, instance);
        ahead += weight > own;
        if (!best || weight > highest) {
            best = &node;
            highest = weight;
        }
    }
    item.issuer = best ? std::optional(best->endpoint) : std::nullopt;
    item.isOwn = best && best->seed == m_self.seed;
    item.mayExpect = ahead < maxExpectingNodes;
}

const node_endpoint* permit_issuer::issuerOf(target_id id) const
{
    const auto found = m_buckets.find(id.value);
    return found != m_buckets.end() && found->second.issuer ? &*found->second.issuer : nullptr;
}

bool permit_issuer::isIssuer(target_id id) const
{
    const auto found = m_buckets.find(id.value);
    return found != m_buckets.end() && found->second.isOwn;
}

bool permit_issuer::mayExpect(target_id id) const
{
    const auto found = m_buckets.find(id.value);
    return found != m_buckets.end() && found->second.mayExpect;
}

bool permit_issuer::asker::refresh(instant now)
{
    const auto first = std::find_if(until.begin(), until.end(), [now](instant end) { return now < end; });
    use = static_cast<permit_use>(first - until.begin());
    return first != until.end();
}

void permit_issuer::asked(const node_endpoint& from, const permit_ask& ask, instant now)
{
    const target_id id = m_fleet.findByHash(ask.target);
    if (!id.isValid() || ask.use >= permit_use::count)
        return;
    auto& item = m_buckets[id.value];
    auto known
        = std::find_if(item.askers.begin(), item.askers.end(), [&](const asker& other) { return other.node == from; });
    if (known == item.askers.end()) {
        if (item.askers.size() >= maxAskers)
            return;
        // Issuers that served the nodes in the same order would give one node the permits of many targets at once.
        const auto hash = stableHash(from.address, (std::uint64_t { ask.target } << 16) + from.port);
        const auto position = static_cast<std::ptrdiff_t>(hash % (item.askers.size() + 1));
        known = item.askers.insert(item.askers.begin() + position, { from, ask.use, {} });
    }
    known->until[static_cast<std::size_t>(ask.use)] = now + std::min(ask.lifetime, maxAskLifetime);
}

void permit_issuer::chooseAgain(instant now)
{
    const bool wasSuspended = now > m_tickedAt + maxTickPause;
    if (!wasSuspended && m_chosenNodesHash == m_nodesHash && m_chosenRows == m_limits.limited())
        return;
    m_chosenNodesHash = m_nodesHash;
    m_chosenRows = m_limits.limited();
    for (const auto row : m_chosenRows) {
        auto& item = m_buckets[row];
        const bool wasOwn = item.isOwn;
        choose({ row }, item);
        if (!item.isOwn) {
            item.askers.clear();
        } else if (!wasOwn || wasSuspended) {
            const bool isNewLimit = now < m_limits.since({ row }) + tellingTime;
            item.tokens = 0;
            item.issuesFrom = isNewLimit && !wasSuspended ? now : now + m_takeoverTime;
            item.filledAt = item.issuesFrom;
        }
    }
}

void permit_issuer::issue(
    std::uint32_t row, bucket& item, request_rate rate, instant now, std::vector<permit_message>& out) const
{
    std::stable_sort(
        item.askers.begin(), item.askers.end(), [](const asker& a, const asker& b) { return a.use < b.use; });
    const auto first = out.size();
    while (item.tokens >= 1 && !item.askers.empty()) {
        item.tokens -= 1;
        auto next = item.askers.front();
        item.askers.pop_front();
        const auto message = std::find_if(out.begin() + static_cast<std::ptrdiff_t>(first), out.end(),
            [&](const permit_message& other) { return other.to == next.node && other.grant.count < maxCount; });
        if (message != out.end())
            ++message->grant.count;
        else
            out.push_back({ next.node, { m_fleet.instanceHash[row], 1, lifetimeOf(rate) } });
        // A node that needs a further one for what waits asks again.
        if (next.use < permit_use::expected)
            next.until[static_cast<std::size_t>(next.use)] = {};
        if (next.refresh(now))
            item.askers.push_back(next);
    }
}

std::vector<permit_message> permit_issuer::tick(instant now)
{
    std::vector<permit_message> out;
    const auto& limited = m_limits.limited();
    for (auto& [row, item] : m_buckets)
        std::erase_if(item.askers, [&](asker& other) { return !other.refresh(now); });
    std::erase_if(m_buckets, [&](const auto& entry) {
        return entry.second.askers.empty() && !std::binary_search(limited.begin(), limited.end(), entry.first);
    });
    chooseAgain(now);
    m_tickedAt = now;
    for (auto& [row, item] : m_buckets) {
        const auto rate = m_limits.rate({ row }, now);
        if (!item.isOwn || !rate || now < item.issuesFrom)
            continue;
        const double perSecond = std::max(rate->perSecond * issuedShare, target_limits::minPerSecond) * m_share;
        item.tokens += perSecond * seconds(now - item.filledAt);
        item.filledAt = now;
        issue(row, item, *rate, now, out);
        item.tokens = std::min(item.tokens, 1 + perSecond * seconds(issueInterval));
    }
    return out;
}

void permit_issuer::forget(target_id id) { m_buckets.erase(id.value); }

}
