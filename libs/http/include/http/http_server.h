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

/// How a caller knows where an answer's body ends.
enum class answer_framing : unsigned char {
    whole, ///< there is no body
    sized,
    chunked,
    until_close
};

/// Writes one answer. Every call is safe after the caller has gone; it then does nothing.
/// Threading: the event loop's thread only.
class response_writer {
public:
    explicit response_writer(detail::server_connection* connection);

    void sendWhole(const http_response& response);
    /// Starts a chunked answer; write() and finish() follow. The head leaves with the first bytes of the body.
    void startStream(const http_response_head& head);
    /// Starts an answer of a known length; write() and finish() follow.
    void startSized(const http_response_head& head, std::uint64_t bodyBytes);
    void write(std::string_view bytes);
    void finish();
    /// Closes the connection in mid-answer, so that the caller cannot take a part for the whole.
    void abort();
    /// The same, once what was written has left.
    void abortWhenWritten();

    bool isOpen() const { return m_connection != nullptr; }
    bool hasStarted() const { return m_started; }
    /// Bytes accepted but not yet given to the kernel.
    std::size_t bytesQueued() const;

    /// Called once when the caller's connection ends before the answer does.
    std::function<void()> onClosed;
    /// Called whenever bytes that had to be queued have left.
    std::function<void()> onDrained;

private:
    friend class detail::server_connection;
    detail::server_connection* m_connection; // null once the answer or the connection has ended
    bool m_started = false;
};

struct http_server_limits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 8 * 1024 * 1024;
    /// Of all bodies that are coming in at a time: what they may take of the process's memory.
    std::uint64_t heldBytes = 64 * 1024 * 1024;
    int connections = 20'000;
    /// Longest wait for the rest of a head whose first byte has come.
    duration headerTimeout = std::chrono::seconds(30);
    /// Longest silence in the middle of a body.
    duration bodySilence = std::chrono::seconds(10);
    /// A connection without a request is closed after this time.
    duration idleTimeout = std::chrono::seconds(120);
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
    /// Holds for requests whose first byte has not come yet.
    void setLimits(const http_server_limits& limits);
    /// From now on each answer is the last on its connection.
    void beginDrain();
    /// Closes the connections that have no request on them.
    void closeIdle();
    int connectionCount() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

}
