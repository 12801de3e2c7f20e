// Keeps how many bytes each connection holds, their sum, and which connection holds most.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>

namespace tamarack {

class byte_ledger {
public:
    /// Identifies a connection; never dereferenced here.
    using connection_key = const void*;

    /// Replaces what the connection holds. Zero forgets it.
    void update(connection_key connection, std::size_t bytes);
    std::uint64_t sum() const { return m_sum; }
    std::size_t of(connection_key connection) const;
    /// The connection that holds most; null if none holds anything.
    connection_key largest() const { return m_order.empty() ? nullptr : m_order.rbegin()->second; }
    std::size_t heldByLargest() const { return m_order.empty() ? 0 : m_order.rbegin()->first; }

private:
    std::uint64_t m_sum = 0; // over m_bytes
    std::unordered_map<connection_key, std::size_t> m_bytes; // above zero
    std::set<std::pair<std::size_t, connection_key>> m_order; // the same by size
};

}
