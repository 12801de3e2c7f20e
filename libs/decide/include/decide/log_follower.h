// Reads the log in order into the agreed state, and finds its way in when the log's beginning has expired.
#pragma once

#include "base/clock.h"
#include "decide/agreed_state.h"

#include <functional>
#include <optional>
#include <vector>

namespace tamarack {

/// One page of the log, decoded. A record that does not decode is there with its offset only.
struct decoded_page {
    struct item {
        log_offset offset;
        std::optional<log_record> record;
    };
    log_offset first; ///< oldest offset the log still keeps
    log_offset end; ///< offset that the next append will get
    std::vector<item> items;
};

/// A node that starts on an expired beginning waits for a snapshot, or takes the state of a peer.
class log_follower {
public:
    using record_handler = std::function<void(const log_record&, verdict)>;

    explicit log_follower(record_handler onRecord);

    void take(const decoded_page& page);
    /// Takes a state that a peer or a snapshot has, if it is ahead of this one. True if taken.
    bool adopt(const agreed_data& data);

    const agreed_state& state() const { return m_state; }
    /// Where to read on.
    log_offset readFrom() const;
    /// Whether all records up to the log's end at the last page were applied.
    bool hasReachedEnd() const { return m_reachedEnd; }
    /// Records between what this node knows and what the log still keeps are lost to it.
    bool hasGap() const { return m_isSearching; }
    std::uint64_t undecodable() const { return m_undecodable; }
    std::uint64_t voidRecords() const { return m_void; }

private:
    void apply(const decoded_page::item& item);
    void search(const decoded_page::item& item);

    record_handler m_onRecord;
    agreed_state m_state;
    bool m_isSearching = false;
    std::vector<decoded_page::item> m_buffer; // read while searching, from the oldest kept record on
    log_offset m_searchNext;
    bool m_reachedEnd = false;
    std::uint64_t m_undecodable = 0;
    std::uint64_t m_void = 0;
};

}
