// Asks peers for what the store would tell: at the start, while the store does not, and for what this node has missed.
#pragma once

#include "shared_view.h"

#include "http/http_client.h"

#include <QTimer>
#include <vector>

namespace tamarack {

/// Asks one peer at a time: one that is heard and knows what is missing, else the seeds in turn.
class state_pull {
public:
    struct dependencies {
        http_client& client;
        shared_view& view;
        const serving::node_directory& nodes;
        const logger& log;
        std::function<serving::node_state()> self;
        /// A peer has told all that a node needs at its start, or none has in time; one of both is called, once, if
        /// start() says so.
        std::function<void()> onTold;
        std::function<void()> onSilence;
    };

    /// `interval`: between two looks whether something is missing.
    state_pull(dependencies parts, duration interval, std::vector<endpoint> seeds);

    /// Whether peers are asked before the store: the seeds read it, and tell the others.
    bool start();
    /// The store has just failed: what is missing is asked for at once.
    void storeLost();
    /// Peers know more than this node.
    void behind();
    void setSeeds(std::vector<endpoint> seeds) { m_seeds = std::move(seeds); }

private:
    bool lacksNothing(instant now) const;
    std::uint64_t knownVersion() const;
    bool isSeed() const;
    void pull();
    /// Of those that know more, the one to ask; none: port 0.
    endpoint bestPeer(instant now) const;
    void pullFrom(const endpoint& peer);
    void pulled(const endpoint& peer, const http_response* response, const exchange_failure& failure);
    void endStart(bool isTold);

    dependencies m_parts;
    duration m_interval;
    std::vector<endpoint> m_seeds;
    QTimer m_timer;
    QTimer m_startTimer; // until the store is asked instead
    std::size_t m_seedTurn = 0;
    bool m_isAsking = false;
    bool m_isStarting = false; // peers are asked before the store
};

}
