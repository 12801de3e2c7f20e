// What goes wrong without it: a node that starts while the store is away refuses everything until the store is back,
// although its peers know all that it needs.
#include "state_pull.h"

#include "base/hash.h"
#include "serving/duty_assignment.h"

#include <algorithm>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// A peer answers from memory; after this another one is asked.
    constexpr duration answerTimeout = 800ms;
    /// A peer that has just started as well knows nothing yet, and one with many askers turns some away.
    constexpr auto startRetry = 200ms;
    /// Without a word of a seed that reaches the store, a node that starts asks the store by itself after this time.
    constexpr auto longestSilence = 1s;
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
    QObject::connect(&m_startTimer, &QTimer::timeout, [this] { endStart(false); });
}

// What goes wrong without it: 300 nodes that start each take four pages of targets and six of nodes from the store, and
// most calls of a day are these.
bool state_pull::start()
{
    m_timer.start(std::chrono::duration_cast<std::chrono::milliseconds>(m_interval));
    m_isStarting = !m_seeds.empty() && !isSeed();
    if (!m_isStarting)
        return false;
    m_seedTurn = stableHash(m_parts.self().vm);
    m_startTimer.start(longestSilence);
    pull();
    return true;
}

bool state_pull::isSeed() const
{
    const auto self = m_parts.self();
    return std::find(m_seeds.begin(), m_seeds.end(), endpoint { self.address, self.adminPort }) != m_seeds.end();
}

void state_pull::endStart(bool isTold)
{
    if (!std::exchange(m_isStarting, false))
        return;
    m_startTimer.stop();
    if (isTold)
        m_parts.onTold();
    else
        m_parts.onSilence();
}

// What it gains: a node that starts during an outage of the store serves after some 20 ms instead of 520 ms, of which
// 500 ms were the wait for the next look.
void state_pull::storeLost() { pull(); }

// What it gains: a version reaches nodes with narrow links compressed, from a node with a wide one, instead of by a
// call of each to the store; and a note on targets that was lost costs the store nothing.
void state_pull::behind() { pull(); }

std::uint64_t state_pull::knownVersion() const
{
    return m_parts.view.hasConfiguration() ? m_parts.view.configuration()->version() : 0;
}

bool state_pull::lacksNothing(instant now) const
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
        // One that is as far can still tell of targets.
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
    if (m_isAsking || lacksNothing(now))
        return;
    if (const auto peer = bestPeer(now); peer.port != 0)
        return pullFrom(peer);
    // Nothing is heard of peers yet, and the store may be about to tell.
    if (!m_isStarting && m_parts.view.isStarting(now) && !m_parts.view.isStoreLost())
        return;
    if (!m_seeds.empty())
        pullFrom(m_seeds[m_seedTurn++ % m_seeds.size()]);
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
    m_isAsking = true;
    const bool isVersionAll = m_parts.view.hasTargets() && !m_parts.view.isBehindTargets()
        && m_parts.nodes.maxKnownNodes(boot_clock::now()) <= m_parts.nodes.knownCount();
    m_parts.client.fetch(peer, { "GET", std::string(isVersionAll ? configurationPath : statePath), {}, {} }, options,
        [this, peer](const http_response* response, const exchange_failure& failure) {
            m_isAsking = false;
            pulled(peer, response, failure);
        });
}

void state_pull::pulled(const endpoint& peer, const http_response* response, const exchange_failure& failure)
{
    const auto decoded = response ? decodeState(response->body) : std::nullopt;
    if (decoded) {
        m_parts.log.write(
            log_event::state_pulled, { { "peer", toString(peer) }, { "targets", decoded->targets.targets.size() } });
        m_parts.view.take(*decoded);
    } else {
        m_parts.log.write(log_event::state_not_pulled, { { "peer", toString(peer) }, { "reason", failure.reason } });
    }
    if (m_isStarting) {
        if (m_parts.view.hasConfiguration() && m_parts.view.hasTargets())
            return endStart(true);
        // The store itself may have nothing yet; the seeds look for all.
        if (decoded && decoded->isStoreReachable)
            m_startTimer.start(longestSilence);
        QTimer::singleShot(startRetry, &m_timer, [this] { pull(); });
    } else if (!decoded) {
        m_parts.view.readMissing();
    }
}

}
