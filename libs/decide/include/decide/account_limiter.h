// Rate limiter per caller account, with bounded memory.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <vector>

namespace tamarack {

/// Token buckets keyed by account hash, in a four-way set-associative table of fixed size. A new account evicts the
/// least recently used account of its set; an evicted account starts again with a full bucket.
class account_limiter {
public:
    explicit account_limiter(std::size_t capacity);

    /// Sets the refill rate in requests per second and the bucket size in requests, for all accounts.
    void setLimit(double perSecond, double burst);
    /// Takes one token. Returns zero if the request is admitted, else the time until the next token is available.
    duration take(std::uint64_t account, instant now);

private:
    static constexpr std::size_t ways = 4;

    std::size_t slotFor(std::uint64_t account, instant now);

    double m_perSecond = 100;
    double m_burst = 200;
    // Columns; the set of an account starts at slot (account % sets) * ways.
    std::vector<std::uint64_t> m_account;
    std::vector<double> m_tokens;
    std::vector<instant> m_updated;
};

}
