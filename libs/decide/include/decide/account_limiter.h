// Rate limits by account, in a table of fixed size.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <vector>

namespace tamarack {

/// Token buckets keyed by account hash. The table is four-way associative and bounded: an account that was idle longest
/// in its set is forgotten, which gives it a full bucket when it comes back.
class account_limiter {
public:
    explicit account_limiter(std::size_t capacity);

    void setLimit(double perSecond, double burst);
    /// Zero if the request may go on, else how long to wait before the next would be let through.
    duration take(std::uint64_t account, instant now);

private:
    static constexpr std::size_t ways = 4;

    std::size_t slotFor(std::uint64_t account, instant now);

    double m_perSecond = 100;
    double m_burst = 200;
    // Columns; an account's set begins at (account % sets) * ways.
    std::vector<std::uint64_t> m_account;
    std::vector<double> m_tokens;
    std::vector<instant> m_updated;
};

}
