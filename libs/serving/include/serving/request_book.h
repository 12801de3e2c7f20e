// The requests that this node holds, one row each, in columns.
#pragma once

#include "serving/serving_request.h"

#include <vector>

namespace tamarack::serving {

enum class request_phase : unsigned char { free, waiting, running };

struct request_times {
    instant arrivedAt;
    instant aimAt; ///< until then an answer counts as fast
    instant answerBy; ///< an answer or an error is due by then
};

/// What has become of a request so far.
struct request_progress {
    int sends = 0; ///< attempts that count against the route's bound on targets
    int arrivals = 0; ///< attempts that may have reached a target, but for one prefill that was accepted
    bool hasTriedPrefill = false; ///< the first prefill does not count as a send; further ones do
    bool mayHaveRun = false;
    bool hasStarted = false; ///< some of the answer went to the caller
    bool hasFailed = false; ///< an attempt has: the next one trusts no kept connection
    bool hasFailureAnswer = false; ///< the last attempt's target gave a failure that can be passed on
    target_id avoid; ///< the target that failed last
    cache_handle cache; ///< what the decode stage imports; no name if there is none
};

/// The attempt under way.
struct current_attempt {
    attempt_id id;
    target_id target;
    attempt_stage stage = attempt_stage::whole;
    bool isFirstPrefill = false; ///< the one that does not count as a send
    bool isReading = false; ///< its prompt is in the engine's queue
    std::uint64_t readKey = 0; ///< of it there
    double work = 0; ///< of reading its prompt, in tokens
    double otherSeconds = 0; ///< predicted, for what the engine reads before it and for transfers
    instant sentAt;
    instant stallsAt; ///< without a sign of the target until then, it is left
    bool hasBegun = false; ///< its answer has begun
    instant lastEventAt; ///< of its stream
    int tokensPerEvent = 0; ///< of it; 0: it is no engine's
};

/// An id holds its row and a count of the row's uses, so a late event for an ended request finds nothing.
class request_book {
public:
    request_id add(serving_request request, instant now);
    void remove(request_id id);
    /// Row of a held request, or -1.
    std::int64_t row(request_id id) const;
    request_id idOf(std::size_t row) const;
    std::size_t held() const { return m_held; }
    std::size_t rows() const { return phase.size(); }

    // Columns, all of one length.
    std::vector<request_phase> phase;
    std::vector<serving_request> request;
    std::vector<request_times> times;
    std::vector<request_progress> progress;
    std::vector<current_attempt> current; // its id is invalid while the request waits

private:
    std::vector<std::uint32_t> m_uses;
    std::vector<std::uint32_t> m_free;
    std::size_t m_held = 0;
};

}
