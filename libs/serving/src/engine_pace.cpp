// Implements the estimates of prefill, import and decode times.
#include "serving/engine_pace.h"

#include <algorithm>
#include <cmath>

namespace tamarack::serving {

namespace {

    /// The cost of attending to an earlier token: a million of these cost about as much as 32 tokens of prefill.
    /// Engines in use range from 20 to 41.
    constexpr double workPerTokenPair = 32e-6;
    constexpr double bitsPerByte = 8;
    constexpr double bitsPerMegabit = 1e6;
    /// Transfers between availability zones take twice as long as within one.
    constexpr double otherZoneFactor = 2;

    /// Initial estimates until the first answers arrive: near the slower engines in use, decode steps included. Engines
    /// that also decode prefill half as fast.
    constexpr double initialPrefillSecondsPerToken = 1.0 / 55'000;
    constexpr double initialDecodeSecondsPerToken = 1.0 / 27'000;
    /// Within the ranges of the engines in use: 15 to 90 ms for a prefill, and 10 to 25 ms for an import.
    constexpr double initialPrefillOverheadSeconds = 0.04;
    constexpr double initialImportOverheadSeconds = 0.02;
    /// Engines in use take 4.0 to 5.5 ms with about 20 streams.
    constexpr double initialStepSeconds = 0.005;

    /// Other work at an engine can only make a request take longer, so the engine's own times lie at the lower end of
    /// the samples. The estimates follow this quantile. At 0.25 the pace of loaded engines came out up to a third too
    /// long, with nine nodes and engines that prefilled for 0.8 of their time.
    constexpr double estimateQuantile = 0.15;
    /// For a prompt of this work a sample counts for the pace as much as for the overhead of each request.
    constexpr double balancedWork = 3'000;
    /// Learning steps of the estimates for the first samples and after very many: in seconds for the overhead, and as a
    /// share of the estimate for the pace.
    constexpr double initialOverheadStep = 0.02;
    constexpr double finalOverheadStep = 0.0005;
    constexpr double initialPaceStep = 0.4;
    constexpr double finalPaceStep = 0.005;
    constexpr double minSecondsPerToken = 1e-6;
    constexpr double maxOverheadSeconds = 0.3;
    constexpr double stepDecreaseWeight = 0.2;
    constexpr double stepIncreaseWeight = 0.02;

    /// An engine whose requests take longer than usual without a reason that this node knows of is slow, or prefills
    /// prompts of which this node has no report; both effects fade. Differences below this do not count, because
    /// answers vary by them anyway.
    constexpr double slownessSlackSeconds = 0.05;
    constexpr double slownessWeight = 0.3;
    constexpr double typicalLatenessWeight = 0.05; ///< averages over about the last 20 prompts
    /// Engines of one kind differ permanently by up to a third. At a load of three quarters, an engine that is taken to
    /// be a fifth faster than it is has half as much again in its queue as the others.
    constexpr double typicalSlownessWeight = 0.1;
    constexpr double maxTypicalExcess = 0.1; ///< limits the effect of a temporary slowdown
    constexpr double maxTypicalSlowness = 2;
    constexpr double fullWeightSeconds = 0.1; ///< expected or actual prefill time from which a sample has full weight
    constexpr double maxSlowness = 8;
    constexpr double minSlowness = 0.7;
    constexpr double slownessHalfLifeSeconds = 6;

    double learningStep(double first, double last, double samples)
    {
        return std::max(last, first / std::sqrt(1.0 + samples));
    }

    /// The step that moves a quantile estimate, from the sign of a sample's error.
    double quantileStep(double error) { return error > 0 ? estimateQuantile : estimateQuantile - 1; }

}

double prefillWork(std::int64_t cachedTokens, std::int64_t totalTokens)
{
    const auto before = static_cast<double>(std::min(cachedTokens, totalTokens));
    const double prefilled = static_cast<double>(totalTokens) - before;
    const double pairs = prefilled * (before + prefilled / 2);
    return prefilled + workPerTokenPair * pairs;
}

double transferSeconds(const service_profile& service, std::int64_t tokens, bool isSameZone)
{
    if (!service.engine || service.engine->linkMegabits <= 0)
        return 0;
    const double bits = bitsPerByte * static_cast<double>(tokens) * static_cast<double>(service.engine->bytesPerToken);
    return bits / (service.engine->linkMegabits * bitsPerMegabit) * (isSameZone ? 1 : otherZoneFactor);
}

engine_pace::engine_pace(const fleet_table& fleet)
    : m_fleet(fleet)
{
    for (const auto role : { target_role::plain, target_role::prefill, target_role::decode, target_role::mixed })
        m_defaultKinds.push_back(defaultKind(role));
}

engine_pace::engine_kind engine_pace::defaultKind(target_role role)
{
    engine_kind kind;
    kind.role = role;
    kind.secondsPerToken = role == target_role::decode ? initialDecodeSecondsPerToken : initialPrefillSecondsPerToken;
    kind.prefillOverheadSeconds = initialPrefillOverheadSeconds;
    kind.importOverheadSeconds = initialImportOverheadSeconds;
    kind.stepSeconds = initialStepSeconds;
    return kind;
}

const engine_pace::engine_kind& engine_pace::kindOf(target_id id) const
{
    const auto role = m_fleet.role[id.value];
    for (const auto& kind : m_kinds) {
        if (kind.role == role && kind.service == m_fleet.service[id.value])
            return kind;
    }
    return m_defaultKinds[static_cast<std::size_t>(role)];
}

engine_pace::engine_kind& engine_pace::findOrAddKind(target_id id)
{
    const auto role = m_fleet.role[id.value];
    const auto& service = m_fleet.service[id.value];
    const auto found = std::find_if(m_kinds.begin(), m_kinds.end(),
        [&](const engine_kind& kind) { return kind.role == role && kind.service == service; });
    if (found != m_kinds.end())
        return *found;
    auto kind = defaultKind(role);
    kind.service = service;
    return m_kinds.emplace_back(std::move(kind));
}

double engine_pace::typicalSecondsPerToken(target_id id) const { return kindOf(id).secondsPerToken; }

double engine_pace::prefillOverheadSeconds(target_id id) const { return kindOf(id).prefillOverheadSeconds; }

double engine_pace::importOverheadSeconds(target_id id) const { return kindOf(id).importOverheadSeconds; }

double engine_pace::stepSeconds(target_id id) const { return kindOf(id).stepSeconds; }

double engine_pace::slowness(target_id id, instant now) const
{
    if (id.value >= m_engines.size())
        return 1;
    const auto& engine = m_engines[id.value];
    const double temporary = engine.slowness - engine.typicalSlowness;
    return engine.typicalSlowness + temporary * std::exp2(-seconds(now - engine.updatedAt) / slownessHalfLifeSeconds);
}

void engine_pace::updatePrefillEstimates(engine_kind& kind, double work, double ownSeconds)
{
    const double overheadWeight = 1 / (1 + work / balancedWork);
    const double step = quantileStep(ownSeconds - (kind.prefillOverheadSeconds + work * kind.secondsPerToken));
    const double overheadStep = learningStep(initialOverheadStep, finalOverheadStep, kind.overheadSamples);
    const double paceStep = learningStep(initialPaceStep, finalPaceStep, kind.paceSamples) * kind.secondsPerToken;
    kind.prefillOverheadSeconds
        = std::clamp(kind.prefillOverheadSeconds + step * overheadWeight * overheadStep, 0.0, maxOverheadSeconds);
    kind.secondsPerToken = std::max(kind.secondsPerToken + step * (1 - overheadWeight) * paceStep, minSecondsPerToken);
    kind.overheadSamples += overheadWeight;
    kind.paceSamples += 1 - overheadWeight;
}

// Without the slowness an engine that becomes slow would get as many requests as before until its callers give up.
// Lateness that all engines of a kind share does not count as slowness: its cause is the load, or waits that no node
// knows of.
void engine_pace::updateSlowness(target_id id, double work, double otherSeconds, double ownSeconds, instant now)
{
    if (id.value >= m_engines.size())
        m_engines.resize(id.value + 1);
    auto& engine = m_engines[id.value];
    auto& kind = findOrAddKind(id);
    const double before = slowness(id, now);
    const double expected = otherSeconds + work * kind.secondsPerToken * before;
    const double lateness
        = std::log((std::max(0.0, ownSeconds) + slownessSlackSeconds) / (expected + slownessSlackSeconds));
    const double weight = std::min(1.0, std::max(expected, ownSeconds) / fullWeightSeconds);
    const double excess = lateness - kind.typicalLateness;
    kind.typicalLateness += typicalLatenessWeight * weight * excess;
    engine.typicalSlowness
        *= std::exp(typicalSlownessWeight * weight * std::clamp(excess, -maxTypicalExcess, maxTypicalExcess));
    engine.typicalSlowness = std::clamp(engine.typicalSlowness, minSlowness, maxTypicalSlowness);
    engine.slowness = std::clamp(before * std::exp(slownessWeight * weight * excess), minSlowness, maxSlowness);
    engine.updatedAt = now;
}

void engine_pace::recordPrefill(target_id id, double work, double otherSeconds, duration elapsed, instant now)
{
    auto& kind = findOrAddKind(id);
    updateSlowness(id, work, otherSeconds, seconds(elapsed) - kind.prefillOverheadSeconds, now);
    // The wait ahead of the prompt is known only roughly, so subtracting it may leave too little. In that case the
    // sample counts only if the prompt was prefilled sooner than an unloaded engine could.
    const double unloadedSeconds = kind.prefillOverheadSeconds + work * kind.secondsPerToken;
    const double minSeconds = std::min(seconds(elapsed), unloadedSeconds);
    updatePrefillEstimates(kind, work, std::max(seconds(elapsed) - otherSeconds, minSeconds));
}

void engine_pace::recordImport(target_id id, double transfer, duration elapsed)
{
    auto& kind = findOrAddKind(id);
    const double ownSeconds = seconds(elapsed) - transfer;
    const double size = learningStep(initialOverheadStep, finalOverheadStep, kind.importSamples);
    kind.importOverheadSeconds
        = std::clamp(kind.importOverheadSeconds + quantileStep(ownSeconds - kind.importOverheadSeconds) * size, 0.0,
            maxOverheadSeconds);
    ++kind.importSamples;
}

void engine_pace::recordStreamEvent(target_id id, int tokens, duration interval)
{
    auto& step = findOrAddKind(id).stepSeconds;
    const double sample = seconds(interval) / std::max(1, tokens);
    step += (sample < step ? stepDecreaseWeight : stepIncreaseWeight) * (sample - step);
}

void engine_pace::forget(target_id id)
{
    if (id.value < m_engines.size())
        m_engines[id.value] = {};
}

}
