// Provides the transport between nodes: heartbeats as UDP datagrams and one short TCP connection per request.
#pragma once

#include "base/clock.h"
#include "peer/peer_messages.h"

#include <QHostAddress>
#include <functional>
#include <memory>
#include <optional>

namespace tamarack {

struct peer_counts {
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t undecodable = 0; ///< datagrams and frames that are not valid messages
};

/// Sends and receives peer messages. Must be used from a single thread. Received bytes are not trusted: invalid
/// messages never reach the handlers.
class peer_transport {
public:
    using reply_sender = std::function<void(const peer_reply&)>;
    struct handlers {
        std::function<void(const heartbeat&)> onHeartbeat;
        /// The reply may be sent asynchronously, within the timeout that the requesting node has set.
        std::function<void(const peer_request&, reply_sender)> onRequest;
    };

    explicit peer_transport(handlers handlers);
    ~peer_transport();
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;

    /// Listens on the port for both UDP and TCP. Returns false if the port is in use.
    bool listen(const QHostAddress& address, quint16 port);
    /// Sends a heartbeat without any guarantee of delivery.
    void send(const std::string& address, int port, const heartbeat& message);
    /// Sends a request. `done` receives nothing if the request fails or no reply arrives within `timeout`; the peer may
    /// have processed the request nevertheless.
    void ask(const std::string& address, int port, const peer_request& request, duration timeout,
        std::function<void(std::optional<peer_reply>)> done);
    const peer_counts& counts() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

}
