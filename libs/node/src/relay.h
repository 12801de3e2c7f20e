// Provides the relay of one request to targets and of its answer to the caller. Across any number of attempts, the
// caller receives each part of the answer exactly once and in order.
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

/// The services that all relays of a node share; must outlive the relays.
struct relay_services {
    http_client& client;
    traffic_system& traffic;
    metrics& counters;
    const logger& log;
    span_writer& spans;
    span_id_source& spanIds;
    /// Time without bytes after which a target that sends data regularly counts as silent.
    duration silenceTimeout;
};

/// A request with the data that is needed beyond routing.
struct relay_input {
    request_shape shape; ///< its deadline is set
    http_request toTarget; ///< method, path, headers and body as sent to the target
    bool isEngine = false;
    bool isStream = false;
    std::uint64_t firstEvent = 0; ///< id of the first event the caller still needs
    trace_context callerTrace;
    std::string name; ///< name of the trace span
    std::string homeHeader; ///< value of the `Tamarack-Home` header of every answer
};

/// Relays one request. Attempts run one after another; events of former attempts are ignored.
class relay : public std::enable_shared_from_this<relay> {
public:
    /// The result of a request: the answer, or the error with which it ended if `answer` is null.
    struct outcome {
        const http_response* answer = nullptr;
        error_kind error = error_kind::internal;
    };
    struct callbacks {
        std::function<void(attempt_id, attempt_result)> onAttemptEnded;
        std::function<void()> onCallerGone;
        /// Called once, when the request has ended with an answer or an error; the relay does nothing afterwards.
        std::function<void(const outcome&)> onFinished;
    };

    relay(relay_services& services, relay_input input, std::shared_ptr<response_writer> caller);
    ~relay();

    /// Sets the id of the request and the callbacks. Must be called before start().
    void bind(request_id id, callbacks handlers);
    /// Starts an attempt, which becomes the current one.
    void start(const start_attempt& command);
    /// Cancels the current attempt and ends the request with an error.
    void fail(error_kind kind, duration retryAfter);
    /// Sends a keep-alive comment on a stream without recent data. Called periodically.
    void keepAlive(instant now);
    /// Whether the target of the current attempt has sent nothing for the silence timeout.
    bool isSilent(instant now) const;
    /// Stops the current attempt if its target is silent and the request need not wait for it. Called periodically.
    void checkSilence(instant now);
    /// Continues the request after its caller has disconnected, as for a non-idempotent request whose outcome is
    /// needed.
    void detachCaller();
    const request_shape& shape() const { return m_input.shape; }
    bool hasCaller() const { return m_caller->isOpen(); }

private:
    struct attempt_state {
        start_attempt command;
        std::shared_ptr<http_exchange> exchange;
        trace_context trace;
        std::int64_t startedAt = 0;
        instant lastByteAt;
        int status = 0; // 0 before the head of the answer
        http_response buffered; // an answer that is not streamed, or an error response
        event_splitter splitter;
        bool isStreaming = false;
        bool isConnectionFresh = false;
        bool isDelimited = false; // otherwise the end of the connection, which may be a crash, ends the answer
        bool sawEnd = false;
        bool sawFirst = false;
        bool hasEnded = false;
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
    /// Passes the time for which the target wants no work, if it says one, to the traffic decisions.
    void noteRest(const attempt_state& attempt, const http_response_head& head);
    void startCallerStream();
    void writeToCaller(std::string_view bytes);
    void applyBackPressure();
    void finish(const outcome& result);
    bool isCurrent(const attempt_ptr& attempt) const;
    bool maySilenceMeanFailure(const attempt_state& attempt) const;

    relay_services& m_services;
    relay_input m_input;
    std::shared_ptr<const std::string> m_body; // of m_input.toTarget, held once for all attempts
    std::shared_ptr<response_writer> m_caller;
    request_id m_id;
    callbacks m_callbacks;
    attempt_ptr m_attempt; // the current attempt
    std::string m_kvHandle; // handle of the KV cache at its source, for the decode stage
    std::uint64_t m_nextEvent; // id of the next event to send to the caller
    instant m_lastWrite;
    bool m_needsFreshConnection = false; // other idle connections may have been lost as well
    trace_context m_trace;
    std::int64_t m_startedAt;
    bool m_isFinished = false;
    bool m_isPaused = false;
};

}
