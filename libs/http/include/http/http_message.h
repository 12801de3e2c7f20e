// HTTP messages as plain data, without the parser behind them.
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

/// Headers in the order received; look-ups ignore case.
struct header_list {
    std::vector<http_header> entries;

    /// The first value under `name`; empty if there is none. Valid until the list changes.
    std::string_view find(std::string_view name) const;
    bool has(std::string_view name) const;
    void set(std::string name, std::string value);
};

struct http_request {
    std::string method;
    std::string target; ///< path and query as sent
    header_list headers;
    std::string body;

    std::string_view path() const;
};

struct http_response_head {
    int status = 0;
    header_list headers;
};

/// A whole answer that fits in memory.
struct http_response {
    int status = 200;
    header_list headers;
    std::string body;
};

bool equalsIgnoreCase(std::string_view a, std::string_view b);
/// A decimal number without sign or blanks, or nothing.
std::optional<std::uint64_t> parseNumber(std::string_view text);
/// The same for hexadecimal digits.
std::optional<std::uint64_t> parseHexadecimal(std::string_view text);

}
