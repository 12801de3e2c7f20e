// Provides stable hashes: they are the same on every node and in every software version.
#pragma once

#include <cstdint>
#include <string_view>

namespace tamarack {

/// Returns the 64-bit XXH3 hash of `bytes`.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

/// Returns the rendezvous (highest random weight) hash of `item` for `key`. The items with the highest weights are
/// selected, so few selections change when the set of items changes.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view item);
/// Returns the seed of `key` for the overload below. Computing the seed once is cheaper for a key with many items.
std::uint64_t rendezvousSeed(std::string_view key);
std::uint64_t rendezvousWeight(std::uint64_t keySeed, std::string_view item);

}
