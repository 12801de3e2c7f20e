// Provides the table of the targets that this node knows: one row for each target, stored by column.
#pragma once

#include "base/ids.h"
#include "serving/target_record.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace tamarack::serving {

/// The load of a target as its own answers report it.
struct reported_load {
    instant at;
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/// A row keeps its id as long as the target is listed or this node has requests there. After that the row may be
/// reused.
class fleet_table {
public:
    explicit fleet_table(std::string ownZone);

    /// Adds a target or updates it.
    target_id upsert(const target_record& record);
    /// Unlists the target: it gets no new requests, and its row is freed once this node's requests there have ended.
    void remove(std::string_view instance);
    /// The instance has declared that it leaves. Returns whether the declaration is new.
    bool recordLeaving(const std::string& instance);
    target_id find(std::string_view instance) const;
    target_id findByHash(std::uint32_t hash) const;
    std::size_t size() const { return instance.size(); }
    std::size_t countListed() const;
    /// Changes when a target is listed, is unlisted, or changes its role or build.
    std::uint64_t generation() const { return m_generation; }

    /// Rows of the listed targets of a service, in ascending order.
    const std::vector<std::uint32_t>& rowsOf(std::string_view service) const;
    /// The build as targets report it; empty if no listed target has it.
    std::string nameOfBuild(build_id wanted) const;
    /// Whether the service has a listed target of this build that answers requests and is not about to exit.
    bool hasBuild(std::string_view service, build_id build) const;
    /// Names of all services that have or had targets, in order.
    std::vector<std::string> services() const;
    bool isLocal(target_id id) const { return zone[id.value] == m_ownZone; }
    /// Whether the target is about to exit, as the target list or the target itself says.
    bool isLeaving(target_id id) const { return isDraining[id.value] || saidLeaving[id.value]; }
    /// Whether the target may be given new requests.
    bool acceptsWork(target_id id, instant now) const;
    /// Whether the target has asked this node to send it nothing now.
    bool isResting(target_id id, instant now) const { return now < restUntil[id.value]; }
    /// Whether this node may send the target a request, as far as the target's limit goes.
    bool hasPermit(target_id id, instant now) const
    {
        return !isLimited[id.value] || (permits[id.value] > 0 && now < permitsUntil[id.value]);
    }
    /// The estimated number of requests at the target, from all nodes.
    int running(target_id id) const { return ownRunning[id.value] + peersRunning[id.value]; }
    void addRunning(target_id id) { ownRunning[id.value] += 1; }
    void removeRunning(target_id id);

    // Columns, all of the same length.
    std::vector<std::string> instance; // identifies one incarnation of the target
    std::vector<std::uint32_t> instanceHash; // identifies the target in messages between nodes
    std::vector<std::string> name; // without the incarnation
    std::vector<std::string> service;
    std::vector<std::string> address;
    std::vector<std::string> zone;
    std::vector<std::string> build; // version of the target's software
    std::vector<build_id> buildId; // of the service and build
    std::vector<int> slots;
    std::vector<target_role> role;
    std::vector<std::uint8_t> isListed;
    std::vector<std::uint8_t> isDraining; // as the target list says
    std::vector<std::uint8_t> saidLeaving; // as the target itself has said; never taken back
    std::vector<instant> blockedUntil; // set after failures
    std::vector<instant> restUntil; // asked for by the target
    std::vector<std::uint8_t> isLimited; // the target has named a limit, so each request needs a permit
    std::vector<int> permits; // that this node has
    std::vector<instant> permitsUntil; // when the last of them lapses
    std::vector<instant> trialUntil; // the first request after a rest is under way
    std::vector<instant> roleChangeUntil; // a change of role is ordered or in progress
    std::vector<int> ownRunning;
    std::vector<int> peersRunning;
    std::vector<reported_load> reportedLoad;

private:
    target_id addRow(const std::string& name);
    void reset(std::size_t row);
    void index(std::uint32_t row);
    void unindex(std::uint32_t row);

    std::string m_ownZone;
    std::uint64_t m_generation = 0;
    std::unordered_map<std::string, std::uint32_t> m_byInstance;
    std::unordered_map<std::uint32_t, std::uint32_t> m_byHash;
    std::unordered_map<std::string, std::vector<std::uint32_t>> m_byService;
    // Instances that have declared that they leave, listed or not. An instance may vanish from the list and return.
    std::unordered_set<std::string> m_leaving;
    std::deque<std::string> m_leavingByAge; // the same instances, oldest declaration first
};

/// The hash that identifies an instance in messages between nodes.
std::uint32_t shortHash(std::string_view instance);

/// The id of a build. Targets that report no build have one in common.
build_id buildIdOf(std::string_view service, std::string_view build);

}
