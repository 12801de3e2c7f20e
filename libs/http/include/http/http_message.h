// Defines HTTP messages as plain data types that do not depend on the parser.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

struct http_header {
    std::string name;
    std::string value;
};

/// Headers in the order received. Lookups ignore the case of names.
struct header_list {
    std::vector<http_header> entries;

    /// Returns the first value of the header `name`, or an empty view if there is none. Valid until the list changes.
    std::string_view find(std::string_view name) const;
    bool has(std::string_view name) const;
    void set(std::string name, std::string value);
};

struct http_request {
    std::string method;
    std::string target; ///< request target: path and query as sent
    header_list headers;
    std::string body;

    std::string_view path() const;
    /// Memory that the request holds.
    std::size_t bytesHeld() const;
};

struct http_response_head {
    int status = 0;
    header_list headers;
};

/// A complete response that is held in memory.
struct http_response {
    int status = 200;
    header_list headers;
    std::string body;
};

bool equalsIgnoreCase(std::string_view a, std::string_view b);
/// Parses a decimal number without sign or blanks. Returns nothing if `text` is malformed or out of range.
std::optional<std::uint64_t> parseNumber(std::string_view text);
/// Parses a hexadecimal number under the same rules, without a prefix.
std::optional<std::uint64_t> parseHexadecimal(std::string_view text);

}
