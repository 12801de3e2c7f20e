// Names what several requests may have in common that crashes the targets that run them.
#pragma once

#include "quarantine/request_digest.h"

namespace tamarack {

enum class trait_kind : unsigned char {
    repeat, ///< the same request, sent again
    prompt_part, ///< a part of the prompt that other requests have as well
    count
};

struct request_trait {
    trait_kind kind = trait_kind::repeat;
    std::uint64_t account = 0; ///< hash of the client account; 0 for a part of a prompt, which any account may send
    std::uint64_t content = 0; ///< hash of method, target and body; of a part of a prompt its id

    request_trait() = default;
    /// The request itself.
    request_trait(const request_digest& digest)
        : account(digest.account)
        , content(digest.content)
    {
    }

    auto operator<=>(const request_trait&) const = default;
};

request_trait promptPartTrait(std::uint64_t partId);

/// Returns the digits of the digest, or `part-` and 16 hexadecimal digits.
std::string toString(const request_trait& trait);
/// Returns nothing if the text is not the result of toString().
std::optional<request_trait> parseRequestTrait(std::string_view text);
std::string_view toString(trait_kind kind);

}
