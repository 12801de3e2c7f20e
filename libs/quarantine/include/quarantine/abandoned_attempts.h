// Remembers, for a moment, attempts that this node has cancelled, since their targets may have begun to run them.
#pragma once

#include "base/clock.h"
#include "quarantine/request_digest.h"

#include <cstdint>
#include <vector>

namespace tamarack {

class abandoned_attempts {
public:
    /// `target` is the hash of the target's instance.
    void add(const request_digest& digest, std::uint32_t target, instant now);
    /// Removes and returns the requests whose attempts at the target were cancelled recently.
    std::vector<request_digest> takeAt(std::uint32_t target, instant now);

private:
    struct attempt {
        request_digest digest;
        std::uint32_t target = 0;
        instant until;
    };

    void removeExpired(instant now);

    std::vector<attempt> m_attempts; // oldest first
};

}
