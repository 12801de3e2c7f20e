// Implements the table of causes.
#include "cause_table.h"

#include <algorithm>
#include <cstdio>
#include <vector>

namespace tamarack::detail {

void cause_table::count(const std::string& cause, const std::string& request)
{
    auto& counted = m_causes[cause];
    ++counted.requests;
    counted.sample = request;
}

std::string cause_table::format() const
{
    std::vector<std::pair<std::string, counted_cause>> ordered(m_causes.begin(), m_causes.end());
    std::stable_sort(ordered.begin(), ordered.end(),
        [](const auto& a, const auto& b) { return a.second.requests > b.second.requests; });
    std::string out;
    for (const auto& [cause, counted] : ordered) {
        char number[16];
        std::snprintf(number, sizeof number, "%7d  ", counted.requests);
        out += number + cause + "  (such as " + counted.sample + ")\n";
    }
    return out;
}

}
