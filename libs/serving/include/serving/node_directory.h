// Keeps the nodes known to this one, from registrations in the store and from heartbeats.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarack::serving {

/// Reachability of the store from a node.
enum class store_reach : unsigned char {
    unknown, ///< not tried yet, because peers supplied the data of the store
    reached,
    lost ///< the last call failed
};

/// State that a node publishes about itself.
struct node_state {
    std::string vm;
    std::uint64_t incarnation = 0; ///< increases with each start; 0 until the store has assigned one
    std::string availabilityZone;
    std::string address; ///< IP address
    std::uint16_t callerPort = 0;
    std::uint16_t peerPort = 0;
    std::uint16_t adminPort = 0;
    bool isReady = false;
    bool isStopping = false;
    std::uint64_t configurationVersion = 0;
    store_reach storeReach = store_reach::unknown;
    /// All changes of the target list up to this offset have been applied. -1 if the node does not follow the list.
    std::int64_t lastTargetChange = -1;
    bool readsForOthers
        = false; ///< polls the target list and the configuration at short intervals and distributes changes
    std::uint32_t linkMegabits = 0; ///< megabits per second of the link of its VM; 0 if unknown
    std::uint16_t knownNodes = 0; ///< number of nodes it knows, including itself
    /// Has to be named in calls that this node is to pass on; random, new with each start. Peers learn it, callers do
    /// not.
    std::string detourKey;
    std::uint32_t requestsPerSecond = 0; ///< that its VM can carry; 0 if unknown
    std::uint8_t busyPercent = 0; ///< of its VM's processor, lately

    bool operator==(const node_state&) const = default;
};

/// The variable part of a node's state, sent with most heartbeats. The static part was sent earlier or is registered in
/// the store.
struct node_status {
    std::uint32_t node = 0; ///< shortHash() of its VM
    std::uint64_t incarnation = 0;
    std::uint64_t configurationVersion = 0;
    std::int64_t lastTargetChange = -1;
    bool isReady = false;
    bool isStopping = false;
    store_reach storeReach = store_reach::unknown;
    bool readsForOthers = false;
    std::uint16_t knownNodes = 0;
    std::uint8_t busyPercent = 0;
};

/// Information on a third node, passed from one node to another.
struct node_report {
    node_state state;
    duration silence = duration::zero(); ///< time since its last heartbeat, or since it became known without one; zero
                                         ///< if it is alive
};

node_status nodeStatusOf(const node_state& state);

/// The sender of a status update.
struct status_sender {
    /// Updated state of the node. Null if the node is unknown or the status belongs to an earlier incarnation. Valid
    /// until the directory changes.
    const node_state* state = nullptr;
    bool wasUnreachable = false; ///< the node counted as unreachable before this heartbeat
};

struct directory_settings {
    /// A node without a heartbeat for this time counts as unreachable.
    duration peerTimeout = std::chrono::milliseconds(700);
    /// Interval of the heartbeats sent to an unreachable node.
    duration probeInterval = std::chrono::seconds(1);
    /// Known nodes count in the limits shared by all nodes. A node without a heartbeat for this time is removed.
    duration forgetAfter = std::chrono::minutes(5);
};

/// A node that was alive and has stopped sending heartbeats.
struct lost_node {
    std::string vm;
    duration silence = duration::zero();
};

/// Tracks known nodes and their liveness. Delayed heartbeats of an earlier incarnation are ignored.
class node_directory {
public:
    node_directory(std::string self, directory_settings settings);

    /// Applies a registration read from the store. It gives the address of a node but does not prove that the node is
    /// alive.
    void applyRegistration(const node_state& node, instant now);
    /// Applies a report from a peer. A node that the peer considers alive counts as alive, so that a starting node need
    /// not probe all others.
    void applyReport(const node_report& node, instant now);
    /// Applies a heartbeat with the full state. Returns whether the node was unreachable before.
    bool applyHeartbeat(const node_state& node, instant now);
    status_sender applyStatus(const node_status& pulse, instant now);
    /// Updates liveness. Returns the nodes that became unreachable since the last call.
    std::vector<lost_node> tick(instant now);

    bool isAlive(const std::string& vm, instant now) const;
    std::vector<node_state> alive(instant now) const;
    /// Reports on all known nodes except this one, to be sent to a peer.
    std::vector<node_report> reports(instant now) const;
    /// Unreachable nodes to which this node is due to send a heartbeat. Records the time of sending.
    std::vector<node_state> takeNodesToProbe(instant now);
    /// Number of known nodes, including this one.
    int knownCount() const { return static_cast<int>(m_nodes.size()) + 1; }
    /// The node, given as shortHash() of its VM, has told at `sentAt` up to where it has applied the target list. The
    /// time is that of sending: a message may have waited on its way or in this node's socket.
    void applyListPosition(std::uint32_t node, instant sentAt);
    /// When the oldest of the last list positions of all other known nodes was sent; `now` if there is no other node,
    /// nothing if one of them is not alive or has sent none.
    std::optional<instant> oldestListPosition(instant now) const;
    /// Whether no known node, nor this one with the incarnation `own`, has had an earlier process that registered. The
    /// store numbers all registrations from 1 on.
    bool haveAllStartedOnce(std::uint64_t own) const;
    /// Sets the time without a heartbeat after which a node counts as unreachable. It follows from the heartbeat
    /// interval.
    void setPeerTimeout(duration timeout) { m_settings.peerTimeout = timeout; }
    duration peerTimeout() const { return m_settings.peerTimeout; }
    /// Highest configuration version in force on a node that is alive.
    std::uint64_t newestVersion(instant now) const;
    /// Highest number of known nodes reported by a node that is alive.
    int maxKnownNodes(instant now) const;

private:
    struct known_node {
        node_state state;
        instant lastHeartbeatAt;
        std::optional<instant> listPositionAt; // sent then
        instant knownSince;
        instant lastProbeAt; // time of the last heartbeat sent to the unreachable node
        bool hasHeartbeat = false;
        bool wasAlive = false; // at the last tick
    };

    bool isAlive(const known_node& node, instant now) const;
    known_node& known(const std::string& vm, instant now);
    static bool isFormerIncarnation(const known_node& node, std::uint64_t incarnation);

    std::string m_self;
    directory_settings m_settings;
    std::map<std::string, known_node> m_nodes;
    std::unordered_map<std::uint32_t, std::string> m_byHash; // shortHash() of each name that was ever known
};

/// Addresses returned to a caller: at most `most` of the nodes that accept work, rotated by `turn`.
std::vector<std::string> entryAddresses(const std::vector<node_state>& ready, std::size_t most, std::size_t turn);

}
