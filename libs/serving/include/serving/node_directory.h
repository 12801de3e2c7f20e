// The nodes of the system as this one knows them: registered in the store, or heard.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarack::serving {

/// Whether the store answers a node.
enum class store_reach : unsigned char {
    unknown, ///< it has not asked: peers told it what the store would
    reached,
    lost ///< the last call failed
};

/// What a node says of itself.
struct node_state {
    std::string vm;
    std::uint64_t incarnation = 0; ///< rises with each start; 0 while the store has not given one yet
    std::string availabilityZone;
    std::string address; ///< IP number
    std::uint16_t callerPort = 0;
    std::uint16_t peerPort = 0;
    std::uint16_t adminPort = 0;
    bool isReady = false;
    bool isStopping = false;
    std::uint64_t configurationVersion = 0;
    store_reach storeReach = store_reach::unknown;
    /// It follows the target list and has obeyed every change up to this offset; -1: it does not follow it.
    std::int64_t lastTargetChange = -1;
    bool readsForOthers = false; ///< it follows the target list and the configuration closely
    std::uint32_t linkMegabits = 0; ///< a second, of its VM's link; 0: not known
    std::uint16_t knownNodes = 0; ///< that it knows, itself included

    bool operator==(const node_state&) const = default;
};

/// What changes of a node's state, for most heartbeats: where it is was told before, or stands in the store.
struct node_pulse {
    std::uint32_t node = 0; ///< shortHash() of its VM
    std::uint64_t incarnation = 0;
    std::uint64_t configurationVersion = 0;
    std::int64_t lastTargetChange = -1;
    bool isReady = false;
    bool isStopping = false;
    store_reach storeReach = store_reach::unknown;
    bool readsForOthers = false;
    std::uint16_t knownNodes = 0;
};

/// What one node tells another of a third one.
struct told_node {
    node_state state;
    duration silence = duration::zero(); ///< since it was heard, or known if it never was; zero: it lives
};

node_pulse pulseOf(const node_state& state);

/// Whose pulse it was.
struct felt_node {
    /// As it is now; null if nothing is known of where the node is, or the pulse is of a former life. Valid until the
    /// directory changes.
    const node_state* state = nullptr;
    bool wasAway = false; ///< until now
};

struct directory_settings {
    /// Without a heartbeat for so long a node counts as away.
    duration peerTimeout = std::chrono::milliseconds(700);
    /// A node that is away gets heartbeats still, but seldom.
    duration awayInterval = std::chrono::seconds(1);
    /// Known nodes count in shared bounds; one not heard for so long is forgotten.
    duration forgetAfter = std::chrono::minutes(5);
};

/// A node that was alive and fell silent.
struct lost_node {
    std::string vm;
    duration silence = duration::zero();
};

/// Heartbeats of a former life are late and have no effect.
class node_directory {
public:
    node_directory(std::string self, directory_settings settings);

    /// Read from the store; says where a node is, not that it lives.
    void registered(const node_state& node, instant now);
    /// Told by a peer: one that lives by its word counts as heard, so that nobody has to be sought after a start.
    void told(const told_node& node, instant now);
    /// Whether the node was away until now.
    bool heard(const node_state& node, instant now);
    felt_node felt(const node_pulse& pulse, instant now);
    /// Nodes that fell silent since the last call.
    std::vector<lost_node> tick(instant now);

    bool isAlive(const std::string& vm, instant now) const;
    std::vector<node_state> alive(instant now) const;
    /// All known, without this node, for a peer.
    std::vector<told_node> others(instant now) const;
    /// Known nodes that are not heard and are to be told by this node itself now that it is there.
    std::vector<node_state> toSeek(instant now);
    /// All known, this node included.
    int knownCount() const { return static_cast<int>(m_nodes.size()) + 1; }
    /// Silence after which a node counts as away, as the heartbeats' interval asks for it.
    void setPeerTimeout(duration timeout) { m_settings.peerTimeout = timeout; }
    /// The newest version that a living node has in force.
    std::uint64_t newestVersion(instant now) const;
    /// The most nodes that a living one knows.
    int mostKnown(instant now) const;

private:
    struct known_node {
        node_state state;
        instant heardAt;
        instant knownSince;
        instant sentAt; // the last heartbeat to it
        bool wasHeard = false;
        bool wasAlive = false; // at the last tick
    };

    bool isAlive(const known_node& node, instant now) const;
    known_node& known(const std::string& vm, instant now);
    static bool isFormerLife(const known_node& node, std::uint64_t incarnation);

    std::string m_self;
    directory_settings m_settings;
    std::map<std::string, known_node> m_nodes;
    std::unordered_map<std::uint32_t, std::string> m_byHash; // shortHash() of each name that was ever known
};

/// The addresses to name to a caller: nodes that take work, at most `most`, another part of them for each `turn`.
std::vector<std::string> entryAddresses(const std::vector<node_state>& ready, std::size_t most, std::size_t turn);

}
