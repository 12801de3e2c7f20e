// Implements peer_socket with QUdpSocket. Lost datagrams are not retransmitted, as later messages supersede them.
#include "peer_socket.h"

namespace tamarack {

peer_socket::peer_socket(payload_handler onPayload)
    : m_onPayload(std::move(onPayload))
{
    QObject::connect(&m_socket, &QUdpSocket::readyRead, [this] { readDatagrams(); });
}

bool peer_socket::listen(const endpoint& address)
{
    return m_socket.bind(QHostAddress(QString::fromStdString(address.address)), address.port);
}

void peer_socket::send(const serving::relay_datagram& datagram)
{
    if (datagram.to.empty())
        return;
    const auto bytes = encodeRelayPayload(datagram.payload);
    for (const auto& place : datagram.to) {
        m_socket.writeDatagram(bytes.data(), static_cast<qint64>(bytes.size()),
            QHostAddress(QString::fromStdString(place.address)), place.port);
    }
    m_counts.sent += datagram.to.size();
    m_counts.sentBytes += datagram.to.size() * bytes.size();
}

void peer_socket::readDatagrams()
{
    QHostAddress from;
    quint16 port = 0;
    while (m_socket.hasPendingDatagrams()) {
        const auto size = m_socket.readDatagram(m_buffer.data(), m_buffer.size(), &from, &port);
        ++m_counts.received;
        const auto load = decodeRelayPayload({ m_buffer.data(), static_cast<std::size_t>(std::max<qint64>(size, 0)) });
        if (load)
            m_onPayload({ from.toString().toStdString(), port }, *load);
        else
            ++m_counts.undecodable;
    }
}

}
