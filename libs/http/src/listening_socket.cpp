// Implements the listening socket with accept4() and QSocketNotifier.
#include "listening_socket.h"

#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace tamarack::detail {

namespace {

    constexpr int backlog = 1024;
    constexpr auto shortagePause = std::chrono::milliseconds(100);

    bool isShortage(int error) { return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM; }

}

listening_socket::listening_socket()
{
    m_pause.setSingleShot(true);
    QObject::connect(&m_pause, &QTimer::timeout, &m_pause, [this] {
        if (m_notifier)
            m_notifier->setEnabled(true);
    });
}

bool listening_socket::listen(const QHostAddress& address, quint16 port)
{
    close();
    m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int reuse = 1;
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    sockaddr_in local {};
    local.sin_family = AF_INET;
    local.sin_port = htons(port);
    local.sin_addr.s_addr = htonl(address.toIPv4Address());
    if (::bind(m_descriptor, reinterpret_cast<sockaddr*>(&local), sizeof local) != 0
        || ::listen(m_descriptor, backlog) != 0) {
        close();
        return false;
    }
    m_notifier = std::make_unique<QSocketNotifier>(m_descriptor, QSocketNotifier::Read);
    QObject::connect(m_notifier.get(), &QSocketNotifier::activated, m_notifier.get(), [this] { acceptAll(); });
    return true;
}

quint16 listening_socket::port() const
{
    sockaddr_in local {};
    socklen_t size = sizeof local;
    return ::getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&local), &size) == 0 ? ntohs(local.sin_port) : 0;
}

void listening_socket::acceptAll()
{
    while (isListening()) {
        const int accepted = ::accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted >= 0) {
            onAccepted(accepted);
            continue;
        }
        if (errno == EINTR || errno == ECONNABORTED)
            continue;
        if (isShortage(errno)) {
            m_notifier->setEnabled(false);
            m_pause.start(shortagePause);
            onShortage();
        }
        return;
    }
}

void listening_socket::close()
{
    m_pause.stop();
    if (m_notifier) {
        m_notifier->setEnabled(false);
        m_notifier.release()->deleteLater(); // its signal may be the one being delivered
    }
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
}

}
