// Provides an HTTP/1.1 server that passes complete requests to a handler. Responses may be sent at once or streamed.
#pragma once

#include "base/clock.h"
#include "base/error_kind.h"
#include "http/client_budget.h"
#include "http/http_message.h"

#include <QHostAddress>
#include <functional>
#include <memory>
#include <string_view>

namespace tamarack {

namespace detail {
    class server_connection;
}

/// How the end of a response body is marked.
enum class response_framing : unsigned char {
    no_body,
    sized, ///< by Content-Length
    chunked, ///< by the chunk of size zero
    until_close ///< by the end of the connection
};

/// Why the server has closed a connection.
enum class close_reason : unsigned char {
    idle, ///< no request came within the idle timeout
    drained, ///< the server is stopping
    answered, ///< the last response announced the close
    refused, ///< the input was malformed or exceeded a limit
    truncated, ///< the response ended early
    count
};

std::string_view toString(close_reason);

/// Input that arrived on a connection that the server had closed. It is not processed.
struct discarded_input {
    close_reason reason = close_reason::idle;
    std::size_t bytes = 0;
    /// From the close to the first of these bytes; zero if they had arrived before the close.
    duration delay = duration::zero();
};

/// Writes one response. Every call is safe after the caller has disconnected and has no effect then.
/// Threading: the event loop's thread only.
class response_writer {
public:
    explicit response_writer(detail::server_connection* connection);

    void sendWhole(const http_response& response);
    /// Starts a chunked response, or one that ends with its connection, to be followed by write() and finish(). The
    /// head is sent with the first bytes of the body.
    void startStream(const http_response_head& head, response_framing framing = response_framing::chunked);
    /// Sends the head of a started response now.
    void flushHead();
    /// Starts a response of known length, to be followed by write() and finish().
    void startSized(const http_response_head& head, std::uint64_t bodyBytes);
    void write(std::string_view bytes);
    void finish();
    /// Closes the connection before the end of the response, such that the caller cannot mistake the truncated response
    /// for a complete one.
    void abort();
    /// Does the same as abort() after the bytes written so far have been sent.
    void abortWhenWritten();

    bool isOpen() const { return m_connection != nullptr; }
    bool hasStarted() const { return m_started; }
    /// Distinguishes the connections of a server, for logs. Numbers start at 1.
    std::uint64_t connectionNumber() const { return m_connectionNumber; }
    /// Returns the number of bytes accepted by write() but not yet passed to the kernel.
    std::size_t bytesQueued() const;
    /// Returns how many bytes may be queued before the source of the response stops reading, until onDrained is called.
    /// The value falls while callers of this server read slowly.
    std::size_t queueLimit() const;
    /// Replaces what is counted in the budget for the request, in bytes. At first that is the request itself. The
    /// count ends with this object, so whoever handles a request keeps the writer for as long as the request.
    void setRequestBytes(std::size_t bytes) { m_charge.set(bytes); }

    /// Takes the body of the request, which counts in the budget for as long as it is referred to.
    std::shared_ptr<const std::string> shareBody(std::string body);

    /// Called once if the caller's connection ends before the response is complete.
    std::function<void()> onClosed;
    /// Called each time the queue of unsent bytes has been passed to the kernel completely.
    std::function<void()> onDrained;

private:
    friend class detail::server_connection;
    detail::server_connection* m_connection; // null once the response or the connection has ended
    std::uint64_t m_connectionNumber;
    budget_charge m_charge;
    bool m_started = false;
};

struct http_server_limits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 8 * 1024 * 1024;
    /// Maximum memory for bytes of responses that callers have not read; 0: none. Beyond it the connections that hold
    /// most are reset.
    std::uint64_t totalUnsentBytes = 0;
    /// Beyond it, or beyond that of the budget, the connection goes that has waited longest for a request. If all have
    /// requests in progress, the new one is closed.
    int connections = 20'000;
    /// Maximum time to receive the rest of a head after its first byte.
    duration headerTimeout = std::chrono::seconds(30);
    /// Maximum time without received bytes in the middle of a body, and from its first byte on for less than 1,000
    /// bytes a second of it.
    duration bodyReadTimeout = std::chrono::seconds(10);
    /// A connection on which no request has started is kept for this time, and for as long as the last response on it
    /// says in `Keep-Alive`, which is this time in whole seconds when that response begins.
    duration idleTimeout = std::chrono::seconds(120);
};

class http_server {
public:
    using request_handler = std::function<void(http_request, std::shared_ptr<response_writer>)>;
    /// Creates the response to input that is malformed or exceeds a limit.
    using refusal_handler = std::function<http_response(error_kind, std::string_view detail)>;
    /// Called at the end of a connection on which input was discarded.
    using discard_handler = std::function<void(const discarded_input&)>;
    /// Called for each connection that is reset because its caller reads too slowly. `held`: memory for its unsent
    /// bytes.
    using slow_caller_handler = std::function<void(std::size_t held)>;

    /// Without a budget the server has one of its own, with the default limits.
    http_server(http_server_limits limits, request_handler onRequest, refusal_handler onRefusal,
        discard_handler onDiscarded = {}, slow_caller_handler onSlowCaller = {},
        std::shared_ptr<client_budget> budget = nullptr);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Starts to listen. Port 0 selects any free port. Returns false if the address cannot be bound.
    bool listen(const QHostAddress& address, quint16 port);
    quint16 port() const;
    /// Stops accepting connections. Those that were made before are served.
    void stopListening();
    /// Sets the limits. They apply to requests whose first byte has not arrived yet.
    void setLimits(const http_server_limits& limits);
    /// Starts draining: from now on, each connection is closed after its next response.
    void beginDrain();
    /// Closes the connections that have no request in progress. A request that has arrived on one is processed instead.
    void closeIdle();
    int connectionCount() const;
    /// Returns the bytes of responses that the kernel has not accepted yet. They are lost if the process exits.
    std::size_t bytesQueued() const;
    /// Returns the memory that is allocated for them.
    std::uint64_t unsentBytesHeld() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

}
