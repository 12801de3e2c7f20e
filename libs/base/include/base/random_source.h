// Provides a small seeded random number generator whose sequence is the same on every VM for the same seed.
#pragma once

#include <cstdint>

namespace tamarack {

/// An xorshift64* generator for randomizing decisions. It is not cryptographically secure.
class random_source {
public:
    explicit random_source(std::uint64_t seed)
        : m_state(seed ? seed : 0x9e3779b97f4a7c15ULL)
    {
    }

    std::uint64_t next()
    {
        m_state ^= m_state >> 12;
        m_state ^= m_state << 25;
        m_state ^= m_state >> 27;
        return m_state * 0x2545f4914f6cdd1dULL;
    }
    /// Returns a number in [0, bound). `bound` must not be 0.
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }
    /// Returns a number in [0, 1).
    double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

private:
    std::uint64_t m_state;
};

}
