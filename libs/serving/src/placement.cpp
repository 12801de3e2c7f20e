// Costs and choices.
#include "serving/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace tamarack::serving {

namespace {

    /// What the move costs beyond its time, as seconds of waiting that are worth as much: links are shared.
    constexpr double movePenaltySeconds = 0.01;
    /// Reading at an engine that writes slows all streams there: seconds of waiting that are as bad as a second of
    /// reading where all slots are taken. In the turn of small prompts they otherwise fill the writers, whose streams
    /// then take three times as long and hold their slots. Played on the users' four fleets with 1.25 times the small
    /// prompts, without it and a move at 0.03, and with both: grown Ahnenhaus 0.850 and 0.871, the others within 0.007;
    /// at the usual load grown Ahnenhaus 0.903 and 0.912, the others within 0.004.
    constexpr double slowdownWeight = 1.5;
    /// Bytes between zones are dear.
    constexpr double otherZoneSeconds = 0.01;
    /// What a fetch costs beyond its time, as seconds of waiting that are worth as much: the copy takes the place of
    /// something else, and what leaves every engine's memory is read again. With 0.02 an engine's memory turned over in
    /// some 14 s, two thirds of it for copies. Measured over 12 days each, mean worth at 0.02, 0.15 and 0.4: Vodoslet
    /// 0.686, 0.697 and 0.699, Ahnenhaus 0.632, 0.639 and 0.643.
    constexpr double fetchPenaltySeconds = 0.25;
    /// The same for an answer that is written where nothing of its prompt is kept: importing it takes as much memory.
    /// Played on the users' four fleets: share of the worth earned at 0.06 and 0.12, grown Ahnenhaus 0.8927 and 0.8952,
    /// the others within 0.002.
    constexpr double importPenaltySeconds = 0.12;
    /// Of an engine's slots: beyond it they may all be taken before the nodes have told each other. Played on the
    /// users' four fleets: grown Ahnenhaus 0.8865 at 0.7 and 0.8952 at 0.85, Vodoslet 0.921 and 0.926. Seconds for a
    /// full engine's worth of requests beyond it.
    constexpr double uncrowdedShare = 0.85;
    constexpr double crowdingWeight = 1.0;
    /// A late prompt that waits takes one of the slots that answers are written in; engines that only read have slots
    /// to spare. Seconds of waiting that are as bad as one more where all are taken.
    constexpr double lateAtWriterSeconds = 0.8;
    /// Seconds of waiting that are as bad as a second for which an engine is held up for others.
    constexpr double blockingWeight = 1;
    /// Of the streams at an engine, those that are late by a pause there and would not be without; the others end
    /// before their next event, or had paused already. Counted so instead of as half a late request in all: at 1.25
    /// times its load a fleet of 18 engines earned 0.746 instead of 0.711 (fleet model, four seeds).
    constexpr double pauseShare = 0.5;
    constexpr double ownPauseShare = 0.5;
    /// Streams last about so long at the users' deployments, so the ones at an engine are others by then.
    constexpr double streamSeconds = 2;
    /// Requests at an engine, in its slots. What waits there is taken up by urgency, so a place in the queue costs the
    /// urgent ones nothing.
    constexpr int enginePlaces = 2;
    /// The same at a plain target. What goes wrong with fewer: calls are held or refused while it has free slots, since
    /// most of the calls that peers told are over; and all that were held are sent at once with the next heartbeats.
    constexpr int plainPlaces = 3;
    /// A fast answer anywhere is better than a late one.
    constexpr double lateSeconds = 10;
    /// Reading a beginning again takes the engine from others as well as from this request.
    constexpr double sharedWorkWeight = 1.0;
    /// How much of a request that may fail is lost.
    constexpr double failureSeconds = 0.3;
    /// Of a slot, in favour of the node's own zone.
    constexpr double otherZoneSlots = 1.5;
    /// Of a plain target, for the share of attempts that are lost there; what is lost is worth far more than a wait.
    /// Two of three targets lost 30% of their answers for 5 s: at 12 nine nodes lost 25 of 450 calls, at 40 they
    /// lost 9.
    constexpr double failureSlots = 40;
    /// A small random part keeps nodes with the same view from choosing the same target.
    constexpr double noiseSlots = 0.3;
    /// Calls of plain targets are over before peers hear of them, so what peers told is an average of the time before.
    /// All nodes would send theirs to the target that had the least, until the next heartbeats; so the noise is this
    /// many times the calls of peers at a target.
    constexpr double oldLoadNoise = 4;
    constexpr double noiseSeconds = 0.002;
    /// What a new connection costs beyond its time, as seconds of waiting that are worth as much: the target is busy
    /// with it, and can have only so many.
    constexpr double connectingCost = 0.03;

    bool isEngine(target_role role) { return role != target_role::plain; }

}

placement::placement(placement_inputs inputs, std::uint64_t seed)
    : m_inputs(inputs)
    , m_pauses(inputs.pace, inputs.queues)
    , m_random(seed)
{
}

const std::vector<std::uint32_t>& placement::candidates(const placement_need& need, instant now)
{
    m_candidates.clear();
    m_profile = need.request.configuration->findService(need.request.service);
    bool hasAvoided = false;
    for (const auto row : m_inputs.fleet.rowsOf(need.request.service)) {
        if (!m_inputs.fleet.takesWork({ row }, now) || !isOfKind(row))
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

// What goes wrong without it: an entry of the list that no target has written names an engines' service but no role, or
// a plain one and a role, and prompts go to something that cannot read them.
bool placement::isOfKind(std::uint32_t row) const
{
    return !m_profile || m_profile->engine.has_value() == isEngine(m_inputs.fleet.role[row]);
}

// What goes wrong without the cap: a target resets each connection beyond its own bound, which all nodes share, and the
// requests on them are lost. A node keeps to its part of it.
bool placement::hasRoom(target_id id) const
{
    const auto& fleet = m_inputs.fleet;
    const int cap = m_profile ? m_profile->connectionCap : 0;
    if (cap > 0 && fleet.ownRunning[id.value] >= std::max(1, cap / m_knownNodes))
        return false;
    const int placesOfSlot = isEngine(fleet.role[id.value]) ? enginePlaces : plainPlaces;
    return fleet.running(id) < placesOfSlot * fleet.slots[id.value];
}

target_choice placement::chooseFirst(const placement_need& need, instant now)
{
    const auto& rows = candidates(need, now);
    if (rows.empty())
        return {};
    const bool isEngineService = isEngine(m_inputs.fleet.role[rows.front()]);
    return isEngineService ? chooseEngine(need, now) : choosePlain(now);
}

double placement::meanPeersRunning() const
{
    double sum = 0;
    for (const auto row : m_candidates)
        sum += m_inputs.fleet.peersRunning[row];
    return sum / static_cast<double>(m_candidates.size());
}

target_choice placement::choosePlain(instant now)
{
    const auto& fleet = m_inputs.fleet;
    target_choice best;
    double lowest = std::numeric_limits<double>::max();
    const double noise = noiseSlots + oldLoadNoise * meanPeersRunning();
    for (const auto row : m_candidates) {
        const target_id id { row };
        if (!hasRoom(id))
            continue;
        double cost
            = fleet.running(id) + noise * m_random.unit() + failureSlots * m_inputs.health.failureShare(id, now);
        if (!fleet.isLocal(id))
            cost += otherZoneSlots;
        if (cost >= lowest)
            continue;
        lowest = cost;
        best.target = id;
    }
    return best;
}

// What goes wrong without it: an engine whose slots are all taken puts a running request back for a more urgent one,
// and reads its whole prompt again later.
double placement::crowdingSeconds(target_id id) const
{
    return crowdingWeight * std::max(0.0, takenShare(id) - uncrowdedShare);
}

double placement::connectingSeconds(target_id id, instant now) const
{
    return m_inputs.connections.has(id, now) ? 0 : connectingCost;
}

double placement::takenShare(target_id id) const
{
    return static_cast<double>(m_inputs.fleet.running(id) + 1) / m_inputs.fleet.slots[id.value];
}

// What goes wrong without it: while an engine reads, each of its steps is longer, and the streams that it writes pause
// between two events for longer than their callers count as smooth. Of the streams there each is late by that, so it
// weighs as much as so many late requests. Where they pause already, only the request's own stream is late.
double placement::pauseSeconds(target_id id, double work, instant now)
{
    const int streams = m_inputs.fleet.running(id);
    if (!m_profile || streams == 0 || m_pauses.excess(id, work, *m_profile, now) <= 0)
        return 0;
    if (m_pauses.excess(id, 0, *m_profile, now) <= 0)
        return lateSeconds * pauseShare * streams;
    // Those that are there pause already; as many as come while this prompt is read are hit besides, and its own.
    const double length = m_inputs.queues.readSeconds(id, work, now);
    const double hit = pauseShare * streams * std::min(1.0, length / streamSeconds);
    return lateSeconds * (ownPauseShare + hit);
}

void placement::findKeepers(const placement_need& need)
{
    m_keepers.clear();
    if (!need.request.text)
        return;
    for (const auto row : m_candidates) {
        const auto tokens = m_inputs.caches.fetchableTokens({ row }, *need.request.text);
        if (tokens > 0)
            m_keepers.push_back({ { row }, tokens });
    }
}

placement::kept_beginning placement::bestKeeperFor(target_id id) const
{
    const auto& zone = m_inputs.fleet.zone;
    kept_beginning best;
    for (const auto& keeper : m_keepers) {
        if (keeper.engine == id || keeper.tokens < best.tokens)
            continue;
        const bool isNearer = best.engine.isValid() && zone[keeper.engine.value] == zone[id.value]
            && zone[best.engine.value] != zone[id.value];
        if (keeper.tokens > best.tokens || isNearer)
            best = keeper;
    }
    return best;
}

target_choice placement::reading(target_id id, const placement_need& need, instant now) const
{
    const auto& fleet = m_inputs.fleet;
    target_choice choice;
    choice.target = id;
    if (need.request.text) {
        const auto& text = *need.request.text;
        const auto kept = m_inputs.caches.keptTokens(id, text);
        const auto keeper = bestKeeperFor(id);
        // Also named when the engine should have the beginning: events of its cache come late, and what it has lost
        // meanwhile is fetched instead of read again.
        if (keeper.tokens > 0 && keeper.tokens >= kept)
            choice.fetchFrom = keeper.engine;
        choice.isFetching = keeper.tokens > kept;
        if (choice.isFetching)
            choice.transferSeconds = transferTime(keeper.tokens - kept, keeper.engine, id);
        choice.work = promptWork(std::max(kept, keeper.tokens), text.inputTokens);
    }
    choice.seconds = choice.transferSeconds + m_inputs.pace.readBase(id);
    choice.seconds += m_inputs.queues.readSeconds(id, choice.work, now);
    if (fleet.role[id.value] == target_role::prefill) {
        choice.stage = attempt_stage::prefill;
        choice.seconds += takeOver(id, need);
    }
    choice.rank = rankOf(choice.work);
    choice.waitSeconds = m_inputs.queues.waitSeconds(id, choice.rank, now);
    if (choice.seconds + choice.waitSeconds > need.secondsToAim) {
        choice.rank = read_rank::late;
        choice.waitSeconds = m_inputs.queues.waitSeconds(id, choice.rank, now);
    }
    choice.seconds += choice.waitSeconds;
    return choice;
}

double placement::transferTime(std::int64_t tokens, target_id from, target_id to) const
{
    const auto& zone = m_inputs.fleet.zone;
    return m_profile ? serving::transferSeconds(*m_profile, tokens, zone[from.value] == zone[to.value]) : 0;
}

// The writer is chosen when the prompt was read, so any of them stands for it here.
double placement::takeOver(target_id reader, const placement_need& need) const
{
    const auto tokens = need.request.text ? need.request.text->inputTokens : 0;
    double base = 0;
    for (const auto row : m_candidates) {
        if (m_inputs.fleet.role[row] != target_role::prefill) {
            base = m_inputs.pace.importBase({ row });
            break;
        }
    }
    return base + transferTime(tokens, reader, reader);
}

// What goes wrong without it: late requests lie at all engines, and at each of them one that was begun holds up the
// fast ones for its whole length. Where one of that length lies already, a further one does no more harm.
double placement::newBlocking(const target_choice& choice, instant now) const
{
    const double held = m_inputs.queues.readSeconds(choice.target, choice.work, now);
    return std::max(0.0, held - m_inputs.queues.longestLate(choice.target));
}

double placement::lateTakesSlot(target_id id) const
{
    if (m_inputs.fleet.role[id.value] == target_role::prefill)
        return 0;
    return lateAtWriterSeconds * takenShare(id);
}

target_choice placement::chooseEngine(const placement_need& need, instant now)
{
    const auto& fleet = m_inputs.fleet;
    findKeepers(need);
    target_choice best;
    double lowest = std::numeric_limits<double>::max();
    for (const auto row : m_candidates) {
        const target_id id { row };
        const bool isPrefill = fleet.role[row] == target_role::prefill;
        if (!hasRoom(id) || (isPrefill && !(need.request.text && need.mayReadApart)))
            continue;
        const auto choice = reading(id, need, now);
        double cost = choice.seconds + sharedWorkWeight * m_inputs.queues.readSeconds(id, choice.work, now);
        cost += noiseSeconds * m_random.unit() + failureSeconds * m_inputs.health.failureShare(id, now);
        if (choice.rank == read_rank::late)
            cost += lateSeconds + blockingWeight * newBlocking(choice, now) + lateTakesSlot(id);
        if (!isPrefill)
            cost += pauseSeconds(id, choice.work, now);
        if (!isPrefill)
            cost += slowdownWeight * takenShare(id) * m_inputs.queues.readSeconds(id, choice.work, now);
        if (choice.isFetching)
            cost += fetchPenaltySeconds;
        cost += crowdingSeconds(id) + connectingSeconds(id, now);
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

double placement::missingShare(target_id id, const serving_request& request) const
{
    if (!request.text || request.text->inputTokens <= 0)
        return 0;
    const auto kept = static_cast<double>(m_inputs.caches.keptTokens(id, *request.text));
    return 1 - kept / static_cast<double>(request.text->inputTokens);
}

target_choice placement::chooseDecode(const placement_need& need, target_id source, instant now)
{
    const auto& fleet = m_inputs.fleet;
    candidates(need, now);
    target_choice best;
    double lowest = std::numeric_limits<double>::max();
    for (const auto row : m_candidates) {
        const target_id id { row };
        if (fleet.role[row] == target_role::prefill || !hasRoom(id))
            continue;
        // Where reading makes streams pause, all that is still to be read there counts, whenever that is.
        const bool isDisturbed
            = m_profile && m_pauses.bearable(id, *m_profile, now) < std::numeric_limits<double>::infinity();
        const auto rank = isDisturbed ? read_rank::late : read_rank::tiny;
        const double wait = m_inputs.queues.waitSeconds(id, rank, now);
        const auto tokens = need.request.text ? need.request.text->inputTokens : 0;
        const double transfer = transferTime(tokens, source, id);
        double cost = wait + transfer + noiseSeconds * m_random.unit();
        cost += failureSeconds * m_inputs.health.failureShare(id, now);
        cost += crowdingSeconds(id) + connectingSeconds(id, now);
        if (m_profile && m_pauses.excess(id, 0, *m_profile, now) > 0)
            cost += lateSeconds * ownPauseShare;
        if (fleet.zone[row] != fleet.zone[source.value])
            cost += otherZoneSeconds;
        cost += importPenaltySeconds * missingShare(id, need.request);
        if (cost >= lowest)
            continue;
        lowest = cost;
        best.target = id;
        best.stage = attempt_stage::decode;
        best.transferSeconds = transfer;
        best.seconds = wait + transfer + m_inputs.pace.importBase(id);
    }
    return best;
}

}
