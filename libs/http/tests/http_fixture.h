// Provides the helpers of the HTTP tests: running the event loop, peers with a fixed response, and raw exchanges.
#pragma once

#include "http/http_client.h"
#include "http/http_server.h"

#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <catch2/catch.hpp>

namespace tamarack::tests {

/// Runs the event loop until `isDone` is true. Fails the test after 20 s.
inline void spin(const bool& isDone)
{
    QEventLoop loop;
    QTimer poll;
    QObject::connect(&poll, &QTimer::timeout, [&] {
        if (isDone)
            loop.quit();
    });
    poll.start(1);
    QTimer::singleShot(20'000, &loop, &QEventLoop::quit);
    loop.exec();
    REQUIRE(isDone);
}

/// A peer that responds to each read with fixed bytes and then closes the connection unless `keepsOpen` is set. Counts
/// the requests received.
struct raw_peer {
    QTcpServer server;
    int requests = 0;
    QByteArray answer;
    bool keepsOpen = false;

    explicit raw_peer(QByteArray bytes)
        : answer(std::move(bytes))
    {
        server.listen(QHostAddress::LocalHost, 0);
        QObject::connect(&server, &QTcpServer::newConnection, [this] {
            QTcpSocket* socket = server.nextPendingConnection();
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
                ++requests;
                socket->readAll();
                socket->write(answer);
                if (!keepsOpen)
                    socket->disconnectFromHost();
            });
        });
    }
    endpoint address() const { return { "127.0.0.1", server.serverPort() }; }
};

struct outcome {
    bool isDone = false;
    bool isComplete = false;
    http_response response;
    exchange_failure failure;
};

inline outcome fetch(
    http_client& client, const endpoint& peer, exchange_options options = {}, const std::string& method = "POST")
{
    outcome result;
    const std::string body = method == "POST" ? "body" : "";
    client.fetch(
        peer, { method, "/x", {}, body }, options, [&](const http_response* response, const exchange_failure& f) {
            result.isComplete = response != nullptr;
            if (response)
                result.response = *response;
            result.failure = f;
            result.isDone = true;
        });
    spin(result.isDone);
    return result;
}

/// Sends raw bytes to a server and returns all bytes received until the server closes the connection.
inline QByteArray exchangeRaw(quint16 port, const QByteArray& bytes)
{
    QTcpSocket socket;
    QByteArray all;
    bool isClosed = false;
    QObject::connect(&socket, &QTcpSocket::readyRead, [&] { all += socket.readAll(); });
    QObject::connect(&socket, &QTcpSocket::disconnected, [&] { isClosed = true; });
    socket.connectToHost(QHostAddress::LocalHost, port);
    socket.write(bytes);
    spin(isClosed);
    return all;
}

}
