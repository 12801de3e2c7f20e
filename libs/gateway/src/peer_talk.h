// What nodes tell each other while they run: heartbeats, prompts just sent, changes of the target list.
#pragma once

#include "cache_watch.h"
#include "peer_mesh.h"
#include "role_orders.h"
#include "shared_view.h"

#include "serving/dispatcher.h"
#include "serving/node_directory.h"

#include <QTimer>
#include <functional>

namespace tamarack {

/// Sends at a pace that the number of nodes allows; takes what peers send into the decisions and the view.
class peer_talk {
public:
    struct dependencies {
        serving::dispatcher& decisions;
        serving::node_directory& nodes;
        shared_view& view;
        cache_watch& caches;
        role_orders& roles;
        const logger& log;
        std::function<serving::node_state()> self;
    };

    explicit peer_talk(dependencies parts);

    /// False if the port is taken.
    bool listen(const endpoint& address);
    /// A heartbeat to all, now and from then on.
    void beat();
    /// Prompts have gone to engines: peers are told in a moment.
    void jobsSent();
    void tellTargets(serving::target_note note);
    /// Datagrams that were no messages.
    std::uint64_t undecodable() const { return m_mesh.undecodable(); }

private:
    void heard(peer_datagram message);
    void heardBeat(const node_heartbeat& message);
    serving::felt_node senderOf(const node_heartbeat& message, instant now);
    void tellJobs();

    dependencies m_parts;
    peer_mesh m_mesh;
    QTimer m_beatTimer;
    QTimer m_noteTimer;
    int m_wholeBeats = 3; // left in which the whole state is told
    int m_beats = 0;
};

}
