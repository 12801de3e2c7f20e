// Makes the RFC 9457 answers from the table of error kinds.
#pragma once

#include "base/error_kind.h"
#include "http/http_message.h"

#include <string>

namespace tamarack {

/// `retryAfter` replaces the table's time when it is above zero. `extra` holds further members, as JSON text of an
/// object.
http_response problemAnswer(
    error_kind kind, std::string_view detail, duration retryAfter = duration::zero(), const std::string& extra = {});
/// The same as a server-sent event, for an answer whose head has already left.
std::string problemEvent(error_kind kind, std::string_view detail, duration retryAfter);

}
