// Names the shared parts of prompts in log lines.
#pragma once

#include "serving/serving_request.h"

#include <string>

namespace tamarack {

/// Ids of the parts that the prompt shares with others, in hexadecimal and separated by commas. Long lists end with an
/// ellipsis.
std::string partNames(const serving::prompt& text);

}
