// Log records as JSON text, so that operators can read the log and software versions can add fields.
#pragma once

#include "decide/records.h"

#include <optional>
#include <string>

namespace tamarack {

std::string encodeRecord(const record_origin& origin, const record_body& body);
/// Nothing if the text is not a record of a kind known here. Unknown fields are passed over.
std::optional<log_record> decodeRecord(log_offset offset, const std::string& text);

}
