// Implements the calls that are passed on for peers.
#include "detour_server.h"

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// As for this node's own attempts: a target in another availability zone accepts a connection within some
    /// milliseconds.
    constexpr duration connectTimeout = 150ms;
    /// The peer gives a silent target up earlier, by closing its connection.
    constexpr duration silenceTimeout = 10min;

    std::int64_t millisecondsSince(instant begin)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(boot_clock::now() - begin).count();
    }

    void send(response_writer& writer, const detour_answer& answer)
    {
        const auto head = encodeDetourAnswer(answer);
        writer.sendWhole({ head.status, head.headers, {} });
    }

    /// The time does not tell how much of the text is right.
    bool equalsConstantTime(std::string_view a, std::string_view b)
    {
        if (a.size() != b.size())
            return false;
        unsigned difference = 0;
        for (std::size_t i = 0; i < a.size(); ++i)
            difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
        return difference == 0;
    }

    std::string_view nameOf(detour_outcome outcome)
    {
        switch (outcome) {
        case detour_outcome::answered:
            return "answered";
        case detour_outcome::unreached:
            return "unreached";
        case detour_outcome::broken:
            return "broken";
        default:
            return "refused";
        }
    }

}

struct detour_server::passed_call {
    detour_call detour;
    target_id target;
    std::shared_ptr<response_writer> writer;
    std::shared_ptr<http_exchange> exchange;
    instant startedAt = boot_clock::now();
    int status = 0;
    bool isPaused = false;
    bool isFinished = false;
};

detour_server::detour_server(
    dependencies parts, std::size_t maxCalls, std::string key, std::shared_ptr<client_budget> budget)
    : m_parts(parts)
    , m_maxCalls(maxCalls)
    , m_key(std::move(key))
    , m_server(
          {},
          [this](http_request request, const std::shared_ptr<response_writer>& writer) {
              handle(std::move(request), writer);
          },
          [](error_kind kind, std::string_view) {
              detour_answer answer;
              answer.outcome = detour_outcome::refused;
              auto head = encodeDetourAnswer(answer);
              return http_response { answerFor(kind).status, head.headers, {} };
          },
          {},
          [this](std::size_t held) {
              m_parts.counters.count("tamarack_slow_callers_cut_total");
              m_parts.log.write(log_event::slow_caller_cut,
                  { { "bytes", static_cast<std::int64_t>(held) },
                      { "all_bytes", static_cast<std::int64_t>(m_server.unsentBytesHeld()) } });
          },
          std::move(budget))
{
}

bool detour_server::listen(const endpoint& address)
{
    return m_server.listen(QHostAddress(QString::fromStdString(address.address)), address.port);
}

void detour_server::beginDrain()
{
    m_isDraining = true;
    m_server.beginDrain();
}

std::optional<detour_answer> detour_server::refusalOf(target_id target, instant now) const
{
    const auto& fleet = m_parts.decisions.fleet();
    detour_answer out;
    if (m_isDraining || m_calls >= m_maxCalls) {
        out.outcome = detour_outcome::refused;
    } else if (!target.isValid()) {
        out.outcome = detour_outcome::unknown_target;
    } else if (fleet.isResting(target, now)) {
        out.outcome = detour_outcome::resting;
        out.rest = fleet.restUntil[target.value] - now;
    } else if (fleet.saidLeaving[target.value]) {
        out.outcome = detour_outcome::leaving;
    } else if (m_parts.decisions.paths().isLost(target)) {
        out.outcome = detour_outcome::unreached;
    } else {
        return std::nullopt;
    }
    return out;
}

void detour_server::handle(http_request request, const std::shared_ptr<response_writer>& writer)
{
    auto detour = takeDetourCall(request);
    if (!detour)
        return writer->sendWhole({ 400, {}, "the call names no target\n" });
    // A peer that has not heard of this process yet has the key of the former one.
    if (m_key.empty() || !equalsConstantTime(detour->key, m_key)) {
        m_parts.counters.count("tamarack_calls_passed_on_total", { { "result", "wrong_key" } });
        detour_answer answer;
        answer.outcome = detour_outcome::refused;
        return send(*writer, answer);
    }
    const auto target = m_parts.decisions.fleet().find(detour->target);
    if (const auto refusal = refusalOf(target, boot_clock::now())) {
        m_parts.counters.count(
            "tamarack_calls_passed_on_total", { { "result", std::string(nameOf(refusal->outcome)) } });
        return send(*writer, *refusal);
    }
    auto call = std::make_shared<passed_call>();
    call->detour = std::move(*detour);
    call->target = target;
    call->writer = writer;
    ++m_calls;
    pass(call, request);
}

void detour_server::pass(const call_ptr& call, const http_request& request)
{
    exchange_options options;
    options.connectTimeout = connectTimeout;
    options.silenceTimeout = silenceTimeout;
    options.maxIdleTime = call->detour.longestIdle;
    exchange_handlers handlers;
    handlers.accepts = [this, call](const http_response_head& head) {
        return call->detour.requestId.empty() || m_parts.protocol.answers(head, call->detour.requestId);
    };
    handlers.onHead = [this, call](const http_response_head& head) { onHead(call, head); };
    handlers.onBody = [this, call](std::string_view bytes) { onBody(call, bytes); };
    handlers.onEnd = [this, call] {
        if (call->isFinished)
            return;
        finish(call, detour_outcome::answered);
        call->writer->finish();
    };
    handlers.onFailure = [this, call](const exchange_failure& failure) { onFailure(call, failure); };
    call->writer->onClosed = [this, weak = std::weak_ptr(call)] {
        const auto closed = weak.lock();
        if (!closed || closed->isFinished)
            return;
        closed->exchange->cancel();
        finish(closed, detour_outcome::broken, "the peer has closed its connection");
    };
    call->writer->onDrained = [weak = std::weak_ptr(call)] {
        const auto drained = weak.lock();
        if (!drained || !drained->isPaused)
            return;
        drained->isPaused = false;
        drained->exchange->setReading(true);
    };
    const auto& address = m_parts.decisions.fleet().address[call->target.value];
    call->exchange = m_parts.client.start(parseEndpoint(address), request, options, std::move(handlers));
}

void detour_server::onHead(const call_ptr& call, const http_response_head& head)
{
    if (call->isFinished)
        return;
    call->status = head.status;
    auto& decisions = m_parts.decisions;
    if (decisions.fleet().instance[call->target.value] == call->detour.target)
        decisions.paths().reached(call->target, call->startedAt);
    const auto answer = m_parts.protocol.decode(head);
    m_parts.notices.received(
        call->detour.target, answer, { "detour", call->startedAt, !call->detour.requestId.empty() });
    detour_answer passed;
    passed.isUndelimited = !answer.isDelimited;
    passed.head = head;
    const auto encoded = encodeDetourAnswer(passed);
    if (answer.bodyBytes)
        call->writer->startSized(encoded, *answer.bodyBytes);
    else
        call->writer->startStream(encoded);
}

void detour_server::onBody(const call_ptr& call, std::string_view bytes)
{
    if (call->isFinished)
        return;
    call->writer->write(bytes);
    if (call->isPaused || call->writer->bytesQueued() <= call->writer->queueLimit())
        return;
    call->isPaused = true;
    call->exchange->setReading(false);
}

void detour_server::onFailure(const call_ptr& call, const exchange_failure& failure)
{
    if (call->isFinished)
        return;
    const auto writer = call->writer;
    if (writer->hasStarted()) {
        finish(call, detour_outcome::broken, failure.reason);
        return writer->abortWhenWritten();
    }
    detour_answer answer;
    answer.outcome = failure.mayHaveReachedPeer ? detour_outcome::broken : detour_outcome::unreached;
    answer.failure = failure.timedOut ? serving::path_failure::silent : serving::path_failure::refused;
    answer.isClosedByTarget = failure.isClosedByPeer;
    auto& decisions = m_parts.decisions;
    const bool isSameTarget = decisions.fleet().instance[call->target.value] == call->detour.target;
    if (answer.outcome == detour_outcome::unreached && isSameTarget)
        decisions.paths().failed(call->target, answer.failure, call->startedAt, boot_clock::now());
    finish(call, answer.outcome, failure.reason);
    send(*writer, answer);
}

void detour_server::finish(const call_ptr& call, detour_outcome outcome, std::string_view reason)
{
    call->isFinished = true;
    --m_calls;
    m_parts.counters.count("tamarack_calls_passed_on_total", { { "result", std::string(nameOf(outcome)) } });
    m_parts.log.write(log_event::call_passed_on,
        { { "request", call->detour.requestId }, { "target", call->detour.target }, { "result", nameOf(outcome) },
            { "reason", reason }, { "status", call->status }, { "took_ms", millisecondsSince(call->startedAt) } });
}

}
