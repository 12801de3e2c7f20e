// Keeps the target list up to date from reads of this node and from updates sent by its peers.
#pragma once

#include "serving/target_list.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarack::serving {

/// One entry of the target list at one offset.
struct target_update {
    std::int64_t offset = 0; ///< offset in the topic of the target list
    std::string name; ///< name of the target
    std::optional<target_record> record; ///< empty if the entry was removed or is not a target record
    bool isForeign = false; ///< an entry exists but was not written by a target
};

/// All changes between two offsets of the target list, as sent from one node to its peers.
struct target_update_batch {
    std::int64_t previous = -1; ///< offset of the last change before these
    std::int64_t upTo = -1; ///< a node that has all changes up to `previous` has all up to here after applying these
    std::vector<target_update> changes;
};

/// The target list as known to one node, sent to a peer that has no list or has missed a change.
struct target_list_snapshot {
    std::vector<target_update> targets; ///< the listed targets; an entry without a record is missing but may return
    std::int64_t upTo = -1; ///< the list includes all changes up to this offset; -1 if unknown
};

/// Result of processing a read or a received message.
struct follow_result {
    target_changes changes; ///< changes to apply to the fleet
    std::optional<target_update_batch> batch; ///< changes to send to the peers, if this node reads for them
    bool mustRead = false; ///< a change was missed, so the list must be read immediately
};

/// Orders updates by their offset. Batches form a chain, so a lost batch is detected at the next batch or heartbeat.
class target_follower {
public:
    /// `lapseGrace` is the time after the return of the store within which entries that expired during its outage
    /// reappear.
    explicit target_follower(duration lapseGrace)
        : m_list(lapseGrace)
    {
    }

    void storeReturned(instant now) { m_list.storeReturned(now); }
    /// Sets whether this node reads the list at long intervals and relies on peers. Removals then wait until a peer
    /// confirms them.
    void setReadsInfrequently(bool readsInfrequently) { m_list.setReadsInfrequently(readsInfrequently); }

    /// The whole list was read. `next` is the first offset that was not read.
    follow_result listRead(const std::vector<target_update>& all, std::int64_t next, instant now);
    /// Further records were read, up to `next`.
    follow_result recordsRead(const std::vector<target_update>& updates, std::int64_t next, instant now);
    follow_result batchReceived(const target_update_batch& batch, instant now);
    /// A peer has applied every change up to this offset.
    follow_result peerOffsetReceived(std::int64_t offset, instant now);
    /// A peer has sent its whole list. Later batches continue from there.
    follow_result snapshotReceived(const target_list_snapshot& state, instant now);
    follow_result tick(instant now);

    bool hasList() const { return m_hasList; }
    /// Whether a peer has a change that this node has missed.
    bool isBehind() const { return m_hasList && m_requiredUpTo > m_lastChange && m_requiredUpTo >= m_next; }
    /// Whether this node has every change up to this offset.
    bool hasChangesUpTo(std::int64_t offset) const { return m_hasList && (offset <= m_lastChange || offset < m_next); }
    /// Offset up to which every change is known and applied. -1 if there was no change.
    std::int64_t lastChange() const;
    /// The list as known to this node, to be sent to a peer.
    target_list_snapshot known() const;

private:
    std::int64_t knownOffset(const std::string& name) const;
    /// Applies an update that is not older than the known state. Removals confirmed by a peer take effect immediately.
    void take(const target_update& update, bool isConfirmed, instant now, target_changes& out);
    void confirmLapsed(std::int64_t offset, instant now, target_changes& out);
    using instances_by_name = std::map<std::string, std::string>; // instances by target name
    /// Net changes of a step for all targets that changed in it. `before` holds the instances listed before the step.
    target_changes netChanges(const instances_by_name& before, const target_changes& changes) const;
    /// Completes a step in which this node may have found changes itself, and builds the batch for the peers.
    follow_result finishStep(target_changes changes);
    /// Limits `offset` to below the removals that this node has not applied yet. Publishing a higher offset would
    /// confirm them to the peers.
    std::int64_t capBelowLapsed(std::int64_t offset) const;

    target_list m_list;
    std::map<std::string, target_update> m_known; // latest update by name, including removals
    std::int64_t m_next = 0; // first offset not read by this node
    std::int64_t m_snapshotUpTo = -1; // a full list up to this offset was applied; unknown targets below it are gone
    std::int64_t m_newest = -1; // highest known change; there may be gaps below it
    std::int64_t m_lastChange = -1; // highest change without a gap below it
    std::int64_t m_publishedUpTo = -1; // start of the next batch's chain
    std::int64_t m_requiredUpTo = -1; // highest change known to be missing; isBehind() is false once it has arrived
    std::int64_t m_confirmedUpTo = -1; // a peer that follows the list has applied all changes up to this offset
    bool m_hasList = false;
};

}
