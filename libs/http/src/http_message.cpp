// Implements header lookups and the parsing of numbers.
#include "http/http_message.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace tamarack {

bool equalsIgnoreCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
        [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view header_list::find(std::string_view name) const
{
    for (const auto& entry : entries) {
        if (equalsIgnoreCase(entry.name, name))
            return entry.value;
    }
    return {};
}

bool header_list::has(std::string_view name) const
{
    return std::any_of(entries.begin(), entries.end(), [&](const auto& e) { return equalsIgnoreCase(e.name, name); });
}

void header_list::set(std::string name, std::string value)
{
    for (auto& entry : entries) {
        if (equalsIgnoreCase(entry.name, name)) {
            entry.value = std::move(value);
            return;
        }
    }
    entries.push_back({ std::move(name), std::move(value) });
}

namespace {

    std::size_t bytesOf(const std::string& text)
    {
        return text.capacity() > std::string().capacity() ? text.capacity() : 0;
    }

}

std::size_t http_request::bytesHeld() const
{
    std::size_t out
        = bytesOf(method) + bytesOf(target) + body.size() + headers.entries.capacity() * sizeof(http_header);
    for (const auto& entry : headers.entries)
        out += bytesOf(entry.name) + bytesOf(entry.value);
    return out;
}

std::string_view http_request::path() const
{
    const std::string_view whole = target;
    return whole.substr(0, whole.find('?'));
}

namespace {

    std::optional<std::uint64_t> parseDigits(std::string_view text, int base)
    {
        std::uint64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
        if (text.empty() || error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

}

std::optional<std::uint64_t> parseNumber(std::string_view text) { return parseDigits(text, 10); }

std::optional<std::uint64_t> parseHexadecimal(std::string_view text) { return parseDigits(text, 16); }

}
