// Idle connections by peer, for exchanges that may use one again.
#pragma once

#include "stream_socket.h"

#include <QTimer>
#include <list>
#include <map>

namespace tamarack::detail {

class connection_pool {
public:
    connection_pool();

    /// The connection that was used last, if one has been idle for less than `longestIdle`.
    std::unique_ptr<stream_socket> take(const endpoint& peer, duration longestIdle);
    /// Keeps a connection for at most `idleLimit`. Returns it if it is not kept.
    std::unique_ptr<stream_socket> give(
        const endpoint& peer, std::unique_ptr<stream_socket> socket, duration idleLimit);
    void forget(const endpoint& peer) { m_idle.erase(peer); }

    std::uint64_t connectionsMade = 0;

private:
    /// A connection that receives or ends while it is idle is dropped at once.
    struct idle_connection : stream_listener {
        idle_connection(connection_pool& owner, const endpoint& address, std::unique_ptr<stream_socket> given);

        void onReadable() override { pool.drop(*this); }
        void onEnded(stream_end) override { pool.drop(*this); }

        connection_pool& pool;
        endpoint peer;
        std::unique_ptr<stream_socket> socket;
        instant since;
        instant until;
    };

    void drop(const idle_connection& dropped);
    void sweep();

    std::map<endpoint, std::list<idle_connection>> m_idle; // of each peer the one used last is at the back
    QTimer m_sweepTimer;
};

}
