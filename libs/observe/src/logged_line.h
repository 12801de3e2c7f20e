// Lines of the nodes' logs, read for the reports on requests.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace tamarack::detail {

struct logged_line {
    std::int64_t at = 0; ///< milliseconds since 1970
    nlohmann::ordered_json fields;

    /// Empty if the line has no such field.
    std::string text(const char* name) const;
    /// 0 if the line has no such field, or one that is not a number.
    double number(const char* name) const;
    bool is(const char* event) const { return text("event") == event; }
};

/// The lines that are a node's, in order of their time. Bytes before a line's JSON are passed over.
std::vector<logged_line> parseLog(const std::vector<std::string>& lines);

}
