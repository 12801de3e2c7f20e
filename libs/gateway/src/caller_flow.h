// Relays one caller's request to targets and the response back, complete, in order and exactly once, across any number
// of attempts.
#pragma once

#include "detour_protocol.h"
#include "gateway/caller_protocol.h"
#include "gateway/target_protocol.h"
#include "target_notices.h"

#include "http/event_stream.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "observe/logger.h"
#include "observe/metrics.h"
#include "serving/dispatcher.h"

#include <functional>
#include <memory>

namespace tamarack {

/// Services shared by all flows of a process; they outlive the flows.
struct flow_services {
    http_client& client;
    serving::dispatcher& decisions;
    const caller_protocol& callers;
    const target_protocol& targets;
    metrics& counters;
    const logger& log;
    target_notices& notices;
    std::function<void(const std::string& account)> onRequestBegan; ///< a target has begun to run a request
    /// The first event of a stream is about to go to its caller.
    std::function<void()> onStreamBegan = [] {};
};

/// Outcome of a request from the caller's point of view.
enum class flow_end : unsigned char { answered, target_failure, refused, cut, caller_gone, count };

std::string_view toString(flow_end end);

/// What ended the first attempt of an answer that was cut.
enum class cut_cause : unsigned char {
    target, ///< the target broke off or failed
    peer, ///< the same through a peer, which may have failed itself
    left_silent, ///< the node left a silent target
    deadline, ///< the time that the caller or the route allows was over
    exit, ///< the process was about to exit
    count
};

std::string_view toString(cut_cause cause);

class caller_flow : public std::enable_shared_from_this<caller_flow> {
public:
    struct callbacks {
        std::function<void(attempt_id, serving::attempt_result, const std::string& cacheName)> onAttemptEnded;
        std::function<void()> onCallerGone;
        /// Called once; the flow is inactive afterwards.
        std::function<void()> onFinished;
    };

    caller_flow(flow_services& services, http_request request, caller_request decoded, const serving::route_rule& route,
        std::string account, std::shared_ptr<response_writer> caller);
    ~caller_flow();

    /// Logs that the request was accepted.
    void logAccepted(const serving::serving_request& request);
    void bind(request_id id, callbacks handlers);
    void start(const serving::start_attempt& command);
    void stop(attempt_id attempt, serving::stop_reason reason);
    void refuse(const serving::refuse_request& command);
    void forwardFailure();
    /// Logs that the process exits before the request has ended.
    void logHeldAtExit() const;
    void logOrigin(const serving::origin_finding& finding);
    /// Ends the flow after the caller has disconnected and its attempt was cancelled.
    void abandon();
    bool isRepeatable() const { return m_isRepeatable; }
    bool isStream() const { return m_isStream; }
    bool hasActiveAttempt() const { return m_attempt != nullptr; }
    const std::string& callerId() const { return m_decoded.id; }

private:
    struct attempt_state {
        serving::start_attempt command;
        std::shared_ptr<http_exchange> exchange;
        target_answer answer;
        std::string body; // buffered until it is known whether the response is relayed; of a stream, its events
        std::string lastBufferedEvent; // id
        int bufferedEvents = 0;
        event_splitter splitter;
        std::size_t unreadBytes = 0; // relayed after the caller had left
        bool isRelayed = false; // part of the response was sent to the caller
        instant startedAt;
        instant lastBytesAt; // startedAt until the first bytes of the answer
        std::int64_t firstMs = -1; // time from the start of the attempt to the first event of a stream; -1: none yet
        std::string failureReason;
        bool mayHaveReached = true;
        bool isUndelimited = false; // by a detour, which delimits every body, of a target that does not
    };
    using attempt_ptr = std::shared_ptr<attempt_state>;

    /// Whether the attempt is in progress.
    bool isLive(const attempt_ptr& attempt) const { return attempt == m_attempt || attempt == m_silent; }
    /// The attempt brings the answer: ends another one beside it.
    void goOnWith(const attempt_ptr& attempt);
    void cancel(const attempt_ptr& attempt, serving::stop_reason reason);
    static std::string_view viaOf(const attempt_state& attempt);
    attempt_spec specOf(const serving::start_attempt& command) const;
    void onHead(const attempt_ptr& attempt, const http_response_head& head);
    void onTargetHead(const attempt_ptr& attempt, const http_response_head& head);
    /// The peer has answered for itself. `answer` is empty if it is not one that passes calls on.
    void onDetourFailure(const attempt_ptr& attempt, const std::optional<detour_answer>& answer);
    void onBody(const attempt_ptr& attempt, std::string_view bytes);
    /// The target sends more of `what` than is taken.
    void onTooLarge(const attempt_ptr& attempt, const char* what, std::size_t maxBytes);
    void onEnd(const attempt_ptr& attempt);
    void onFailure(const attempt_ptr& attempt, const exchange_failure& failure);
    void onEvent(const attempt_ptr& attempt, const stream_event& event);
    /// Called when the target shows that it runs the request; only the first call counts.
    void requestBegan();
    void relayBuffered(const attempt_ptr& attempt);
    /// Whether the event is kept until the stream may begin.
    bool keepsEvent(const attempt_ptr& attempt, const stream_event& event, bool isDuplicate);
    void beginAnswer(const attempt_ptr& attempt);
    /// The attempt may have run and gives no whole answer.
    void concludeBroken(const attempt_ptr& attempt);
    void conclude(const attempt_ptr& attempt, serving::attempt_result result, const std::string& cacheName = {});
    /// `detail` says why, for the log.
    void finish(flow_end end, std::string_view detail = {});
    /// Updates the event count, the time to the first event and the longest gap; called for each event sent to the
    /// caller.
    void recordEvent();
    void applyBackPressure();
    /// Counts what the flow holds of answers that are not relayed.
    void updateHeld();
    /// Records, for the log, how an attempt ended, and `cause` in case the answer ends here.
    void recordEnd(const attempt_state& attempt, std::string_view how, cut_cause cause);
    /// Why an attempt is being ended together with its request.
    cut_cause endCause() const;
    cut_cause cutCause() const { return m_cutCause.value_or(endCause()); }
    /// Time in which the stopping process still answers; -1: it is not stopping.
    std::int64_t untilExitMilliseconds() const;
    bool isFailure(const target_answer& answer) const;
    bool isEventStream(const attempt_ptr& attempt) const;

    flow_services& m_services;
    http_request m_request; // as received from the caller, without the body
    std::shared_ptr<const std::string> m_body; // null once no further attempt can need it
    std::size_t m_headBytes = 0; // memory of m_request
    caller_request m_decoded;
    std::string m_digest; // for the log
    std::string m_parts; // shared parts of the prompt, for the log
    std::string m_account; // name of the client account; empty: none
    std::string m_routeName;
    bool m_isRepeatable;
    bool m_isStream;
    std::shared_ptr<response_writer> m_caller;
    request_id m_id;
    callbacks m_on;
    attempt_ptr m_attempt; // current attempt
    attempt_ptr m_silent; // goes on beside the current one until one of them brings a byte of the answer
    attempt_ptr m_failure; // last attempt that ended with a failure response of the target
    std::string m_lastEvent; // id of the last event sent to the caller
    instant m_startedAt;
    int m_attempts = 0;
    std::string m_attemptEnds; // in order, for the log
    std::optional<cut_cause> m_cutCause; // of the answer, if it ends early; not set while its attempt goes on
    int m_events = 0; // number of stream events sent to the caller
    std::int64_t m_firstMs = -1; // time from the request to the first event; -1: none yet
    instant m_lastEventAt;
    duration m_longestGap = duration::zero(); // longest time between two events
    bool m_hasBegun = false; // a target has begun to run the request
    bool m_isFinished = false;
    bool m_isPaused = false;
};

}
