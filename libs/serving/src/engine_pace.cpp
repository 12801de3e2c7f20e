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

engine_pace::engine_pace(const fleet_table& fleet)
    : m_fleet(fleet)
{
}

engine_pace::engine engine_pace::known(target_id id) const
{
    if (id.value < m_engines.size() && m_engines[id.value].secondsPerToken > 0)
        return m_engines[id.value];
    const bool alsoWrites = m_fleet.role[id.value] == target_role::decode;
    return { alsoWrites ? firstDecodePace : firstPrefillPace, firstBase };
}

double engine_pace::secondsPerToken(target_id id) const { return known(id).secondsPerToken; }

double engine_pace::baseSeconds(target_id id) const { return known(id).baseSeconds; }

void engine_pace::learned(target_id id, double work, double waitSeconds, duration elapsed)
{
    if (waitSeconds > mostWait)
        return;
    if (id.value >= m_engines.size())
        m_engines.resize(id.value + 1);
    engine now = known(id);
    const double own = seconds(elapsed) - waitSeconds;
    if (work < mostBaseTokens)
        now.baseSeconds = followed(now.baseSeconds, std::clamp(own - work * now.secondsPerToken, 0.0, longestBase));
    if (work > fewestPaceTokens)
        now.secondsPerToken = followed(now.secondsPerToken, std::max((own - now.baseSeconds) / work, fewestSeconds));
    m_engines[id.value] = now;
}

void engine_pace::forget(target_id id)
{
    if (id.value < m_engines.size())
        m_engines[id.value] = {};
}

}
