// Measures what an exchange has received against its limits.
#pragma once

#include "http/exchange_limits.h"

#include <cstddef>
#include <optional>
#include <string>

namespace tamarack::detail {

/// Uses no clock; the caller supplies the present moment.
class answer_meter {
public:
    /// A body is measured only if it is collected.
    answer_meter(const exchange_limits& limits, bool isCollected)
        : m_limits(limits)
        , m_isCollected(isCollected)
    {
    }

    void bytesArrived(instant now);
    /// Bytes of messages that are not the response to this exchange.
    void skipped(std::size_t bytes) { m_skipped += bytes; }
    void bodyReceived(std::size_t bytes) { m_body += bytes; }

    /// Returns which limit is exceeded and by what, for the log; empty if none is. `unparsed` are the bytes received
    /// that do not make a whole head, chunk line or trailer yet.
    std::string excess(std::size_t unparsed) const;

private:
    exchange_limits m_limits;
    bool m_isCollected;
    std::uint64_t m_skipped = 0;
    std::uint64_t m_body = 0;
    std::optional<instant> m_firstAt; // when the first bytes have arrived
    instant m_lastAt;
};

}
