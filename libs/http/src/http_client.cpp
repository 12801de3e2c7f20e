// The client side: Boost.Beast parses, QTcpSocket carries. QNetworkAccessManager is not used here, since it sends a
// POST again by itself when the peer closes without an answer, which would break at-most-once below our code.
#include "http/http_client.h"

#include <QPointer>
#include <QTcpSocket>
#include <QTimer>
#include <boost/beast/http.hpp>
#include <map>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>

namespace tamarack {

namespace beast_http = boost::beast::http;

namespace {

    constexpr std::size_t maxIdlePerPeer = 8;
    constexpr qint64 readBufferBytes = 256 * 1024;
    constexpr unsigned userTimeoutMilliseconds = 10'000; // docs/INVARIANTS.md counts on it for abandoned orders

    std::string requestText(const endpoint& peer, const http_request& request)
    {
        std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
        text += "Host: " + toString(peer) + "\r\n";
        for (const auto& header : request.headers.entries)
            text += header.name + ": " + header.value + "\r\n";
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n";
        text += request.body;
        return text;
    }

    // What goes wrong without it: a request buffered in the kernel of a cut-off VM is still delivered when the network
    // heals, long after its sender has given up. The bound makes the kernel drop it.
    void setUserTimeout(QTcpSocket& socket)
    {
        const unsigned bound = userTimeoutMilliseconds;
        setsockopt(static_cast<int>(socket.socketDescriptor()), IPPROTO_TCP, TCP_USER_TIMEOUT, &bound, sizeof bound);
    }

    int milliseconds(duration d)
    {
        return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
    }

}

endpoint parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return {};
    const auto port = parseNumber(text.substr(colon + 1));
    const auto address = std::string(text.substr(0, colon));
    if (!port || *port == 0 || *port > 65535 || QHostAddress(QString::fromStdString(address)).isNull())
        return {};
    return { address, static_cast<std::uint16_t>(*port) };
}

std::string toString(const endpoint& e) { return e.address + ":" + std::to_string(e.port); }

namespace {

    class pooled_exchange;

    /// Idle connections by peer. An idle connection that receives or closes is dropped at once.
    struct connection_pool : QObject {
        std::map<endpoint, std::vector<QTcpSocket*>> idle;

        QTcpSocket* take(const endpoint& peer)
        {
            auto& sockets = idle[peer];
            while (!sockets.empty()) {
                QTcpSocket* socket = sockets.back();
                sockets.pop_back();
                socket->disconnect();
                if (socket->state() == QAbstractSocket::ConnectedState && socket->bytesAvailable() == 0)
                    return socket;
                socket->deleteLater();
            }
            return nullptr;
        }

        void give(const endpoint& peer, QTcpSocket* socket)
        {
            auto& sockets = idle[peer];
            socket->disconnect();
            if (sockets.size() >= maxIdlePerPeer || socket->state() != QAbstractSocket::ConnectedState) {
                socket->abort();
                socket->deleteLater();
                return;
            }
            socket->setParent(this);
            sockets.push_back(socket);
            const auto drop = [this, peer, socket] {
                std::erase(idle[peer], socket);
                socket->deleteLater();
            };
            connect(socket, &QTcpSocket::disconnected, this, drop);
            connect(socket, &QTcpSocket::readyRead, this, [socket] { socket->abort(); });
        }
    };

    class pooled_exchange : public QObject, public http_exchange, public std::enable_shared_from_this<pooled_exchange> {
    public:
        pooled_exchange(connection_pool& pool, endpoint peer, const http_request& request,
            const exchange_options& options, exchange_handlers handlers)
            : m_pool(&pool)
            , m_peer(std::move(peer))
            , m_text(requestText(m_peer, request))
            , m_options(options)
            , m_handlers(std::make_shared<exchange_handlers>(std::move(handlers)))
        {
            m_timer.setSingleShot(true);
        }

        void begin()
        {
            m_self = shared_from_this();
            connect(&m_timer, &QTimer::timeout, this, [this] { fail("timed out", true); });
            m_parser.emplace();
            m_parser->eager(true);
            m_parser->body_limit(boost::none);
            m_socket = m_options.freshConnection ? nullptr : m_pool->take(m_peer);
            const bool reused = m_socket != nullptr;
            if (!m_socket)
                m_socket = new QTcpSocket;
            m_socket->setParent(this);
            m_socket->setReadBufferSize(readBufferBytes);
            connect(m_socket, &QTcpSocket::readyRead, this, [this] { readMore(); });
            connect(m_socket, &QTcpSocket::disconnected, this, [this] { peerClosed(); });
            connect(m_socket, &QTcpSocket::errorOccurred, this, [this] { socketFailed(); });
            if (reused)
                return send();
            connect(m_socket, &QTcpSocket::connected, this, [this] { send(); });
            m_timer.start(milliseconds(m_options.connectTimeout));
            m_socket->connectToHost(QHostAddress(QString::fromStdString(m_peer.address)), m_peer.port);
        }

        void cancel() override
        {
            m_handlers = nullptr;
            release(false);
        }

        void setReading(bool reading) override
        {
            m_reading = reading;
            if (!reading)
                return m_timer.stop(); // the silence is ours, not the peer's
            m_timer.start(milliseconds(m_options.silenceTimeout));
            QTimer::singleShot(0, this, [this] { readMore(); });
        }

    private:
        void send()
        {
            setUserTimeout(*m_socket);
            m_socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
            m_mayHaveReached = true;
            m_timer.start(milliseconds(m_options.silenceTimeout));
            m_socket->write(m_text.data(), static_cast<qint64>(m_text.size()));
            m_text.clear();
        }

        void readMore()
        {
            const auto keepAlive = shared_from_this(); // a handler may drop the last reference
            if (!m_reading || !m_socket)
                return;
            const QByteArray bytes = m_socket->readAll();
            if (bytes.isEmpty())
                return;
            m_timer.start(milliseconds(m_options.silenceTimeout));
            m_buffer.append(bytes.constData(), static_cast<std::size_t>(bytes.size()));
            parse();
        }

        void parse()
        {
            while (m_socket && !m_buffer.empty() && !m_parser->is_done()) {
                boost::system::error_code error;
                const auto used = m_parser->put(boost::asio::buffer(m_buffer), error);
                m_buffer.erase(0, used);
                if (error && error != beast_http::error::need_more)
                    return fail("answer is not HTTP: " + error.message(), false);
                deliver();
                if (used == 0)
                    break;
            }
            if (m_socket && m_parser->is_done())
                end();
        }

        void deliver()
        {
            // Held here: a handler may cancel the exchange, which would destroy the very function that is running.
            const auto handlers = m_handlers;
            if (!handlers)
                return;
            if (!m_headDelivered && m_parser->is_header_done()) {
                m_headDelivered = true;
                http_response_head head;
                const auto& message = m_parser->get();
                head.status = message.result_int();
                for (const auto& field : message)
                    head.headers.entries.push_back({ std::string(field.name_string()), std::string(field.value()) });
                if (handlers->onHead)
                    handlers->onHead(head);
            }
            if (!m_socket)
                return;
            std::string& body = m_parser->get().body();
            if (body.empty())
                return;
            std::string part;
            part.swap(body);
            if (handlers->onBody)
                handlers->onBody(part);
        }

        void end()
        {
            // Bytes after the end belong to nobody's request: such a connection is never reused.
            const bool reusable = m_parser->keep_alive() && m_buffer.empty() && m_socket->bytesAvailable() == 0;
            const auto handlers = std::move(m_handlers);
            m_handlers = nullptr;
            release(reusable);
            if (handlers && handlers->onEnd)
                handlers->onEnd();
        }

        void peerClosed()
        {
            readMore();
            if (!m_socket)
                return;
            // Beast asserts that put_eof() follows at least one byte; a peer may close before it has sent any.
            if (!m_parser->got_some())
                return fail("peer closed without an answer", false);
            boost::system::error_code error;
            m_parser->put_eof(error);
            if (!error && m_parser->is_done())
                return end();
            fail("peer closed in mid-answer", false);
        }

        void socketFailed()
        {
            if (!m_socket || m_socket->error() == QAbstractSocket::RemoteHostClosedError)
                return; // peerClosed() follows
            fail(m_socket->errorString().toStdString(), m_socket->error() == QAbstractSocket::SocketTimeoutError);
        }

        void fail(std::string reason, bool timedOut)
        {
            const auto keepAlive = shared_from_this();
            const auto handlers = std::move(m_handlers);
            m_handlers = nullptr;
            const exchange_failure failure { m_mayHaveReached, timedOut, std::move(reason) };
            release(false);
            if (handlers && handlers->onFailure)
                handlers->onFailure(failure);
        }

        void release(bool reusable)
        {
            m_timer.stop();
            if (!m_socket)
                return;
            QTcpSocket* socket = m_socket;
            m_socket = nullptr;
            socket->disconnect(this);
            if (reusable) {
                m_pool->give(m_peer, socket);
            } else {
                socket->abort();
                socket->setParent(nullptr);
                socket->deleteLater();
            }
            // Destroying this object inside one of its own slots would be use after free.
            QTimer::singleShot(0, m_pool, [self = std::move(m_self)] {});
        }

        connection_pool* m_pool;
        endpoint m_peer;
        std::string m_text;
        exchange_options m_options;
        std::shared_ptr<exchange_handlers> m_handlers; // null once the exchange has ended or was cancelled
        QTcpSocket* m_socket = nullptr; // null before begin() and after the end
        std::optional<beast_http::response_parser<beast_http::string_body>> m_parser;
        std::string m_buffer;
        QTimer m_timer;
        std::shared_ptr<pooled_exchange> m_self; // keeps a running exchange alive
        bool m_mayHaveReached = false;
        bool m_headDelivered = false;
        bool m_reading = true;
    };

}

struct http_client::state {
    connection_pool pool;
};

http_client::http_client()
    : m_state(std::make_unique<state>())
{
}

http_client::~http_client() = default;

std::shared_ptr<http_exchange> http_client::start(
    const endpoint& peer, const http_request& request, const exchange_options& options, exchange_handlers handlers)
{
    auto exchange = std::make_shared<pooled_exchange>(m_state->pool, peer, request, options, std::move(handlers));
    exchange->begin();
    return exchange;
}

std::shared_ptr<http_exchange> http_client::fetch(const endpoint& peer, const http_request& request,
    const exchange_options& options, std::function<void(const http_response*, const exchange_failure&)> done)
{
    auto response = std::make_shared<http_response>();
    exchange_handlers handlers;
    handlers.onHead = [response](const http_response_head& head) {
        response->status = head.status;
        response->headers = head.headers;
    };
    handlers.onBody = [response](std::string_view bytes) { response->body += bytes; };
    handlers.onEnd = [response, done] { done(response.get(), {}); };
    handlers.onFailure = [done](const exchange_failure& failure) { done(nullptr, failure); };
    return start(peer, request, options, std::move(handlers));
}

}
