// QUdpSocket; a datagram that is lost is made up for by the next.
#include "peer_mesh.h"

namespace tamarack {

peer_mesh::peer_mesh(load_handler onLoad)
    : m_onLoad(std::move(onLoad))
{
    QObject::connect(&m_socket, &QUdpSocket::readyRead, [this] { readDatagrams(); });
}

bool peer_mesh::listen(const endpoint& address)
{
    return m_socket.bind(QHostAddress(QString::fromStdString(address.address)), address.port);
}

void peer_mesh::send(const serving::relay_datagram& datagram)
{
    if (datagram.to.empty())
        return;
    const auto bytes = encodeLoad(datagram.payload);
    for (const auto& place : datagram.to) {
        m_socket.writeDatagram(bytes.data(), static_cast<qint64>(bytes.size()),
            QHostAddress(QString::fromStdString(place.address)), place.port);
    }
    m_counts.sent += datagram.to.size();
    m_counts.sentBytes += datagram.to.size() * bytes.size();
}

void peer_mesh::readDatagrams()
{
    QHostAddress from;
    quint16 port = 0;
    while (m_socket.hasPendingDatagrams()) {
        const auto size = m_socket.readDatagram(m_buffer.data(), m_buffer.size(), &from, &port);
        ++m_counts.heard;
        const auto load = decodeLoad({ m_buffer.data(), static_cast<std::size_t>(std::max<qint64>(size, 0)) });
        if (load)
            m_onLoad({ from.toString().toStdString(), port }, *load);
        else
            ++m_counts.undecodable;
    }
}

}
