// The server side: Boost.Beast parses, QTcpSocket carries.
#include "http/http_server.h"

#include <QElapsedTimer>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <boost/beast/http.hpp>
#include <boost/beast/http/impl/error.ipp>
#include <optional>

namespace tamarack {

namespace beast_http = boost::beast::http;

namespace {

    std::string headText(int status, const header_list& headers)
    {
        std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
        text += std::string(beast_http::obsolete_reason(static_cast<beast_http::status>(status)));
        text += "\r\n";
        for (const auto& header : headers.entries) {
            text += header.name;
            text += ": ";
            text += header.value;
            text += "\r\n";
        }
        return text;
    }

    std::string chunk(std::string_view bytes)
    {
        char size[20];
        const int length = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
        std::string text(size, static_cast<std::size_t>(length));
        text += bytes;
        text += "\r\n";
        return text;
    }

}

namespace detail {

    /// What the connections of one server share.
    struct server_shared {
        http_server_limits limits;
        http_server::request_handler onRequest;
        http_server::refusal_maker onRefusal;
        int connections = 0;
    };

    /// One caller connection. Owns its socket; requests on it are answered one after the other.
    class server_connection : public QObject {
    public:
        server_connection(QTcpSocket* socket, std::shared_ptr<server_shared> shared)
            : m_socket(socket)
            , m_shared(std::move(shared))
        {
            ++m_shared->connections;
            m_socket->setParent(this);
            m_socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
            m_socket->setSocketOption(QAbstractSocket::KeepAliveOption, 1);
            connect(m_socket, &QTcpSocket::readyRead, this, [this] { readMore(); });
            connect(m_socket, &QTcpSocket::disconnected, this, [this] { closed(); });
            connect(m_socket, &QTcpSocket::bytesWritten, this, [this] { drained(); });
            m_requestTimer.setSingleShot(true);
            connect(&m_requestTimer, &QTimer::timeout, this, [this] { m_socket->abort(); });
            startParser();
        }

        ~server_connection() override
        {
            --m_shared->connections;
            detachWriter(true);
        }

        void send(std::string_view bytes) { m_socket->write(bytes.data(), static_cast<qint64>(bytes.size())); }
        qint64 bytesQueued() const { return m_socket->bytesToWrite(); }
        void abort() { m_socket->abort(); }
        void closeWhenWritten()
        {
            m_keepAlive = false;
            detachWriter(false);
            m_socket->disconnectFromHost();
        }

        void answerDone()
        {
            detachWriter(false);
            if (!m_keepAlive) {
                m_socket->disconnectFromHost();
                return;
            }
            startParser();
            // Deferred: a handler that answers at once must not recurse through a pipeline of requests.
            QTimer::singleShot(0, this, [this] { parse(); });
        }

    private:
        using parser_type = beast_http::request_parser<beast_http::string_body>;

        void startParser()
        {
            m_parser.emplace();
            m_parser->header_limit(m_shared->limits.headerBytes);
            m_parser->body_limit(m_shared->limits.bodyBytes);
            m_parser->eager(true);
        }

        void readMore()
        {
            const QByteArray bytes = m_socket->readAll();
            m_buffer.append(bytes.constData(), static_cast<std::size_t>(bytes.size()));
            parse();
        }

        void parse()
        {
            if (m_writer || m_buffer.empty() || m_refused)
                return;
            if (!m_requestTimer.isActive()) {
                const auto wait
                    = std::chrono::duration_cast<std::chrono::milliseconds>(m_shared->limits.requestTimeout);
                m_requestTimer.start(wait);
            }
            boost::system::error_code error;
            const auto used = m_parser->put(boost::asio::buffer(m_buffer), error);
            m_buffer.erase(0, used);
            if (error && error != beast_http::error::need_more)
                return refuse(error);
            if (m_parser->is_done())
                dispatch();
        }

        void dispatch()
        {
            m_requestTimer.stop();
            auto message = m_parser->release();
            m_keepAlive = message.keep_alive();
            http_request request;
            request.method = std::string(message.method_string());
            request.target = std::string(message.target());
            for (const auto& field : message)
                request.headers.entries.push_back({ std::string(field.name_string()), std::string(field.value()) });
            request.body = std::move(message.body());
            m_writer = std::make_shared<response_writer>(this);
            m_shared->onRequest(std::move(request), m_writer);
        }

        void refuse(const boost::system::error_code& error)
        {
            m_refused = true;
            m_requestTimer.stop();
            error_kind kind = error_kind::bad_request;
            if (error == beast_http::error::header_limit)
                kind = error_kind::header_too_large;
            if (error == beast_http::error::body_limit)
                kind = error_kind::body_too_large;
            m_keepAlive = false;
            m_writer = std::make_shared<response_writer>(this);
            auto writer = m_writer;
            writer->sendWhole(m_shared->onRefusal(kind, error.message()));
        }

        void closed()
        {
            detachWriter(true);
            deleteLater();
        }

        void drained()
        {
            if (m_writer && m_writer->onDrained)
                m_writer->onDrained();
        }

        void detachWriter(bool tellOwner)
        {
            if (!m_writer)
                return;
            auto writer = std::move(m_writer);
            m_writer = nullptr;
            writer->m_connection = nullptr;
            if (tellOwner && writer->onClosed)
                writer->onClosed();
            writer->onClosed = nullptr;
            writer->onDrained = nullptr;
        }

        QTcpSocket* m_socket;
        std::shared_ptr<server_shared> m_shared;
        std::optional<parser_type> m_parser;
        std::string m_buffer; // received, not yet parsed
        std::shared_ptr<response_writer> m_writer; // set while a request is being answered
        QTimer m_requestTimer;
        bool m_keepAlive = true;
        bool m_refused = false;
    };

}

response_writer::response_writer(detail::server_connection* connection)
    : m_connection(connection)
{
}

void response_writer::sendWhole(const http_response& response)
{
    if (!m_connection)
        return;
    m_started = true;
    std::string text = headText(response.status, response.headers);
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
    text += response.body;
    m_connection->send(text);
    m_connection->answerDone();
}

void response_writer::startStream(const http_response_head& head)
{
    if (!m_connection)
        return;
    m_started = true;
    m_connection->send(headText(head.status, head.headers) + "Transfer-Encoding: chunked\r\n\r\n");
}

void response_writer::write(std::string_view bytes)
{
    if (m_connection && !bytes.empty())
        m_connection->send(chunk(bytes));
}

void response_writer::finish()
{
    if (!m_connection)
        return;
    m_connection->send("0\r\n\r\n");
    m_connection->answerDone();
}

void response_writer::abort()
{
    if (m_connection)
        m_connection->abort();
}

void response_writer::abortWhenWritten()
{
    if (m_connection)
        m_connection->closeWhenWritten();
}

qint64 response_writer::bytesQueued() const { return m_connection ? m_connection->bytesQueued() : 0; }

struct http_server::state {
    std::shared_ptr<detail::server_shared> shared;
    QTcpServer server;
    QObject connections; // parent of every connection, so that they end with the server
};

http_server::http_server(http_server_limits limits, request_handler onRequest, refusal_maker onRefusal)
    : m_state(std::make_unique<state>())
{
    m_state->shared = std::make_shared<detail::server_shared>();
    m_state->shared->limits = limits;
    m_state->shared->onRequest = std::move(onRequest);
    m_state->shared->onRefusal = std::move(onRefusal);
    QObject::connect(&m_state->server, &QTcpServer::newConnection, &m_state->server, [this] {
        while (QTcpSocket* socket = m_state->server.nextPendingConnection()) {
            if (m_state->shared->connections >= m_state->shared->limits.connections) {
                socket->abort();
                socket->deleteLater();
                continue;
            }
            auto* connection = new detail::server_connection(socket, m_state->shared);
            connection->setParent(&m_state->connections);
        }
    });
}

http_server::~http_server() = default;

bool http_server::listen(const QHostAddress& address, quint16 port)
{
    m_state->server.setListenBacklogSize(1024);
    return m_state->server.listen(address, port);
}

quint16 http_server::port() const { return m_state->server.serverPort(); }

void http_server::stopListening() { m_state->server.close(); }

int http_server::connectionCount() const { return m_state->shared->connections; }

}
