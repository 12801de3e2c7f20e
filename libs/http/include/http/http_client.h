// Provides an HTTP/1.1 client that sends each request at most once. It never retries a request by itself.
#pragma once

#include "base/clock.h"
#include "http/exchange_limits.h"
#include "http/http_message.h"

#include <QHostAddress>
#include <functional>
#include <memory>
#include <string>

namespace tamarack {

struct endpoint {
    std::string address; ///< an IP address in text form
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// Parses `address:port`. Returns an endpoint with port 0 if `text` is malformed.
endpoint parseEndpoint(std::string_view text);
std::string toString(const endpoint&);

struct exchange_failure {
    /// False only if it is certain that no byte of the request has left this process.
    bool mayHaveReachedPeer = false;
    bool timedOut = false;
    std::string reason;
    /// The peer has closed or reset the established connection.
    bool isClosedByPeer = false;
    /// The response exceeds a limit of the exchange.
    bool isOverLimit = false;
};

struct exchange_options {
    duration connectTimeout = std::chrono::seconds(1);
    /// Maximum time without received bytes once connected. Keep-alive comments in a stream count as received bytes.
    duration silenceTimeout = std::chrono::seconds(10);
    /// Whether to open a new connection instead of reusing an idle one. The peer may already have closed an idle
    /// connection, and then it is unknown whether the request was executed.
    bool freshConnection = false;
    /// A connection that has been idle for longer is not reused.
    duration maxIdleTime = std::chrono::seconds(60);
    /// Whether the connection may be reused for later exchanges.
    bool keepConnection = true;
    /// The body of the request, in place of http_request::body. It is not copied, so that several attempts hold it
    /// once.
    std::shared_ptr<const std::string> body;
    exchange_limits limits;
};

/// Callbacks of an exchange, called on the thread of the event loop. Unless the exchange is cancelled, exactly one of
/// `onEnd` and `onFailure` is called, and it is the last call.
struct exchange_handlers {
    /// Returns whether a response belongs to this exchange. A response that does not is read and discarded, and the
    /// exchange waits for the next one on the connection. If empty, every response is accepted.
    std::function<bool(const http_response_head&)> accepts;
    std::function<void(const http_response_head&)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void()> onEnd;
    std::function<void(const exchange_failure&)> onFailure;
};

/// A request in progress and its response. Releasing the last reference does not cancel the exchange.
class http_exchange {
public:
    virtual ~http_exchange() = default;
    /// Cancels the exchange; no handler is called afterwards. The connection is reset, so bytes that have not reached
    /// the peer yet are never delivered.
    virtual void cancel() = 0;
    /// Returns, after the end of the exchange, how long its connection stays available for reuse; zero if it does not.
    virtual duration reusableFor() const = 0;
    /// Pauses or resumes reading, for back-pressure. While reading is paused, TCP flow control stalls the peer.
    virtual void setReading(bool reading) = 0;
};

/// Starts exchanges and pools idle connections. A request without a `Host` header gets the peer's address as its
/// `Host`. Threading: one thread only.
class http_client {
public:
    /// Returns the address to which a connection to `peer` is made.
    using address_map = std::function<endpoint(const endpoint& peer)>;

    /// Connects to each peer's own address unless `connectTo` names another one, such as a proxy in front of the peer.
    explicit http_client(address_map connectTo = {});
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    std::shared_ptr<http_exchange> start(
        const endpoint& peer, const http_request& request, const exchange_options& options, exchange_handlers handlers);
    /// Sends a request and calls `done` with the complete response, which is collected in memory within
    /// `exchange_options::limits`, or with null and the failure.
    std::shared_ptr<http_exchange> fetch(const endpoint& peer, const http_request& request,
        const exchange_options& options, std::function<void(const http_response*, const exchange_failure&)> done);
    /// Opens a connection to `peer` and keeps it for reuse. `done` gets null, or the failure after `timeout` at the
    /// latest.
    void connect(const endpoint& peer, duration timeout, std::function<void(const exchange_failure* failure)> done);
    /// Closes the idle connections to `peer`.
    void closeIdleConnections(const endpoint& peer);
    /// Returns the number of connections opened so far.
    std::uint64_t connectionsMade() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

}
