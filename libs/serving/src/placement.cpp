// Costs and choices.
#include "serving/placement.h"

#include <algorithm>
#include <limits>

namespace tamarack::serving {

namespace {

    /// Prompts below this are read in one or two steps between the tokens of other requests: a second engine and a
    /// transfer would cost more than they save.
    constexpr std::int64_t smallPromptTokens = 2'000;
    /// To export, move and import a KV cache of some 17,000 tokens within a zone, as measured.
    constexpr double moveSeconds = 0.03;
    /// What the move costs beyond its time, as seconds of waiting that are worth as much: links are shared.
    constexpr double movePenaltySeconds = 0.03;
    /// Two zones: the transfer takes twice as long, and bytes between zones are dear.
    constexpr double otherZoneMoveSeconds = 0.06;
    constexpr double otherZoneSeconds = 0.01;
    /// To fetch a beginning of some 13,000 tokens from another engine.
    constexpr double fetchSeconds = 0.025;
    constexpr double fetchPenaltySeconds = 0.02;
    /// Requests at an engine, in its slots. What waits there is taken up by urgency, so a place in the queue costs the
    /// urgent ones nothing.
    constexpr int enginePlaces = 2;
    /// A fast answer anywhere is better than a late one.
    constexpr double lateSeconds = 10;
    /// A decode step grows by this for each request it serves.
    constexpr double stepSecondsPerRunning = 0.0002;
    /// Reading a beginning again takes the engine from others as well as from this request.
    constexpr double sharedWorkWeight = 1.0;
    /// How much of a request that may fail is lost.
    constexpr double failureSeconds = 0.3;
    /// Of a slot, in favour of the node's own zone.
    constexpr double otherZoneSlots = 1.5;
    constexpr double failureSlots = 12;
    /// A small random part keeps nodes with the same view from choosing the same target.
    constexpr double noiseSlots = 0.3;
    constexpr double noiseSeconds = 0.002;

    bool isEngine(target_role role) { return role != target_role::plain; }

}

placement::placement(placement_inputs inputs, std::uint64_t seed)
    : m_inputs(inputs)
    , m_random(seed)
{
}

const std::vector<std::uint32_t>& placement::candidates(const placement_need& need, instant now)
{
    m_candidates.clear();
    bool hasAvoided = false;
    for (const auto row : m_inputs.fleet.rowsOf(need.request.service)) {
        if (!m_inputs.fleet.takesWork({ row }, now))
            continue;
        if (target_id { row } == need.avoid)
            hasAvoided = true;
        else
            m_candidates.push_back(row);
    }
    if (m_candidates.empty() && hasAvoided)
        m_candidates.push_back(need.avoid.value);
    return m_candidates;
}

// What goes wrong without the cap: a target resets each connection beyond its own bound, which all nodes share, and the
// requests on them are lost. A node keeps to its part of it.
bool placement::hasRoom(target_id id, const placement_need& need) const
{
    const auto& fleet = m_inputs.fleet;
    const auto* profile = need.request.configuration->findService(need.request.service);
    const int cap = profile ? profile->connectionCap : 0;
    if (cap > 0 && fleet.ownRunning[id.value] >= std::max(1, cap / m_knownNodes))
        return false;
    // Engines order what waits there by urgency, plain targets do not.
    const int places = fleet.role[id.value] == target_role::plain ? fleet.slots[id.value]
                                                                  : enginePlaces * fleet.slots[id.value];
    return fleet.running(id) < places;
}

target_choice placement::chooseFirst(const placement_need& need, instant now)
{
    const auto& rows = candidates(need, now);
    if (rows.empty())
        return {};
    const bool isEngineService = isEngine(m_inputs.fleet.role[rows.front()]);
    return isEngineService ? chooseEngine(need, now) : choosePlain(need, now);
}

target_choice placement::choosePlain(const placement_need& need, instant)
{
    const auto& fleet = m_inputs.fleet;
    target_choice best;
    double lowest = std::numeric_limits<double>::max();
    for (const auto row : m_candidates) {
        const target_id id { row };
        if (!hasRoom(id, need))
            continue;
        double cost
            = fleet.running(id) + noiseSlots * m_random.unit() + failureSlots * m_inputs.health.failureShare(id);
        if (!fleet.isLocal(id))
            cost += otherZoneSlots;
        if (cost >= lowest)
            continue;
        lowest = cost;
        best.target = id;
    }
    return best;
}

target_id placement::bestKeeper(const placement_need& need) const
{
    target_id best;
    std::int64_t most = 0;
    if (!need.request.text)
        return best;
    for (const auto row : m_candidates) {
        const auto kept = m_inputs.caches.fetchableTokens({ row }, *need.request.text);
        if (kept <= most)
            continue;
        most = kept;
        best = { row };
    }
    return best;
}

target_choice placement::reading(target_id id, target_id keeper, const placement_need& need) const
{
    const auto& fleet = m_inputs.fleet;
    target_choice choice;
    choice.target = id;
    if (need.request.text) {
        const auto& text = *need.request.text;
        auto kept = m_inputs.caches.keptTokens(id, text);
        const auto elsewhere = keeper.isValid() ? m_inputs.caches.fetchableTokens(keeper, text) : 0;
        if (elsewhere > kept) {
            kept = elsewhere;
            choice.fetchFrom = keeper;
            choice.seconds += fetchSeconds;
        }
        choice.work = promptWork(kept, text.inputTokens);
    }
    const double pace = m_inputs.pace.secondsPerToken(id);
    choice.seconds += m_inputs.pace.baseSeconds(id) + choice.work * pace;
    choice.seconds += fleet.running(id) * stepSecondsPerRunning;
    if (fleet.role[id.value] == target_role::prefill) {
        choice.stage = attempt_stage::prefill;
        choice.seconds += moveSeconds;
    }
    // Work that is late anyway lets the rest go first, so it counts only for others like it.
    choice.workBefore = fleet.fastWork(id);
    if (choice.seconds + choice.workBefore * pace > need.secondsToAim) {
        choice.lane = work_lane::late;
        choice.workBefore = fleet.work(id);
    }
    choice.seconds += choice.workBefore * pace;
    return choice;
}

target_choice placement::chooseEngine(const placement_need& need, instant)
{
    const auto& fleet = m_inputs.fleet;
    const bool isSmall = !need.request.text || need.request.text->inputTokens < smallPromptTokens;
    const target_id keeper = bestKeeper(need);
    target_choice best;
    double lowest = std::numeric_limits<double>::max();
    for (const auto row : m_candidates) {
        const target_id id { row };
        if (!hasRoom(id, need) || (isSmall && fleet.role[row] == target_role::prefill))
            continue;
        const auto choice = reading(id, keeper, need);
        double cost = choice.seconds + sharedWorkWeight * choice.work * m_inputs.pace.secondsPerToken(id);
        cost += noiseSeconds * m_random.unit() + failureSeconds * m_inputs.health.failureShare(id);
        if (choice.lane == work_lane::late)
            cost += lateSeconds;
        if (choice.fetchFrom.isValid())
            cost += fetchPenaltySeconds;
        if (choice.stage == attempt_stage::prefill)
            cost += movePenaltySeconds;
        if (!fleet.isLocal(id))
            cost += otherZoneSeconds;
        if (cost >= lowest)
            continue;
        lowest = cost;
        best = choice;
    }
    return best;
}

target_choice placement::chooseDecode(const placement_need& need, target_id source, instant now)
{
    const auto& fleet = m_inputs.fleet;
    candidates(need, now);
    target_choice best;
    double lowest = std::numeric_limits<double>::max();
    for (const auto row : m_candidates) {
        const target_id id { row };
        if (fleet.role[row] == target_role::prefill || !hasRoom(id, need))
            continue;
        const double wait
            = fleet.work(id) * m_inputs.pace.secondsPerToken(id) + fleet.running(id) * stepSecondsPerRunning;
        double cost = wait + noiseSeconds * m_random.unit() + failureSeconds * m_inputs.health.failureShare(id);
        if (fleet.zone[row] != fleet.zone[source.value])
            cost += otherZoneMoveSeconds;
        if (cost >= lowest)
            continue;
        lowest = cost;
        best.target = id;
        best.stage = attempt_stage::decode;
        best.seconds = wait;
    }
    return best;
}

}
