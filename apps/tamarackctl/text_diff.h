// What differs between two texts.
#pragma once

#include <string>

namespace tamarack::ctl {

/// A line for each added, removed or replaced field; empty if there is none.
std::string describeDifference(const std::string& before, const std::string& after);

}
