// Carries one request to targets and its answer back: whole, in order, once, across as many attempts as it takes.
#pragma once

#include "gateway/caller_protocol.h"
#include "gateway/target_protocol.h"

#include "http/event_stream.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "observe/logger.h"
#include "observe/metrics.h"
#include "serving/dispatcher.h"

#include <functional>
#include <memory>

namespace tamarack {

/// What every flow of a process uses; outlives them.
struct flow_services {
    http_client& client;
    serving::dispatcher& decisions;
    const caller_protocol& callers;
    const target_protocol& targets;
    metrics& counters;
    const logger& log;
};

/// How a request ended, as its caller saw it.
enum class flow_end : unsigned char { answered, target_failure, refused, cut, caller_gone, count };

std::string_view toString(flow_end end);

class caller_flow : public std::enable_shared_from_this<caller_flow> {
public:
    struct callbacks {
        std::function<void(attempt_id, serving::attempt_result, const std::string& cacheName)> onAttemptEnded;
        std::function<void()> onCallerGone;
        /// Called once; the flow does nothing after it.
        std::function<void()> onFinished;
    };

    caller_flow(flow_services& services, http_request request, caller_request decoded, const serving::route_rule& route,
        std::shared_ptr<response_writer> caller);
    ~caller_flow();

    /// Logs that the request was taken.
    void taken(const serving::serving_request& request) const;
    void bind(request_id id, callbacks handlers);
    void start(const serving::start_attempt& command);
    void stop(attempt_id attempt);
    void refuse(error_kind kind, duration retryAfter);
    void passFailureOn();
    /// The caller has gone and nothing is under way for it.
    void drop();
    bool isRepeatable() const { return m_isRepeatable; }
    bool isStream() const { return m_isStream; }
    bool isAtTarget() const { return m_attempt != nullptr; }
    const std::string& callerId() const { return m_decoded.id; }

private:
    struct attempt_state {
        serving::start_attempt command;
        std::shared_ptr<http_exchange> exchange;
        target_answer answer;
        std::string body; // kept until it is known what to do with it
        event_splitter splitter;
        bool isRelayed = false; // bytes of it went to the caller
        instant startedAt;
        std::int64_t firstMs = -1; // from the start to the first event of a stream
        std::string failureReason;
    };
    using attempt_ptr = std::shared_ptr<attempt_state>;

    attempt_spec specOf(const serving::start_attempt& command) const;
    void onHead(const attempt_ptr& attempt, const http_response_head& head);
    void onBody(const attempt_ptr& attempt, std::string_view bytes);
    void onEnd(const attempt_ptr& attempt);
    void onFailure(const attempt_ptr& attempt, const exchange_failure& failure);
    void onEvent(const attempt_ptr& attempt, const stream_event& event);
    void relayKept(const attempt_ptr& attempt);
    void beginAnswer(const attempt_ptr& attempt);
    void conclude(const attempt_ptr& attempt, serving::attempt_result result, const std::string& cacheName = {});
    void finish(flow_end end);
    /// An event goes to the caller.
    void notePause();
    void applyBackPressure();
    bool isFailure(const target_answer& answer) const;
    bool isEventStream(const attempt_ptr& attempt) const;

    flow_services& m_services;
    http_request m_request; // as the caller sent it
    caller_request m_decoded;
    std::string m_service; // label of counters
    std::string m_routeName;
    bool m_isRepeatable;
    bool m_isStream;
    std::shared_ptr<response_writer> m_caller;
    request_id m_id;
    callbacks m_on;
    attempt_ptr m_attempt; // the one under way
    attempt_ptr m_failure; // the last one that ended with the target's own failure
    std::string m_lastEvent; // id of the last event that the caller has
    instant m_startedAt;
    int m_attempts = 0;
    int m_events = 0; // of a stream, that went to the caller
    std::int64_t m_firstMs = -1; // from the request to the first of them
    instant m_lastEventAt;
    duration m_longestPause = duration::zero(); // between two of them
    bool m_isFinished = false;
    bool m_isPaused = false;
};

}
