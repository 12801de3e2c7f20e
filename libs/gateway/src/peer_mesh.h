// Heartbeats and notes between nodes, over UDP.
#pragma once

#include "node_messages.h"

#include "http/http_client.h"

#include <QUdpSocket>
#include <array>
#include <functional>

namespace tamarack {

class peer_mesh {
public:
    explicit peer_mesh(std::function<void(peer_datagram)> onMessage);

    /// False if the port is taken.
    bool listen(const endpoint& address);
    void send(const std::vector<serving::node_state>& recipients, const peer_datagram& message);
    /// Datagrams that were no messages.
    std::uint64_t undecodable() const { return m_undecodable; }

private:
    void readDatagrams();

    std::function<void(peer_datagram)> m_onMessage;
    QUdpSocket m_socket;
    std::array<char, 65536> m_buffer; // above any datagram: one that is cut short could not be read
    std::uint64_t m_undecodable = 0;
};

}
