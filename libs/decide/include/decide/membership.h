// The nodes known to this node, from heartbeats and from the platform's VM list, which lags behind.
#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/random_source.h"

#include <map>
#include <string>
#include <vector>

namespace tamarack {

/// One VM as the platform lists it.
struct listed_vm {
    std::string name;
    std::string address;
    std::string availabilityZone;
    std::string kind; ///< `entry` for nodes of this system, `target` for the rest
    int callerPort = 0;
    int peerPort = 0;
    bool isLeaving = false;
};

/// State of a node as sent in each of its heartbeats.
struct peer_state {
    instance_id instance;
    std::string region;
    std::string availabilityZone;
    std::string address;
    int callerPort = 0;
    int peerPort = 0;
    int adminPort = 0;
    std::uint64_t configurationVersion = 0;
    std::uint64_t configurationHash = 0;
    std::int64_t logReach = 0; ///< offset of the first record it has not read
    bool isLogReachable = false;
    bool isStopping = false;
    bool isReady = false;
};

struct peer_address {
    std::string vm;
    std::string address;
    int peerPort = 0;
};

struct membership_settings {
    duration peerTimeout = std::chrono::seconds(3);
    /// A node that is not in the VM list is removed when no heartbeat has come from it for this long.
    duration forgetAfter = std::chrono::minutes(10);
    std::size_t heartbeatsPerRound = 3; ///< number of randomly chosen recipients, independent of the fleet size
};

/// Tracks the newest incarnation of each node. A heartbeat of an older incarnation arrived late and is ignored.
class membership {
public:
    membership(std::string self, membership_settings settings, std::uint64_t seed);

    void applyHeartbeat(const peer_state& state, instant now);
    void updateVmList(const std::vector<listed_vm>& vms, instant now);

    /// Nodes whose last heartbeat is not older than the peer timeout, without this node.
    std::vector<const peer_state*> alive(instant now) const;
    /// Whether the last heartbeat of the node is not older than the peer timeout.
    bool isAlive(const std::string& vm, instant now) const;
    /// Whether the VM list marks the node's VM as leaving.
    bool isLeaving(const std::string& vm) const;
    /// The newest known instance of a node; invalid if no heartbeat has come from it.
    instance_id newestInstance(const std::string& vm) const;
    const peer_state* find(const std::string& vm) const;
    /// Recipients of this round's heartbeats, chosen at random among the known and listed nodes.
    std::vector<peer_address> heartbeatRecipients(instant now);
    /// Number of known and listed nodes, without this node.
    std::size_t knownCount() const { return m_peers.size(); }
    instant lastHeartbeatAt() const { return m_lastHeartbeatAt; }

private:
    struct peer {
        peer_state state;
        instant receivedAt;
        bool hasHeartbeat = false;
        bool isListed = false;
        bool isListedLeaving = false;
    };

    std::string m_self;
    membership_settings m_settings;
    random_source m_random;
    std::map<std::string, peer> m_peers;
    instant m_lastHeartbeatAt;
};

}
