// Learned paces.
#include "serving/engine_pace.h"

#include <algorithm>

namespace tamarack::serving {

namespace {

    /// Looking at a million earlier tokens costs about as much as reading 32; both users' engines are near it.
    constexpr double workPerPair = 32e-6;
    /// Until the first answers: between the paces of the users' engines, 61 and 93 tokens a millisecond. Engines that
    /// also write answers read half as fast.
    constexpr double firstPrefillPace = 1.0 / 75'000;
    constexpr double firstDecodePace = 1.0 / 35'000;
    /// Small samples tell of fixed costs rather than of the pace.
    constexpr double fewestSampleTokens = 2'000;
    constexpr double sampleWeight = 0.1;
    /// A sample this far off tells of a queue that was misjudged, not of the engine.
    constexpr double farthestRatio = 4;

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

double engine_pace::secondsPerToken(target_id id) const
{
    if (id.value < m_secondsPerToken.size() && m_secondsPerToken[id.value] > 0)
        return m_secondsPerToken[id.value];
    return m_fleet.role[id.value] == target_role::decode ? firstDecodePace : firstPrefillPace;
}

void engine_pace::learned(target_id id, double work, double workBefore, duration elapsed)
{
    if (work + workBefore < fewestSampleTokens)
        return;
    if (id.value >= m_secondsPerToken.size())
        m_secondsPerToken.resize(id.value + 1, 0);
    const double known = secondsPerToken(id);
    const double sample = seconds(elapsed) / (work + workBefore);
    const double bounded = std::clamp(sample, known / farthestRatio, known * farthestRatio);
    m_secondsPerToken[id.value] = known + sampleWeight * (bounded - known);
}

void engine_pace::forget(target_id id)
{
    if (id.value < m_secondsPerToken.size())
        m_secondsPerToken[id.value] = 0;
}

}
