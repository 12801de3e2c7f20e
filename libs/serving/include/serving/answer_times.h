// Learns how long the answers of each route take, from the whole answers that this node has passed on.
#pragma once

#include "base/clock.h"
#include "serving/serving_request.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace tamarack::serving {

/// How long one whole answer took.
struct answer_time {
    duration toBegin = duration::zero(); ///< from the start of its first attempt to its first byte
    duration fromBegin = duration::zero(); ///< from its first byte to its end
    std::int64_t outputTokens = 0; ///< the most that the request asked for; 0: it has no prompt
};

/// What is to be allowed for an answer, from those of the last minutes.
struct answer_allowance {
    duration toBegin = duration::zero();
    duration fromBegin = duration::zero(); ///< for an answer of `outputTokens`
    std::int64_t outputTokens = 0; ///< the most among the answers seen
};

/// Answers count for one to two windows. A route with few answers in that time is unknown, as the longest of a few says
/// little about the next one.
class answer_times {
public:
    static constexpr duration windowLength = std::chrono::minutes(1);
    static constexpr int minAnswers = 10;

    /// `stage`: the attempts counted. `decode` counts from the start of the decode attempt, every other from the first.
    void record(const std::string& route, attempt_stage stage, const answer_time& time, instant now);
    /// The longest answer and, beyond it, by how much that one exceeds the usual one; nothing if the route is unknown.
    std::optional<answer_allowance> allowance(const std::string& route, attempt_stage stage, instant now) const;

private:
    struct summary {
        int answers = 0;
        duration sumToBegin = duration::zero();
        duration sumFromBegin = duration::zero();
        answer_time longest; // of each figure by itself

        void add(const answer_time& time);
        void add(const summary& other);
    };
    using summaries
        = std::map<std::pair<std::string, bool>, summary>; // by route, and whether it is for decode attempts

    /// Number of the window at `now`.
    static std::int64_t windowAt(instant now) { return now.time_since_epoch() / windowLength; }

    std::array<summaries, 2> m_windows; // by the parity of their number
    std::array<std::int64_t, 2> m_numbers { -1, -1 };
};

}
