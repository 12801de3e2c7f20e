// Implements the limits of an exchange.
#include "answer_meter.h"

namespace tamarack::detail {

namespace {

    std::string describe(const char* what, std::uint64_t bytes)
    {
        return std::string(what) + " of more than " + std::to_string(bytes) + " bytes, connection closed";
    }

}

void answer_meter::bytesArrived(instant now)
{
    if (!m_firstAt)
        m_firstAt = now;
    m_lastAt = now;
}

std::string answer_meter::excess(std::size_t unparsed) const
{
    if (unparsed > m_limits.headBytes)
        return describe("head, chunk line or trailers", m_limits.headBytes);
    if (m_skipped > m_limits.skippedBytes)
        return describe("informational responses and responses to other requests", m_limits.skippedBytes);
    if (!m_isCollected)
        return {};
    if (m_body > m_limits.collectedBytes)
        return describe("body", m_limits.collectedBytes);
    if (m_firstAt && m_lastAt - *m_firstAt > m_limits.collectTime)
        return "response takes longer than "
            + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(m_limits.collectTime).count())
            + " ms, connection closed";
    return {};
}

}
