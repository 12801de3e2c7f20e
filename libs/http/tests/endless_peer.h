// Provides a peer that answers each request with fixed bytes and then repeats a block until the connection is closed.
#pragma once

#include "http/http_client.h"

#include <QTcpServer>
#include <QTcpSocket>

namespace tamarack::tests {

/// What the kernels of both ends may hold of a connection beyond what the receiving process has read, in bytes.
constexpr qint64 kernelBufferBytes = 12 * 1024 * 1024;

/// Counts the bytes that it could send, which bounds from above what the receiver holds of them. Stops at `maxBytes`,
/// and keeps the connection open then, so that a receiver without a limit fails the test instead of the machine.
struct endless_peer {
    static constexpr qint64 maxBytes = 64 * 1024 * 1024;
    static constexpr qint64 blockBytes = 128 * 1024;

    QTcpServer server;
    QByteArray beginning;
    QByteArray block;
    int connections = 0;
    int closed = 0;
    qint64 sent = 0;

    /// Repeats `unit` as often as fits into one block.
    endless_peer(QByteArray first, const QByteArray& unit)
        : beginning(std::move(first))
        , block(unit.repeated(static_cast<int>(blockBytes / unit.size())))
    {
        server.listen(QHostAddress::LocalHost, 0);
        QObject::connect(&server, &QTcpServer::newConnection, [this] { accept(); });
    }

    endpoint address() const { return { "127.0.0.1", server.serverPort() }; }
    bool isClosed() const { return connections > 0 && closed == connections; }

private:
    void accept()
    {
        QTcpSocket* socket = server.nextPendingConnection();
        ++connections;
        QObject::connect(socket, &QTcpSocket::disconnected, [this] { ++closed; });
        QObject::connect(socket, &QTcpSocket::bytesWritten, socket, [this, socket] { sendMore(*socket); });
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
            const bool isFirst = !socket->property("answered").toBool();
            socket->setProperty("answered", true);
            socket->readAll();
            if (!isFirst)
                return;
            socket->write(beginning);
            sendMore(*socket);
        });
    }

    void sendMore(QTcpSocket& socket)
    {
        if (socket.bytesToWrite() > 0 && socket.bytesToWrite() >= blockBytes)
            return;
        if (sent >= maxBytes || socket.state() != QAbstractSocket::ConnectedState)
            return;
        socket.write(block);
        sent += block.size();
    }
};

}
