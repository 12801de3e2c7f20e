// Identifies a request by what it asks for, so that its later tries, which have other ids, are recognized on every
// node.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

struct request_digest {
    std::uint64_t account = 0; ///< hash of the client account
    std::uint64_t content = 0; ///< hash of method, target and body

    auto operator<=>(const request_digest&) const = default;
};

/// Computes the digest. `account` is the hash of the client account, `target` the request target with its query.
request_digest digestOf(std::uint64_t account, std::string_view method, std::string_view target, std::string_view body);
request_digest digestOf(
    std::string_view account, std::string_view method, std::string_view target, std::string_view body);

namespace detail {
    /// Returns 16 hexadecimal digits.
    std::string hashDigits(std::uint64_t hash);
    std::optional<std::uint64_t> parseHashDigits(std::string_view digits);
}

/// Returns 32 hexadecimal digits, those of the account first.
std::string toString(const request_digest& digest);
/// Returns nothing if the text is not the result of toString().
std::optional<request_digest> parseRequestDigest(std::string_view text);

}
