// Learned paces.
#include "serving/engine_pace.h"

#include <algorithm>
#include <cmath>

namespace tamarack::serving {

namespace {

    /// Looking at a million earlier tokens costs about as much as reading 32; at the users' engines it is 20 to 41.
    constexpr double workPerPair = 32e-6;
    constexpr double bitsPerByte = 8;
    constexpr double bitsPerMegabit = 1e6;
    /// Transfers between zones take twice as long, say the users' pages.
    constexpr double otherZoneFactor = 2;

    /// Until the first answers: near the slower of the users' engines, steps included. Engines that also write read
    /// half as fast.
    constexpr double firstPrefillPace = 1.0 / 55'000;
    constexpr double firstDecodePace = 1.0 / 27'000;
    /// Between what is measured at the users' engines: 15 to 90 ms, and 10 to 25 ms.
    constexpr double firstReadBase = 0.04;
    constexpr double firstImportBase = 0.02;
    /// As measured at the users' engines with some 20 streams: 4.0 to 5.5 ms.
    constexpr double firstStep = 0.005;

    /// What an engine does for others can only make something take longer, so its own times are at the lower end of
    /// what is seen. Share of the samples that is to be below. At a quarter the pace of loaded engines came out up to a
    /// third too long (fleet model, nine readers at 0.8 of their time).
    constexpr double lowerShare = 0.15;
    /// Tokens of a prompt that tells as much of the pace as of what passes for each request.
    constexpr double usualWork = 3'000;
    /// Sizes of the steps with the first samples and after very many: seconds, and shares of the pace.
    constexpr double firstBaseStep = 0.02;
    constexpr double lastBaseStep = 0.0005;
    constexpr double firstPaceStep = 0.4;
    constexpr double lastPaceStep = 0.005;
    constexpr double fewestSeconds = 1e-6; // a token
    constexpr double longestBase = 0.3;
    constexpr double stepDown = 0.2;
    constexpr double stepUp = 0.02;

    /// An engine that has nothing to do with a request for longer than usual is slow, or reads what this node does not
    /// know of; both fade. Seconds that do not count, as answers differ by them anyway.
    constexpr double slownessSlack = 0.05;
    constexpr double slownessWeight = 0.3;
    constexpr double usualLatenessWeight = 0.05; ///< about the last twenty prompts count
    /// Engines of one kind differ by up to a third for good; at three quarters of its time an engine that is taken to
    /// be a fifth faster than it is gets half as much again to wait for as its like.
    constexpr double usualSlownessWeight = 0.1;
    constexpr double mostUsualExcess = 0.1; ///< one that is slow for a while moves it no further
    constexpr double mostUsualSlowness = 2;
    constexpr double fullWeightSeconds = 0.1; ///< of a prompt that tells as much as any
    constexpr double mostSlowness = 8;
    constexpr double leastSlowness = 0.7;
    constexpr double slownessHalfSeconds = 6;

    double stepSize(double first, double last, double samples)
    {
        return std::max(last, first / std::sqrt(1.0 + samples));
    }

    /// The way to move a quantile of what was predicted, given a sample above or below it.
    double direction(double error) { return error > 0 ? lowerShare : lowerShare - 1; }

}

double promptWork(std::int64_t kept, std::int64_t total)
{
    const auto before = static_cast<double>(std::min(kept, total));
    const double read = static_cast<double>(total) - before;
    const double pairs = read * (before + read / 2);
    return read + workPerPair * pairs;
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
        m_unknown.push_back(unknownKind(role));
}

engine_pace::engine_kind engine_pace::unknownKind(target_role role)
{
    engine_kind kind;
    kind.role = role;
    kind.secondsPerToken = role == target_role::decode ? firstDecodePace : firstPrefillPace;
    kind.readBase = firstReadBase;
    kind.importBase = firstImportBase;
    kind.stepSeconds = firstStep;
    return kind;
}

const engine_pace::engine_kind& engine_pace::kindOf(target_id id) const
{
    const auto role = m_fleet.role[id.value];
    for (const auto& kind : m_kinds) {
        if (kind.role == role && kind.service == m_fleet.service[id.value])
            return kind;
    }
    return m_unknown[static_cast<std::size_t>(role)];
}

engine_pace::engine_kind& engine_pace::learningKind(target_id id)
{
    const auto role = m_fleet.role[id.value];
    const auto& service = m_fleet.service[id.value];
    const auto found = std::find_if(m_kinds.begin(), m_kinds.end(),
        [&](const engine_kind& kind) { return kind.role == role && kind.service == service; });
    if (found != m_kinds.end())
        return *found;
    auto kind = unknownKind(role);
    kind.service = service;
    return m_kinds.emplace_back(std::move(kind));
}

double engine_pace::usualSecondsPerToken(target_id id) const { return kindOf(id).secondsPerToken; }

double engine_pace::readBase(target_id id) const { return kindOf(id).readBase; }

double engine_pace::importBase(target_id id) const { return kindOf(id).importBase; }

double engine_pace::stepSeconds(target_id id) const { return kindOf(id).stepSeconds; }

double engine_pace::slowness(target_id id, instant now) const
{
    if (id.value >= m_engines.size())
        return 1;
    const auto& engine = m_engines[id.value];
    const double passing = engine.slowness - engine.usualSlowness;
    return engine.usualSlowness + passing * std::exp2(-seconds(now - engine.at) / slownessHalfSeconds);
}

void engine_pace::followRead(engine_kind& kind, double work, double own)
{
    const double ofBase = 1 / (1 + work / usualWork);
    const double way = direction(own - (kind.readBase + work * kind.secondsPerToken));
    const double baseStep = stepSize(firstBaseStep, lastBaseStep, kind.baseReads);
    const double paceStep = stepSize(firstPaceStep, lastPaceStep, kind.paceReads) * kind.secondsPerToken;
    kind.readBase = std::clamp(kind.readBase + way * ofBase * baseStep, 0.0, longestBase);
    kind.secondsPerToken = std::max(kind.secondsPerToken + way * (1 - ofBase) * paceStep, fewestSeconds);
    kind.baseReads += ofBase;
    kind.paceReads += 1 - ofBase;
}

// What goes wrong without it: an engine that has turned slow gets as much as before until its callers have given up.
// What all of its kind are late by is no slowness of one: it is the load, and waits that no node knows of.
void engine_pace::followSlowness(target_id id, double work, double other, double own, instant now)
{
    if (id.value >= m_engines.size())
        m_engines.resize(id.value + 1);
    auto& engine = m_engines[id.value];
    auto& kind = learningKind(id);
    const double before = slowness(id, now);
    const double expected = other + work * kind.secondsPerToken * before;
    const double lateness = std::log((std::max(0.0, own) + slownessSlack) / (expected + slownessSlack));
    const double weight = std::min(1.0, std::max(expected, own) / fullWeightSeconds);
    const double excess = lateness - kind.usualLateness;
    kind.usualLateness += usualLatenessWeight * weight * excess;
    engine.usualSlowness
        *= std::exp(usualSlownessWeight * weight * std::clamp(excess, -mostUsualExcess, mostUsualExcess));
    engine.usualSlowness = std::clamp(engine.usualSlowness, leastSlowness, mostUsualSlowness);
    engine.slowness = std::clamp(before * std::exp(slownessWeight * weight * excess), leastSlowness, mostSlowness);
    engine.at = now;
}

void engine_pace::read(target_id id, double work, double other, duration elapsed, instant now)
{
    auto& kind = learningKind(id);
    followSlowness(id, work, other, seconds(elapsed) - kind.readBase, now);
    // What the prompt waited for is known badly, so what is left without it may be too little: then it teaches only if
    // it was read sooner than it could be by itself.
    const double alone = kind.readBase + work * kind.secondsPerToken;
    const double least = std::min(seconds(elapsed), alone);
    followRead(kind, work, std::max(seconds(elapsed) - other, least));
}

void engine_pace::imported(target_id id, double transfer, duration elapsed)
{
    auto& kind = learningKind(id);
    const double own = seconds(elapsed) - transfer;
    const double size = stepSize(firstBaseStep, lastBaseStep, kind.imports);
    kind.importBase = std::clamp(kind.importBase + direction(own - kind.importBase) * size, 0.0, longestBase);
    ++kind.imports;
}

void engine_pace::wrote(target_id id, int tokens, duration interval)
{
    auto& step = learningKind(id).stepSeconds;
    const double sample = seconds(interval) / std::max(1, tokens);
    step += (sample < step ? stepDown : stepUp) * (sample - step);
}

void engine_pace::forget(target_id id)
{
    if (id.value < m_engines.size())
        m_engines[id.value] = {};
}

}
