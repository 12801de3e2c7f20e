// Request processing from admission to the start of attempts.
#include "serving/dispatcher.h"

#include <algorithm>
#include <utility>

namespace tamarack::serving {

namespace {

    using namespace std::chrono_literals;

    /// An attempt at an engine is stopped if the engine is silent for longer than the sum of the predicted time
    /// multiplied by this factor, stallSlack and the latency target of the route (`aim`). A fully loaded engine can be
    /// silent for that long while it executes a step that the prediction did not include.
    constexpr double stallFactor = 3;
    constexpr duration stallSlack = 200ms;
    /// An attempt is also stopped if its stream has no event for the larger of maxStreamPause and streamPauseFactor
    /// times the latency target for gaps between events (`gapAim`). Callers disconnect after a gap of two seconds, or
    /// of eight times `gapAim`.
    constexpr duration maxStreamPause = 1s;
    constexpr int streamPauseFactor = 4;
    /// A plain target answers within about 20 ms, and within 75 ms in one of a hundred cases.
    constexpr double plainStallShareOfAim = 0.8;
    constexpr duration noTargetRetryDelay = 1s;
    /// A stream is remembered for two calls of the longest time, and for the pause between them.
    constexpr int callsOfStream = 2;
    constexpr duration callerPause = 10s;
    constexpr duration defaultStreamTime = 60s;
    constexpr duration maxStreamMemory = 10min;
    /// Targets close idle connections, some without notice, and a request sent on such a connection may have been
    /// executed. The shorter the idle time, the rarer this is: over 15 days 2,030 requests ended without an answer when
    /// all non-repeatable requests used new connections, and 2,039 when they reused idle ones.
    constexpr duration longestIdle = 2s;
    /// A target that crashes because of a request does so before an event this long after the first one.
    constexpr duration proofTime = 250ms;
    /// A trial waits for as long as claims of other nodes take to arrive.
    constexpr duration trialClaimTime = 60ms;
    constexpr double prefillWaitSmoothing = 0.2; ///< averages about the last five prompts
    /// Engines process requests with the lowest urgency value first. Decode requests whose prompt was prefilled
    /// elsewhere come before all others, then prompts by their rank.
    constexpr int decodeUrgency = 0;
    constexpr int firstUrgency = 1;

    duration longestPause(const route_rule& route)
    {
        return std::max(maxStreamPause, streamPauseFactor * route.gapAim);
    }

    int urgencyOf(const target_choice& choice)
    {
        if (choice.stage == attempt_stage::decode)
            return decodeUrgency;
        return firstUrgency + static_cast<int>(choice.rank);
    }

}

dispatcher::dispatcher(dispatcher_settings settings)
    : m_fleet(settings.availabilityZone)
    , m_peers(m_fleet, settings.peerLoadExpiry)
    , m_pace(m_fleet)
    , m_queues(m_fleet, m_pace, shortHash(settings.vm))
    , m_health(m_fleet)
    , m_rests(m_fleet)
    , m_limits(m_fleet)
    , m_permitIssuer(m_limits, m_fleet)
    , m_permits(m_fleet, m_limits, m_permitIssuer)
    , m_paths(m_fleet, settings.vm, settings.availabilityZone)
    , m_origins(m_fleet, settings.buildsKnownSince)
    , m_quarantine({}, shortHash(settings.vm))
    , m_room(m_fleet)
    , m_placement({ m_fleet, m_pace, m_caches, m_health, m_queues, m_connections, m_room }, settings.seed)
    , m_random(settings.seed + 1)
    , m_retryBound(settings.retries)
    , m_startedAt(settings.startedAt)
{
}

void dispatcher::targetListed(const target_record& record)
{
    const bool isNew = !m_fleet.find(record.instance()).isValid();
    const target_id id = m_fleet.upsert(record);
    if (!isNew)
        return;
    m_pace.forget(id);
    m_queues.forget(id);
    m_caches.forget(id);
    m_connections.forget(id);
    m_health.forget(id);
    m_rests.forget(id);
    m_limits.forget(id);
    m_permitIssuer.forget(id);
    m_permits.forget(id);
    m_paths.forget(id);
}

void dispatcher::targetGone(const std::string& instance, instant) { m_fleet.remove(instance); }

bool dispatcher::targetLeaves(const std::string& instance) { return m_fleet.recordLeaving(instance); }

bool dispatcher::takeBackIfLeaving(request_id request, attempt_id attempt, instant now, command_list& out)
{
    if (!isCurrent(request, attempt))
        return false;
    const auto row = static_cast<std::size_t>(m_book.row(request));
    auto& progress = m_book.progress[row];
    const auto& current = m_book.current[row];
    if (current.id != attempt || !m_fleet.isLeaving(current.target))
        return false;
    if (current.isFirstPrefill) {
        progress.hasTriedPrefill = false;
    } else {
        --progress.sends;
        --progress.arrivals;
    }
    releaseCurrent(row);
    if (!returnToSilent(row, now))
        startOrWait(row, now, out);
    return true;
}

void dispatcher::updatePeerLoad(const std::string& peer, const std::vector<load_entry>& load, instant now)
{
    m_peers.update(peer, load, now);
}

void dispatcher::updatePeerJobs(std::uint32_t peer, const std::vector<prefill_report>& jobs, bool isAll, instant now)
{
    m_queues.applyPeerReports(peer, jobs, isAll, now);
    for (const auto& job : jobs) {
        if (const target_id engine = m_fleet.findByHash(job.target); engine.isValid())
            m_caches.addPendingPart(engine, { job.part, job.partTokens });
    }
}

void dispatcher::updatePeerHealth(const std::vector<health_report>& reports, instant now)
{
    for (const auto& item : reports) {
        if (const target_id target = m_fleet.findByHash(item.target); target.isValid())
            m_health.applyPeerReport(target, item, now);
    }
}

void dispatcher::setKnownNodes(int nodes)
{
    m_knownNodes = nodes;
    m_room.setKnownNodes(nodes);
    m_queues.setKnownNodes(std::max(1, nodes));
    m_quarantine.setKnownNodes(std::max(1, nodes));
}

retry_limiter& dispatcher::retryLimiterOf(const std::string& service)
{
    return m_retryLimiters.try_emplace(service, m_retryBound, m_startedAt).first->second;
}

placement_query dispatcher::needOf(std::size_t row, instant now) const
{
    const auto& times = m_book.times[row];
    const auto& progress = m_book.progress[row];
    // Only the first prefill of a prompt is not counted as a send. A further prefill and the decode after it are two
    // sends.
    const bool isTrial = progress.trialFrom != instant(); // which reaches as few targets as possible
    const bool maySplitPrefill = !progress.hasTriedPrefill && progress.sends == 0 && !isTrial;
    return { m_book.request[row], progress.avoid, seconds(times.aimAt - now), maySplitPrefill, progress.build };
}

request_id dispatcher::submit(serving_request request, instant now, command_list& out)
{
    m_peers.refresh(now);
    retryLimiterOf(request.service).requested(now);
    const request_id id = m_book.add(std::move(request), now);
    const auto row = static_cast<std::size_t>(m_book.row(id));
    if (!m_placement.hasTargets(m_book.request[row].service)) {
        refuse(row, error_kind::no_target, noTargetRetryDelay, out);
        return id;
    }
    if (m_book.request[row].takesUpStream) {
        const auto& held = m_book.request[row];
        const auto stream = held.firstCallId.empty() ? stream_key() : streamKey(held.account, held.firstCallId);
        if (const auto finding = m_origins.find(id, stream, originScopeOf(row), now))
            applyOrigin(*finding, now, out);
        return id;
    }
    startOrWait(row, now, out);
    return id;
}

origin_scope dispatcher::originScopeOf(std::size_t row) const
{
    const auto& route = *m_book.request[row].route;
    origin_scope out;
    for (const auto& share : route.shares)
        out.services.push_back(shortHash(share.service));
    const auto longestCall = route.timeout > duration::zero() ? route.timeout : defaultStreamTime;
    out.lifetime = std::min(callsOfStream * longestCall + callerPause, maxStreamMemory);
    return out;
}

void dispatcher::originReplyReceived(
    const node_endpoint& from, const origin_reply& reply, instant now, command_list& out)
{
    m_origins.replyReceived(from, reply);
    applyOrigins(now, out);
}

void dispatcher::applyOrigins(instant now, command_list& out)
{
    for (const auto& finding : m_origins.takeFindings(now))
        applyOrigin(finding, now, out);
}

void dispatcher::applyOrigin(const origin_finding& finding, instant now, command_list& out)
{
    const auto held = m_book.row(finding.request);
    if (held < 0)
        return;
    const auto row = static_cast<std::size_t>(held);
    auto& request = m_book.request[row];
    out.push_back(report_origin { finding });
    if (!finding.build.isValid()) {
        const bool mayHelpSoon = finding.source == origin_source::unanswered;
        const auto retryAfter
            = mayHelpSoon ? retryDelay(row, now) : answerFor(error_kind::stream_not_resumable).retryAfter;
        return refuse(row, error_kind::stream_not_resumable, retryAfter, out);
    }
    m_book.progress[row].build = finding.build;
    for (const auto& share : request.route->shares) {
        if (m_fleet.hasBuild(share.service, finding.build))
            request.service = share.service;
    }
    startOrWait(row, now, out);
}

void dispatcher::permitsGranted(const std::vector<permit_grant>& grants, instant now, command_list& out)
{
    for (const auto& grant : grants)
        m_permits.granted(grant, now);
    dispatch(now, out);
}

bool dispatcher::takePermit(target_id target, instant now)
{
    if (!m_fleet.hasPermit(target, now)) {
        m_permits.wanted(target, permit_use::required, now + permit_holder::demandTime);
        return false;
    }
    m_permits.used(target, now);
    return true;
}

std::vector<request_trait> dispatcher::quarantinedTraits(std::size_t row) const
{
    std::vector<request_trait> out;
    if (m_quarantine.isEmpty())
        return out;
    const auto& request = m_book.request[row];
    if (m_quarantine.isQuarantined(request.digest))
        out.push_back(request.digest);
    if (!request.text)
        return out;
    for (const auto& part : sharedParts(*request.text)) {
        if (const auto trait = promptPartTrait(part.id); m_quarantine.isQuarantined(trait))
            out.push_back(trait);
    }
    return out;
}

bool dispatcher::isTrial(std::size_t row, const std::vector<request_trait>& quarantined, instant now)
{
    auto& progress = m_book.progress[row];
    if (progress.arrivals > 0 || progress.mayHaveRun || m_book.request[row].takesUpStream)
        return false;
    if (progress.trialFrom != instant())
        return std::all_of(quarantined.begin(), quarantined.end(),
            [this](const auto& trait) { return m_quarantine.ownsTrial(trait); });
    const auto wait = m_quarantine.untilTrial(quarantined, now);
    if (!wait || *wait > duration::zero() || !m_placement.chooseFirst(needOf(row, now), now).target.isValid())
        return false;
    for (const auto& trait : quarantined)
        m_quarantine.claimTrial(trait, now);
    progress.trialFrom = now + trialClaimTime;
    return true;
}

bool dispatcher::refuseIfQuarantined(std::size_t row, instant now, command_list& out)
{
    const auto quarantined = quarantinedTraits(row);
    if (quarantined.empty() || isTrial(row, quarantined, now))
        return false;
    for (const auto& trait : quarantined)
        m_quarantine.heldBack(trait);
    const auto wait = m_quarantine.untilTrial(quarantined, now);
    if (wait)
        refuse(row, error_kind::suspect_request, *wait + answerFor(error_kind::suspect_request).retryAfter, out);
    else
        refuse(row, error_kind::harmful_request, duration::zero(), out);
    return true;
}

void dispatcher::applyQuarantine(const std::vector<quarantine_record>& records, instant now, command_list& out)
{
    for (const auto& record : records)
        m_quarantine.apply(record, now);
    endQuarantined(now, out);
}

void dispatcher::endQuarantined(instant now, command_list& out)
{
    if (std::exchange(m_quarantinesSeen, m_quarantine.begun()) == m_quarantine.begun())
        return;
    for (std::size_t row = 0; row < m_book.rows(); ++row) {
        // An attempt that may run already is the only one that can still show that the request is harmless.
        const auto& current = m_book.current[row];
        const bool mayRun = current.id.isValid() && current.stage != attempt_stage::prefill;
        if (m_book.phase[row] != request_phase::free && !mayRun)
            refuseIfQuarantined(row, now, out);
    }
}

bool dispatcher::tryStart(std::size_t row, instant now, command_list& out)
{
    if (refuseIfQuarantined(row, now, out))
        return true;
    if (now < m_book.progress[row].trialFrom)
        return false;
    // Checked again here, not only when the retry is requested: several waiting requests may each have been allowed a
    // retry before any of them was sent, and all of them are sent together when a slot becomes free.
    if (!mayRetry(row, now)) {
        endWithFailure(row, error_kind::overloaded, now, out);
        return true;
    }
    if (m_placement.allRestUntil(needOf(row, now), now))
        return false; // a prefill would be of no use, either
    if (!m_book.progress[row].cache.name.empty())
        return startDecode(row, now, out);
    auto choice = m_placement.chooseFirst(needOf(row, now), now);
    if (!choice.target.isValid())
        return false;
    if (m_stop && refuseIfStopping(row, timeToAnswer(row, choice, now), now, out))
        return true;
    const auto timeLeft = m_book.times[row].answerDeadline - now;
    if (fromSeconds(choice.seconds) + minUsefulTime > timeLeft) {
        refuse(row, hasRunOrMayRun(row) ? error_kind::attempt_timeout : error_kind::deadline_unreachable,
            retryDelay(row, now), out);
        return true;
    }
    start(row, choice, now, out);
    return true;
}

bool dispatcher::startDecode(std::size_t row, instant now, command_list& out)
{
    const auto choice = m_placement.chooseDecode(needOf(row, now), m_book.progress[row].cache.source, now);
    if (!choice.target.isValid())
        return false;
    if (!m_stop || !refuseIfStopping(row, timeToAnswer(row, choice, now), now, out))
        start(row, choice, now, out);
    return true;
}

void dispatcher::countSend(std::size_t row, instant now)
{
    countArrival(row, now);
    ++m_book.progress[row].sends;
}

void dispatcher::countArrival(std::size_t row, instant now)
{
    if (m_book.progress[row].arrivals++ > 0)
        retryLimiterOf(m_book.request[row].service).sent(now);
}

void dispatcher::start(std::size_t row, const target_choice& choice, instant now, command_list& out)
{
    const auto& request = m_book.request[row];
    auto& progress = m_book.progress[row];
    auto& current = m_book.current[row];
    const bool isFreePrefill = choice.stage == attempt_stage::prefill && !progress.hasTriedPrefill;
    // Those whose waiting is counted as well.
    if (choice.stage != attempt_stage::decode && !isUnderWay(row) && progress.trialFrom == instant())
        m_admission.started(request.service, request.priority, now);
    if (!isFreePrefill)
        countSend(row, now);
    if (choice.stage == attempt_stage::prefill)
        progress.hasTriedPrefill = true;
    if (progress.workBeganAt == instant())
        progress.workBeganAt = now;
    m_book.phase[row] = request_phase::running;
    current = {};
    current.id = { m_nextAttempt++ };
    current.target = choice.target;
    current.build = m_fleet.buildId[choice.target.value];
    current.stage = choice.stage;
    current.isFirstPrefill = isFreePrefill;
    current.work = choice.work;
    current.waitAndTransferSeconds = choice.waitSeconds + choice.transferSeconds;
    current.sentAt = now;
    if (const auto* service = request.configuration->findService(request.service); service && service->engine)
        current.tokensPerEvent = service->engine->tokensPerEvent;
    if (choice.work > 0) {
        current.isPrefilling = true;
        const bool isKept = request.text && choice.rank != prefill_rank::late;
        const auto newPart = isKept ? m_caches.longestUncachedPart(choice.target, *request.text) : prompt_part {};
        current.prefillKey = m_queues.add(choice.target, choice.rank, choice.work, newPart, now);
    }
    duration stallTimeout = fromSeconds(stallFactor * choice.seconds) + stallSlack + request.route->aim;
    if (m_fleet.role[choice.target.value] == target_role::plain)
        stallTimeout = fromSeconds(plainStallShareOfAim * seconds(request.route->aim));
    current.silenceDeadline = now + stallTimeout;
    m_fleet.addRunning(choice.target);
    m_rests.sent(choice.target, now);
    m_permits.used(choice.target, now);
    const auto* detour = m_paths.detourFor(choice.target, now);
    if (detour) {
        current.detour = detour->vm;
        m_paths.detourBegan(detour->vm);
    }
    const bool mayReuseConnection = !progress.hasFailed && (detour || !m_paths.isDoubtful(choice.target));
    if (mayReuseConnection)
        m_connections.take(choice.target, now);
    if (choice.stage == attempt_stage::prefill && choice.rank >= prefill_rank::medium)
        m_prefillWaitSeconds += prefillWaitSmoothing * (choice.waitSeconds - m_prefillWaitSeconds);
    if (request.text && choice.rank != prefill_rank::late)
        m_caches.addPendingPrompt(choice.target, *request.text);
    start_attempt command;
    command.request = m_book.idOf(row);
    command.attempt = current.id;
    command.target = choice.target;
    command.stage = choice.stage;
    if (choice.stage == attempt_stage::decode)
        command.cache = progress.cache;
    if (detour)
        command.detour = *detour;
    command.fetchFrom = choice.fetchFrom;
    command.timeLeft = m_book.times[row].answerDeadline - now;
    command.isLate = choice.rank == prefill_rank::late;
    command.urgency = urgencyOf(choice);
    if (mayReuseConnection)
        command.longestIdle = longestIdle;
    command.predictedSeconds = choice.seconds;
    command.work = choice.work;
    command.waitSeconds = choice.waitSeconds;
    out.push_back(std::move(command));
}

bool dispatcher::isCurrent(request_id request, attempt_id attempt) const
{
    const auto row = m_book.row(request);
    if (row < 0 || !attempt.isValid())
        return false;
    const auto at = static_cast<std::size_t>(row);
    return m_book.current[at].id == attempt || m_book.silent[at].id == attempt;
}

void dispatcher::firstByteReceived(request_id request, attempt_id attempt, instant now)
{
    if (!isCurrent(request, attempt))
        return;
    const auto row = static_cast<std::size_t>(m_book.row(request));
    goOnWith(row, attempt, now);
    auto& current = m_book.current[row];
    if (current.hasStartedAnswering || current.stage == attempt_stage::prefill)
        return;
    current.hasStartedAnswering = true;
    current.answeringSince = now;
    m_rests.answered(current.target, current.sentAt);
    if (current.stage == attempt_stage::decode)
        m_pace.recordImport(current.target, current.waitAndTransferSeconds, now - current.sentAt);
    finishPrefill(row, now, true);
}

void dispatcher::finishPrefill(std::size_t row, instant now, bool wasRead)
{
    auto& current = m_book.current[row];
    if (!std::exchange(current.isPrefilling, false))
        return;
    if (!wasRead)
        return m_queues.cancel(current.target, current.prefillKey);
    m_queues.finish(current.target, current.prefillKey, now);
    m_pace.recordPrefill(current.target, current.work, current.waitAndTransferSeconds, now - current.sentAt, now);
    if (const auto& text = m_book.request[row].text)
        m_caches.markCached(current.target, *text);
}

void dispatcher::streamEventReceived(request_id request, attempt_id attempt, instant now)
{
    if (!isCurrent(request, attempt))
        return;
    const auto row = static_cast<std::size_t>(m_book.row(request));
    goOnWith(row, attempt, now);
    auto& current = m_book.current[row];
    if (current.lastEventAt != instant() && current.tokensPerEvent > 0)
        m_pace.recordStreamEvent(current.target, current.tokensPerEvent, now - current.lastEventAt);
    if (current.firstEventAt == instant()) {
        current.firstEventAt = now;
        partsBegun(row, now);
    }
    if (now >= current.firstEventAt + proofTime)
        partsProvenHarmless(row, now);
    current.lastEventAt = now;
    m_book.progress[row].lastEventAt = now;
    // Callers abandon a stream that pauses for too long. Before that, one that can be resumed is offered to another
    // target.
    current.silenceDeadline = now + longestPause(*m_book.request[row].route);
}

void dispatcher::readingPaused(request_id request, attempt_id attempt, bool isPaused, instant now)
{
    if (!isCurrent(request, attempt))
        return;
    const auto row = static_cast<std::size_t>(m_book.row(request));
    auto& current = attemptOf(row, attempt);
    current.isPaused = isPaused;
    current.wasPaused |= isPaused;
    current.silenceDeadline = now + longestPause(*m_book.request[row].route);
}

void dispatcher::responseStarted(request_id request, attempt_id attempt, instant now)
{
    if (!isCurrent(request, attempt))
        return;
    const auto row = static_cast<std::size_t>(m_book.row(request));
    auto& progress = m_book.progress[row];
    const bool isFirst = !std::exchange(progress.hasStarted, true);
    const auto& held = m_book.request[row];
    if (!held.route->isStream)
        return;
    if (!progress.build.isValid())
        progress.build = m_book.current[row].build;
    if (!isFirst || !held.route->isRepeatable)
        return;
    const auto scope = originScopeOf(row);
    m_origins.began(streamKey(held.account, held.id), progress.build, scope, now);
    if (!held.firstCallId.empty())
        m_origins.began(streamKey(held.account, held.firstCallId), progress.build, scope, now);
}

void dispatcher::callerDisconnected(request_id request, instant now, command_list& out)
{
    const auto row = m_book.row(request);
    if (row < 0)
        return;
    stopAttempts(static_cast<std::size_t>(row), stop_reason::caller_gone, out);
    abandonAttempts(static_cast<std::size_t>(row), now);
    remove(static_cast<std::size_t>(row), out);
    dispatch(now, out);
}

void dispatcher::checkTimes(std::size_t row, instant now, command_list& out)
{
    const auto& current = m_book.current[row];
    if (now >= m_book.times[row].answerDeadline) {
        abandonAttempts(row, now);
        return refuse(row, hasRunOrMayRun(row) ? error_kind::attempt_timeout : error_kind::deadline_unreachable,
            duration::zero(), out);
    }
    const bool isWatched = !current.hasStartedAnswering || current.lastEventAt != instant();
    if (!current.id.isValid() || !isWatched || current.isPaused || now < current.silenceDeadline)
        return;
    if (current.detour.empty())
        m_paths.suspect(current.target, now);
    const bool couldRun = current.stage != attempt_stage::prefill;
    if (!couldRun || m_book.request[row].route->isRepeatable)
        leaveSilent(row, now, out);
}

void dispatcher::tick(instant now, command_list& out)
{
    m_peers.refresh(now);
    for (auto& item : std::exchange(m_delayed, {}))
        out.push_back(std::move(item));
    m_quarantine.tick(now);
    endQuarantined(now, out);
    m_origins.tick(now);
    m_limits.tick(now);
    applyOrigins(now, out);
    for (std::size_t row = 0; row < m_book.rows(); ++row) {
        if (m_book.phase[row] != request_phase::free)
            checkTimes(row, now, out);
    }
    dispatch(now, out);
}

}
