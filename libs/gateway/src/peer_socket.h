// Sends and receives UDP datagrams between nodes.
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
    std::uint64_t received = 0;
    std::uint64_t undecodable = 0; ///< datagrams that could not be decoded
};

class peer_socket {
public:
    using payload_handler = std::function<void(const serving::node_endpoint& from, const serving::relay_payload&)>;

    explicit peer_socket(payload_handler onPayload);

    /// Returns false if the port is in use.
    bool listen(const endpoint& address);
    void send(const serving::relay_datagram& datagram);
    const datagram_counts& counts() const { return m_counts; }

private:
    void readDatagrams();

    payload_handler m_onPayload;
    QUdpSocket m_socket;
    std::array<char, 65536> m_buffer; // larger than any datagram, since a truncated one could not be decoded
    datagram_counts m_counts;
};

}
