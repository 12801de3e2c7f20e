// Applies the log in order to the replicated state, and recovers by a snapshot when the start of the log has expired.
#pragma once

#include "base/clock.h"
#include "decide/replicated_state.h"

#include <functional>
#include <optional>
#include <vector>

namespace tamarack {

/// One decoded page of the log. A record that does not decode is represented by its offset only.
struct decoded_page {
    struct item {
        log_offset offset;
        std::optional<log_record> record;
    };
    log_offset first; ///< oldest offset that the log retains
    log_offset end; ///< offset of the next append
    std::vector<item> items;
};

/// If records have expired before this node read them, it buffers what follows until a snapshot in the log or the state
/// of a peer covers the missing records.
class log_follower {
public:
    using record_handler = std::function<void(const log_record&, verdict)>;

    explicit log_follower(record_handler onRecord);

    /// Applies the records of a page; records applied before are ignored.
    void applyPage(const decoded_page& page);
    /// Adopts the state of a peer or a snapshot if it is ahead of this one and leaves no gap before the buffered
    /// records. Returns whether it was adopted.
    bool adopt(const replicated_data& data);

    const replicated_state& state() const { return m_state; }
    /// Offset at which to continue reading.
    log_offset readFrom() const;
    /// Whether all records up to the end of the log, as of the last page, have been applied.
    bool hasReachedEnd() const { return m_reachedEnd; }
    /// Whether records between this node's state and the start of the log have expired, so that a snapshot is needed.
    bool hasGap() const { return m_isAwaitingSnapshot; }
    std::uint64_t undecodable() const { return m_undecodable; }
    /// Number of records with a verdict other than valid and no_effect.
    std::uint64_t rejectedRecords() const { return m_rejected; }

private:
    void apply(const decoded_page::item& item);
    void bufferUntilSnapshot(const decoded_page::item& item);

    record_handler m_onRecord;
    replicated_state m_state;
    bool m_isAwaitingSnapshot = false;
    std::vector<decoded_page::item> m_buffer; // records read while waiting for a snapshot; the first is the oldest that
                                              // the log retained when the gap was found
    log_offset m_nextBufferedOffset;
    bool m_reachedEnd = false;
    std::uint64_t m_undecodable = 0;
    std::uint64_t m_rejected = 0;
};

}
