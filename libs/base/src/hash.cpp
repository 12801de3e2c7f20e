// Implements the stable hashes with xxHash, and the text form of an instance ID.
#include "base/hash.h"
#include "base/ids.h"

#include <charconv>
#include <xxhash.h>

namespace tamarack {

std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view item)
{
    return rendezvousWeight(rendezvousSeed(key), item);
}

std::uint64_t rendezvousSeed(std::string_view key) { return stableHash(key); }

std::uint64_t rendezvousWeight(std::uint64_t keySeed, std::string_view item) { return stableHash(item, keySeed); }

std::string toString(const instance_id& id) { return id.node + "@" + std::to_string(id.incarnation); }

instance_id parseInstance(const std::string& text)
{
    const auto at = text.rfind('@');
    if (at == std::string::npos || at == 0)
        return {};
    instance_id id { text.substr(0, at), 0 };
    const char* first = text.data() + at + 1;
    const char* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(first, last, id.incarnation);
    if (error != std::errc() || end != last || first == last)
        return {};
    return id;
}

}
