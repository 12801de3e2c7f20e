// The requests that this node holds, one row each, in columns.
#pragma once

#include "decide/traffic.h"

#include <vector>

namespace tamarack {

enum class request_phase : unsigned char { free, waiting, running };

/// An id holds its row and a count of the row's uses, so a late event for an ended request finds nothing.
class request_table {
public:
    request_id add(const request_shape& shape, instant now);
    void remove(request_id id);
    /// Row of a held request, or -1.
    std::int64_t row(request_id id) const;
    request_id idOf(std::size_t row) const;
    std::size_t held() const { return m_held; }
    std::size_t rows() const { return phase.size(); }

    // Columns, all of one length.
    std::vector<request_phase> phase;
    std::vector<request_shape> shape;
    std::vector<instant> arrivedAt;
    std::vector<instant> deadlineAt;
    std::vector<request_stage> stage; // the one to run next, or running
    std::vector<target_id> kvSource;
    std::vector<target_id> target; // valid while running
    std::vector<target_id> avoid; // the target that failed last
    std::vector<attempt_id> attempt; // the only one whose events count
    std::vector<std::int32_t> attempts;
    std::vector<std::int64_t> prefillCharged; // tokens counted at the target
    std::vector<std::int64_t> tokensDone;
    std::vector<instant> startedAt; // of the first attempt; the epoch before it
    std::vector<std::uint8_t> mayHaveRun; // some target may have worked on it

private:
    std::vector<std::uint32_t> m_uses;
    std::vector<std::uint32_t> m_free;
    std::size_t m_held = 0;
};

}
