// Accepts HTTP/1.1 connections and hands over whole requests; answers may be whole or streamed.
#pragma once

#include "base/clock.h"
#include "base/error_kind.h"
#include "http/http_message.h"

#include <QHostAddress>
#include <functional>
#include <memory>

namespace tamarack {

namespace detail {
    class server_connection;
}

/// Writes one answer. Every call is safe after the caller has gone; it then does nothing.
/// Threading: the event loop's thread only.
class response_writer {
public:
    explicit response_writer(detail::server_connection* connection);

    void sendWhole(const http_response& response);
    /// Starts a chunked answer; write() and finish() follow.
    void startStream(const http_response_head& head);
    void write(std::string_view bytes);
    void finish();
    /// Closes the connection in mid-answer, so that the caller cannot take a part for the whole.
    void abort();
    /// The same, once what was written has left.
    void abortWhenWritten();

    bool isOpen() const { return m_connection != nullptr; }
    bool hasStarted() const { return m_started; }
    /// Bytes accepted but not yet given to the kernel.
    qint64 bytesQueued() const;

    /// Called once when the caller's connection ends before the answer does.
    std::function<void()> onClosed;
    /// Called whenever queued bytes have left.
    std::function<void()> onDrained;

private:
    friend class detail::server_connection;
    detail::server_connection* m_connection; // null once the answer or the connection has ended
    bool m_started = false;
};

struct http_server_limits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 8 * 1024 * 1024;
    int connections = 20'000;
    /// Longest wait for the rest of a request whose first byte has come.
    duration requestTimeout = std::chrono::seconds(30);
};

class http_server {
public:
    using request_handler = std::function<void(http_request, std::shared_ptr<response_writer>)>;
    /// Makes the answer to input that is not a request we can take.
    using refusal_maker = std::function<http_response(error_kind, std::string_view detail)>;

    http_server(http_server_limits limits, request_handler onRequest, refusal_maker onRefusal);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Listens; a port of 0 takes any free one. False if the address cannot be had.
    bool listen(const QHostAddress& address, quint16 port);
    quint16 port() const;
    /// Takes no new connections; open ones go on.
    void stopListening();
    int connectionCount() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

}
