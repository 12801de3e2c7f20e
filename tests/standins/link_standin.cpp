// A link between two processes, which signals spoil. SIGUSR1: every open connection goes silent for good, while new
// ones work, as when a device between two machines has lost track of its connections. SIGUSR2: every open connection is
// reset. SIGRTMIN+1 and +2: nothing passes towards the far end, or back, until SIGRTMIN+4. SIGRTMIN+3: all bytes come
// late until then.
#include "standins/standins.h"

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <atomic>
#include <csignal>
#include <set>

namespace tamarack::standins {

namespace {

    /// For each byte that passes a slow link.
    constexpr auto slowness = std::chrono::milliseconds(150);

    enum class link_state { open, cut_forth, cut_back, slow };

    std::atomic<bool> isSilencing = false;
    std::atomic<bool> isResetting = false;
    std::atomic<link_state> state = link_state::open;

    class link : public standin {
    public:
        explicit link(const standin_options& options)
            : m_to(parseEndpoint(options.entry))
        {
            std::signal(SIGUSR1, [](int) { isSilencing = true; });
            std::signal(SIGUSR2, [](int) { isResetting = true; });
            std::signal(SIGRTMIN + 1, [](int) { state = link_state::cut_forth; });
            std::signal(SIGRTMIN + 2, [](int) { state = link_state::cut_back; });
            std::signal(SIGRTMIN + 3, [](int) { state = link_state::slow; });
            std::signal(SIGRTMIN + 4, [](int) { state = link_state::open; });
            QObject::connect(&m_server, &QTcpServer::newConnection, [this] { accept(); });
            QObject::connect(&m_poll, &QTimer::timeout, [this] {
                if (isSilencing.exchange(false))
                    m_open.clear();
                if (isResetting.exchange(false))
                    resetAll();
            });
            m_poll.start(10);
            m_server.listen(QHostAddress(QString::fromStdString(options.address)), static_cast<quint16>(options.port));
        }

        int port() const override { return m_server.serverPort(); }

    private:
        void accept()
        {
            while (QTcpSocket* near = m_server.nextPendingConnection()) {
                auto* far = new QTcpSocket(near);
                m_open.insert(near);
                join(near, near, far);
                join(near, far, near);
                far->connectToHost(QString::fromStdString(m_to.address), m_to.port);
            }
        }

        /// Passes on what `from` receives, and its end, while the connection `name` is not silent.
        void join(QTcpSocket* name, QTcpSocket* from, QTcpSocket* to)
        {
            QObject::connect(from, &QTcpSocket::readyRead, to, [this, name, from, to] {
                const auto bytes = from->readAll();
                const auto held = name == from ? link_state::cut_forth : link_state::cut_back;
                // What is lost in the middle of a connection is never made up for: it passes nothing more.
                if (state == held)
                    m_open.erase(name);
                if (!m_open.contains(name))
                    return;
                if (state != link_state::slow)
                    return void(to->write(bytes));
                QTimer::singleShot(slowness, to, [to, bytes] { to->write(bytes); });
            });
            QObject::connect(from, &QTcpSocket::disconnected, to, [this, name, to] {
                if (m_open.contains(name))
                    to->disconnectFromHost();
            });
            QObject::connect(from, &QTcpSocket::errorOccurred, to, [this, name, to] {
                if (m_open.contains(name))
                    to->disconnectFromHost();
            });
        }

        void resetAll()
        {
            for (auto* near : std::exchange(m_open, {})) {
                near->abort(); // its far end goes with it
                near->deleteLater();
            }
        }

        endpoint m_to;
        QTcpServer m_server;
        QTimer m_poll;
        std::set<QTcpSocket*> m_open; // connections that still pass bytes on
    };

}

std::unique_ptr<standin> makeLink(const standin_options& options) { return std::make_unique<link>(options); }

}
