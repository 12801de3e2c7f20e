// Implements the names of prompts' parts.
#include "prompt_parts.h"

#include <algorithm>
#include <cstdio>

namespace tamarack {

namespace {

    constexpr std::size_t maxLoggedParts = 12;

}

std::string partNames(const serving::prompt& text)
{
    std::string out;
    const auto parts = serving::sharedParts(text);
    for (const auto& part : parts.first(std::min(parts.size(), maxLoggedParts))) {
        char id[20];
        std::snprintf(id, sizeof id, "%s%llx", out.empty() ? "" : ",", static_cast<unsigned long long>(part.id));
        out += id;
    }
    return parts.size() > maxLoggedParts ? out + ",..." : out;
}

}
