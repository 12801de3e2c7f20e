// Generates requests from the profile of their kind.
#pragma once

#include "fleet_profile.h"

#include "base/random_source.h"

namespace tamarack::serving::tests {

struct generated_request {
    std::size_t kind = 0;
    prompt text;
    std::int64_t outputTokens = 0;
    double owed = 0; ///< its value in time
    double owedLate = 0;
};

class request_generator {
public:
    /// Parts that requests share have lower ids.
    static constexpr std::uint64_t firstOwnPart = 1ULL << 40;

    request_generator(const std::vector<request_profile>& kinds, int tokensPerEvent, random_source& random);

    generated_request make(std::size_t kind);

private:
    double size(const size_spread& spread);
    prompt makePrompt(std::size_t kind);

    const std::vector<request_profile>& m_kinds;
    int m_tokensPerEvent;
    random_source& m_random;
    std::vector<std::vector<std::int64_t>> m_prefixes; // sizes, by kind
    std::vector<std::vector<std::int64_t>> m_groups; // sizes of their common first parts, by kind
    std::vector<std::vector<double>> m_popularity; // cumulative, by kind
    std::uint64_t m_nextPart = firstOwnPart;
};

}
