// Remembers, for a moment, attempts that this node has cancelled, since their targets may have begun to run them.
#pragma once

#include "base/clock.h"
#include "quarantine/request_quarantine.h"

#include <cstdint>
#include <vector>

namespace tamarack {

class abandoned_attempts {
public:
    /// `target` is the hash of the target's instance.
    void add(const request_trait& trait, const attempt_evidence& evidence, std::uint32_t target, instant now);
    /// Puts the end of the target down to the attempts at it that were cancelled recently, and forgets them.
    void targetEnded(std::uint32_t target, request_quarantine& quarantine, instant now);
    /// Forgets the attempts at the target, which has not ended.
    void forget(std::uint32_t target);

private:
    struct attempt {
        request_trait trait;
        attempt_evidence evidence;
        std::uint32_t target = 0;
        instant until;
    };

    void removeExpired(instant now);

    std::vector<attempt> m_attempts; // oldest first
};

}
