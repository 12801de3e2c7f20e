// Implements request digests with the stable hash.
#include "quarantine/request_digest.h"

#include "base/hash.h"

#include <charconv>
#include <cstdio>

namespace tamarack {

namespace {

    constexpr std::size_t digitsPerHash = 16;

}

namespace detail {

    std::string hashDigits(std::uint64_t hash)
    {
        char text[digitsPerHash + 1];
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(hash));
        return text;
    }

    std::optional<std::uint64_t> parseHashDigits(std::string_view digits)
    {
        std::uint64_t value = 0;
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
        if (error != std::errc() || end != digits.data() + digits.size() || digits.size() != digitsPerHash)
            return std::nullopt;
        return value;
    }

}

request_digest digestOf(std::uint64_t account, std::string_view method, std::string_view target, std::string_view body)
{
    return { account, stableHash(body, stableHash(target, stableHash(method))) };
}

request_digest digestOf(
    std::string_view account, std::string_view method, std::string_view target, std::string_view body)
{
    return digestOf(stableHash(account), method, target, body);
}

std::string toString(const request_digest& digest)
{
    return detail::hashDigits(digest.account) + detail::hashDigits(digest.content);
}

std::optional<request_digest> parseRequestDigest(std::string_view text)
{
    if (text.size() != 2 * digitsPerHash)
        return std::nullopt;
    const auto account = detail::parseHashDigits(text.substr(0, digitsPerHash));
    const auto content = detail::parseHashDigits(text.substr(digitsPerHash));
    if (!account || !content)
        return std::nullopt;
    return request_digest { *account, *content };
}

}
