// The targets that this node knows, one row each, in columns.
#pragma once

#include "base/ids.h"
#include "serving/target_record.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack::serving {

/// A target's load as its own answers told it.
struct told_load {
    instant at;
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/// A row keeps its id as long as the target is listed or this node has work there. Rows are then used again.
class fleet_table {
public:
    explicit fleet_table(std::string ownZone);

    /// Adds or changes a target.
    target_id put(const target_record& record);
    /// The target is gone: no new work, and the row is freed once this node's work there has ended.
    void remove(std::string_view instance);
    target_id find(std::string_view instance) const;
    target_id findHash(std::uint32_t hash) const;
    std::size_t size() const { return instance.size(); }
    std::size_t countListed() const;
    /// Changes when a target comes, goes, or takes another role.
    std::uint64_t generation() const { return m_generation; }

    /// Rows of listed targets of a service.
    const std::vector<std::uint32_t>& rowsOf(std::string_view service) const;
    bool isLocal(target_id id) const { return zone[id.value] == m_ownZone; }
    /// Whether new work may be given to it.
    bool takesWork(target_id id, instant now) const;
    /// Requests that the target is thought to hold, from all nodes.
    int running(target_id id) const { return ownRunning[id.value] + peersRunning[id.value]; }
    void began(target_id id) { ownRunning[id.value] += 1; }
    void ended(target_id id);

    // Columns, all of one length.
    std::vector<std::string> instance; // one life of a target
    std::vector<std::uint32_t> instanceHash; // what peers call it
    std::vector<std::string> name; // what the target calls itself
    std::vector<std::string> service;
    std::vector<std::string> address;
    std::vector<std::string> zone;
    std::vector<int> slots;
    std::vector<target_role> role;
    std::vector<std::uint8_t> isListed;
    std::vector<std::uint8_t> isDraining;
    std::vector<instant> blockedUntil; // after failures
    std::vector<instant> changingUntil; // it is about to take another role, or does so
    std::vector<int> ownRunning;
    std::vector<int> peersRunning;
    std::vector<told_load> told;

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
};

/// The short name of a target between peers.
std::uint32_t shortHash(std::string_view instance);

}
