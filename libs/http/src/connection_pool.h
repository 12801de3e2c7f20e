// Provides a pool of idle connections by peer, for reuse by later exchanges.
#pragma once

#include "stream_socket.h"

#include <QTimer>
#include <functional>
#include <list>
#include <map>

namespace tamarack::detail {

class connection_pool {
public:
    connection_pool();

    /// Returns the most recently used connection to `peer` if it has been idle for less than `maxIdleTime`, else null.
    std::unique_ptr<stream_socket> take(const endpoint& peer, duration maxIdleTime);
    /// Adds a connection to the pool for at most `idleLimit`. Returns the connection if the pool does not accept it.
    std::unique_ptr<stream_socket> addIdle(
        const endpoint& peer, std::unique_ptr<stream_socket> socket, duration idleLimit);
    void closeIdleConnections(const endpoint& peer) { m_idle.erase(peer); }

    /// Returns the address to which a new connection to `peer` is made.
    endpoint addressOf(const endpoint& peer) const { return connectTo ? connectTo(peer) : peer; }

    std::uint64_t connectionsMade = 0;
    std::function<endpoint(const endpoint&)> connectTo; // empty: to the peer's own address

private:
    /// A connection that receives bytes or ends while it is idle is removed at once.
    struct idle_connection : stream_listener {
        idle_connection(connection_pool& owner, const endpoint& address, std::unique_ptr<stream_socket> idleSocket);

        void onReadable() override { pool.drop(*this); }
        void onEnded(stream_end) override { pool.drop(*this); }

        connection_pool& pool;
        endpoint peer;
        std::unique_ptr<stream_socket> socket;
        instant idleSince;
        instant expiresAt;
    };

    void drop(const idle_connection& dropped);
    void sweep();

    std::map<endpoint, std::list<idle_connection>> m_idle; // the most recently used one of each peer is last
    QTimer m_sweepTimer;
};

}
