// Datagrams between nodes, over UDP.
#pragma once

#include "node_messages.h"

#include "http/http_client.h"

#include <QUdpSocket>
#include <array>
#include <functional>

namespace tamarack {

struct datagram_counts {
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t heard = 0;
    std::uint64_t undecodable = 0; ///< that were no messages
};

class peer_mesh {
public:
    using load_handler = std::function<void(const serving::node_endpoint& from, const serving::relay_payload&)>;

    explicit peer_mesh(load_handler onLoad);

    /// False if the port is taken.
    bool listen(const endpoint& address);
    void send(const serving::relay_datagram& datagram);
    const datagram_counts& counts() const { return m_counts; }

private:
    void readDatagrams();

    load_handler m_onLoad;
    QUdpSocket m_socket;
    std::array<char, 65536> m_buffer; // above any datagram: one that is cut short could not be read
    datagram_counts m_counts;
};

}
