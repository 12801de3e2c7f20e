// Compares two configuration texts.
#pragma once

#include <string>

namespace tamarack::ctl {

/// Returns one line for each field that was added, removed or replaced, or an empty string if the texts are equal as
/// JSON. An empty `before` counts as an empty object. If a text is not JSON, the result says so.
std::string describeDifference(const std::string& before, const std::string& after);

}
