// Broadcasts messages of one node to all others with few datagrams. Nodes send to a relay of their availability zone,
// relays exchange messages with each other, and each relay forwards them to its nodes. It uses no sockets: datagrams
// are passed in and returned.
#pragma once

#include "serving/relay_plan.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace tamarack::serving {

enum class relay_hop : unsigned char { toRelay, betweenRelays, toNode, count };

enum class send_pace : unsigned char {
    batched, ///< relays hold it for about 20 ms to share datagrams
    immediate, ///< relays hold it for about 2 ms only, since latency matters
    count
};

/// Content of a datagram. A payload without messages is a heartbeat.
struct relay_payload {
    relay_hop step = relay_hop::toNode;
    send_pace pace = send_pace::batched; ///< of the most urgent message
    std::vector<std::string> messages;
};

struct relay_datagram {
    std::vector<node_endpoint> to;
    relay_payload payload;
};

/// Two-level message distribution. With a full mesh of 300 nodes, each of which sends about five messages on prompts a
/// second, every node receives 1,300 datagrams a second, and most traffic between availability zones consists of them.
///
/// A node belongs to the relay that it sends to, without any agreement. When a relay stops responding, the node
/// switches to the next one, which accepts any node that sends to it. Messages may be duplicated while a node switches
/// relays.
class message_relay {
public:
    /// Replaces the plan. Called periodically.
    void setPlan(relay_plan plan, instant now);
    /// Sends a message of this node to all others. Returns the datagrams to send immediately.
    std::vector<relay_datagram> broadcast(const std::string& message, send_pace pace, instant now);
    /// Handles a received datagram. The caller processes its messages for this node in any case.
    void receive(const node_endpoint& from, const relay_payload& payload, instant now);
    /// Returns the datagrams that are due for sending.
    std::vector<relay_datagram> takeDue(instant now);
    /// Whether this node relays messages for others, or may have to.
    bool isRelay() const { return m_plan.isRelay || !m_members.empty(); }
    /// Whether a relay forwards the messages of this node.
    bool hasRelay() const { return m_relay.port != 0; }
    const node_endpoint& relay() const { return m_relay; }
    /// Latest time of the next takeDue() call.
    instant nextDueAt() const { return m_nextDueAt; }

private:
    /// Messages collected for sending in common datagrams.
    struct message_batch {
        std::deque<std::string> urgent;
        std::deque<std::string> others;
        std::size_t bytes = 0; // of all messages
        instant urgentAt; // due time of the urgent messages
        instant othersAt;
        instant sentAt; // of the last datagram

        bool isEmpty() const { return urgent.empty() && others.empty(); }
        instant dueAt() const;
        /// Removes and returns the messages of the next datagram, the urgent ones first.
        relay_payload take(relay_hop step);
    };
    using endpoint_times = std::map<node_endpoint, instant>; // time of the last datagram from each node

    void collect(message_batch& to, const std::vector<std::string>& messages, send_pace pace, instant now);
    void flush(message_batch& from, const std::vector<node_endpoint>& to, relay_hop step, duration keepAliveInterval,
        instant now, std::vector<relay_datagram>& out);
    /// The best candidates of the zone that are available, as many as serve all its nodes. A relay that stopped
    /// responding becomes available again after `retryDelay`.
    std::vector<relay_candidate> selectRelays(const zone_relays& zone, duration retryDelay, instant now) const;
    /// Replaces the relay of this node if it has stopped responding.
    void chooseRelay(instant now);
    node_endpoint bestRelay(instant now) const;
    bool isAvailable(const node_endpoint& relay, duration retryDelay, instant now) const;
    /// Updates the relays of all availability zones. A relay that has stopped responding is replaced by the next one of
    /// its zone.
    void findRelays(instant now);
    std::vector<node_endpoint> otherRelays() const;
    static std::vector<node_endpoint> endpointsOf(const endpoint_times& nodes);

    /// Time to send the datagram to all its receivers within the relay share of the link.
    duration sendTime(const relay_datagram& datagram) const;

    relay_plan m_plan { true, false, {}, {}, 0 };
    message_batch m_forNodes;
    message_batch m_forRelays;
    endpoint_times m_members; // nodes that send their broadcasts to this one
    endpoint_times m_otherRelays; // relays that sent something lately, planned or not
    endpoint_times m_planned; // selected relays of the plan, with the time when each last responded or was selected
    node_endpoint m_relay; // relay of this node; port 0: none
    instant m_relayLastSeenAt;
    instant m_lastSentToRelayAt; // last datagram to the relay
    endpoint_times m_silentRelays; // relays that stopped responding, with the time when they were dropped
    instant m_nextDueAt;
};

}
