// Sends one request over one connection, once: nothing in here ever sends a request a second time.
#pragma once

#include "base/clock.h"
#include "http/http_message.h"

#include <QHostAddress>
#include <functional>
#include <memory>
#include <string>

namespace tamarack {

struct endpoint {
    std::string address; ///< an IP number
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// `address:port`; an endpoint with port 0 if the text is not one.
endpoint parseEndpoint(std::string_view text);
std::string toString(const endpoint&);

struct exchange_failure {
    /// False only if no byte of the request can have left this process.
    bool mayHaveReachedPeer = false;
    bool timedOut = false;
    std::string reason;
};

struct exchange_options {
    duration connectTimeout = std::chrono::seconds(1);
    /// Longest silence once connected; keep-alive comments count as sound.
    duration silenceTimeout = std::chrono::seconds(10);
    /// A kept connection may already be closed at the other end, which leaves "has it run?" open; a fresh one does not.
    bool freshConnection = false;
    /// A connection kept idle for longer is not used again.
    duration longestIdle = std::chrono::seconds(60);
    /// Whether the connection may be kept for later exchanges.
    bool keepConnection = true;
};

/// Called on the event loop's thread; exactly one of `onEnd` and `onFailure` ends an exchange, unless it is cancelled.
struct exchange_handlers {
    /// Whether the answer is this exchange's. One that is not is read and dropped, and the next one on the connection
    /// is waited for. Empty: every answer is.
    std::function<bool(const http_response_head&)> accepts;
    std::function<void(const http_response_head&)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void()> onEnd;
    std::function<void(const exchange_failure&)> onFailure;
};

/// A running exchange. Dropping the last reference does not cancel it.
class http_exchange {
public:
    virtual ~http_exchange() = default;
    /// No handler is called after this. The connection is reset: what has not reached the peer never will.
    virtual void cancel() = 0;
    /// After its end: for how long its connection is kept for other exchanges; zero if it is not.
    virtual duration keptFor() const = 0;
    /// Stops or goes on reading, for back-pressure; the peer's sends then stall in TCP.
    virtual void setReading(bool reading) = 0;
};

/// Starts exchanges and keeps idle connections. A request without a `Host` header gets the peer's address as one. Lives
/// on one thread.
class http_client {
public:
    http_client();
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    std::shared_ptr<http_exchange> start(
        const endpoint& peer, const http_request& request, const exchange_options& options, exchange_handlers handlers);
    /// Sends a request whose answer fits in memory.
    std::shared_ptr<http_exchange> fetch(const endpoint& peer, const http_request& request,
        const exchange_options& options, std::function<void(const http_response*, const exchange_failure&)> done);
    /// Closes the idle connections to a peer.
    void forget(const endpoint& peer);
    /// New connections started so far.
    std::uint64_t connectionsMade() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

}
