// Implements the non-blocking output: polls before each write, and writes at most PIPE_BUF bytes, which a pipe that
// polls as writable accepts without blocking.
#include "bounded_output.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace tamarack::detail {

bounded_output::bounded_output(int descriptor, std::size_t maxBytes)
    : m_descriptor(descriptor)
    , m_maxBytes(maxBytes)
{
}

void bounded_output::add(std::string_view line)
{
    if (m_isClosed || m_pending.size() - m_written + line.size() + 1 > m_maxBytes) {
        ++m_dropped;
        return;
    }
    m_pending += line;
    m_pending += '\n';
}

// The descriptor is not set to O_NONBLOCK: it may be shared with other processes, which would then see short writes.
void bounded_output::flush()
{
    while (m_written < m_pending.size() && !m_isClosed) {
        pollfd waited { m_descriptor, POLLOUT, 0 };
        if (poll(&waited, 1, 0) <= 0 || !(waited.revents & POLLOUT))
            break;
        const auto size = std::min<std::size_t>(m_pending.size() - m_written, PIPE_BUF);
        const auto count = ::write(m_descriptor, m_pending.data() + m_written, size);
        if (count < 0 && errno != EINTR && errno != EAGAIN)
            m_isClosed = true;
        if (count <= 0)
            break;
        m_written += static_cast<std::size_t>(count);
    }
    if (m_written < m_pending.size() && m_written < m_maxBytes / 2 && !m_isClosed)
        return;
    m_pending.erase(0, m_isClosed ? m_pending.size() : m_written);
    m_written = 0;
}

}
