// Pulls state from peers: at the start, while the store is unreachable, and when this node has missed changes.
#pragma once

#include "cluster_view.h"

#include "http/http_client.h"

#include <QTimer>
#include <vector>

namespace tamarack {

/// Asks one peer at a time: a reachable one that has what is missing, otherwise the seeds in turn.
class state_pull {
public:
    struct dependencies {
        http_client& client;
        cluster_view& view;
        const serving::node_directory& nodes;
        const logger& log;
        std::function<serving::node_state()> self;
        /// If start() returns true, exactly one of the two is called, once: `onPeerState` when a peer has supplied all
        /// that a node needs to start, `onNoPeer` when none has in time.
        std::function<void()> onPeerState;
        std::function<void()> onNoPeer;
    };

    /// `interval` is the time between two checks whether something is missing.
    state_pull(dependencies parts, duration interval, std::vector<endpoint> seeds);

    /// Starts the checks. Returns whether peers are asked before the store: only seeds read the store first and then
    /// supply the other nodes.
    bool start();
    /// The store has just failed: requests what is missing at once.
    void onStoreLost();
    /// Peers know more than this node: requests what is missing at once.
    void onBehind();
    void setSeeds(std::vector<endpoint> seeds) { m_seeds = std::move(seeds); }

private:
    bool isUpToDate(instant now) const;
    std::uint64_t knownVersion() const;
    bool isSeed() const;
    void pull();
    /// Returns the peer to ask among those that know more; port 0 if there is none.
    endpoint bestPeer(instant now) const;
    void pullFromNextSeed();
    void pullFrom(const endpoint& peer);
    void onResponse(const endpoint& peer, const http_response* response, const exchange_failure& failure);
    void finishStart(bool isFromPeer);

    dependencies m_parts;
    duration m_interval;
    std::vector<endpoint> m_seeds;
    QTimer m_timer;
    QTimer m_startTimer; // expires when the store is to be read instead
    std::size_t m_seedIndex = 0;
    std::size_t m_seedsToAsk = 0; // at the start of a seed, until one of them has answered
    bool m_isRequestPending = false;
    bool m_isStarting = false; // peers are asked before the store
};

}
