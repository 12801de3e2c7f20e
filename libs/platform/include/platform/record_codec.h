// Provides the encoding of log records as JSON text, which operators can read and later software versions can extend
// with fields.
#pragma once

#include "decide/records.h"

#include <optional>
#include <string>

namespace tamarack {

std::string encodeRecord(const record_origin& origin, const record_body& body);
/// Returns nothing if the text is not a valid record of a known kind. Unknown fields are ignored.
std::optional<log_record> decodeRecord(log_offset offset, const std::string& text);

}
