// Applies log pages and recovers from expired records by a snapshot.
#include "decide/log_follower.h"

#include <algorithm>

namespace tamarack {

log_follower::log_follower(record_handler onRecord)
    : m_onRecord(std::move(onRecord))
{
}

log_offset log_follower::readFrom() const { return m_isAwaitingSnapshot ? m_nextBufferedOffset : m_state.next(); }

void log_follower::applyPage(const decoded_page& page)
{
    if (!m_isAwaitingSnapshot && m_state.next() < page.first) {
        m_isAwaitingSnapshot = true;
        m_buffer.clear();
        m_nextBufferedOffset = page.first;
    }
    for (const auto& item : page.items) {
        if (!item.record)
            ++m_undecodable;
        if (m_isAwaitingSnapshot)
            bufferUntilSnapshot(item);
        else
            apply(item);
    }
    m_reachedEnd = !m_isAwaitingSnapshot && m_state.next() >= page.end;
}

void log_follower::apply(const decoded_page::item& item)
{
    if (item.offset < m_state.next())
        return;
    if (!item.record)
        return m_state.skip(item.offset);
    const verdict v = m_state.apply(*item.record);
    if (v != verdict::valid && v != verdict::no_effect)
        ++m_rejected;
    m_onRecord(*item.record, v);
}

void log_follower::bufferUntilSnapshot(const decoded_page::item& item)
{
    if (item.offset < m_nextBufferedOffset)
        return;
    m_nextBufferedOffset = { item.offset.value + 1 };
    m_buffer.push_back(item);
    const auto* snapshot = item.record ? std::get_if<snapshot_record>(&item.record->body) : nullptr;
    // If the snapshot ends before the first buffered record, the records in between are missing and it cannot be used.
    if (snapshot && snapshot->data.asOf >= m_buffer.front().offset)
        adopt(snapshot->data);
}

bool log_follower::adopt(const replicated_data& data)
{
    if (data.asOf <= m_state.next())
        return false;
    const bool bridges = !m_isAwaitingSnapshot || m_buffer.empty() || data.asOf >= m_buffer.front().offset;
    if (!bridges)
        return false;
    m_state.restore(data);
    if (m_isAwaitingSnapshot) {
        m_isAwaitingSnapshot = false;
        const auto buffered = std::move(m_buffer);
        m_buffer.clear();
        for (const auto& item : buffered)
            apply(item);
    }
    return true;
}

}
