// Implements the exchange of limits and permits.
#include "limit_sharing.h"

#include <map>
#include <utility>

namespace tamarack {

namespace {

    /// A datagram of asks or permits stays below the usual path MTU.
    constexpr std::size_t maxEntries = 100;

    std::int64_t milliseconds(duration d) { return std::chrono::duration_cast<std::chrono::milliseconds>(d).count(); }

}

limit_sharing::limit_sharing(dependencies parts)
    : m_parts(parts)
{
}

void limit_sharing::setNodes(
    const serving::node_state& self, const std::vector<serving::node_state>& alive, int known, duration peerTimeout)
{
    m_self = { self.address, self.peerPort };
    m_parts.decisions.permitIssuer().setNodes(self, alive, known, peerTimeout / 2);
}

void limit_sharing::tick(instant now)
{
    auto& limits = m_parts.decisions.limits();
    if (const auto news = limits.takeNews(now); !news.empty())
        m_parts.peers.broadcastLimits(news);
    logChanges();
    // The asks come first, so that this node's own ones are served with the others.
    askForPermits(now);
    issuePermits(now);
}

void limit_sharing::logChanges()
{
    for (const auto& change : m_parts.decisions.limits().takeChanges())
        m_parts.log.write(log_event::target_limits,
            { { "target", m_parts.decisions.fleet().instance[change.target.value] },
                { "per_second", change.rate ? change.rate->perSecond : -1 },
                { "since_ms", milliseconds(change.length) },
                { "issuer", m_parts.decisions.permitIssuer().isIssuer(change.target) } });
}

void limit_sharing::askForPermits(instant now)
{
    auto& issuer = m_parts.decisions.permitIssuer();
    std::map<serving::node_endpoint, std::vector<serving::permit_ask>> asks;
    for (const auto& question : m_parts.decisions.permits().tick(now)) {
        const auto* place = issuer.issuerOf(question.target);
        if (!place)
            continue;
        if (*place == m_self)
            issuer.asked(m_self, question.ask, now);
        else
            asks[*place].push_back(question.ask);
    }
    for (auto& [place, list] : asks) {
        m_parts.counters.count("tamarack_permit_requests_total");
        list.resize(std::min(list.size(), maxEntries)); // the others are asked for again
        m_parts.peers.sendPermitRequest(place, std::move(list));
    }
}

void limit_sharing::issuePermits(instant now)
{
    std::map<serving::node_endpoint, std::vector<serving::permit_grant>> grants;
    for (const auto& message : m_parts.decisions.permitIssuer().tick(now)) {
        m_parts.counters.count("tamarack_permits_issued_total", {}, message.grant.count);
        grants[message.to].push_back(message.grant);
    }
    for (auto& [place, list] : grants) {
        if (place == m_self) {
            for (const auto& grant : list)
                m_parts.decisions.permits().granted(grant, now);
            continue;
        }
        for (std::size_t first = 0; first < list.size(); first += maxEntries) {
            const auto from = list.begin() + static_cast<std::ptrdiff_t>(first);
            const auto count = std::min(maxEntries, list.size() - first);
            m_parts.peers.sendPermits(place, { from, from + static_cast<std::ptrdiff_t>(count) });
        }
    }
}

}
