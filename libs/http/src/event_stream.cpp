// Implements the subset of server-sent event parsing that a relay needs: event boundaries, `id` and `data`.
#include "http/event_stream.h"

#include "http/http_message.h"

#include <algorithm>

namespace tamarack {

namespace {

    std::string_view valueOf(std::string_view line, std::string_view field)
    {
        line.remove_prefix(field.size());
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        return line;
    }

    stream_event parseEvent(std::string_view bytes)
    {
        stream_event event;
        event.bytes = bytes;
        event.isComment = true;
        std::string_view rest = bytes;
        while (!rest.empty()) {
            const auto end = rest.find('\n');
            const auto line = rest.substr(0, end);
            rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
            if (line.starts_with("id:")) {
                event.idText = valueOf(line, "id:");
                event.id = parseNumber(event.idText);
            }
            if (line.starts_with("data:")) {
                event.data = valueOf(line, "data:");
                event.isComment = false;
            }
        }
        return event;
    }

}

bool event_splitter::feed(std::string_view bytes, const std::function<void(const stream_event&)>& onEvent)
{
    m_pending += bytes;
    std::size_t start = 0;
    bool isWithinLimit = true;
    while (isWithinLimit) {
        const auto end = m_pending.find("\n\n", std::max(start, m_searched));
        if (end == std::string::npos)
            break;
        const auto length = end + 2 - start;
        isWithinLimit = length <= m_maxEvent;
        if (isWithinLimit)
            onEvent(parseEvent(std::string_view(m_pending).substr(start, length)));
        start += length;
    }
    m_pending.erase(0, start);
    // The last byte may be the first half of the end.
    m_searched = m_pending.empty() ? 0 : m_pending.size() - 1;
    return isWithinLimit && m_pending.size() <= m_maxEvent;
}

}
