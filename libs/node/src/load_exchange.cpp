// Implements the conversion between the target table and the load entries of heartbeats.
#include "load_exchange.h"

#include "base/hash.h"

#include <algorithm>

namespace tamarack {

namespace {

    constexpr std::uint8_t flagLeaving = 0x10;
    constexpr std::uint8_t flagChanging = 0x20;
    constexpr std::uint8_t roleMask = 0x0f;
    constexpr double tokensPerPiece = 1000.0 / 16;
    constexpr std::int64_t maxReportAgeMilliseconds = 10'000; // older reports are too stale to forward

    template <class Integer> Integer clampTo(double value)
    {
        return static_cast<Integer>(std::clamp(value, 0.0, static_cast<double>(std::numeric_limits<Integer>::max())));
    }

}

load_exchange::load_exchange(std::string vm, std::string availabilityZone, target_table& targets)
    : m_vm(std::move(vm))
    , m_zone(std::move(availabilityZone))
    , m_targets(targets)
{
}

std::vector<target_id> load_exchange::targetsToPoll(const std::vector<const peer_state*>& alive) const
{
    std::vector<target_id> selected;
    for (std::uint32_t row = 0; row < m_targets.size(); ++row) {
        if (m_targets.service[row] < 0)
            continue;
        const auto weight = rendezvousWeight(m_vm, m_targets.name[row]);
        const bool ranksFirst = std::none_of(alive.begin(), alive.end(), [&](const peer_state* peer) {
            return peer->availabilityZone == m_zone
                && rendezvousWeight(peer->instance.node, m_targets.name[row]) > weight;
        });
        if (ranksFirst)
            selected.push_back({ row });
    }
    return selected;
}

std::vector<load_entry> load_exchange::entries(std::size_t count, instant now)
{
    std::vector<load_entry> out;
    const std::size_t rows = m_targets.size();
    for (std::size_t visited = 0; visited < rows && out.size() < count; ++visited) {
        const std::size_t row = m_nextRow++ % rows;
        const auto& report = m_targets.reported[row];
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - report.measuredAt).count();
        if (m_targets.service[row] < 0 || age > maxReportAgeMilliseconds)
            continue;
        load_entry entry;
        entry.targetHash = static_cast<std::uint32_t>(m_targets.nameHash[row]);
        entry.running = clampTo<std::uint16_t>(report.running);
        entry.prefillPieces = clampTo<std::uint16_t>(static_cast<double>(report.prefillTokens) / tokensPerPiece);
        entry.ageMilliseconds = clampTo<std::uint16_t>(static_cast<double>(age));
        entry.flags = static_cast<std::uint8_t>(m_targets.role[row]);
        if (m_targets.isLeaving[row])
            entry.flags |= flagLeaving;
        if (m_targets.isChanging[row])
            entry.flags |= flagChanging;
        out.push_back(entry);
    }
    return out;
}

void load_exchange::applyEntries(const std::vector<load_entry>& received, instant now)
{
    if (m_indexedRows != m_targets.size()) {
        m_rowByHash.clear();
        for (std::uint32_t row = 0; row < m_targets.size(); ++row)
            m_rowByHash[static_cast<std::uint32_t>(m_targets.nameHash[row])] = row;
        m_indexedRows = m_targets.size();
    }
    for (const auto& entry : received) {
        const auto found = m_rowByHash.find(entry.targetHash);
        if (found == m_rowByHash.end())
            continue;
        const auto row = found->second;
        const instant measuredAt = now - std::chrono::milliseconds(entry.ageMilliseconds);
        if (m_targets.service[row] < 0 || measuredAt <= m_targets.reported[row].measuredAt)
            continue;
        const auto tokens = static_cast<std::int64_t>(entry.prefillPieces * tokensPerPiece);
        m_targets.report({ row }, { measuredAt, entry.running, tokens });
        const auto role = entry.flags & roleMask;
        if (role <= static_cast<int>(engine_role::decode))
            m_targets.role[row] = static_cast<engine_role>(role);
        m_targets.isChanging[row] = (entry.flags & flagChanging) != 0;
        // The newest report both sets and clears the flag, so that every node uses a returned target again.
        m_targets.isLeaving[row] = (entry.flags & flagLeaving) != 0;
    }
}

}
