// Carries one request to targets and its answer back: whole, in order, once, across as many attempts as it takes.
#pragma once

#include "decide/traffic_system.h"
#include "http/event_stream.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "observe/logger.h"
#include "observe/metrics.h"
#include "observe/span.h"

#include <functional>
#include <memory>

namespace tamarack {

/// What every relay of a node uses; outlives them.
struct relay_services {
    http_client& client;
    traffic_system& traffic;
    metrics& counters;
    const logger& log;
    span_writer& spans;
    span_id_source& spanIds;
    duration silenceTimeout;
};

/// What one request is, beyond what routing needs.
struct relay_input {
    request_shape shape;
    http_request toTarget; ///< method, path, headers and body as the target shall see them
    bool isEngine = false;
    bool isStream = false;
    std::uint64_t firstEvent = 0; ///< id of the first event the caller still needs
    trace_context callerTrace;
    std::string name; ///< for the span
    std::string homeHeader; ///< `Tamarack-Home` of every answer
};

class relay : public std::enable_shared_from_this<relay> {
public:
    /// What became of the request, for whoever keeps outcomes: the answer, or the error it ended with.
    struct outcome {
        const http_response* answer = nullptr;
        error_kind error = error_kind::internal;
    };
    struct callbacks {
        std::function<void(attempt_id, attempt_result)> onAttemptEnded;
        std::function<void()> onCallerGone;
        /// Called once; the relay does nothing after it.
        std::function<void(const outcome&)> onFinished;
    };

    relay(relay_services& services, relay_input input, std::shared_ptr<response_writer> caller);
    ~relay();

    void bind(request_id id, callbacks handlers);
    void start(const start_attempt& command);
    /// Ends the request with an error, now.
    void fail(error_kind kind, duration retryAfter);
    /// A sign of life for the caller of a stream; called from time to time.
    void keepAlive(instant now);
    /// The caller has gone but the answer is still wanted, as for a non-idempotent request that runs.
    void detachCaller();
    const request_shape& shape() const { return m_input.shape; }
    bool hasCaller() const { return m_caller->isOpen(); }

private:
    struct attempt_state {
        start_attempt command;
        std::shared_ptr<http_exchange> exchange;
        trace_context trace;
        std::int64_t startedAt = 0;
        int status = 0;
        http_response buffered; // answers that are not streamed, and errors
        event_splitter splitter;
        bool isStreaming = false;
        bool sawEnd = false;
        bool sawFirst = false;
        bool isOver = false;
    };
    using attempt_ptr = std::shared_ptr<attempt_state>;

    http_request requestFor(const attempt_state& attempt) const;
    exchange_options optionsFor(const attempt_state& attempt) const;
    void onHead(const attempt_ptr& attempt, const http_response_head& head);
    void onBody(const attempt_ptr& attempt, std::string_view bytes);
    void onEvent(const attempt_ptr& attempt, const stream_event& event);
    void onEnd(const attempt_ptr& attempt);
    void onFailure(const attempt_ptr& attempt, const exchange_failure& failure);
    void endPrefill(const attempt_ptr& attempt);
    void endBuffered(const attempt_ptr& attempt);
    void conclude(const attempt_ptr& attempt, attempt_result result);
    void writeAttemptSpan(const attempt_state& attempt, attempt_result result);
    void beginStream();
    void writeToCaller(std::string_view bytes);
    void applyBackPressure();
    void finish(const outcome& result);
    bool isCurrent(const attempt_ptr& attempt) const;

    relay_services& m_services;
    relay_input m_input;
    std::shared_ptr<response_writer> m_caller;
    request_id m_id;
    callbacks m_on;
    attempt_ptr m_attempt; // the present one
    std::string m_kvHandle; // stage decode: name of the KV cache at its source
    std::uint64_t m_nextEvent; // id of the event that the caller gets next
    instant m_lastWrite;
    trace_context m_trace;
    std::int64_t m_startedAt;
    bool m_isFinished = false;
    bool m_isPaused = false;
};

}
