// Lines on their way to a descriptor that must never be waited for.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace tamarack::detail {

/// Keeps lines up to a bound and writes what the descriptor takes. A line that does not fit is dropped whole.
class bounded_output {
public:
    bounded_output(int descriptor, std::size_t mostBytes);

    void add(std::string_view line);
    void flush();
    std::uint64_t dropped() const { return m_dropped; }

private:
    int m_descriptor;
    std::size_t m_mostBytes;
    std::string m_pending;
    std::size_t m_written = 0; // bytes of m_pending that are out
    std::uint64_t m_dropped = 0;
    bool m_isClosed = false; // nobody reads any more
};

}
