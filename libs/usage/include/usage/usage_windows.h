// Numbers windows of wall-clock time, counted from the start of 1970.
#pragma once

#include <cstdint>

namespace tamarack {

class usage_windows {
public:
    /// `length` is in milliseconds and positive.
    explicit usage_windows(std::int64_t length)
        : m_length(length)
    {
    }

    std::int64_t at(std::int64_t wallMilliseconds) const { return wallMilliseconds / m_length; }
    /// Wall-clock time in milliseconds at which the window ends.
    std::int64_t endOf(std::int64_t window) const { return (window + 1) * m_length; }

private:
    std::int64_t m_length;
};

}
