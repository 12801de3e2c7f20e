// Implements the ledger with a map by connection and a set by size.
#include "http/byte_ledger.h"

namespace tamarack {

std::size_t byte_ledger::of(connection_key connection) const
{
    const auto known = m_bytes.find(connection);
    return known == m_bytes.end() ? 0 : known->second;
}

void byte_ledger::update(connection_key connection, std::size_t bytes)
{
    const auto before = of(connection);
    if (before == bytes)
        return;
    m_sum = m_sum - before + bytes;
    if (before > 0)
        m_order.erase({ before, connection });
    if (bytes == 0) {
        m_bytes.erase(connection);
        return;
    }
    m_bytes[connection] = bytes;
    m_order.emplace(bytes, connection);
}

}
