// Implements the sizes, prefixes and values of generated requests.
#include "request_generator.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace tamarack::serving::tests {

namespace {

    constexpr double valueBySizeShare = 0.7; ///< the share of a request's value that depends on its size
    constexpr double maxValuedSize = 4; ///< the size, as a multiple of the mean, above which the value stays the same
    constexpr double outputWeight = 10; ///< a decoded token counts as this many prefilled ones

    double sizeOf(double in, double out) { return in + outputWeight * out; }

}

request_generator::request_generator(
    const std::vector<request_profile>& kinds, int tokensPerEvent, random_source& random)
    : m_kinds(kinds)
    , m_tokensPerEvent(tokensPerEvent)
    , m_random(random)
{
    for (const auto& kind : m_kinds) {
        std::vector<std::int64_t> sizes;
        std::vector<double> popularity;
        double sum = 0;
        for (int i = 0; i < kind.prefixes; ++i) {
            sizes.push_back(static_cast<std::int64_t>(size(kind.shared)));
            sum += std::pow(i + 1, -kind.skew);
            popularity.push_back(sum);
        }
        std::vector<std::int64_t> common;
        for (int i = 0; i < kind.groups; ++i)
            common.push_back(static_cast<std::int64_t>(size(kind.common)));
        m_groups.push_back(std::move(common));
        m_prefixes.push_back(std::move(sizes));
        m_popularity.push_back(std::move(popularity));
    }
}

// Draws a log-normal size with the Box-Muller transform.
double request_generator::size(const size_spread& spread)
{
    const double mu = std::log(spread.mean) - spread.spread * spread.spread / 2;
    const double radius = std::sqrt(-2 * std::log(1 - m_random.unit()));
    const double normal = radius * std::cos(2 * std::numbers::pi * m_random.unit());
    return std::clamp(std::exp(mu + spread.spread * normal), 1.0, spread.max);
}

prompt request_generator::makePrompt(std::size_t kind)
{
    const auto& popularity = m_popularity[kind];
    const auto place = std::lower_bound(popularity.begin(), popularity.end(), m_random.unit() * popularity.back());
    const auto index = static_cast<std::size_t>(place - popularity.begin());
    constexpr std::uint64_t firstGroup = 1 << 19;
    const std::uint64_t kindBase = kind << 20;
    const auto& groups = m_groups[kind];
    prompt text;
    if (!groups.empty()) {
        const auto group = index % groups.size();
        text.parts.push_back({ kindBase + firstGroup + group, groups[group] });
    }
    text.parts.push_back({ kindBase + index + 1, m_prefixes[kind][index] });
    text.parts.push_back({ m_nextPart++, static_cast<std::int64_t>(size(m_kinds[kind].own)) });
    for (const auto& part : text.parts)
        text.inputTokens += part.tokens;
    return text;
}

generated_request request_generator::make(std::size_t kind)
{
    const auto& profile = m_kinds[kind];
    generated_request out;
    out.kind = kind;
    out.text = makePrompt(kind);
    // The first event has one token.
    const auto events = static_cast<std::int64_t>(std::ceil(size(profile.events)));
    out.outputTokens = (events - 1) * m_tokensPerEvent + 1;
    out.text.outputTokens = out.outputTokens;
    const double mean
        = sizeOf(profile.common.mean + profile.shared.mean + profile.own.mean, profile.events.mean * m_tokensPerEvent);
    const double own = sizeOf(static_cast<double>(out.text.inputTokens), static_cast<double>(out.outputTokens)) / mean;
    const double weight = std::min(maxValuedSize, 1 - valueBySizeShare + valueBySizeShare * own);
    out.owed = profile.value * weight;
    out.owedLate = profile.lateValue * weight;
    return out;
}

}
