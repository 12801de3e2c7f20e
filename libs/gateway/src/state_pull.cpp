// Implements state_pull, which lets a node that starts while the store is unreachable serve requests: without it the
// node would reject all of them until the store is back, although its peers know everything it needs.
#include "state_pull.h"

#include "base/hash.h"
#include "serving/duty_assignment.h"

#include <algorithm>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// A peer responds from memory; after this time another one is asked.
    constexpr duration answerTimeout = 800ms;
    /// A peer that has just started as well has no state yet, and one with many requests rejects some.
    constexpr auto startRetryDelay = 200ms;
    /// A starting node that gets no response from a seed that reaches the store reads the store itself after this time.
    constexpr auto seedTimeout = 1s;
    constexpr std::string_view statePath = "/state";
    constexpr std::string_view configurationPath = "/configuration";

}

state_pull::state_pull(dependencies parts, duration interval, std::vector<endpoint> seeds)
    : m_parts(std::move(parts))
    , m_interval(interval)
    , m_seeds(std::move(seeds))
{
    QObject::connect(&m_timer, &QTimer::timeout, [this] { pull(); });
    m_startTimer.setSingleShot(true);
    QObject::connect(&m_startTimer, &QTimer::timeout, [this] { finishStart(false); });
}

// Otherwise 300 starting nodes would each read four pages of targets and six of nodes from the store, which is most of
// a day's calls to it.
bool state_pull::start()
{
    m_timer.start(std::chrono::duration_cast<std::chrono::milliseconds>(m_interval));
    m_isStarting = !m_seeds.empty() && !isSeed();
    m_seedIndex = stableHash(m_parts.self().vm);
    if (!m_isStarting) {
        m_seedsToAsk = m_seeds.size();
        pullFromNextSeed();
        return false;
    }
    m_startTimer.start(seedTimeout);
    pull();
    return true;
}

bool state_pull::isSeed() const
{
    const auto self = m_parts.self();
    return std::find(m_seeds.begin(), m_seeds.end(), endpoint { self.address, self.adminPort }) != m_seeds.end();
}

void state_pull::finishStart(bool isFromPeer)
{
    if (!std::exchange(m_isStarting, false))
        return;
    m_startTimer.stop();
    if (isFromPeer)
        m_parts.onPeerState();
    else
        m_parts.onNoPeer();
}

// A node that starts during an outage of the store serves after some 20 ms instead of 520 ms, of which 500 ms would be
// the wait for the next check.
void state_pull::onStoreLost() { pull(); }

// A version reaches nodes with narrow links compressed, from a node with a wide link, instead of by a store call of
// each node; and a lost note on targets costs no store call.
void state_pull::onBehind() { pull(); }

std::uint64_t state_pull::knownVersion() const
{
    return m_parts.view.hasConfiguration() ? m_parts.view.configuration()->version() : 0;
}

bool state_pull::isUpToDate(instant now) const
{
    const auto& view = m_parts.view;
    const bool lags = m_parts.nodes.newestVersion(now) > knownVersion()
        || m_parts.nodes.maxKnownNodes(now) > m_parts.nodes.knownCount() || view.isBehindTargets();
    return view.hasConfiguration() && view.hasTargets() && !lags;
}

endpoint state_pull::bestPeer(instant now) const
{
    const auto& view = m_parts.view;
    const auto known = knownVersion();
    const auto alive = m_parts.nodes.alive(now);
    const std::function<bool(const serving::node_state&)> wanted[] {
        [&](const auto& node) { return node.configurationVersion > known; },
        [&](const auto& node) { return view.isBehindTargets() && node.lastTargetChange > view.targetPosition(); },
        [&](const auto& node) { return node.knownNodes > m_parts.nodes.knownCount(); },
        // A peer with the same version can still supply targets.
        [&](const auto& node) { return node.configurationVersion >= std::max<std::uint64_t>(known, 1); },
    };
    for (const auto& knows : wanted) {
        if (const auto* peer = serving::peerToAsk(m_parts.self(), alive, knows))
            return { peer->address, peer->adminPort };
    }
    return {};
}

void state_pull::pull()
{
    const auto now = boot_clock::now();
    if (m_isRequestPending || isUpToDate(now))
        return;
    if (const auto peer = bestPeer(now); peer.port != 0)
        return pullFrom(peer);
    // No peer is known yet, and the first reads of the store may still succeed.
    if (!m_isStarting && m_parts.view.isStarting(now) && !m_parts.view.isStoreLost())
        return;
    if (!m_seeds.empty())
        pullFrom(m_seeds[m_seedIndex++ % m_seeds.size()]);
}

// The store does not hold what nodes tell each other, such as the limits of targets.
void state_pull::pullFromNextSeed()
{
    while (m_seedsToAsk > 0 && !m_seeds.empty() && !m_isRequestPending) {
        --m_seedsToAsk;
        pullFrom(m_seeds[m_seedIndex++ % m_seeds.size()]);
    }
}

void state_pull::pullFrom(const endpoint& peer)
{
    const auto self = m_parts.self();
    if (peer == endpoint { self.address, self.adminPort })
        return;
    exchange_options options;
    options.connectTimeout = answerTimeout;
    options.silenceTimeout = answerTimeout;
    options.keepConnection = false;
    m_isRequestPending = true;
    const bool needsConfigurationOnly = m_parts.view.hasTargets() && !m_parts.view.isBehindTargets()
        && m_parts.nodes.maxKnownNodes(boot_clock::now()) <= m_parts.nodes.knownCount();
    m_parts.client.fetch(peer, { "GET", std::string(needsConfigurationOnly ? configurationPath : statePath), {}, {} },
        options, [this, peer](const http_response* response, const exchange_failure& failure) {
            m_isRequestPending = false;
            onResponse(peer, response, failure);
        });
}

void state_pull::onResponse(const endpoint& peer, const http_response* response, const exchange_failure& failure)
{
    const auto decoded = response ? decodeState(response->body) : std::nullopt;
    if (decoded) {
        m_parts.log.write(
            log_event::state_pulled, { { "peer", toString(peer) }, { "targets", decoded->targets.targets.size() } });
        m_parts.view.applyState(*decoded);
        m_seedsToAsk = 0;
    } else {
        m_parts.log.write(log_event::state_not_pulled, { { "peer", toString(peer) }, { "reason", failure.reason } });
    }
    if (m_isStarting) {
        if (m_parts.view.hasConfiguration() && m_parts.view.hasTargets())
            return finishStart(true);
        // The store itself may be empty, in which case the seeds keep reading it for all nodes.
        if (decoded && decoded->isStoreReachable)
            m_startTimer.start(seedTimeout);
        QTimer::singleShot(startRetryDelay, &m_timer, [this] { pull(); });
    } else if (m_seedsToAsk > 0) {
        pullFromNextSeed();
    } else if (!decoded) {
        m_parts.view.readMissing();
    }
}

}
