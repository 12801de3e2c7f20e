// Bounds what the connections of one server hold of responses because their callers read slowly.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>

namespace tamarack {

/// Counts the memory for unsent bytes by connection. It only decides: the server closes connections, and the sources of
/// responses stop reading.
///
/// Made for a node with 120 MB of memory, whose share for this is 24 MB: 40 slow callers may queue as much as on an
/// idle node, and those beyond them less the more is held. Some 100 to 200 more fit at the smallest queue, as each may
/// add what one read from its target brings. From then on those that hold most are cut.
class unsent_bytes {
public:
    /// Identifies a connection; never dereferenced here.
    using connection_key = const void*;

    /// What a response may queue while little is held. A target sends on until as much is queued, which covers several
    /// round trips.
    static constexpr std::size_t maxQueue = 256 * 1024;
    /// What a response may always queue: some events of a stream, so that a caller that reads in time never pauses one.
    static constexpr std::size_t minQueue = 16 * 1024;

    /// Sets the bound of the sum, in bytes; 0: none.
    void setTotal(std::uint64_t bytes) { m_total = bytes; }
    /// Replaces what the connection holds. Zero forgets it.
    void update(connection_key connection, std::size_t bytes);
    std::uint64_t held() const { return m_held; }
    /// Bytes that a response may queue before its source stops reading. It resumes when nothing is queued.
    std::size_t queueLimit() const;
    bool isExceeded() const { return m_total > 0 && m_held > m_total; }
    /// The connection that holds most; null if none holds anything.
    connection_key largest() const { return m_order.empty() ? nullptr : m_order.rbegin()->second; }
    std::size_t heldByLargest() const { return m_order.empty() ? 0 : m_order.rbegin()->first; }

private:
    std::uint64_t m_total = 0;
    std::uint64_t m_held = 0; // sum over m_bytes
    std::unordered_map<connection_key, std::size_t> m_bytes; // above zero
    std::set<std::pair<std::size_t, connection_key>> m_order; // the same by size
};

}
