// Implements the cost model of placement. Costs are in equivalent seconds of waiting, or in slots at plain targets.
#include "serving/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace tamarack::serving {

namespace {

    /// The cost of a handover from prefill to decode beyond its time, because links are shared.
    constexpr double handoverPenaltySeconds = 0.01;
    /// A prefill at a decoding engine slows all streams there. This is the cost of a second of prefill where all slots
    /// are taken. Without it phases with many small prompts fill the decoding engines, whose streams then take three
    /// times as long and hold their slots. In simulations of four fleets with 1.25 times the small prompts, one fleet
    /// earned 0.850 of its requests' value without it and with a handover penalty of 0.03, and 0.871 with the present
    /// values; at the usual load it earned 0.903 and 0.912. The other fleets differed by at most 0.007, and by 0.004 at
    /// the usual load.
    constexpr double slowdownWeight = 1.5;
    /// Traffic between availability zones is expensive.
    constexpr double otherZonePenaltySeconds = 0.01;
    /// The cost of a fetch beyond its time: the copy evicts something else from the cache, and what no engine has
    /// cached any more is prefilled again. With 0.02 an engine's cache turned over in about 14 s, two thirds of it for
    /// copies. In simulations of 12 days two fleets earned 0.686 and 0.632 of their requests' value at 0.02, 0.697 and
    /// 0.639 at 0.15, and 0.699 and 0.643 at 0.4.
    constexpr double fetchPenaltySeconds = 0.25;
    /// The cost of decoding an answer at an engine that has none of the prompt cached, because the import takes as much
    /// memory as a fetch. In simulations one fleet earned 0.8927 of its requests' value at 0.06 and 0.8952 at 0.12; the
    /// other fleets differed by at most 0.002.
    constexpr double importPenaltySeconds = 0.12;
    /// The cost of decoding in the availability zone in which the only copies of a long prefix are, if the instances of
    /// a whole zone may leave at once. A prefix that has to be prefilled again makes its next request late.
    constexpr double onlyZonePenaltySeconds = 0.15;
    /// A shorter prefix is prefilled again in one step of an engine.
    constexpr std::int64_t minSpreadTokens = 2048;
    /// Above this share of an engine's slots, all of them may be taken before the nodes have exchanged their loads. The
    /// weight is the cost of one full engine's worth of requests above it. In simulations two fleets earned 0.8865 and
    /// 0.921 of their requests' value at 0.7, and 0.8952 and 0.926 at 0.85.
    constexpr double occupancyThreshold = 0.85;
    constexpr double occupancyWeight = 1.0;
    /// A waiting late prompt occupies a slot that answers need; engines that only prefill have slots to spare. This is
    /// the cost of one more where all slots are taken.
    constexpr double lateSlotSeconds = 0.8;
    /// The cost of a second for which an engine is blocked for other requests.
    constexpr double blockingWeight = 1;
    /// The share of an engine's streams that miss their aim because of a pause and would not miss it otherwise; the
    /// others end before their next event, or had a pause already. A model that counted half a late request in all
    /// earned less: at 1.25 times its load a fleet of 18 engines earned 0.711 of its requests' value instead of 0.746,
    /// in simulations with four seeds.
    constexpr double pauseShare = 0.5;
    constexpr double ownPauseShare = 0.5;
    /// The typical length of a stream; after it an engine has other streams.
    constexpr double typicalStreamSeconds = 2;
    /// The cost of a late answer; it makes a fast answer at any target better than a late one.
    constexpr double latePenaltySeconds = 10;
    /// A prefill that a cached prefix would save delays other requests at the engine as well as this one.
    constexpr double sharedWorkWeight = 1.0;
    /// The cost of an attempt that is certain to fail.
    constexpr double failurePenaltySeconds = 0.3;
    /// The cost of a target in another availability zone, in slots.
    constexpr double otherZonePenaltySlots = 1.5;
    /// The same at a plain target, in slots; a lost call is worth far more than a wait. With two
    /// of three targets losing 30% of their answers for 5 s, nine nodes lost 25 of 450 calls at 12, and 9 at 40.
    constexpr double failurePenaltySlots = 40;
    /// A small random part keeps nodes with the same view from choosing the same target.
    constexpr double noiseSlots = 0.3;
    /// Calls of plain targets are over before peers get a report of them, so a reported load is an average of the
    /// recent past. Without noise all nodes would send their calls to the target with the lowest reported load until
    /// the next heartbeats. The noise is this multiple of the peers' calls at a target.
    constexpr double staleLoadNoise = 4;
    constexpr double noiseSeconds = 0.002;
    /// The cost of a new connection beyond its time: it is work for the target, which accepts a limited number of
    /// connections.
    constexpr double connectionSetupSeconds = 0.03;

    bool isEngine(target_role role) { return role != target_role::plain; }

}

placement::placement(placement_inputs inputs, std::uint64_t seed)
    : m_inputs(inputs)
    , m_pauses(inputs.pace, inputs.queues)
    , m_random(seed)
{
}

const std::vector<std::uint32_t>& placement::candidates(const placement_query& query, instant now)
{
    m_candidates.clear();
    m_profile = query.request.configuration->findService(query.request.service);
    const auto& fleet = m_inputs.fleet;
    bool isAvoidedLeft = false;
    bool canBeAnswered = false;
    bool isAnyLimited = false;
    bool isAnyOpen = false; // of the targets that may answer, one has no limit or this node a permit
    for (const auto row : fleet.rowsOf(query.request.service)) {
        const bool isPrefill = fleet.role[row] == target_role::prefill;
        if (!isPrefill && mayAnswer(row, query) && !fleet.isLeaving({ row })) {
            isAnyLimited |= fleet.isLimited[row] != 0;
            isAnyOpen |= fleet.hasPermit({ row }, now);
        }
        if (!fleet.acceptsWork({ row }, now) || !matchesServiceKind(row) || !(isPrefill || mayAnswer(row, query)))
            continue;
        if (target_id { row } == query.avoid) {
            isAvoidedLeft = !isPrefill;
            continue;
        }
        m_candidates.push_back(row);
        canBeAnswered |= !isPrefill;
    }
    if (!canBeAnswered && isAvoidedLeft) {
        m_candidates.push_back(query.avoid.value);
        canBeAnswered = true;
    }
    // The answer may come from few targets, and a prompt that none of them can take is not prefilled.
    if (!canBeAnswered && (query.build.isValid() || (isAnyLimited && !isAnyOpen)))
        m_candidates.clear();
    return m_candidates;
}

bool placement::mayAnswer(std::uint32_t row, const placement_query& query) const
{
    const auto& fleet = m_inputs.fleet;
    return fleet.role[row] != target_role::prefill && (!query.build.isValid() || fleet.buildId[row] == query.build);
}

// Without this check prompts would go to targets that cannot prefill them: a record that no target has written may name
// a service of engines without a role, or a service of plain targets with one.
bool placement::matchesServiceKind(std::uint32_t row) const
{
    return !m_profile || m_profile->engine.has_value() == isEngine(m_inputs.fleet.role[row]);
}

std::optional<instant> placement::allRestUntil(const placement_query& query, instant now)
{
    const auto& fleet = m_inputs.fleet;
    m_profile = query.request.configuration->findService(query.request.service);
    std::optional<instant> earliest;
    for (const auto row : fleet.rowsOf(query.request.service)) {
        const bool canAnswer = !fleet.isDraining[row] && mayAnswer(row, query);
        if (!canAnswer || !matchesServiceKind(row))
            continue;
        if (!fleet.isResting({ row }, now))
            return std::nullopt;
        earliest = std::min(earliest.value_or(instant::max()), fleet.restUntil[row]);
    }
    return earliest;
}

std::vector<std::uint32_t> placement::limitedTargets(const placement_query& query, instant now)
{
    const auto& fleet = m_inputs.fleet;
    m_profile = query.request.configuration->findService(query.request.service);
    std::vector<std::uint32_t> out;
    for (const auto row : fleet.rowsOf(query.request.service)) {
        const bool isPrefill = fleet.role[row] == target_role::prefill;
        const bool isUseful = mayAnswer(row, query) || (isPrefill && query.request.text && query.maySplitPrefill);
        if (fleet.isLimited[row] && isUseful && matchesServiceKind(row) && !fleet.isLeaving({ row })
            && !fleet.isResting({ row }, now))
            out.push_back(row);
    }
    return out;
}

bool placement::isLimited(const placement_query& query, instant now)
{
    const auto& fleet = m_inputs.fleet;
    m_profile = query.request.configuration->findService(query.request.service);
    bool isAnyLimited = false;
    for (const auto row : fleet.rowsOf(query.request.service)) {
        if (!mayAnswer(row, query) || !matchesServiceKind(row) || fleet.isLeaving({ row })
            || fleet.isResting({ row }, now))
            continue;
        if (fleet.hasPermit({ row }, now))
            return false;
        isAnyLimited = true;
    }
    return isAnyLimited;
}

target_choice placement::chooseFirst(const placement_query& query, instant now)
{
    const auto& rows = candidates(query, now);
    if (rows.empty())
        return {};
    const bool isEngineService = isEngine(m_inputs.fleet.role[rows.front()]);
    return isEngineService ? chooseEngine(query, now) : choosePlain(now);
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
    const double noise = noiseSlots + staleLoadNoise * meanPeersRunning();
    for (const auto row : m_candidates) {
        const target_id id { row };
        if (!m_inputs.room.accepts(id, m_profile))
            continue;
        double cost
            = fleet.running(id) + noise * m_random.unit() + failurePenaltySlots * m_inputs.health.failureShare(id, now);
        if (!fleet.isLocal(id))
            cost += otherZonePenaltySlots;
        if (cost >= lowest)
            continue;
        lowest = cost;
        best.target = id;
    }
    return best;
}

// The penalty keeps slots free: an engine whose slots are all taken preempts a running request for a more urgent one,
// and later prefills the whole prompt again.
double placement::occupancyPenaltySeconds(target_id id) const
{
    return occupancyWeight * std::max(0.0, occupancyShare(id) - occupancyThreshold);
}

double placement::connectionPenaltySeconds(target_id id, instant now) const
{
    return m_inputs.connections.has(id, now) ? 0 : connectionSetupSeconds;
}

double placement::occupancyShare(target_id id) const
{
    return static_cast<double>(m_inputs.fleet.running(id) + 1) / m_inputs.fleet.slots[id.value];
}

// While an engine prefills, each of its decode steps is longer, and its streams pause between two events for longer
// than their callers' aim. Each affected stream is late, so the cost is that of as many late requests. Where the
// streams pause already, only the request's own stream is late.
double placement::pausePenaltySeconds(target_id id, double work, instant now)
{
    const int streams = m_inputs.fleet.running(id);
    if (!m_profile || streams == 0 || m_pauses.excessSeconds(id, work, *m_profile, now) <= 0)
        return 0;
    if (m_pauses.excessSeconds(id, 0, *m_profile, now) <= 0)
        return latePenaltySeconds * pauseShare * streams;
    // The present streams pause already. Only the streams that start during this prefill are affected in addition, and
    // the request's own stream.
    const double length = m_inputs.queues.prefillSeconds(id, work, now);
    const double affected = pauseShare * streams * std::min(1.0, length / typicalStreamSeconds);
    return latePenaltySeconds * (ownPauseShare + affected);
}

void placement::findPrefixHolders(const placement_query& query, instant now)
{
    m_prefixHolders.clear();
    if (!query.request.text)
        return;
    // An engine that leaves takes no requests, but its cached prefixes can be fetched until it is gone.
    const auto& fleet = m_inputs.fleet;
    for (const auto row : fleet.rowsOf(query.request.service)) {
        const bool isLeaving = fleet.isLeaving({ row });
        if (!isLeaving && !fleet.acceptsWork({ row }, now))
            continue;
        const auto tokens = m_inputs.caches.fetchableTokens({ row }, *query.request.text);
        if (tokens > 0)
            m_prefixHolders.push_back({ { row }, tokens, isLeaving });
    }
}

placement::cached_prefix placement::bestHolderFor(target_id id) const
{
    const auto& zone = m_inputs.fleet.zone;
    cached_prefix best;
    for (const auto& holder : m_prefixHolders) {
        if (holder.engine == id || holder.tokens < best.tokens)
            continue;
        const bool isNearer = best.engine.isValid() && zone[holder.engine.value] == zone[id.value]
            && zone[best.engine.value] != zone[id.value];
        const bool isPreferred = holder.isLeaving == best.isLeaving ? isNearer : best.isLeaving;
        if (holder.tokens > best.tokens || isPreferred)
            best = holder;
    }
    return best;
}

target_choice placement::estimatePrefill(target_id id, const placement_query& query, instant now) const
{
    const auto& fleet = m_inputs.fleet;
    target_choice choice;
    choice.target = id;
    if (query.request.text) {
        const auto& text = *query.request.text;
        const auto reusable = m_inputs.caches.reusableTokens(id, text);
        const auto holder = bestHolderFor(id);
        // The engine to fetch from is also named if the chosen engine is believed to have the same prefix cached. Cache
        // events of the chosen engine arrive late, so it may have evicted parts of the prefix already. It then fetches
        // these parts instead of prefilling them again.
        if (holder.tokens > 0 && holder.tokens >= reusable)
            choice.fetchFrom = holder.engine;
        choice.isFetching = holder.tokens > reusable;
        choice.isRescuing = choice.isFetching && holder.isLeaving;
        if (choice.isFetching)
            choice.transferSeconds = transferTime(holder.tokens - reusable, holder.engine, id);
        choice.work = prefillWork(std::max(reusable, holder.tokens), text.inputTokens);
    }
    choice.seconds = choice.transferSeconds + m_inputs.pace.prefillOverheadSeconds(id);
    choice.seconds += m_inputs.queues.prefillSeconds(id, choice.work, now);
    if (fleet.role[id.value] == target_role::prefill) {
        choice.stage = attempt_stage::prefill;
        choice.seconds += handoverSeconds(id, query);
    }
    choice.rank = rankOf(choice.work);
    choice.waitSeconds = m_inputs.queues.waitSeconds(id, choice.rank, now);
    if (choice.seconds + choice.waitSeconds > query.secondsUntilAim) {
        choice.rank = prefill_rank::late;
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

// The engine that decodes is chosen only after the prefill, so the import overhead of any engine that decodes is used
// as an estimate.
double placement::handoverSeconds(target_id prefillEngine, const placement_query& query) const
{
    const auto tokens = query.request.text ? query.request.text->inputTokens : 0;
    double base = 0;
    for (const auto row : m_candidates) {
        if (m_inputs.fleet.role[row] != target_role::prefill) {
            base = m_inputs.pace.importOverheadSeconds({ row });
            break;
        }
    }
    return base + transferTime(tokens, prefillEngine, prefillEngine);
}

// Without this cost late requests would be spread over all engines, and at each of them a late one that has started
// would delay the fast ones for its whole length. Where a late request of that length is queued already, a further one
// does no more harm.
double placement::addedBlockingSeconds(const target_choice& choice, instant now) const
{
    const double held = m_inputs.queues.prefillSeconds(choice.target, choice.work, now);
    return std::max(0.0, held - m_inputs.queues.longestLateSeconds(choice.target));
}

double placement::lateSlotPenaltySeconds(target_id id) const
{
    if (m_inputs.fleet.role[id.value] == target_role::prefill)
        return 0;
    return lateSlotSeconds * occupancyShare(id);
}

target_choice placement::chooseEngine(const placement_query& query, instant now)
{
    const auto& fleet = m_inputs.fleet;
    findPrefixHolders(query, now);
    target_choice best;
    double lowest = std::numeric_limits<double>::max();
    for (const auto row : m_candidates) {
        const target_id id { row };
        const bool isPrefill = fleet.role[row] == target_role::prefill;
        if (!m_inputs.room.accepts(id, m_profile) || (isPrefill && !(query.request.text && query.maySplitPrefill)))
            continue;
        const auto choice = estimatePrefill(id, query, now);
        double cost = choice.seconds + sharedWorkWeight * m_inputs.queues.prefillSeconds(id, choice.work, now);
        cost += noiseSeconds * m_random.unit() + failurePenaltySeconds * m_inputs.health.failureShare(id, now);
        if (choice.rank == prefill_rank::late)
            cost
                += latePenaltySeconds + blockingWeight * addedBlockingSeconds(choice, now) + lateSlotPenaltySeconds(id);
        if (!isPrefill)
            cost += pausePenaltySeconds(id, choice.work, now);
        if (!isPrefill)
            cost += slowdownWeight * occupancyShare(id) * m_inputs.queues.prefillSeconds(id, choice.work, now);
        if (choice.isFetching && !choice.isRescuing)
            cost += fetchPenaltySeconds;
        cost += occupancyPenaltySeconds(id) + connectionPenaltySeconds(id, now);
        if (choice.stage == attempt_stage::prefill)
            cost += handoverPenaltySeconds;
        if (!fleet.isLocal(id))
            cost += otherZonePenaltySeconds;
        if (cost >= lowest)
            continue;
        lowest = cost;
        best = choice;
    }
    return best;
}

double placement::uncachedShare(target_id id, const serving_request& request) const
{
    if (!request.text || request.text->inputTokens <= 0)
        return 0;
    const auto reusable = static_cast<double>(m_inputs.caches.reusableTokens(id, *request.text));
    return 1 - reusable / static_cast<double>(request.text->inputTokens);
}

bool placement::isOnlyCopyIn(const std::string& zone, const serving_request& request) const
{
    const bool mayLoseZone = m_profile && m_profile->scaling && m_profile->scaling->spotPrice;
    if (!mayLoseZone || !request.text || request.text->parts.size() < 2)
        return false;
    const auto& fleet = m_inputs.fleet;
    const auto shared = request.text->inputTokens - request.text->parts.back().tokens;
    if (shared < minSpreadTokens)
        return false;
    return std::none_of(m_candidates.begin(), m_candidates.end(), [&](std::uint32_t row) {
        return fleet.zone[row] != zone && m_inputs.caches.reusableTokens({ row }, *request.text) >= shared;
    });
}

target_choice placement::chooseDecode(const placement_query& query, target_id source, instant now)
{
    const auto& fleet = m_inputs.fleet;
    candidates(query, now);
    const auto& sourceZone = fleet.zone[source.value];
    const bool mustSpread = isOnlyCopyIn(sourceZone, query.request);
    target_choice best;
    double lowest = std::numeric_limits<double>::max();
    for (const auto row : m_candidates) {
        const target_id id { row };
        if (fleet.role[row] == target_role::prefill || !m_inputs.room.accepts(id, m_profile))
            continue;
        // Where prefill makes streams pause, all queued prefill counts, whenever it will run.
        const bool isPauseProne
            = m_profile && m_pauses.prefillBudgetSeconds(id, *m_profile, now) < std::numeric_limits<double>::infinity();
        const auto rank = isPauseProne ? prefill_rank::late : prefill_rank::tiny;
        const double wait = m_inputs.queues.waitSeconds(id, rank, now);
        const auto tokens = query.request.text ? query.request.text->inputTokens : 0;
        const double transfer = transferTime(tokens, source, id);
        double cost = wait + transfer + noiseSeconds * m_random.unit();
        cost += failurePenaltySeconds * m_inputs.health.failureShare(id, now);
        cost += occupancyPenaltySeconds(id) + connectionPenaltySeconds(id, now);
        if (m_profile && m_pauses.excessSeconds(id, 0, *m_profile, now) > 0)
            cost += latePenaltySeconds * ownPauseShare;
        if (fleet.zone[row] != sourceZone)
            cost += otherZonePenaltySeconds;
        else if (mustSpread)
            cost += onlyZonePenaltySeconds;
        cost += importPenaltySeconds * uncachedShare(id, query.request);
        if (cost >= lowest)
            continue;
        lowest = cost;
        best.target = id;
        best.stage = attempt_stage::decode;
        best.transferSeconds = transfer;
        best.seconds = wait + transfer + m_inputs.pace.importOverheadSeconds(id);
    }
    return best;
}

}
