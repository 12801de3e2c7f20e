// Table of the requests held by this node, stored by columns.
#pragma once

#include "decide/traffic.h"

#include <vector>

namespace tamarack {

enum class request_phase : unsigned char { free, waiting, running };

/// A request id consists of a row and the row's generation, so a late event of a request that has ended finds no row.
class request_table {
public:
    request_id add(const request_shape& shape, instant now);
    void remove(request_id id);
    /// Returns the row of a held request, or -1.
    std::int64_t row(request_id id) const;
    request_id idOf(std::size_t row) const;
    std::size_t held() const { return m_held; }
    std::size_t rows() const { return phase.size(); }

    // Columns, all of one length.
    std::vector<request_phase> phase;
    std::vector<request_shape> shape;
    std::vector<instant> arrivedAt;
    std::vector<instant> deadlineAt;
    std::vector<request_stage> stage; // stage that is running or runs next
    std::vector<target_id> kvSource; // engine that holds the KV cache, for stage decode
    std::vector<target_id> target; // valid while running
    std::vector<target_id> avoid; // target of the last failed attempt
    std::vector<attempt_id> attempt; // current attempt; events of any other are ignored
    std::vector<std::int32_t> attempts; // number of attempts started
    std::vector<std::int64_t> prefillCharged; // prompt tokens counted as queued at the target
    std::vector<std::int64_t> tokensDone; // output tokens received
    std::vector<instant> startedAt; // start of the first attempt; the epoch before that
    std::vector<std::uint8_t> mayHaveRun; // whether some target may have executed it

private:
    std::vector<std::uint32_t> m_generations;
    std::vector<std::uint32_t> m_free;
    std::size_t m_held = 0;
};

}
