// Carries what one node tells to all others, with few datagrams: nodes tell a relay of their zone, relays tell each
// other, and each relay tells its nodes. Pure: datagrams go in and out.
#pragma once

#include "serving/relay_plan.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace tamarack::serving {

enum class relay_step : unsigned char {
    told, ///< by a node to its relay: for all
    shared, ///< by a relay to the others: for its nodes
    passed, ///< for the receiver alone
    count
};

enum class told_pace : unsigned char {
    soon, ///< may wait for others
    atOnce, ///< each millisecond counts
    count
};

/// What a datagram carries; no messages at all are a sign of life.
struct relay_load {
    relay_step step = relay_step::passed;
    told_pace pace = told_pace::soon; ///< of the most urgent message
    std::vector<std::string> messages;
};

struct relay_datagram {
    std::vector<node_place> to;
    relay_load load;
};

/// What goes wrong with everyone telling everyone: with 300 nodes, of which each tells of some five prompts a second,
/// each hears 1,300 datagrams a second, and most bytes between zones are these.
///
/// A node belongs to the relay that it tells; nobody has to agree on it. A relay that falls silent is left for the next
/// one, which takes whoever tells it something. A message may come twice while a node changes its relay.
class message_relay {
public:
    /// A new plan; now and then.
    void planned(relay_plan plan, instant now);
    /// An own message to all. Returns what is to be sent at once.
    std::vector<relay_datagram> tell(const std::string& message, told_pace pace, instant now);
    /// A datagram has come, whose messages are for this node in any case.
    void heard(const node_place& from, const relay_load& load, instant now);
    /// What is to be sent by now.
    std::vector<relay_datagram> due(instant now);
    /// Whether others have it pass on for them, or may.
    bool isRelay() const { return m_plan.isRelay || !m_nodes.empty(); }
    /// Whether another node passes on what this one tells.
    bool hasRelay() const { return m_relay.port != 0; }
    const node_place& relay() const { return m_relay; }
    /// When due() is to be called at the latest.
    instant nextAt() const { return m_nextAt; }

private:
    /// Messages that wait for others, to be sent together.
    struct collected {
        std::deque<std::string> urgent;
        std::deque<std::string> others;
        std::size_t bytes = 0; // of all of them
        instant urgentAt; // when those are due
        instant othersAt;
        instant sentAt; // the last datagram

        bool isEmpty() const { return urgent.empty() && others.empty(); }
        instant dueAt() const;
        /// The next datagram's messages, the urgent ones first.
        relay_load take(relay_step step);
    };
    using places = std::map<node_place, instant>; // when they were heard last

    void collect(collected& to, const std::vector<std::string>& messages, told_pace pace, instant now);
    void flush(collected& from, const std::vector<node_place>& to, relay_step step, duration longestSilence,
        instant now, std::vector<relay_datagram>& out);
    /// The first that are not silent.
    std::vector<relay_candidate> relaysOf(const zone_relays& zone, duration silentFor, instant now) const;
    /// Leaves a relay that is silent, and finds another.
    void chooseRelay(instant now);
    node_place bestRelay(instant now) const;
    bool isUsable(const node_place& relay, duration silentFor, instant now) const;
    /// Finds the relays of all zones, each that is silent replaced by the next of its zone.
    void findRelays(instant now);
    std::vector<node_place> otherRelays() const;
    static std::vector<node_place> listOf(const places& nodes);

    /// Until a datagram for so many receivers has left this node's link, and others had as much of it.
    duration sendTime(const relay_datagram& datagram) const;

    relay_plan m_plan { true, false, {}, {}, 0 };
    collected m_forNodes;
    collected m_forRelays;
    places m_nodes; // that tell this node what is for all
    places m_otherRelays; // that were heard, planned or not
    places m_planned; // relays of the plan, and since when they are silent, or were chosen
    node_place m_relay; // this node's; port 0: none
    instant m_relayHeardAt;
    instant m_toldAt; // the relay was told something
    places m_silent; // relays that fell silent, and when they were left
    instant m_nextAt;
};

}
