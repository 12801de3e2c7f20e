// Tracks which targets this node reaches, directly or by a detour: a peer that reaches the target passes the call on.
#pragma once

#include "base/random_source.h"
#include "serving/fleet_table.h"

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace tamarack::serving {

/// How a connection to a target could not be made.
enum class path_failure : unsigned char {
    refused, ///< it was refused or reset at once
    silent, ///< nothing came back in time
    count
};

std::string_view toString(path_failure failure);

/// The direct paths to the targets of a service: all of them are lost, or one of them works again.
struct service_path_change {
    std::string service;
    bool isLost = false;
    std::size_t targets = 0; ///< listed targets of the service
    path_failure failure = path_failure::refused; ///< of the target that was lost last
    duration length = duration::zero(); ///< since the first of these losses
};

/// A peer that can pass calls on to targets.
struct detour_peer {
    std::string vm;
    std::string availabilityZone;
    std::string address; ///< `ip:port` at which it takes calls to pass on
    std::string key; ///< without it the peer takes no calls; empty: not known yet
};

/// The targets that a node does not reach directly, sent to its peers.
struct path_report {
    std::uint32_t node = 0; ///< shortHash() of the sender's VM
    std::uint16_t lostCount = 0;
    std::vector<std::uint32_t> lost; ///< shortHash() of the targets' instances; with more than maxReportedPaths: none
    bool isCutOff = false; ///< it reaches no target of some service, and no peer helps
};

/// The path to a target is lost when no connection can be made, and works again with its first answer or connection.
/// While it is lost, calls take a detour, and the direct path is checked now and then.
class target_paths {
public:
    /// A node that has lost more paths than it can report takes no calls from its peers.
    static constexpr std::size_t maxReportedPaths = 60;

    /// `vm` and `availabilityZone` are this node's own.
    target_paths(const fleet_table& fleet, std::string vm, std::string availabilityZone);

    /// No connection could be made for a call that began at `startedAt`. Returns whether the path was in use until now.
    bool failed(target_id id, path_failure failure, instant startedAt, instant now);
    /// A call that began at `startedAt` has reached the target.
    void reached(target_id id, instant startedAt);
    bool isLost(target_id id) const;
    /// Whether connections that were made before may be dead, because paths to several targets were lost since the last
    /// call that reached this one.
    bool isDoubtful(target_id id) const;
    /// The target is silent, so its path is checked soon.
    void suspect(target_id id, instant now);
    /// Targets whose path was lost since the last call.
    std::vector<target_id> takeLost() { return std::exchange(m_newlyLost, {}); }
    /// Targets whose direct paths are to be checked now by a connection. Each check ends in failed() or reached().
    std::vector<target_id> takeDueChecks(instant now);
    /// Clears the row, because it now belongs to another target.
    void forget(target_id id);

    /// Replaces the peers that are alive and take calls to pass on.
    void setPeers(std::vector<detour_peer> peers);
    void applyReport(const path_report& report, instant now);
    /// The peer by which to reach the target now; null if the direct path is in use, or if no peer is known to help.
    const detour_peer* detourFor(target_id id, instant now);
    /// A call has been given to the peer, or has ended.
    void detourBegan(const std::string& vm);
    void detourEnded(const std::string& vm);
    /// The peer does not reach the target, either.
    void detourFailed(target_id id, const std::string& vm, instant now);
    /// The peer did not take a call, and gets none for `pause`.
    void peerFailed(const std::string& vm, duration pause, instant now);

    /// Whether the node reaches no target of the service, neither directly nor by a peer.
    bool isUnreachable(std::string_view service, instant now);
    /// Whether that holds for any service, here or at a peer by its latest report.
    bool isCutOff(instant now);
    bool isPeerCutOff(const std::string& vm, instant now) const;
    /// The own paths, for the peers.
    path_report report(instant now);
    bool hasLost() const;
    /// Whether the node, which may be this one, reaches at least half of the listed targets itself.
    bool reachesMost(const std::string& vm, instant now) const;
    /// Changes with each path that is lost or works again.
    std::uint64_t generation() const { return m_generation; }
    /// The number of listed targets of the service whose path is lost.
    std::size_t countLost(std::string_view service) const;
    /// Compares the services with the state at the last call, for the log.
    std::vector<service_path_change> takeServiceChanges(instant now);

private:
    struct path {
        instant lostAt; // the default: it is not lost
        instant reachedAt; // start of the latest call that has reached the target
        instant checkAt; // time of the next check; the default: none
        duration checkPause = duration::zero(); // until the check after the next one
        path_failure failure = path_failure::refused;
        std::map<std::string, instant> deadDetours; // by VM, until when the peer is taken not to reach the target
    };
    struct known_peer {
        detour_peer peer;
        std::uint32_t hash = 0; // shortHash() of its VM
        std::uint64_t weight = 0; // rank among the peers by rendezvous hashing
        instant failedUntil; // it gets no calls before
        int calls = 0; // this node's calls under way
    };
    struct reported_paths {
        instant at;
        std::size_t lostCount = 0;
        std::unordered_set<std::uint32_t> lost;
        bool isCutOff = false;
    };

    path& at(target_id id);
    std::size_t countLost() const;
    service_path_change stateOf(std::string_view service, instant now) const;
    void doubtOthers(instant now);
    /// The peer's latest report; null if it has lost no path or its report has expired.
    const reported_paths* reportOf(const known_peer& peer, instant now) const;
    bool mayReach(const known_peer& peer, target_id id, instant now) const;
    /// Ranks the peers anew, those with the fewest lost paths first.
    void choosePeers(instant now);

    const fleet_table& m_fleet;
    std::string m_vm;
    std::string m_availabilityZone;
    random_source m_random;
    std::vector<path> m_paths; // by row of the fleet
    std::vector<target_id> m_newlyLost;
    std::uint64_t m_generation = 0;
    instant m_lastLossAt;
    instant m_doubtsSince; // the default: none
    double m_checkBudget = 0; // checks that may be made at once
    instant m_checkBudgetAt;
    std::map<std::string, known_peer> m_peers; // by VM
    std::vector<known_peer*> m_chosen; // the peers that get this node's calls
    instant m_chooseAgainAt;
    std::unordered_map<std::uint32_t, reported_paths> m_reports; // by shortHash() of the VM
    std::map<std::string, instant> m_lostServices; // by service, since when all paths to its targets are lost
};

}
