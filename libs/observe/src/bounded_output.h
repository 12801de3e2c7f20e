// Provides a bounded buffer of lines in front of a descriptor, written without blocking.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace tamarack::detail {

/// Buffers up to `maxBytes` and writes as much as the descriptor accepts. A line that does not fit is dropped whole.
class bounded_output {
public:
    bounded_output(int descriptor, std::size_t maxBytes);

    void add(std::string_view line);
    void flush();
    /// Returns the number of lines dropped.
    std::uint64_t dropped() const { return m_dropped; }

private:
    int m_descriptor;
    std::size_t m_maxBytes;
    std::string m_pending;
    std::size_t m_written = 0; // bytes of m_pending already written
    std::uint64_t m_dropped = 0;
    bool m_isClosed = false; // a write failed; the reader is gone
};

}
