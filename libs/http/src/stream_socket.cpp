// Implements the TCP connection with a non-blocking socket and QSocketNotifier.
#include "stream_socket.h"

#include <QTimer>
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace tamarack::detail {

namespace {

    // Bounds how long the kernel retransmits. Without it, a request buffered in the kernel of an isolated VM would
    // still be delivered when the network recovers, long after the sender has timed out. docs/INVARIANTS.md relies on
    // this bound for abandoned orders.
    constexpr unsigned userTimeoutMilliseconds = 10'000;

    // Only keep-alive probes detect an idle connection that was lost by a device between the two ends.
    constexpr int keepAliveIdleSeconds = 5;
    constexpr int keepAliveIntervalSeconds = 2;
    constexpr int keepAliveProbes = 3;

    void setOption(int descriptor, int level, int name, int value)
    {
        // Errors are ignored: without an unsupported option the connection lacks a bound but still works.
        setsockopt(descriptor, level, name, &value, sizeof value);
    }

    void setOptions(int descriptor)
    {
        setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
        setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
        setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
        setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
        setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
        setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(userTimeoutMilliseconds));
    }

    void disposeNotifier(QSocketNotifier* notifier)
    {
        if (!notifier)
            return;
        notifier->setEnabled(false);
        notifier->disconnect();
        notifier->deleteLater(); // its signal may be the one being delivered
    }

    int openNonBlocking() { return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

}

stream_socket::stream_socket(const endpoint& peer, stream_listener& listener)
    : m_listener(&listener)
    , m_descriptor(openNonBlocking())
    , m_readNotifier(nullptr, disposeNotifier)
    , m_writeNotifier(nullptr, disposeNotifier)
    , m_alive(std::make_shared<bool>(true))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(peer.port);
    const bool isAddress = inet_pton(AF_INET, peer.address.c_str(), &address.sin_addr) == 1;
    if (m_descriptor >= 0 && isAddress) {
        setOptions(m_descriptor);
        const int result = ::connect(m_descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address);
        if (result == 0 || errno == EINPROGRESS) {
            createNotifiers();
            return;
        }
    }
    // Reported from the event loop, because the creator does not hold a pointer to this object yet.
    QTimer::singleShot(0, [this, alive = m_alive] {
        if (*alive)
            end(stream_end::refused);
    });
}

stream_socket::stream_socket(int descriptor, stream_listener& listener)
    : m_listener(&listener)
    , m_descriptor(descriptor)
    , m_state(state::open)
    , m_readNotifier(nullptr, disposeNotifier)
    , m_writeNotifier(nullptr, disposeNotifier)
    , m_alive(std::make_shared<bool>(true))
{
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    setOptions(descriptor);
    createNotifiers();
}

stream_socket::~stream_socket()
{
    *m_alive = false;
    closeDescriptor();
}

void stream_socket::createNotifiers()
{
    m_readNotifier.reset(new QSocketNotifier(m_descriptor, QSocketNotifier::Read));
    m_writeNotifier.reset(new QSocketNotifier(m_descriptor, QSocketNotifier::Write));
    m_readNotifier->setEnabled(m_state == state::open && m_isReading);
    m_writeNotifier->setEnabled(m_state == state::connecting);
    QObject::connect(
        m_readNotifier.get(), &QSocketNotifier::activated, m_readNotifier.get(), [this] { m_listener->onReadable(); });
    QObject::connect(
        m_writeNotifier.get(), &QSocketNotifier::activated, m_writeNotifier.get(), [this] { onWritable(); });
}

void stream_socket::onWritable()
{
    if (m_state != state::connecting)
        return flush();
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0)
        return end(stream_end::refused);
    m_state = state::open;
    m_writeNotifier->setEnabled(false);
    m_readNotifier->setEnabled(m_isReading);
    const auto alive = m_alive;
    m_listener->onConnected();
    if (*alive && bytesQueued() > 0)
        flush();
}

stream_end stream_socket::read(std::string& out, std::size_t maxBytes)
{
    // Shared by all sockets: everything runs on one thread, and no call on a socket runs during the recv() of another.
    static std::array<char, maxReadBytes> buffer;
    if (m_state != state::open)
        return stream_end::none;
    const auto count = ::recv(m_descriptor, buffer.data(), std::min(buffer.size(), maxBytes), 0);
    if (count > 0)
        out.append(buffer.data(), static_cast<std::size_t>(count));
    if (count > 0 || (count < 0 && (errno == EAGAIN || errno == EINTR)))
        return stream_end::none;
    const bool isReset = count < 0 && errno == ECONNRESET;
    m_readNotifier->setEnabled(false); // otherwise it would signal the end repeatedly
    if (count == 0)
        return stream_end::finished;
    return isReset ? stream_end::reset : stream_end::failed;
}

bool stream_socket::hasInput() const
{
    char next = 0;
    const auto count = ::recv(m_descriptor, &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (errno != EAGAIN && errno != EINTR);
}

void stream_socket::write(std::string_view bytes)
{
    if (m_state == state::ended || bytes.empty())
        return;
    if (m_state == state::open && bytesQueued() == 0) {
        const auto count = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        bytes.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        if (bytes.empty())
            return;
        m_writeNotifier->setEnabled(true); // a failure is also reported through the notifier, from the event loop
    }
    m_outgoing += bytes;
}

void stream_socket::flush()
{
    while (bytesQueued() > 0) {
        const auto count = ::send(m_descriptor, m_outgoing.data() + m_sent, bytesQueued(), MSG_NOSIGNAL);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            discardSent();
            m_writeNotifier->setEnabled(true);
            return m_listener->onPartWritten();
        }
        if (count <= 0)
            return end(errno == EPIPE || errno == ECONNRESET ? stream_end::reset : stream_end::failed);
        m_sent += static_cast<std::size_t>(count);
    }
    std::string().swap(m_outgoing); // an assignment of an empty string would keep the memory
    m_sent = 0;
    m_writeNotifier->setEnabled(false);
    if (m_isFinishing)
        ::shutdown(m_descriptor, SHUT_WR);
    m_listener->onWritten();
}

// A peer that never quite catches up would otherwise make the queue grow with all that was sent to it. Moving the rest
// costs no more than what was sent.
void stream_socket::discardSent()
{
    if (m_sent <= m_outgoing.size() / 2)
        return;
    m_outgoing.erase(0, m_sent);
    m_sent = 0;
    if (m_outgoing.capacity() / 4 > m_outgoing.size())
        m_outgoing.shrink_to_fit();
}

bool stream_socket::hasUndelivered() const
{
    int unacknowledged = 0;
    const bool isKnown = m_descriptor >= 0 && ::ioctl(m_descriptor, SIOCOUTQ, &unacknowledged) == 0;
    return bytesQueued() > 0 || (isKnown && unacknowledged > 0);
}

void stream_socket::setReading(bool reading)
{
    m_isReading = reading;
    if (m_state == state::open)
        m_readNotifier->setEnabled(reading);
}

void stream_socket::finishWriting()
{
    if (m_state != state::open || m_isFinishing)
        return;
    m_isFinishing = true;
    if (bytesQueued() == 0)
        ::shutdown(m_descriptor, SHUT_WR);
}

void stream_socket::close()
{
    closeDescriptor();
    std::string().swap(m_outgoing);
    m_sent = 0;
}

void stream_socket::reset()
{
    if (m_descriptor >= 0) {
        const linger none { 1, 0 };
        setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    }
    closeDescriptor();
    std::string().swap(m_outgoing);
    m_sent = 0;
}

void stream_socket::end(stream_end reason)
{
    if (m_state == state::ended)
        return;
    closeDescriptor();
    m_listener->onEnded(reason);
}

void stream_socket::closeDescriptor()
{
    m_state = state::ended;
    m_readNotifier.reset();
    m_writeNotifier.reset();
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
}

}
