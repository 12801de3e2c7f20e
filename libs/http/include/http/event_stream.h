// Provides a splitter for streams of server-sent events (SSE) that leaves the bytes of the events unchanged.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// One event as received, including the blank line that ends it.
struct stream_event {
    std::string_view bytes;
    std::optional<std::uint64_t> id;
    std::string_view idText; ///< the ID as sent; empty if there is none
    std::string_view data; ///< the value of the last `data` field
    bool isComment = false; ///< no `data` field, as in a keep-alive comment
};

/// Maximum bytes of one event. Events of token streams have some hundred bytes; the last one may have a summary.
constexpr std::size_t maxEventBytes = 256 * 1024;

/// Splits a stream that arrives in parts of any size. Events are views into the splitter's buffer and are valid only
/// during the callback.
class event_splitter {
public:
    explicit event_splitter(std::size_t maxEvent = maxEventBytes)
        : m_maxEvent(maxEvent)
    {
    }
    /// Returns false if the stream has an event that is longer than allowed. Events before it were passed on; the rest
    /// of the stream cannot be split.
    [[nodiscard]] bool feed(std::string_view bytes, const std::function<void(const stream_event&)>& onEvent);
    /// Discards an incomplete event, for example when the stream is resumed on another target.
    void reset()
    {
        m_pending.clear();
        m_searched = 0;
    }
    bool hasPartial() const { return !m_pending.empty(); }
    std::size_t pendingBytes() const { return m_pending.size(); }

private:
    std::size_t m_maxEvent;
    std::string m_pending; // starts at the first byte of an event
    std::size_t m_searched = 0; // bytes of m_pending that contain no end of an event
};

}
