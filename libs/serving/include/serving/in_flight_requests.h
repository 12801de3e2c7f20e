// Provides the table of the requests that this node holds: one row for each request, stored by column.
#pragma once

#include "serving/serving_request.h"

#include <vector>

namespace tamarack::serving {

enum class request_phase : unsigned char { free, waiting, running };

struct request_times {
    instant arrivedAt;
    instant aimAt; ///< an answer by then counts as fast
    instant answerDeadline; ///< the request must have an answer or an error by then
};

/// The state of a request over all its attempts.
struct request_progress {
    int sends = 0; ///< attempts that count against the route's limit on targets
    int arrivals = 0; ///< attempts that may have reached a target, except for one accepted prefill
    bool hasTriedPrefill = false; ///< the first prefill does not count as a send; further ones do
    bool mayHaveRun = false;
    bool hasStarted = false; ///< a part of the answer has gone to the caller
    instant lastEventAt; ///< of the stream, over all attempts
    build_id build; ///< that began the stream, so that only its targets may go on with it; invalid: not begun
    bool hasFailed = false; ///< an attempt has failed, so the next one uses a new connection
    bool hasFailureAnswer = false; ///< the last attempt's target gave a failure answer that can be forwarded
    instant workBeganAt; ///< the first attempt was sent
    bool isLimited = false; ///< when last looked at, all targets that could answer it had limits, and none a permit
    target_id avoid; ///< the target that failed last
    /// The request is the trial of what is quarantined in it, and may be sent from then on; not set: it is none.
    instant trialFrom;
    cache_handle cache; ///< what the decode stage imports; its name is empty if there is none
};

/// The attempt in progress.
struct current_attempt {
    attempt_id id;
    target_id target;
    build_id build; ///< of the target when the attempt was sent
    attempt_stage stage = attempt_stage::whole;
    std::string detour; ///< VM of the peer that passes it on; empty: none
    bool hasTargetFailed = false; ///< as the peer of its detour has said
    bool isClosedByTarget = false; ///< the target has closed the connection without a whole answer
    bool hasLostPath = false; ///< its failure was the first one on the direct path to the target
    bool isFirstPrefill = false; ///< the prefill that does not count as a send
    bool isPrefilling = false; ///< its prompt is in the engine's queue
    std::uint64_t prefillKey = 0; ///< key of the prompt in the engine's queue
    double work = 0; ///< prefill work, in tokens
    double waitAndTransferSeconds = 0; ///< predicted, for the jobs ahead in the engine's queue and for transfers
    instant sentAt;
    instant silenceDeadline; ///< the attempt is abandoned if the target sends nothing until then
    bool hasStartedAnswering = false; ///< the answer's first bytes have arrived
    instant answeringSince; ///< set with hasStartedAnswering
    instant firstEventAt; ///< of the stream
    instant lastEventAt; ///< of the stream
    bool isProven = false; ///< the target has outlasted the begin of the answer
    bool isPaused = false; ///< nothing is read from the target, so its silence means nothing
    bool wasPaused = false; ///< at any time, so its length says nothing about the target
    int tokensPerEvent = 0; ///< of the stream; 0: the target is not an engine
};

/// An id consists of the row and of the row's generation, so that a late event for an ended request does not match.
class in_flight_requests {
public:
    request_id add(serving_request request, instant now);
    void remove(request_id id);
    /// Row of a held request, or -1.
    std::int64_t row(request_id id) const;
    request_id idOf(std::size_t row) const;
    std::size_t held() const { return m_held; }
    std::size_t rows() const { return phase.size(); }

    // Columns, all of the same length.
    std::vector<request_phase> phase;
    std::vector<serving_request> request;
    std::vector<request_times> times;
    std::vector<request_progress> progress;
    std::vector<current_attempt> current; // its id is invalid while the request waits
    /// A silent attempt beside the current one, which goes on until one of the two brings a byte of the answer. Its id
    /// is valid only while that of the current one is.
    std::vector<current_attempt> silent;

private:
    std::vector<std::uint32_t> m_generations;
    std::vector<std::uint32_t> m_freeRows;
    std::size_t m_held = 0;
};

}
