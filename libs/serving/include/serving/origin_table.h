// Keeps which build began each stream, bounded in number and in time.
#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack::serving {

/// Identifies a stream by its client account and the id of the call that brought its first event.
using stream_key = strong_id<struct stream_tag, std::uint64_t>;

stream_key streamKey(std::string_view account, std::string_view callId);

/// The build that began a stream, as told to peers.
struct origin_note {
    stream_key stream;
    build_id build;
    duration lifetime = duration::zero(); ///< after which no caller comes back for the stream

    bool operator==(const origin_note&) const = default;
};

/// A stream that two notes give different builds is unknown from then on.
class origin_table {
public:
    explicit origin_table(std::size_t capacity);

    /// Records a note or prolongs its time. When the table is full, the oldest note is dropped. `isUntold`: peers do
    /// not know it yet.
    void add(const origin_note& note, bool isUntold, instant now);
    /// The build that began the stream; empty if this node does not know it.
    std::optional<build_id> find(stream_key stream, instant now) const;
    /// The notes that peers do not know, which count as told afterwards.
    std::vector<origin_note> takeUntold(instant now);
    std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        build_id build; // invalid: notes disagree
        instant expiresAt;
        bool isUntold = false;
    };

    void dropExpired(instant now);

    std::size_t m_capacity;
    std::unordered_map<stream_key, entry> m_entries;
    std::deque<stream_key> m_byAge; // each key of m_entries once; prolonged ones may come early
};

}
