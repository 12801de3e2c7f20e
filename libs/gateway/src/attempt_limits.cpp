// Implements the bounds of an attempt.
#include "attempt_limits.h"

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// Connecting takes one round trip plus a millisecond, and a target in another availability zone responds within 4
    /// ms. If it takes longer, the target is gone or its accept queue is full.
    constexpr duration connectTimeout = 150ms;
    /// Room in a head for the headers that a peer adds when it passes a response on.
    constexpr std::uint32_t detourHeaderBytes = 1024;

}

std::string tooLargeReason(const char* what, std::size_t maxBytes)
{
    return std::string(what) + " of more than " + std::to_string(maxBytes) + " bytes, connection closed";
}

exchange_options attemptOptions(const serving::start_attempt& command)
{
    exchange_options out;
    out.connectTimeout = connectTimeout;
    out.silenceTimeout = command.timeLeft + connectTimeout; // the dispatcher gives up a silent target earlier
    out.maxIdleTime = command.longestIdle;
    if (command.detour)
        out.limits.headBytes += detourHeaderBytes;
    return out;
}

}
