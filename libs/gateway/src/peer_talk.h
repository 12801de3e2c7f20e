// What nodes tell each other while they run: heartbeats, prompts just sent, changes of the target list.
#pragma once

#include "cache_watch.h"
#include "peer_mesh.h"
#include "role_orders.h"
#include "shared_view.h"

#include "base/random_source.h"
#include "observe/name_sample.h"
#include "serving/dispatcher.h"
#include "serving/node_directory.h"
#include "serving/peer_clock.h"

#include <QTimer>
#include <functional>
#include <unordered_map>

namespace tamarack {

/// Tells at a pace that the number of nodes allows; takes what peers tell into the decisions and the view.
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
    void tellTargets(serving::target_update_batch note);
    /// Tells all peers up to which instant this node has read the store.
    void tellReadProgress();
    /// What engines keep that were asked for all of it.
    void tellCaches(std::vector<cache_news> caches);
    /// Finds out who passes on what is told; now and then.
    void planRelays(const serving::node_state& self, const std::vector<serving::node_state>& alive);
    const datagram_counts& counts() const { return m_mesh.counts(); }
    /// Datagrams, and messages in them, that could not be read.
    std::uint64_t undecodable() const { return m_mesh.counts().undecodable + m_undecodable; }

private:
    struct peer_process {
        std::int64_t startedAt = 0;
        serving::peer_clock clock;
    };

    void heardLoad(const serving::node_endpoint& from, const serving::relay_payload& load);
    void heard(const peer_datagram& message);
    void heardBeat(const node_heartbeat& message);
    void heardGreeting(const node_greeting& message);
    void heardJobs(const job_note& message);
    void heardRead(const read_note& message);
    /// A peer has been heard that was away.
    void reached(const serving::node_state& peer);
    void logRelay();
    /// One line for all that were reached since the last heartbeat.
    void logReached();
    /// What follows from a peer's state.
    void stateHeard(const serving::node_state& peer);
    void tellAll(const std::string& message, serving::send_pace pace);
    node_heartbeat heartbeat(bool isWhole, instant now);
    void greet(const std::vector<serving::node_state>& nodes, bool isSeeking);
    void passOn();
    void send(const std::vector<serving::relay_datagram>& datagrams);
    serving::status_sender senderOf(const node_heartbeat& message, instant now);
    void tellJobs();

    dependencies m_parts;
    peer_mesh m_mesh;
    serving::message_relay m_relay;
    QTimer m_relayTimer;
    QTimer m_beatTimer;
    QTimer m_noteTimer;
    int m_wholeBeats = 3; // left in which the whole state is told
    int m_beats = 0;
    random_source m_random;
    std::uint32_t m_ownHash;
    std::int64_t m_startedAt = boot_clock::now().time_since_epoch().count();
    std::unordered_map<std::uint32_t, peer_process> m_peerProcesses; // by shortHash() of the VM
    name_sample m_reached;
    serving::node_endpoint m_relayLogged;
    bool m_wasRelay = true;
    std::uint64_t m_seenInPlan = 0; // the nodes that the plan was made of
    std::uint64_t m_undecodable = 0;
};

}
