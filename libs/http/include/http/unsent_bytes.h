// Bounds what the connections of one server hold of responses because their callers read slowly.
#pragma once

#include "http/byte_ledger.h"

namespace tamarack {

/// Counts the memory for unsent bytes by connection. It only decides: the server closes connections, and the sources of
/// responses stop reading.
///
/// Made for a node with 120 MB of memory, whose share for this is 24 MB: 40 slow callers may queue as much as on an
/// idle node, and those beyond them less the more is held. Some 100 to 200 more fit at the smallest queue, as each may
/// add what one read from its target brings. From then on those that hold most are cut.
class unsent_bytes {
public:
    using connection_key = byte_ledger::connection_key;

    /// What a response may queue while little is held. A target sends on until as much is queued, which covers several
    /// round trips.
    static constexpr std::size_t maxQueue = 256 * 1024;
    /// What a response may always queue: some events of a stream, so that a caller that reads in time never pauses one.
    static constexpr std::size_t minQueue = 16 * 1024;

    /// Sets the bound of the sum, in bytes; 0: none.
    void setTotal(std::uint64_t bytes) { m_total = bytes; }
    /// Replaces what the connection holds. Zero forgets it.
    void update(connection_key connection, std::size_t bytes) { m_ledger.update(connection, bytes); }
    std::uint64_t held() const { return m_ledger.sum(); }
    /// Bytes that a response may queue before its source stops reading. It resumes when nothing is queued.
    std::size_t queueLimit() const;
    bool isExceeded() const { return m_total > 0 && held() > m_total; }
    /// The connection that holds most; null if none holds anything.
    connection_key largest() const { return m_ledger.largest(); }
    std::size_t heldByLargest() const { return m_ledger.heldByLargest(); }

private:
    std::uint64_t m_total = 0;
    byte_ledger m_ledger;
};

}
