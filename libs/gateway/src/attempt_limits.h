// Bounds of an attempt: how long it may take to connect, and what a node holds of the answer.
#pragma once

#include "http/http_client.h"
#include "serving/dispatcher.h"

#include <cstddef>
#include <string>

namespace tamarack {

/// Responses up to this size are buffered until complete, so that an interrupted one can be retried at another target
/// instead of reaching the caller in part.
constexpr std::size_t maxBufferedBytes = 64 * 1024;

/// Bytes that are taken from a target for a caller that has left. They are discarded. A non-idempotent request goes on
/// without its caller, and its response has no other bound.
constexpr std::size_t maxUnreadBytes = 8 * 1024 * 1024;

/// Why an attempt whose target exceeds a limit has ended, for the log.
std::string tooLargeReason(const char* what, std::size_t maxBytes);

exchange_options attemptOptions(const serving::start_attempt& command);

}
