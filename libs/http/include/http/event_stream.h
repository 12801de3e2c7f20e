// Splits a byte stream into server-sent events without changing a byte of them.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// One event as received, ending with its blank line.
struct stream_event {
    std::string_view bytes;
    std::optional<std::uint64_t> id;
    std::string_view idText; ///< the id as sent; empty if there is none
    std::string_view data; ///< the value of the last data line
    bool isComment = false; ///< carries no data: a keep-alive
};

/// Feeds on parts of a stream. Events are views into the splitter and end with the call that yields them.
class event_splitter {
public:
    void feed(std::string_view bytes, const std::function<void(const stream_event&)>& onEvent);
    /// Drops an unfinished event, as when the stream is resumed elsewhere.
    void reset() { m_pending.clear(); }
    bool hasPartial() const { return !m_pending.empty(); }
    std::size_t pendingBytes() const { return m_pending.size(); }

private:
    std::string m_pending; // begins at an event's first byte
};

}
