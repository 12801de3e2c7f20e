// Implements the transport with QUdpSocket and QTcpSocket. A TCP frame is a 32-bit big-endian length and a message.
#include "peer/peer_transport.h"

#include <QList>
#include <QNetworkDatagram>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <QUdpSocket>
#include <QtEndian>

namespace tamarack {

namespace {

    constexpr quint32 maxFrameBytes = 16 * 1024 * 1024;
    /// A question holds a key and the names of nodes. Heads of callers, with their keys, are shorter.
    constexpr quint32 maxRequestBytes = 64 * 1024;
    /// Beyond it the oldest connection is closed, since a peer asks at once.
    constexpr qsizetype maxConnections = 256;
    constexpr int connectionTimeoutMilliseconds = 30'000;

    QByteArray frame(const std::string& bytes)
    {
        QByteArray out(4, '\0');
        qToBigEndian(static_cast<quint32>(bytes.size()), out.data());
        out.append(bytes.data(), static_cast<qsizetype>(bytes.size()));
        return out;
    }

    enum class frame_state { partial, complete, invalid };

    frame_state parseFrame(const QByteArray& buffer, std::string& out, quint32 maxBytes = maxFrameBytes)
    {
        if (buffer.size() < 4)
            return frame_state::partial;
        const auto length = qFromBigEndian<quint32>(buffer.constData());
        if (length > maxBytes)
            return frame_state::invalid;
        if (buffer.size() < static_cast<qsizetype>(length) + 4)
            return frame_state::partial;
        out.assign(buffer.constData() + 4, length);
        return frame_state::complete;
    }

    /// One request in flight. Deletes itself after the reply, a failure or the timeout.
    class pending_request : public QObject {
    public:
        pending_request(const std::string& address, int port, QByteArray bytes, duration timeout, peer_counts& counts,
            std::function<void(std::optional<peer_reply>)> done)
            : m_bytes(std::move(bytes))
            , m_counts(counts)
            , m_done(std::move(done))
        {
            connect(&m_socket, &QTcpSocket::connected, this, [this] {
                m_counts.bytesSent += static_cast<std::uint64_t>(m_bytes.size());
                m_socket.write(m_bytes);
            });
            connect(&m_socket, &QTcpSocket::readyRead, this, [this] { readMore(); });
            connect(&m_socket, &QTcpSocket::disconnected, this, [this] { finish(std::nullopt); });
            connect(&m_socket, &QTcpSocket::errorOccurred, this, [this] { finish(std::nullopt); });
            const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
            QTimer::singleShot(wait, this, [this] { finish(std::nullopt); });
            m_socket.connectToHost(QHostAddress(QString::fromStdString(address)), static_cast<quint16>(port));
        }

    private:
        void readMore()
        {
            const auto bytes = m_socket.readAll();
            m_counts.bytesReceived += static_cast<std::uint64_t>(bytes.size());
            m_buffer += bytes;
            std::string body;
            const auto state = parseFrame(m_buffer, body);
            if (state == frame_state::complete)
                finish(decodeReply(body));
            if (state == frame_state::invalid)
                finish(std::nullopt);
        }

        void finish(std::optional<peer_reply> reply)
        {
            if (!m_done)
                return;
            auto done = std::move(m_done);
            m_done = nullptr;
            deleteLater();
            done(std::move(reply));
        }

        QTcpSocket m_socket;
        QByteArray m_bytes;
        QByteArray m_buffer;
        peer_counts& m_counts;
        std::function<void(std::optional<peer_reply>)> m_done;
    };

}

struct peer_transport::state {
    handlers on;
    peer_counts counts;
    QUdpSocket udp;
    QList<QTcpSocket*> connections; // accepted ones that are open, the oldest first
    QTcpServer tcp;
    QObject pendingRequests; // parent of all pending requests, so that they are destroyed with the transport

    void readDatagrams()
    {
        while (udp.hasPendingDatagrams()) {
            const auto bytes = udp.receiveDatagram().data();
            counts.bytesReceived += static_cast<std::uint64_t>(bytes.size());
            const auto message = decodeHeartbeat(bytes.toStdString());
            if (message)
                on.onHeartbeat(*message);
            else
                ++counts.undecodable;
        }
    }

    void acceptConnections()
    {
        while (QTcpSocket* socket = tcp.nextPendingConnection()) {
            socket->setReadBufferSize(maxRequestBytes);
            QObject::connect(socket, &QTcpSocket::disconnected, socket, [this, socket] {
                connections.removeOne(socket);
                socket->deleteLater();
            });
            connections.push_back(socket);
            if (connections.size() > maxConnections)
                connections.front()->abort();
            auto buffer = std::make_shared<QByteArray>();
            QObject::connect(
                socket, &QTcpSocket::readyRead, socket, [this, socket, buffer] { readRequest(socket, *buffer); });
            QTimer::singleShot(connectionTimeoutMilliseconds, socket, [socket] { socket->abort(); });
        }
    }

    void readRequest(QTcpSocket* socket, QByteArray& buffer)
    {
        const auto bytes = socket->readAll();
        counts.bytesReceived += static_cast<std::uint64_t>(bytes.size());
        buffer += bytes;
        std::string body;
        const auto frameState = parseFrame(buffer, body, maxRequestBytes);
        if (frameState == frame_state::partial)
            return;
        buffer.clear();
        const auto request = frameState == frame_state::complete ? decodeRequest(body) : std::nullopt;
        if (!request) {
            ++counts.undecodable;
            socket->abort();
            return;
        }
        QPointer<QTcpSocket> asker(socket);
        on.onRequest(*request, [this, asker](const peer_reply& reply) {
            if (!asker)
                return;
            const auto out = frame(encodeReply(reply));
            counts.bytesSent += static_cast<std::uint64_t>(out.size());
            asker->write(out);
            asker->disconnectFromHost();
        });
    }
};

peer_transport::peer_transport(handlers on)
    : m_state(std::make_unique<state>())
{
    m_state->on = std::move(on);
    QObject::connect(&m_state->udp, &QUdpSocket::readyRead, &m_state->udp, [this] { m_state->readDatagrams(); });
    QObject::connect(
        &m_state->tcp, &QTcpServer::newConnection, &m_state->tcp, [this] { m_state->acceptConnections(); });
}

peer_transport::~peer_transport() = default;

bool peer_transport::listen(const QHostAddress& address, quint16 port)
{
    return m_state->udp.bind(address, port) && m_state->tcp.listen(address, port);
}

void peer_transport::send(const std::string& address, int port, const heartbeat& message)
{
    const auto bytes = encodeHeartbeat(message);
    m_state->counts.bytesSent += bytes.size();
    m_state->udp.writeDatagram(bytes.data(), static_cast<qint64>(bytes.size()),
        QHostAddress(QString::fromStdString(address)), static_cast<quint16>(port));
}

void peer_transport::ask(const std::string& address, int port, const peer_request& request, duration timeout,
    std::function<void(std::optional<peer_reply>)> done)
{
    auto* pending
        = new pending_request(address, port, frame(encodeRequest(request)), timeout, m_state->counts, std::move(done));
    pending->setParent(&m_state->pendingRequests);
}

const peer_counts& peer_transport::counts() const { return m_state->counts; }

}
