// Implements the flow of one request.
#include "caller_flow.h"

#include "attempt_limits.h"
#include "prompt_parts.h"

#include "base/contract.h"

#include <algorithm>
#include <array>
#include <utility>

namespace tamarack {

using serving::attempt_result;
using serving::attempt_stage;

namespace {

    using namespace std::chrono_literals;

    constexpr int firstFailureStatus = 500;
    /// A peer that has not answered a call gets no others for this time, and one that takes no more calls for a moment.
    constexpr duration lostPeerPause = 1s;
    constexpr duration busyPeerPause = 200ms;

    constexpr std::array<std::string_view, static_cast<std::size_t>(attempt_result::count)> resultNames { "answered",
        "prefilled", "unreached", "not_passed_on", "rejected", "misdirected", "failure_answer", "broken", "cut" };
    constexpr std::array<std::string_view, 3> stageNames { "whole", "prefill", "decode" };
    constexpr std::array<std::string_view, static_cast<std::size_t>(serving::stop_reason::count)> stopNames { "silent",
        "overtaken", "refused", "caller_gone" };
    constexpr std::array<std::string_view, static_cast<std::size_t>(flow_end::count)> endNames { "answered",
        "target_failure", "refused", "cut", "caller_gone" };

    constexpr std::array<std::string_view, static_cast<std::size_t>(cut_cause::count)> causeNames { "target", "peer",
        "left_silent", "deadline", "exit" };

    std::int64_t milliseconds(duration d) { return std::chrono::duration_cast<std::chrono::milliseconds>(d).count(); }

    std::int64_t millisecondsSince(instant begin) { return milliseconds(boot_clock::now() - begin); }

    template <class Names, class Value> std::string nameOf(const Names& names, Value value)
    {
        return std::string(names[static_cast<std::size_t>(value)]);
    }

}

std::string_view toString(cut_cause cause) { return causeNames[static_cast<std::size_t>(cause)]; }

std::string_view toString(flow_end end) { return endNames[static_cast<std::size_t>(end)]; }

caller_flow::caller_flow(flow_services& services, http_request request, caller_request decoded,
    const serving::route_rule& route, std::string account, std::shared_ptr<response_writer> caller)
    : m_services(services)
    , m_request(std::move(request))
    , m_decoded(std::move(decoded))
    , m_account(std::move(account))
    , m_routeName(route.name)
    , m_isRepeatable(route.isRepeatable)
    , m_isStream(route.isStream)
    , m_caller(std::move(caller))
    , m_lastEvent(m_decoded.lastEventId)
    , m_startedAt(boot_clock::now())
{
    m_body = m_caller->shareBody(std::move(m_request.body));
    m_request.body = {};
    m_headBytes = m_request.bytesHeld();
}

caller_flow::~caller_flow()
{
    for (const auto& attempt : { m_attempt, m_silent }) {
        if (attempt && attempt->exchange)
            attempt->exchange->cancel();
    }
}

void caller_flow::logAccepted(const serving::serving_request& request)
{
    m_digest = toString(request.digest);
    if (m_decoded.text)
        m_parts = partNames(*m_decoded.text);
    m_services.log.write(log_event::request_taken,
        { { "request", m_decoded.id }, { "connection", m_caller->connectionNumber() }, { "digest", m_digest },
            { "account", m_account }, { "route", m_routeName }, { "service", request.service },
            { "version", request.configuration->version() },
            { "left_ms", m_decoded.timeLeft ? milliseconds(*m_decoded.timeLeft) : -1 },
            { "until_exit_ms", untilExitMilliseconds() },
            { "tokens", m_decoded.text ? m_decoded.text->inputTokens : 0 }, { "parts", m_parts },
            { "last_event", m_decoded.lastEventId }, { "first_call", m_decoded.firstCallId },
            { "aim_ms", milliseconds(request.route->aim) }, { "gap_aim_ms", milliseconds(request.route->gapAim) } });
}

std::int64_t caller_flow::untilExitMilliseconds() const
{
    const auto left = m_services.decisions.untilExit(boot_clock::now());
    return left ? milliseconds(*left) : -1;
}

void caller_flow::bind(request_id id, callbacks handlers)
{
    m_id = id;
    m_on = std::move(handlers);
    m_caller->onClosed = [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->m_isFinished && self->m_on.onCallerGone)
            self->m_on.onCallerGone();
    };
    m_caller->onDrained = [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->applyBackPressure();
    };
}

attempt_spec caller_flow::specOf(const serving::start_attempt& command) const
{
    const auto& fleet = m_services.decisions.fleet();
    attempt_spec spec;
    spec.requestId = m_decoded.id;
    spec.target = fleet.name[command.target.value];
    spec.stage = command.stage;
    if (command.stage == attempt_stage::decode) {
        spec.cacheSource = fleet.address[command.cache.source.value];
        spec.cacheName = command.cache.name;
    }
    if (command.fetchFrom.isValid())
        spec.fetchFrom = fleet.address[command.fetchFrom.value];
    spec.timeLeft = command.timeLeft;
    spec.urgency = command.urgency;
    spec.resumeAfter = m_lastEvent;
    spec.hasPrompt = m_decoded.text.has_value();
    spec.account = m_account;
    return spec;
}

void caller_flow::start(const serving::start_attempt& command)
{
    auto attempt = std::make_shared<attempt_state>();
    attempt->command = command;
    TAMARACK_ASSERT(!m_silent, "a request has two attempts at most");
    TAMARACK_ASSERT(m_body != nullptr, "no attempt may start once a plain answer has begun");
    m_silent = std::exchange(m_attempt, attempt);
    ++m_attempts;
    m_isPaused = false;
    exchange_handlers handlers;
    const auto weak = weak_from_this();
    handlers.accepts = [weak](const http_response_head& head) {
        const auto self = weak.lock();
        if (!self || self->m_services.targets.answers(head, self->m_decoded.id))
            return true;
        self->m_services.counters.count("tamarack_foreign_answers_total");
        self->m_services.log.write(log_event::foreign_answer_dropped, { { "request", self->m_decoded.id } });
        return false;
    };
    handlers.onHead = [weak, attempt](const http_response_head& head) {
        if (const auto self = weak.lock())
            self->onHead(attempt, head);
    };
    handlers.onBody = [weak, attempt](std::string_view bytes) {
        if (const auto self = weak.lock())
            self->onBody(attempt, bytes);
    };
    handlers.onEnd = [weak, attempt] {
        if (const auto self = weak.lock())
            self->onEnd(attempt);
    };
    handlers.onFailure = [weak, attempt](const exchange_failure& failure) {
        if (const auto self = weak.lock())
            self->onFailure(attempt, failure);
    };
    const auto& fleet = m_services.decisions.fleet();
    m_services.log.write(log_event::attempt_started,
        { { "request", m_decoded.id }, { "target", fleet.instance[command.target.value] },
            { "build", fleet.build[command.target.value] }, { "stage", nameOf(stageNames, command.stage) },
            { "via", viaOf(*attempt) },
            { "beside", m_silent ? fleet.instance[m_silent->command.target.value] : std::string() },
            { "after_event", m_lastEvent }, { "work", static_cast<std::int64_t>(command.work) },
            { "wait_ms", static_cast<std::int64_t>(command.waitSeconds * 1000) },
            { "running", fleet.running(command.target) },
            { "fetch_from", command.fetchFrom.isValid() ? fleet.instance[command.fetchFrom.value] : std::string() },
            { "predicted_ms", static_cast<std::int64_t>(command.predictedSeconds * 1000) }, { "late", command.isLate },
            { "urgency", command.urgency }, { "left_ms", milliseconds(command.timeLeft) } });
    attempt->startedAt = boot_clock::now();
    attempt->lastBytesAt = attempt->startedAt;
    auto request = m_services.targets.attempt(m_request, specOf(command));
    auto address = fleet.address[command.target.value];
    if (command.detour) {
        address = command.detour->address;
        request = encodeDetourCall(std::move(request),
            { fleet.instance[command.target.value], command.detour->key, m_decoded.id, command.longestIdle });
        m_services.counters.count("tamarack_detours_total");
    }
    auto options = attemptOptions(command);
    options.body = m_body;
    attempt->exchange = m_services.client.start(parseEndpoint(address), request, options, std::move(handlers));
}

std::string_view caller_flow::viaOf(const attempt_state& attempt)
{
    return attempt.command.detour ? std::string_view(attempt.command.detour->vm) : std::string_view();
}

bool caller_flow::isFailure(const target_answer& answer) const { return answer.status >= firstFailureStatus; }

bool caller_flow::isEventStream(const attempt_ptr& attempt) const
{
    return m_isStream && attempt->command.stage != attempt_stage::prefill && !isFailure(attempt->answer);
}

void caller_flow::onHead(const attempt_ptr& attempt, const http_response_head& head)
{
    if (!isLive(attempt))
        return;
    attempt->lastBytesAt = boot_clock::now();
    if (!attempt->command.detour)
        return onTargetHead(attempt, head);
    const auto passedOn = decodeDetourAnswer(head);
    if (passedOn && passedOn->outcome == detour_outcome::answered) {
        attempt->isUndelimited = passedOn->isUndelimited;
        return onTargetHead(attempt, passedOn->head);
    }
    onDetourFailure(attempt, passedOn);
}

void caller_flow::onDetourFailure(const attempt_ptr& attempt, const std::optional<detour_answer>& answer)
{
    const auto now = boot_clock::now();
    const auto id = attempt->command.attempt;
    auto& decisions = m_services.decisions;
    const auto outcome = answer ? answer->outcome : detour_outcome::broken;
    attempt->mayHaveReached = outcome == detour_outcome::broken;
    attempt->failureReason = answer ? "the peer has not passed it on" : "the peer's response is no answer to a detour";
    switch (outcome) {
    case detour_outcome::unreached:
        attempt->failureReason = "the peer does not reach the target";
        decisions.targetUnreached(m_id, id, answer->failure, now);
        return conclude(attempt, attempt_result::unreached);
    case detour_outcome::broken:
        if (answer)
            decisions.targetBrokeBehindPeer(m_id, id);
        if (answer && answer->isClosedByTarget)
            decisions.targetClosedConnection(m_id, id, now);
        return concludeBroken(attempt);
    case detour_outcome::resting:
        decisions.targetAskedForRest(attempt->command.target, answer->rest, now);
        break;
    case detour_outcome::leaving:
        decisions.targetLeaves(decisions.fleet().instance[attempt->command.target.value]);
        break;
    default:
        break;
    }
    decisions.detourRefused(m_id, id, outcome == detour_outcome::refused ? busyPeerPause : duration::zero(), now);
    conclude(attempt, attempt_result::not_passed_on);
}

void caller_flow::onTargetHead(const attempt_ptr& attempt, const http_response_head& head)
{
    attempt->answer = m_services.targets.decode(head);
    attempt->answer.isDelimited &= !attempt->isUndelimited;
    m_services.notices.received(m_services.decisions.fleet().instance[attempt->command.target.value], attempt->answer,
        { nameOf(stageNames, attempt->command.stage), attempt->startedAt, true });
    if (const auto& load = attempt->answer.load)
        m_services.decisions.updateTargetLoad(
            attempt->command.target, { boot_clock::now(), load->running, load->waiting, load->slots });
    if (attempt->answer.isMisdirected)
        return conclude(attempt, attempt_result::misdirected);
    if (attempt->answer.hasNotRun)
        return conclude(attempt, attempt_result::rejected);
    if (!m_isStream && attempt->command.stage != attempt_stage::prefill)
        requestBegan();
    if (!attempt->answer.isGenuine && attempt->command.stage != attempt_stage::prefill)
        return conclude(attempt, attempt_result::broken);
    if (attempt->command.stage != attempt_stage::prefill && !isFailure(attempt->answer) && !m_isStream) {
        goOnWith(attempt);
        m_services.decisions.firstByteReceived(m_id, attempt->command.attempt, boot_clock::now());
    }
}

void caller_flow::onBody(const attempt_ptr& attempt, std::string_view bytes)
{
    if (!isLive(attempt))
        return;
    attempt->lastBytesAt = boot_clock::now();
    if (isEventStream(attempt)) {
        if (!attempt->splitter.feed(bytes, [&](const stream_event& event) { onEvent(attempt, event); }))
            return onTooLarge(attempt, "stream event", maxEventBytes);
        return applyBackPressure();
    }
    if (attempt->isRelayed) {
        attempt->unreadBytes += m_caller->isOpen() ? 0 : bytes.size();
        if (attempt->unreadBytes > maxUnreadBytes)
            return onTooLarge(attempt, "response without a caller", maxUnreadBytes);
        m_caller->write(bytes);
        return applyBackPressure();
    }
    attempt->body += bytes;
    if (attempt->body.size() <= maxBufferedBytes)
        return updateHeld();
    const bool mayRelay = attempt->command.stage != attempt_stage::prefill && !isFailure(attempt->answer);
    if (mayRelay)
        return relayBuffered(attempt);
    onTooLarge(attempt, "response that is not passed on", maxBufferedBytes);
}

void caller_flow::onTooLarge(const attempt_ptr& attempt, const char* what, std::size_t maxBytes)
{
    if (!isLive(attempt))
        return;
    attempt->failureReason = tooLargeReason(what, maxBytes);
    m_services.counters.count("tamarack_answers_over_limit_total");
    concludeBroken(attempt);
}

void caller_flow::requestBegan()
{
    if (!std::exchange(m_hasBegun, true))
        m_services.onRequestBegan(m_account);
}

void caller_flow::relayBuffered(const attempt_ptr& attempt)
{
    beginAnswer(attempt);
    m_caller->write(attempt->body);
    std::string().swap(attempt->body); // an assignment of an empty string would keep the memory
    updateHeld();
    if (!attempt->lastBufferedEvent.empty())
        m_lastEvent = attempt->lastBufferedEvent;
    for (; attempt->bufferedEvents > 0; --attempt->bufferedEvents)
        recordEvent();
    applyBackPressure();
}

bool caller_flow::keepsEvent(const attempt_ptr& attempt, const stream_event& event, bool isDuplicate)
{
    const bool isFull = attempt->body.size() + event.bytes.size() > maxBufferedBytes;
    if (attempt->isRelayed || isFull || m_services.decisions.mayBeginAnswer(m_id, boot_clock::now()))
        return false;
    if (isDuplicate)
        return true;
    if (attempt->bufferedEvents++ == 0)
        m_services.counters.count("tamarack_streams_kept_until_whole_total");
    attempt->body += event.bytes;
    updateHeld();
    if (!event.idText.empty())
        attempt->lastBufferedEvent = std::string(event.idText);
    return true;
}

void caller_flow::beginAnswer(const attempt_ptr& attempt)
{
    attempt->isRelayed = true;
    if (!m_isStream)
        m_body = nullptr;
    m_services.decisions.responseStarted(m_id, attempt->command.attempt, boot_clock::now());
    if (m_isStream)
        m_services.onStreamBegan();
    if (m_caller->hasStarted())
        return; // resumed stream: the caller has the head of the first attempt
    const auto& answer = attempt->answer;
    if (answer.bodyBytes && !m_isStream)
        m_caller->startSized({ answer.status, answer.forCaller }, *answer.bodyBytes);
    else
        m_caller->startStream({ answer.status, answer.forCaller });
}

void caller_flow::onEvent(const attempt_ptr& attempt, const stream_event& event)
{
    if (!isLive(attempt))
        return;
    requestBegan();
    goOnWith(attempt);
    if (attempt->firstMs < 0) {
        attempt->firstMs = millisecondsSince(attempt->startedAt);
        m_services.decisions.firstByteReceived(m_id, attempt->command.attempt, boot_clock::now());
    }
    m_services.decisions.streamEventReceived(m_id, attempt->command.attempt, boot_clock::now());
    const auto last = parseNumber(m_lastEvent);
    const bool isDuplicate = event.id && last && *event.id <= *last; // already sent during an earlier attempt
    if (keepsEvent(attempt, event, isDuplicate))
        return;
    if (!attempt->isRelayed)
        relayBuffered(attempt);
    if (isDuplicate)
        return;
    if (!event.idText.empty())
        m_lastEvent = std::string(event.idText);
    recordEvent();
    m_caller->write(event.bytes);
}

void caller_flow::recordEvent()
{
    const auto now = boot_clock::now();
    if (++m_events == 1)
        m_firstMs = milliseconds(now - m_startedAt);
    else
        m_longestGap = std::max(m_longestGap, now - m_lastEventAt);
    m_lastEventAt = now;
}

void caller_flow::updateHeld()
{
    auto bytes = m_headBytes;
    for (const auto& attempt : { m_attempt, m_silent, m_failure })
        bytes += attempt ? attempt->body.size() : 0;
    m_caller->setRequestBytes(bytes);
}

void caller_flow::applyBackPressure()
{
    if (!m_attempt || !m_attempt->exchange || m_isFinished)
        return;
    const bool pause = m_caller->bytesQueued() > (m_isPaused ? 0 : m_caller->queueLimit());
    if (pause == m_isPaused)
        return;
    m_isPaused = pause;
    m_attempt->exchange->setReading(!pause);
    m_services.decisions.readingPaused(m_id, m_attempt->command.attempt, pause, boot_clock::now());
}

void caller_flow::onEnd(const attempt_ptr& attempt)
{
    if (!isLive(attempt))
        return;
    const auto self = shared_from_this();
    if (attempt->command.stage == attempt_stage::prefill) {
        const auto name = isFailure(attempt->answer) ? std::string() : m_services.targets.decodePrefill(attempt->body);
        return conclude(attempt, name.empty() ? attempt_result::broken : attempt_result::prefilled, name);
    }
    if (isFailure(attempt->answer))
        return conclude(attempt, attempt_result::failure_answer);
    // A stream that ends within an event was truncated, even if the connection was closed cleanly. So was one without
    // an event whose end nothing else marks: a target that crashes after the head closes the connection in the same
    // way.
    const bool isEmptyStream
        = isEventStream(attempt) && !attempt->isRelayed && attempt->body.empty() && !attempt->answer.isDelimited;
    if (attempt->splitter.hasPartial() || isEmptyStream) {
        if (!attempt->answer.isDelimited)
            m_services.decisions.targetClosedConnection(m_id, attempt->command.attempt, boot_clock::now());
        return conclude(attempt, m_caller->hasStarted() ? attempt_result::cut : attempt_result::broken);
    }
    goOnWith(attempt);
    if (!attempt->isRelayed)
        relayBuffered(attempt);
    if (attempt->answer.isDelimited)
        m_services.decisions.wholeAnswerReceived(m_id, attempt->command.attempt, boot_clock::now());
    conclude(attempt, attempt_result::answered);
    m_caller->finish();
    finish(flow_end::answered);
}

void caller_flow::onFailure(const attempt_ptr& attempt, const exchange_failure& failure)
{
    if (!isLive(attempt))
        return;
    attempt->failureReason = failure.reason;
    attempt->mayHaveReached = failure.mayHaveReachedPeer;
    if (failure.isOverLimit)
        m_services.counters.count("tamarack_answers_over_limit_total");
    if (attempt->command.detour) {
        // Once the head has come, it may be the target that has broken off.
        if (attempt->answer.status == 0)
            m_services.decisions.detourRefused(m_id, attempt->command.attempt, lostPeerPause, boot_clock::now());
        return failure.mayHaveReachedPeer ? concludeBroken(attempt) : conclude(attempt, attempt_result::not_passed_on);
    }
    if (!failure.mayHaveReachedPeer) {
        m_services.decisions.targetUnreached(m_id, attempt->command.attempt,
            failure.timedOut ? serving::path_failure::silent : serving::path_failure::refused, boot_clock::now());
        return conclude(attempt, attempt_result::unreached);
    }
    if (failure.isClosedByPeer)
        m_services.decisions.targetClosedConnection(m_id, attempt->command.attempt, boot_clock::now());
    concludeBroken(attempt);
}

void caller_flow::concludeBroken(const attempt_ptr& attempt)
{
    // A plain target begins at once, so it has most likely run a request whose answer is lost.
    if (!m_isStream)
        requestBegan();
    conclude(attempt, m_caller->hasStarted() ? attempt_result::cut : attempt_result::broken);
}

void caller_flow::conclude(const attempt_ptr& attempt, attempt_result result, const std::string& cacheName)
{
    TAMARACK_ASSERT(isLive(attempt), "an attempt must be concluded only once");
    const auto self = shared_from_this();
    if (attempt == m_attempt)
        m_attempt = m_silent;
    m_silent = nullptr;
    // The connection of an aborted attempt is never reused, since late bytes on it belong to this attempt.
    if (result != attempt_result::answered && result != attempt_result::prefilled
        && result != attempt_result::failure_answer)
        attempt->exchange->cancel();
    if (result == attempt_result::failure_answer)
        m_failure = attempt;
    updateHeld();
    recordEnd(*attempt, nameOf(resultNames, result), attempt->command.detour ? cut_cause::peer : cut_cause::target);
    const auto& fleet = m_services.decisions.fleet();
    m_services.counters.count("tamarack_target_attempts_total",
        { { "service", fleet.service[attempt->command.target.value] },
            { "stage", nameOf(stageNames, attempt->command.stage) }, { "result", nameOf(resultNames, result) } });
    if (const auto kept = attempt->exchange->reusableFor(); kept > duration::zero() && !attempt->command.detour)
        m_services.decisions.connectionKept(attempt->command.target, boot_clock::now() + kept);
    const bool isGood = result == attempt_result::answered || result == attempt_result::prefilled;
    if (isGood) {
        m_services.log.write(log_event::attempt_ended,
            { { "request", m_decoded.id }, { "target", fleet.instance[attempt->command.target.value] },
                { "stage", nameOf(stageNames, attempt->command.stage) }, { "via", viaOf(*attempt) },
                { "status", attempt->answer.status }, { "first_ms", attempt->firstMs },
                { "took_ms", millisecondsSince(attempt->startedAt) } });
    } else {
        m_services.log.write(log_event::attempt_failed,
            { { "request", m_decoded.id }, { "digest", m_digest }, { "parts", m_parts },
                { "target", fleet.instance[attempt->command.target.value] },
                { "stage", nameOf(stageNames, attempt->command.stage) }, { "via", viaOf(*attempt) },
                { "result", nameOf(resultNames, result) }, { "began", attempt->isRelayed },
                { "reason", attempt->failureReason }, { "status", attempt->answer.status },
                { "rest_ms", attempt->answer.rest ? milliseconds(*attempt->answer.rest) : -1 },
                { "may_have_reached", attempt->mayHaveReached },
                { "took_ms", millisecondsSince(attempt->startedAt) } });
    }
    if (m_on.onAttemptEnded)
        m_on.onAttemptEnded(attempt->command.attempt, result, cacheName);
}

void caller_flow::recordEnd(const attempt_state& attempt, std::string_view how, cut_cause cause)
{
    if (!m_attemptEnds.empty())
        m_attemptEnds += ' ';
    m_attemptEnds += how;
    // Later attempts go on with what the first one has begun.
    if (!m_cutCause && attempt.isRelayed)
        m_cutCause = cause;
}

cut_cause caller_flow::endCause() const
{
    const auto untilExit = m_services.decisions.untilExit(boot_clock::now());
    return untilExit && *untilExit == duration::zero() ? cut_cause::exit : cut_cause::deadline;
}

void caller_flow::stop(attempt_id attempt, serving::stop_reason reason)
{
    if (m_silent && m_silent->command.attempt == attempt)
        cancel(std::exchange(m_silent, nullptr), reason);
    else if (m_attempt && m_attempt->command.attempt == attempt)
        cancel(std::exchange(m_attempt, std::exchange(m_silent, nullptr)), reason);
}

void caller_flow::goOnWith(const attempt_ptr& attempt)
{
    if (!m_silent)
        return;
    const bool isOvertaken = attempt == m_silent;
    const auto other = isOvertaken ? m_attempt : m_silent;
    m_attempt = attempt;
    m_silent = nullptr;
    cancel(other, isOvertaken ? serving::stop_reason::overtaken : serving::stop_reason::silent);
}

void caller_flow::cancel(const attempt_ptr& attempt, serving::stop_reason reason)
{
    attempt->exchange->cancel();
    const auto& fleet = m_services.decisions.fleet();
    m_services.counters.count("tamarack_attempts_stopped_total", { { "reason", nameOf(stopNames, reason) } });
    recordEnd(*attempt, nameOf(stopNames, reason),
        reason == serving::stop_reason::silent ? cut_cause::left_silent : endCause());
    m_services.log.write(log_event::attempt_stopped,
        { { "request", m_decoded.id }, { "digest", m_digest },
            { "target", fleet.instance[attempt->command.target.value] },
            { "stage", nameOf(stageNames, attempt->command.stage) }, { "reason", nameOf(stopNames, reason) },
            { "silent_ms", millisecondsSince(attempt->lastBytesAt) }, { "events", m_events },
            { "took_ms", millisecondsSince(attempt->startedAt) } });
    // The connection may be dead rather than the target, in which case the other pooled connections are dead as well.
    if (!attempt->command.detour)
        m_services.client.closeIdleConnections(parseEndpoint(fleet.address[attempt->command.target.value]));
}

void caller_flow::refuse(const serving::refuse_request& command)
{
    const auto kind = command.kind;
    const auto self = shared_from_this();
    if (m_isFinished)
        return;
    if (m_caller->hasStarted()) {
        // The head has been sent already, so only the truncated body can signal that the response is incomplete.
        m_caller->abortWhenWritten();
        return finish(flow_end::cut, answerFor(kind).type);
    }
    m_services.log.write(log_event::request_refused,
        { { "request", m_decoded.id }, { "connection", m_caller->connectionNumber() }, { "route", m_routeName },
            { "kind", answerFor(kind).type }, { "retry_after_ms", milliseconds(command.retryAfter) },
            { "held_ms", millisecondsSince(m_startedAt) }, { "waiting", m_services.decisions.waiting() },
            { "for_limits", command.isForLimits }, { "on_arrival", command.isOnArrival },
            { "predicted_wait_ms", command.predictedWait ? milliseconds(*command.predictedWait) : -1 } });
    m_services.counters.count("tamarack_refused_total", { { "kind", std::string(answerFor(kind).type) } });
    if (command.isOnArrival)
        m_services.counters.count("tamarack_refused_on_arrival_total");
    if (command.isForLimits)
        m_services.counters.count("tamarack_refused_for_limits_total");
    m_caller->sendWhole(m_services.callers.refusal(kind, answerFor(kind).title, command.retryAfter));
    finish(flow_end::refused);
}

void caller_flow::forwardFailure()
{
    const auto self = shared_from_this();
    TAMARACK_ASSERT(m_failure != nullptr, "a failure response must exist before it is forwarded");
    if (m_caller->hasStarted()) {
        m_caller->abortWhenWritten();
        return finish(flow_end::cut, "failure answer");
    }
    const auto& answer = m_failure->answer;
    m_caller->sendWhole({ answer.status, answer.forCaller, m_failure->body });
    finish(flow_end::target_failure);
}

void caller_flow::logHeldAtExit() const
{
    m_services.log.write(log_event::request_held_at_exit,
        { { "request", m_decoded.id }, { "route", m_routeName }, { "took_ms", millisecondsSince(m_startedAt) },
            { "running_ms", m_attempt ? millisecondsSince(m_attempt->startedAt) : -1 },
            { "began", m_caller->hasStarted() }, { "events", m_events }, { "attempts", m_attempts } });
}

void caller_flow::logOrigin(const serving::origin_finding& finding)
{
    const auto source = std::string(toString(finding.source));
    m_services.counters.count("tamarack_streams_taken_up_total", { { "origin", source } });
    m_services.log.write(log_event::stream_taken_up,
        { { "request", m_decoded.id }, { "first_call", m_decoded.firstCallId }, { "origin", source },
            { "build", m_services.decisions.fleet().nameOfBuild(finding.build) },
            { "waited_ms", milliseconds(finding.waited) } });
}

void caller_flow::abandon() { finish(flow_end::caller_gone); }

void caller_flow::finish(flow_end end, std::string_view detail)
{
    if (m_isFinished)
        return;
    m_isFinished = true;
    const double took = seconds(boot_clock::now() - m_startedAt);
    const auto name = std::string(toString(end));
    m_services.counters.count("tamarack_requests_total", { { "outcome", name } });
    m_services.counters.observeSeconds("tamarack_request_seconds", took, { { "outcome", name } });
    // Refusals are logged in refuse().
    if (end == flow_end::answered) {
        m_services.log.write(log_event::request_ended,
            { { "request", m_decoded.id }, { "route", m_routeName }, { "first_ms", m_firstMs },
                { "took_ms", millisecondsSince(m_startedAt) }, { "events", m_events }, { "attempts", m_attempts },
                { "longest_pause_ms", milliseconds(m_longestGap) } });
    } else if (end != flow_end::refused) {
        m_services.log.write(log_event::request_failed,
            { { "request", m_decoded.id }, { "connection", m_caller->connectionNumber() }, { "route", m_routeName },
                { "outcome", name }, { "detail", std::string(detail) }, { "first_ms", m_firstMs },
                { "took_ms", millisecondsSince(m_startedAt) }, { "events", m_events }, { "attempts", m_attempts },
                { "attempt_ends", m_attemptEnds }, { "cause", end == flow_end::cut ? toString(cutCause()) : "" },
                { "until_exit_ms", untilExitMilliseconds() }, { "longest_pause_ms", milliseconds(m_longestGap) } });
        if (end == flow_end::cut)
            m_services.counters.count("tamarack_answers_cut_total", { { "cause", std::string(toString(cutCause())) } });
    }
    if (m_on.onFinished)
        m_on.onFinished();
}

}
