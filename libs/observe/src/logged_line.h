// Parses the log lines of nodes for the reports on requests.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace tamarack::detail {

/// One parsed line of a node's log.
struct logged_line {
    std::int64_t at = 0; ///< milliseconds since the Unix epoch
    nlohmann::ordered_json fields;

    /// Returns an empty text if the line has no such field.
    std::string text(const char* name) const;
    /// Returns 0 if the line has no such field or the field is not a number.
    double number(const char* name) const;
    bool is(const char* event) const { return text("event") == event; }
};

/// Returns the lines that are log lines of a node, in order of time. Bytes before the JSON object of a line are
/// ignored.
std::vector<logged_line> parseLog(const std::vector<std::string>& lines);

}
