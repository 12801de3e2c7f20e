// Heartbeats between nodes, over UDP.
#pragma once

#include "node_messages.h"

#include "http/http_client.h"

#include <QUdpSocket>
#include <functional>

namespace tamarack {

class peer_mesh {
public:
    explicit peer_mesh(std::function<void(node_heartbeat)> onHeartbeat);

    /// False if the port is taken.
    bool listen(const endpoint& address);
    void send(const std::vector<serving::node_state>& recipients, const node_heartbeat& message);
    /// Datagrams that were no heartbeats.
    std::uint64_t undecodable() const { return m_undecodable; }

private:
    void readDatagrams();

    std::function<void(node_heartbeat)> m_onHeartbeat;
    QUdpSocket m_socket;
    std::uint64_t m_undecodable = 0;
};

}
