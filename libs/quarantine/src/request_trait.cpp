// Implements the texts of traits.
#include "quarantine/request_trait.h"

#include <array>

namespace tamarack {

namespace {

    constexpr std::string_view partPrefix = "part-";
    constexpr std::array<std::string_view, static_cast<std::size_t>(trait_kind::count)> kindNames { "request",
        "prompt_part" };

}

request_trait promptPartTrait(std::uint64_t partId)
{
    request_trait out;
    out.kind = trait_kind::prompt_part;
    out.content = partId;
    return out;
}

std::string toString(const request_trait& trait)
{
    if (trait.kind == trait_kind::prompt_part)
        return std::string(partPrefix) + detail::hashDigits(trait.content);
    return toString(request_digest { trait.account, trait.content });
}

std::optional<request_trait> parseRequestTrait(std::string_view text)
{
    if (text.starts_with(partPrefix)) {
        const auto id = detail::parseHashDigits(text.substr(partPrefix.size()));
        return id ? std::optional(promptPartTrait(*id)) : std::nullopt;
    }
    const auto digest = parseRequestDigest(text);
    return digest ? std::optional<request_trait>(*digest) : std::nullopt;
}

std::string_view toString(trait_kind kind) { return kindNames[static_cast<std::size_t>(kind)]; }

}
