// Provides a listening TCP socket on the event loop. QTcpServer is not used, because it tries again without a pause,
// and without a signal, while the process has no descriptor for a pending connection.
#pragma once

#include <QHostAddress>
#include <QSocketNotifier>
#include <QTimer>
#include <functional>
#include <memory>

namespace tamarack::detail {

class listening_socket {
public:
    /// Takes ownership of the descriptor of an accepted connection.
    std::function<void(int descriptor)> onAccepted = [](int) {};
    /// Called when no connection can be accepted for lack of descriptors or memory. Accepting goes on after a pause.
    std::function<void()> onShortage = [] {};

    listening_socket();
    ~listening_socket() { close(); }
    listening_socket(const listening_socket&) = delete;
    listening_socket& operator=(const listening_socket&) = delete;

    /// Listens on an IPv4 address. Port 0 selects any free port. Returns false if the address cannot be bound.
    bool listen(const QHostAddress& address, quint16 port);
    bool isListening() const { return m_descriptor >= 0; }
    /// Returns 0 if the socket does not listen.
    quint16 port() const;
    /// Accepts all connections that the kernel has made.
    void acceptAll();
    void close();

private:
    int m_descriptor = -1;
    std::unique_ptr<QSocketNotifier> m_notifier; // null while closed
    QTimer m_pause; // runs while accepting is paused
};

}
