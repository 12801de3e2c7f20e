// Learned paces.
#include "serving/engine_pace.h"

#include <algorithm>

namespace tamarack::serving {

namespace {

    /// Looking at a million earlier tokens costs about as much as reading 32; both users' engines are near it.
    constexpr double workPerPair = 32e-6;
    /// Until the first answers: as measured at the slower of the users' engines, steps included. Engines that also
    /// write answers read half as fast.
    constexpr double firstPrefillPace = 1.0 / 55'000;
    constexpr double firstDecodePace = 1.0 / 27'000;
    /// As measured at the users' engines, 80 and 90 ms.
    constexpr double firstBase = 0.09;
    /// Below the first, samples tell of what passes for each request; above the second, of the pace.
    constexpr double mostBaseTokens = 1'000;
    constexpr double fewestPaceTokens = 4'000;
    /// What else an engine does can only make a prompt take longer, so the engine's own times are at the lower end of
    /// the samples: they are followed down quickly and up slowly.
    constexpr double weightDown = 0.2;
    constexpr double weightUp = 0.02;
    /// Seconds; above it the sample tells of the queue.
    constexpr double mostWait = 0.03;
    constexpr double fewestSeconds = 1e-6; // a token
    constexpr double longestBase = 0.3;

    /// Each prompt ends in a step that is not full, and where answers are written too, the step serves them all. That
    /// differs with the engines' load, so it is followed: each end moves it by a part of how far the model was off.
    /// Measured at full load it is about 16 ms at one user's engines that also write, and 4 ms at the other's.
    /// Played on the users' four fleets with a weight of 0.01 and 0.03: grown Ahnenhaus 0.889 and 0.895, grown Vodoslet
    /// 0.936 and 0.942, the others within 0.003.
    constexpr double firstOverhead = 0.01;
    constexpr double longestOverhead = 0.04;
    constexpr double overheadWeight = 0.03;
    /// Further off, the model has missed something else.
    constexpr double farthestLag = 0.2;

    /// Seconds, as measured at the users' engines with some 20 streams: 4.0 to 5.5. Then what streams show is followed:
    /// reading between the tokens can only make an event take longer.
    constexpr double firstStep = 0.005;

    double followed(double known, double sample)
    {
        return known + (sample < known ? weightDown : weightUp) * (sample - known);
    }

}

double promptWork(std::int64_t kept, std::int64_t total)
{
    const auto before = static_cast<double>(std::min(kept, total));
    const double read = static_cast<double>(total) - before;
    const double pairs = read * (before + read / 2);
    return read + workPerPair * pairs;
}

void engine_pace::follow(pace& item, double work, double own)
{
    if (work < mostBaseTokens)
        item.baseSeconds = followed(item.baseSeconds, std::clamp(own - work * item.secondsPerToken, 0.0, longestBase));
    if (work > fewestPaceTokens)
        item.secondsPerToken = followed(item.secondsPerToken, std::max((own - item.baseSeconds) / work, fewestSeconds));
}

engine_pace::engine_pace(const fleet_table& fleet)
    : m_fleet(fleet)
{
}

const engine_pace::engine_kind* engine_pace::findKind(target_id id) const
{
    for (const auto& kind : m_kinds) {
        if (kind.role == m_fleet.role[id.value] && kind.service == m_fleet.service[id.value])
            return &kind;
    }
    return nullptr;
}

engine_pace::engine_kind& engine_pace::kindOf(target_id id)
{
    const auto role = m_fleet.role[id.value];
    const auto& service = m_fleet.service[id.value];
    const auto found = std::find_if(m_kinds.begin(), m_kinds.end(),
        [&](const engine_kind& kind) { return kind.role == role && kind.service == service; });
    if (found != m_kinds.end())
        return *found;
    const double firstPace = role == target_role::decode ? firstDecodePace : firstPrefillPace;
    return m_kinds.emplace_back(engine_kind { service, role, { firstPace, firstBase }, firstOverhead, firstStep });
}

engine_pace::pace engine_pace::known(target_id id) const
{
    if (id.value < m_engines.size() && m_engines[id.value].secondsPerToken > 0)
        return m_engines[id.value];
    if (const auto* kind = findKind(id))
        return kind->learned;
    const bool alsoWrites = m_fleet.role[id.value] == target_role::decode;
    return { alsoWrites ? firstDecodePace : firstPrefillPace, firstBase };
}

double engine_pace::overheadSeconds(target_id id) const
{
    const auto* kind = findKind(id);
    return kind ? kind->overheadSeconds : firstOverhead;
}

double engine_pace::stepSeconds(target_id id) const
{
    const auto* kind = findKind(id);
    return kind ? kind->stepSeconds : firstStep;
}

void engine_pace::wrote(target_id id, int tokens, duration interval)
{
    auto& step = kindOf(id).stepSeconds;
    step = followed(step, seconds(interval) / std::max(1, tokens));
}

void engine_pace::learned(target_id id, double work, double waitSeconds, duration elapsed)
{
    if (waitSeconds > mostWait)
        return;
    if (id.value >= m_engines.size())
        m_engines.resize(id.value + 1);
    auto& kind = kindOf(id);
    auto& engine = m_engines[id.value];
    if (engine.secondsPerToken == 0)
        engine = kind.learned;
    const double own = seconds(elapsed) - waitSeconds;
    follow(engine, work, own);
    follow(kind.learned, work, own);
}

void engine_pace::lagged(target_id id, double seconds)
{
    auto& overhead = kindOf(id).overheadSeconds;
    overhead += overheadWeight * std::clamp(seconds, -farthestLag, farthestLag);
    overhead = std::clamp(overhead, 0.0, longestOverhead);
}

void engine_pace::forget(target_id id)
{
    if (id.value < m_engines.size())
        m_engines[id.value] = {};
}

}
