// A link between two processes. On SIGUSR1 every open connection goes silent for good, while new ones work: what a
// device between two machines does when it has lost track of its connections.
#include "standins/standins.h"

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <atomic>
#include <csignal>
#include <set>

namespace tamarack::standins {

namespace {

    std::atomic<bool> isSilencing = false;

    class link : public standin {
    public:
        explicit link(const standin_options& options)
            : m_to(parseEndpoint(options.entry))
        {
            std::signal(SIGUSR1, [](int) { isSilencing = true; });
            QObject::connect(&m_server, &QTcpServer::newConnection, [this] { accept(); });
            QObject::connect(&m_poll, &QTimer::timeout, [this] {
                if (isSilencing.exchange(false))
                    m_open.clear();
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
                if (m_open.contains(name))
                    to->write(bytes);
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

        endpoint m_to;
        QTcpServer m_server;
        QTimer m_poll;
        std::set<QTcpSocket*> m_open; // connections that still pass bytes on
    };

}

std::unique_ptr<standin> makeLink(const standin_options& options) { return std::make_unique<link>(options); }

}
