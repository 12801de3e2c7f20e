// Carries the messages between nodes: datagrams for heartbeats, one short connection for each question.
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
    std::uint64_t undecodable = 0; ///< datagrams and frames that are no messages of ours
};

/// Lives on one thread. Every byte that comes in may be garbage.
class peer_transport {
public:
    using reply_sender = std::function<void(const peer_reply&)>;
    struct handlers {
        std::function<void(const heartbeat&)> onHeartbeat;
        /// The reply may be sent later; the asker waits for as long as it set.
        std::function<void(const peer_request&, reply_sender)> onRequest;
    };

    explicit peer_transport(handlers handlers);
    ~peer_transport();
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;

    /// False if the port is taken.
    bool listen(const QHostAddress& address, quint16 port);
    void send(const std::string& address, int port, const heartbeat& message);
    /// `done` gets nothing when no reply came in time: the question may still have been acted on.
    void ask(const std::string& address, int port, const peer_request& request, duration timeout,
        std::function<void(std::optional<peer_reply>)> done);
    const peer_counts& counts() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

}
