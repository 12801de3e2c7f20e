// Bounds what an HTTP exchange takes from its peer.
#pragma once

#include "base/clock.h"

#include <cstdint>

namespace tamarack {

/// An exchange whose peer exceeds one of these fails, and its connection is closed. A body that is passed on to the
/// handlers of `http_client::start()` has no bound, since the exchange does not hold it.
struct exchange_limits {
    /// Bytes of a head, of the line that begins a chunk, and of all trailers together. A head of a response that a peer
    /// passes on has some headers more than that of the target.
    std::uint32_t headBytes = 16 * 1024;
    /// Bytes of informational responses and of responses to other requests, all together.
    std::uint64_t skippedBytes = 1024 * 1024;
    /// Bytes of a body that `http_client::fetch()` collects. The state of 300 nodes with 700 targets takes a quarter.
    std::uint64_t collectedBytes = 8 * 1024 * 1024;
    /// Time from the first byte to the end of a response that `http_client::fetch()` collects. The silence timeout does
    /// not end a response of which a byte arrives now and then.
    duration collectTime = std::chrono::seconds(30);
};

/// A body of a response to a call that wants no more than its status or a few fields.
constexpr std::uint64_t maxShortBodyBytes = 64 * 1024;

}
