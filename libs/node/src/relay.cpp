// Implements the relay of one request between its caller and the targets.
#include "relay.h"

#include "problem_answer.h"

#include "base/contract.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace tamarack {

namespace {

    constexpr std::size_t maxBufferedBytes = 8 * 1024 * 1024; // limit for an answer that is not streamed
    constexpr qint64 pauseAboveBytes = 512 * 1024;
    constexpr qint64 resumeBelowBytes = 64 * 1024;
    constexpr duration keepAliveInterval = std::chrono::seconds(2);
    constexpr int statusKvMissing = 424;
    constexpr int statusUnavailable = 503;
    constexpr std::string_view endOfStream = "[DONE]";

    /// Returns false for headers of a single connection or of the protocol between node and target.
    bool isForwardedToCaller(std::string_view name)
    {
        constexpr std::array<std::string_view, 9> withheldHeaders { "connection", "keep-alive", "transfer-encoding",
            "trailer", "upgrade", "content-length", "x-attempt-id", "x-ran", "proxy-connection" };
        return std::none_of(withheldHeaders.begin(), withheldHeaders.end(),
            [&](auto withheld) { return equalsIgnoreCase(withheld, name); });
    }

    /// Returns the time in a `Retry-After` header in seconds, which may have a fraction; zero if there is none.
    duration parseRetryAfter(std::string_view text)
    {
        constexpr double maxSeconds = 1e6;
        double value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        const bool isTooLarge = error == std::errc::result_out_of_range;
        if ((error != std::errc() && !isTooLarge) || end != text.data() + text.size() || !(value >= 0))
            return duration::zero();
        return fromSeconds(isTooLarge ? maxSeconds : std::min(value, maxSeconds));
    }

    std::string_view toString(request_stage stage)
    {
        constexpr std::array<std::string_view, 3> names { "whole", "prefill", "decode" };
        return names[static_cast<std::size_t>(stage)];
    }

    std::string_view toString(attempt_result result)
    {
        constexpr std::array<std::string_view, static_cast<std::size_t>(attempt_result::count)> names { "answered",
            "not-sent", "refused", "cut", "maybe-run", "kv-missing" };
        return names[static_cast<std::size_t>(result)];
    }

}

relay::relay(relay_services& services, relay_input input, std::shared_ptr<response_writer> caller)
    : m_services(services)
    , m_input(std::move(input))
    , m_caller(std::move(caller))
    , m_nextEvent(m_input.firstEvent)
    , m_trace(services.spanIds.child(m_input.callerTrace))
    , m_startedAt(wallNanoseconds())
{
    m_body = m_caller->shareBody(std::move(m_input.toTarget.body));
    m_input.toTarget.body = {};
}

relay::~relay()
{
    if (m_attempt && m_attempt->exchange)
        m_attempt->exchange->cancel();
}

void relay::bind(request_id id, callbacks handlers)
{
    m_id = id;
    m_callbacks = std::move(handlers);
    m_caller->onClosed = [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->m_isFinished && self->m_callbacks.onCallerGone)
            self->m_callbacks.onCallerGone();
    };
    m_caller->onDrained = [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->applyBackPressure();
    };
}

http_request relay::requestFor(const attempt_state& attempt) const
{
    http_request request = m_input.toTarget;
    request.headers.set("x-attempt-id", std::to_string(attempt.command.attempt.value));
    request.headers.set("traceparent", formatTraceparent(attempt.trace));
    if (!m_input.isEngine)
        return request;
    request.headers.set("x-stage", std::string(toString(attempt.command.stage)));
    request.headers.set("x-priority", std::to_string(attempt.command.priority));
    if (m_nextEvent > 0)
        request.headers.set("x-resume-offset", std::to_string(m_nextEvent));
    if (attempt.command.stage == request_stage::decode) {
        const auto source = attempt.command.kvSource.value;
        request.headers.set("x-kv", m_kvHandle);
        request.headers.set("x-kv-source", m_services.traffic.targets().address[source]);
    }
    return request;
}

exchange_options relay::optionsFor(const attempt_state& attempt) const
{
    exchange_options options;
    // checkSilence() stops attempts earlier, and at the deadline at the latest.
    options.silenceTimeout = m_input.shape.deadline + m_services.silenceTimeout;
    options.freshConnection = attempt.isConnectionFresh;
    options.body = m_body;
    return options;
}

// Only streams send data or keep-alive comments regularly. Other answers may take until the deadline of the request,
// but a connection that was idle before may have been lost on the way without a sign.
bool relay::maySilenceMeanFailure(const attempt_state& attempt) const
{
    const bool isStream = m_input.isStream && attempt.command.stage != request_stage::prefill;
    return isStream || (!attempt.isConnectionFresh && attempt.status == 0);
}

bool relay::isSilent(instant now) const
{
    return m_attempt && !m_attempt->hasEnded && !m_isPaused && now >= m_attempt->lastByteAt + m_services.silenceTimeout;
}

void relay::checkSilence(instant now)
{
    const auto attempt = m_attempt;
    if (!isSilent(now) || !isCurrent(attempt)
        || !m_services.traffic.shouldStopSilent(m_id, attempt->command.attempt, maySilenceMeanFailure(*attempt), now))
        return;
    const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(now - attempt->lastByteAt);
    m_services.log.write(log_event::attempt_stopped,
        { { "target", m_services.traffic.targets().name[attempt->command.target.value] },
            { "stage", std::string(toString(attempt->command.stage)) }, { "reason", "silent" },
            { "silent_ms", silence.count() } });
    m_needsFreshConnection = true;
    conclude(attempt, attempt->isStreaming ? attempt_result::cut : attempt_result::maybe_run);
}

void relay::start(const start_attempt& command)
{
    auto attempt = std::make_shared<attempt_state>();
    attempt->command = command;
    attempt->trace = m_services.spanIds.child(m_trace);
    attempt->startedAt = wallNanoseconds();
    attempt->lastByteAt = boot_clock::now();
    attempt->isConnectionFresh = m_needsFreshConnection || !m_input.shape.isIdempotent;
    m_attempt = attempt;
    m_isPaused = false;
    const auto& address = m_services.traffic.targets().address[command.target.value];
    exchange_handlers handlers;
    const auto weak = weak_from_this();
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
    attempt->exchange = m_services.client.start(
        parseEndpoint(address), requestFor(*attempt), optionsFor(*attempt), std::move(handlers));
}

bool relay::isCurrent(const attempt_ptr& attempt) const
{
    return attempt == m_attempt && !attempt->hasEnded && m_services.traffic.isCurrent(m_id, attempt->command.attempt);
}

void relay::onHead(const attempt_ptr& attempt, const http_response_head& head)
{
    if (!isCurrent(attempt))
        return;
    attempt->lastByteAt = boot_clock::now();
    attempt->status = head.status;
    const auto echoed = head.headers.find("x-attempt-id");
    // A target or connection that mixes up answers would deliver the text of one caller to another. The echoed attempt
    // id reveals this, and the whole answer is then discarded.
    const bool isMismatched = echoed != std::to_string(attempt->command.attempt.value);
    if (isMismatched && (m_input.isEngine || !echoed.empty())) {
        m_services.counters.count("tamarack_crossed_answers_total");
        return conclude(attempt, attempt_result::maybe_run);
    }
    if (head.status == statusUnavailable && head.headers.find("x-ran") == "no") {
        noteRest(*attempt, head);
        return conclude(attempt, attempt_result::refused);
    }
    if (head.status == statusKvMissing && attempt->command.stage == request_stage::decode)
        return conclude(attempt, attempt_result::kv_missing);
    attempt->buffered.status = head.status;
    attempt->isDelimited = head.headers.has("content-length") || head.headers.has("transfer-encoding");
    for (const auto& header : head.headers.entries) {
        if (isForwardedToCaller(header.name))
            attempt->buffered.headers.entries.push_back(header);
    }
    attempt->isStreaming = m_input.isStream && head.status == 200 && attempt->command.stage != request_stage::prefill;
    if (attempt->isStreaming)
        startCallerStream();
}

void relay::noteRest(const attempt_state& attempt, const http_response_head& head)
{
    const duration rest = parseRetryAfter(head.headers.find("retry-after"));
    if (rest <= duration::zero())
        return;
    m_services.traffic.targetAskedForRest(m_id, attempt.command.attempt, rest, boot_clock::now());
    m_services.counters.count("tamarack_rests_asked_total");
    m_services.log.write(log_event::target_blocked,
        { { "target", m_services.traffic.targets().name[attempt.command.target.value] }, { "reason", "asked for rest" },
            { "for_ms", std::chrono::duration_cast<std::chrono::milliseconds>(rest).count() } });
}

void relay::startCallerStream()
{
    m_lastWrite = boot_clock::now();
    if (m_caller->hasStarted() || !m_caller->isOpen())
        return;
    http_response_head head { 200, {} };
    head.headers.set("Content-Type", "text/event-stream");
    head.headers.set("Cache-Control", "no-store");
    head.headers.set("Tamarack-Home", m_input.homeHeader);
    head.headers.set("traceparent", formatTraceparent(m_trace));
    m_caller->startStream(head);
}

void relay::onBody(const attempt_ptr& attempt, std::string_view bytes)
{
    if (!isCurrent(attempt))
        return;
    attempt->lastByteAt = boot_clock::now();
    if (!attempt->isStreaming) {
        attempt->buffered.body += bytes;
        if (attempt->buffered.body.size() <= maxBufferedBytes)
            return;
        // Without a limit, an endless answer of one target would exhaust the memory of the node and fail all requests.
        m_services.counters.count("tamarack_answers_too_large_total");
        return conclude(attempt, attempt_result::maybe_run);
    }
    const bool isSplit = attempt->splitter.feed(bytes, [&](const stream_event& event) { onEvent(attempt, event); });
    if (!isSplit && isCurrent(attempt)) {
        m_services.counters.count("tamarack_answers_too_large_total");
        return conclude(attempt, attempt_result::cut);
    }
    applyBackPressure();
}

void relay::onEvent(const attempt_ptr& attempt, const stream_event& event)
{
    if (!isCurrent(attempt))
        return;
    if (event.isComment)
        return writeToCaller(event.bytes);
    if (!attempt->sawFirst) {
        attempt->sawFirst = true;
        m_services.traffic.prefillCompleted(m_id, attempt->command.attempt);
    }
    if (event.data == endOfStream) {
        attempt->sawEnd = true;
        return writeToCaller(event.bytes);
    }
    if (event.id) {
        if (*event.id < m_nextEvent)
            return; // already sent to the caller during an earlier attempt
        if (*event.id > m_nextEvent) {
            // Events are missing. Forwarding the rest would present an answer with a gap as complete.
            m_services.counters.count("tamarack_stream_gaps_total");
            return conclude(attempt, attempt_result::cut);
        }
        ++m_nextEvent;
        m_services.traffic.tokensReceived(m_id, attempt->command.attempt, 1);
    }
    writeToCaller(event.bytes);
}

void relay::writeToCaller(std::string_view bytes)
{
    m_lastWrite = boot_clock::now();
    m_caller->write(bytes);
}

void relay::applyBackPressure()
{
    if (!m_attempt || !m_attempt->exchange || m_isFinished)
        return;
    const auto queued = m_caller->bytesQueued();
    const bool shouldPause = m_isPaused ? queued > resumeBelowBytes : queued > pauseAboveBytes;
    if (shouldPause == m_isPaused)
        return;
    m_isPaused = shouldPause;
    m_attempt->lastByteAt = boot_clock::now();
    m_attempt->exchange->setReading(!shouldPause);
}

void relay::onEnd(const attempt_ptr& attempt)
{
    if (!isCurrent(attempt))
        return;
    if (attempt->command.stage == request_stage::prefill)
        return endPrefill(attempt);
    if (!attempt->isStreaming)
        return endBuffered(attempt);
    // A stream that ends without its end marker is incomplete, even if the connection was closed properly.
    if (!attempt->sawEnd)
        return conclude(attempt, attempt_result::cut);
    const auto self = shared_from_this();
    m_services.traffic.completeAnswerReceived(m_id, attempt->command.attempt, boot_clock::now());
    conclude(attempt, attempt_result::answered);
    m_caller->finish();
    const http_response streamed { 200, {}, {} };
    finish({ &streamed, error_kind::internal });
}

void relay::endPrefill(const attempt_ptr& attempt)
{
    const auto body = nlohmann::json::parse(attempt->buffered.body, nullptr, false);
    const bool hasHandle = body.is_object() && body.contains("kv") && body["kv"].is_string();
    if (attempt->status != 200 || !hasHandle) {
        // The engine rejected the prompt, and its error response is the answer to the caller.
        if (attempt->status >= 400 && attempt->status < 500)
            return endBuffered(attempt);
        return conclude(attempt, attempt_result::maybe_run);
    }
    m_kvHandle = body["kv"];
    conclude(attempt, attempt_result::answered);
}

void relay::endBuffered(const attempt_ptr& attempt)
{
    const auto self = shared_from_this();
    http_response answer = std::move(attempt->buffered);
    answer.headers.set("Tamarack-Home", m_input.homeHeader);
    answer.headers.set("traceparent", formatTraceparent(m_trace));
    // The answer is final, so the request ends here even if a decode stage was to follow, as when the engine rejects
    // the prompt in prefill.
    attempt->command.stage = request_stage::whole;
    m_services.traffic.wholeAnswerReceived(m_id, attempt->command.attempt);
    if (attempt->isDelimited)
        m_services.traffic.completeAnswerReceived(m_id, attempt->command.attempt, boot_clock::now());
    conclude(attempt, attempt_result::answered);
    m_caller->sendWhole(answer);
    finish({ &answer, error_kind::internal });
}

void relay::onFailure(const attempt_ptr& attempt, const exchange_failure& failure)
{
    if (!isCurrent(attempt))
        return;
    m_services.log.write(log_event::attempt_failed,
        { { "reason", failure.reason }, { "may_have_reached", failure.mayHaveReachedPeer },
            { "target", m_services.traffic.targets().name[attempt->command.target.value] } });
    if (!failure.mayHaveReachedPeer)
        return conclude(attempt, attempt_result::not_sent);
    if (failure.isClosedByPeer)
        m_services.traffic.targetClosedConnection(m_id, attempt->command.attempt, boot_clock::now());
    conclude(attempt, attempt->isStreaming ? attempt_result::cut : attempt_result::maybe_run);
}

void relay::conclude(const attempt_ptr& attempt, attempt_result result)
{
    TAMARACK_ASSERT(!attempt->hasEnded, "an attempt ends once");
    attempt->hasEnded = true;
    // The connection of an abandoned attempt is never reused, because data of that attempt may still arrive on it.
    if (result != attempt_result::answered)
        attempt->exchange->cancel();
    writeAttemptSpan(*attempt, result);
    m_services.counters.count("tamarack_attempts_total", { { "result", std::string(toString(result)) } });
    if (m_callbacks.onAttemptEnded)
        m_callbacks.onAttemptEnded(attempt->command.attempt, result);
}

void relay::writeAttemptSpan(const attempt_state& attempt, attempt_result result)
{
    span item { attempt.trace, m_trace.spanId, "attempt", attempt.startedAt, wallNanoseconds(), {} };
    item.attributes.push_back({ "target", m_services.traffic.targets().name[attempt.command.target.value] });
    item.attributes.push_back({ "stage", std::string(toString(attempt.command.stage)) });
    item.attributes.push_back({ "result", std::string(toString(result)) });
    m_services.spans.write(item);
}

void relay::fail(error_kind kind, duration retryAfter)
{
    const auto self = shared_from_this();
    if (m_isFinished)
        return;
    if (m_attempt && !m_attempt->hasEnded) {
        m_attempt->hasEnded = true;
        m_attempt->exchange->cancel();
    }
    if (m_caller->hasStarted()) {
        // The head has already been sent, so the error is sent as an event, and the body is left without its end to
        // mark the answer as incomplete.
        m_caller->write(problemEvent(kind, "the answer could not be completed; resume with Last-Event-ID", retryAfter));
        m_caller->abortWhenWritten();
    } else {
        auto answer = problemAnswer(kind, answerFor(kind).title, retryAfter);
        answer.headers.set("Tamarack-Home", m_input.homeHeader);
        answer.headers.set("traceparent", formatTraceparent(m_trace));
        m_caller->sendWhole(answer);
    }
    finish({ nullptr, kind });
}

void relay::keepAlive(instant now)
{
    const bool isOpenStream = m_caller->isOpen() && m_caller->hasStarted() && !m_isFinished;
    if (isOpenStream && now >= m_lastWrite + keepAliveInterval)
        writeToCaller(": keep-alive\n\n");
}

void relay::detachCaller()
{
    m_isPaused = false;
    m_caller->onClosed = nullptr;
}

void relay::finish(const outcome& result)
{
    if (m_isFinished)
        return;
    m_isFinished = true;
    span item { m_trace, m_input.callerTrace.spanId, m_input.name, m_startedAt, wallNanoseconds(), {} };
    item.attributes.push_back({ "outcome",
        result.answer ? std::to_string(result.answer->status) : std::string(answerFor(result.error).type) });
    m_services.spans.write(item);
    const double durationSeconds = static_cast<double>(wallNanoseconds() - m_startedAt) / 1e9;
    m_services.counters.observeSeconds(
        "tamarack_request_seconds", durationSeconds, { { "urgent", m_input.shape.isUrgent ? "yes" : "no" } });
    if (m_callbacks.onFinished)
        m_callbacks.onFinished(result);
}

}
