// The nodes that this one knows of, from heartbeats and from the platform's lagging list of VMs.
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

/// What a node says about itself in every heartbeat.
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
    /// A node not heard of for so long, and not listed, is forgotten.
    duration forgetAfter = std::chrono::minutes(10);
    std::size_t heartbeatsPerRound = 3; ///< random nodes that get one, whatever the fleet
};

/// Keeps the newest life of each node. A heartbeat of an older incarnation is late and has no effect.
class membership {
public:
    membership(std::string self, membership_settings settings, std::uint64_t seed);

    void heard(const peer_state& state, instant now);
    void listed(const std::vector<listed_vm>& vms, instant now);

    /// Nodes that answered lately, this one not included.
    std::vector<const peer_state*> alive(instant now) const;
    /// Whether heartbeats have come from this node lately.
    bool isAlive(const std::string& vm, instant now) const;
    /// Whether the platform calls the node's VM leaving.
    bool isLeaving(const std::string& vm) const;
    /// The newest life known of a node; invalid if none.
    instance_id newest(const std::string& vm) const;
    const peer_state* find(const std::string& vm) const;
    /// Who gets this round's heartbeats: some at random among the nodes known or listed.
    std::vector<peer_address> recipients(instant now);
    /// All nodes known or listed, this one not included.
    std::size_t knownCount() const { return m_peers.size(); }
    instant lastHeard() const { return m_lastHeard; }

private:
    struct peer {
        peer_state state;
        instant heardAt;
        bool wasHeard = false;
        bool isListed = false;
        bool isListedLeaving = false;
    };

    std::string m_self;
    membership_settings m_settings;
    random_source m_random;
    std::map<std::string, peer> m_peers;
    instant m_lastHeard;
};

}
