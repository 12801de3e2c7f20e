// Provides integer ID types that the compiler keeps apart from each other.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace tamarack {

/// An ID of one kind. `Tag` only makes the types distinct. A default-constructed ID is invalid.
template <class Tag, class Rep = std::uint32_t> struct strong_id {
    static constexpr Rep invalidValue = static_cast<Rep>(-1);

    Rep value = invalidValue;

    constexpr bool isValid() const { return value != invalidValue; }
    constexpr auto operator<=>(const strong_id&) const = default;
};

}

template <class Tag, class Rep> struct std::hash<tamarack::strong_id<Tag, Rep>> {
    std::size_t operator()(const tamarack::strong_id<Tag, Rep>& id) const noexcept
    {
        return std::hash<Rep>()(id.value);
    }
};
