// Stable hashes: the same on every node and in every software version.
#pragma once

#include <cstdint>
#include <string_view>

namespace tamarack {

/// XXH3 of the bytes.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

/// Rendezvous weight of `item` for `chooser`: the highest weights win, so few choices move when the set changes.
std::uint64_t rendezvousWeight(std::string_view chooser, std::string_view item);
/// The same in two steps, for a chooser with many items.
std::uint64_t rendezvousSeed(std::string_view chooser);
std::uint64_t rendezvousWeight(std::uint64_t chooserSeed, std::string_view item);

}
