// Table of the targets known to this node, stored by columns.
#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "settings/deployment.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// Load of a target as reported by itself or forwarded by a peer.
struct load_report {
    instant measuredAt; ///< on this node's clock, corrected for the report's age
    std::int32_t running = 0; ///< requests that are in a slot or queued at the target
    std::int64_t prefillTokens = 0; ///< prompt tokens not processed yet
};

/// A row keeps its id while the target exists. The row of a removed target is reused only when no work is counted there
/// any more.
class target_table {
public:
    /// Adds and updates rows to match the targets of the configuration, and marks the rows of removed targets. A target
    /// that keeps its name and address keeps its load and state.
    void assign(const deployment& config);

    std::size_t size() const { return name.size(); }
    target_id find(std::string_view targetName) const;
    target_id findHash(std::uint64_t hash) const;

    /// Estimated number of requests at the target: this node's own, which are known exactly, plus those of other nodes
    /// from the last report, discounted by its age.
    double runningEstimate(target_id id, instant now) const;
    /// Estimated number of prompt tokens waiting for prefill at the target.
    double prefillEstimate(target_id id, instant now) const;
    /// Applies a report unless a newer one is known.
    void report(target_id id, const load_report& load);
    /// Whether new requests may be sent to the target.
    bool acceptsWork(target_id id, instant now) const;

    // Columns, all of one length.
    std::vector<std::string> name;
    std::vector<std::uint64_t> nameHash;
    std::vector<std::string> address;
    std::vector<std::int32_t> service; // index in the configuration, or -1 for a removed target
    std::vector<std::int32_t> zone; // index in the configuration's availability zones
    std::vector<engine_role> role;
    std::vector<std::uint8_t> isChanging; // an order is taking effect
    std::vector<std::uint8_t> isDraining; // an order is pending: no new requests, running ones finish
    std::vector<std::uint8_t> isLeaving; // according to the VM list, the target's own status or an operator
    std::vector<instant> blockedUntil; // backoff after failures
    std::vector<instant> restUntil; // as the target has asked; no failure, and not ended by anything but a restart
    std::vector<std::int32_t> failures; // consecutive failures
    std::vector<instant> slowStartUntil;
    std::vector<std::int32_t> ownRunning; // requests of this node in flight at the target
    std::vector<std::int64_t> ownPrefillTokens; // prompt tokens of this node not processed yet
    std::vector<load_report> reported;
    std::vector<std::int32_t> ownRunningAtReport; // ownRunning when the last report was applied
    std::vector<std::int64_t> ownPrefillAtReport; // ownPrefillTokens when the last report was applied
    std::vector<std::uint64_t> incarnation;

private:
    target_id addRow();
    std::unordered_map<std::string, std::uint32_t> m_byName;
    std::unordered_map<std::uint64_t, std::uint32_t> m_byHash;
};

}
