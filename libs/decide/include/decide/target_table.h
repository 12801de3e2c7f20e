// The targets that this node knows, one row each, in columns.
#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "settings/deployment.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// A target's load as it reported it, or as a peer passed it on.
struct load_report {
    instant measuredAt; ///< on this node's clock, lag included
    std::int32_t running = 0; ///< requests in slots or waiting for one
    std::int64_t prefillTokens = 0; ///< prompt tokens not processed yet
};

/// Rows keep their id while the target exists; ids of removed targets are used again only when nothing refers to them.
class target_table {
public:
    /// Makes the rows match the configuration; rows of the same name keep their load and state.
    void assign(const deployment& config);

    std::size_t size() const { return name.size(); }
    target_id find(std::string_view targetName) const;
    target_id findHash(std::uint64_t hash) const;

    /// Requests the target is thought to hold: ours exactly, others' from its report, discounted by the report's age.
    double runningEstimate(target_id id, instant now) const;
    /// Prompt tokens the target is thought to have before it.
    double prefillEstimate(target_id id, instant now) const;
    /// Takes a report unless a newer one is known.
    void report(target_id id, const load_report& load);
    /// Whether new work may be given to it at all.
    bool takesWork(target_id id, instant now) const;

    // Columns, all of one length.
    std::vector<std::string> name;
    std::vector<std::uint64_t> nameHash;
    std::vector<std::string> address;
    std::vector<std::int32_t> service; // row in the configuration; -1: removed
    std::vector<std::int32_t> zone; // row in the configuration's availability zones
    std::vector<engine_role> role;
    std::vector<std::uint8_t> isChanging; // a role or load order is taking effect
    std::vector<std::uint8_t> isDraining; // an order is about to be given: no new work, held work ends
    std::vector<std::uint8_t> isLeaving; // by the VM list, its own answer, or an operator
    std::vector<instant> blockedUntil; // after failures
    std::vector<std::int32_t> failures; // in a row
    std::vector<instant> slowStartUntil;
    std::vector<std::int32_t> ownRunning;
    std::vector<std::int64_t> ownPrefillTokens;
    std::vector<load_report> reported;
    std::vector<std::int32_t> ownRunningAtReport;
    std::vector<std::int64_t> ownPrefillAtReport;
    std::vector<std::uint64_t> incarnation;

private:
    target_id addRow();
    std::unordered_map<std::string, std::uint32_t> m_byName;
    std::unordered_map<std::uint64_t, std::uint32_t> m_byHash;
};

}
