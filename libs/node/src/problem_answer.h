// Provides the RFC 9457 problem responses, which are built from the table of error kinds.
#pragma once

#include "base/error_kind.h"
#include "http/http_message.h"

#include <string>

namespace tamarack {

/// Returns a problem response. A `retryAfter` above zero overrides the value from the table. `extra` is the JSON text
/// of an object whose members are added to the body.
http_response problemAnswer(
    error_kind kind, std::string_view detail, duration retryAfter = duration::zero(), const std::string& extra = {});
/// Returns the problem as a server-sent event, for a response whose head has already been sent.
std::string problemEvent(error_kind kind, std::string_view detail, duration retryAfter);

}
