// QUdpSocket; a datagram that is lost is made up for by the next.
#include "peer_mesh.h"

namespace tamarack {

peer_mesh::peer_mesh(std::function<void(peer_datagram)> onMessage)
    : m_onMessage(std::move(onMessage))
{
    QObject::connect(&m_socket, &QUdpSocket::readyRead, [this] { readDatagrams(); });
}

bool peer_mesh::listen(const endpoint& address)
{
    return m_socket.bind(QHostAddress(QString::fromStdString(address.address)), address.port);
}

void peer_mesh::send(const std::vector<serving::node_state>& recipients, const peer_datagram& message)
{
    if (recipients.empty())
        return;
    const auto bytes = encodeDatagram(message);
    for (const auto& node : recipients)
        m_socket.writeDatagram(bytes.data(), static_cast<qint64>(bytes.size()),
            QHostAddress(QString::fromStdString(node.address)), node.peerPort);
}

void peer_mesh::readDatagrams()
{
    while (m_socket.hasPendingDatagrams()) {
        const auto size = m_socket.readDatagram(m_buffer.data(), m_buffer.size());
        auto message = decodeDatagram({ m_buffer.data(), static_cast<std::size_t>(std::max<qint64>(size, 0)) });
        if (message)
            m_onMessage(std::move(*message));
        else
            ++m_undecodable;
    }
}

}
