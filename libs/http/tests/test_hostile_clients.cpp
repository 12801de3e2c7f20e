// Tests of the HTTP server with clients that keep what they were given: places, descriptors and time.
#include "http_fixture.h"

#include <QAbstractEventDispatcher>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace tamarack;
using namespace tamarack::tests;
using namespace std::chrono_literals;

namespace {

struct answering_server {
    int requests = 0;
    http_server server;

    explicit answering_server(http_server_limits limits = {})
        : server(
            limits,
            [this](http_request request, std::shared_ptr<response_writer> caller) {
                ++requests;
                caller->sendWhole({ 200, {}, request.body });
            },
            [](error_kind kind, std::string_view detail) {
                return http_response { answerFor(kind).status, {}, std::string(detail) };
            })
    {
        REQUIRE(server.listen(QHostAddress::LocalHost, 0));
    }
};

/// Sends one byte of a body every few milliseconds until the connection ends.
struct trickling_client {
    QTcpSocket socket;
    QTimer pace;
    QByteArray received;
    bool isClosed = false;

    trickling_client(quint16 port, const QByteArray& beginning, const QByteArray& block)
    {
        QObject::connect(&socket, &QTcpSocket::readyRead, [this] { received += socket.readAll(); });
        QObject::connect(&socket, &QTcpSocket::disconnected, [this] { isClosed = true; });
        QObject::connect(&pace, &QTimer::timeout, [this, block] {
            if (!isClosed)
                socket.write(block);
        });
        socket.connectToHost(QHostAddress::LocalHost, port);
        socket.write(beginning);
        pace.start(2);
    }
};

QByteArray exchangeWhole(quint16 port)
{
    return exchangeRaw(port, "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
}

/// Takes all descriptors of this process while it exists.
class descriptor_shortage {
public:
    descriptor_shortage()
    {
        ::getrlimit(RLIMIT_NOFILE, &m_before);
        rlimit few = m_before;
        few.rlim_cur = 64;
        ::setrlimit(RLIMIT_NOFILE, &few);
        for (int taken = ::open("/dev/null", O_RDONLY); taken >= 0; taken = ::open("/dev/null", O_RDONLY))
            m_taken.push_back(taken);
    }
    ~descriptor_shortage()
    {
        for (const int taken : m_taken)
            ::close(taken);
        ::setrlimit(RLIMIT_NOFILE, &m_before);
    }
    descriptor_shortage(const descriptor_shortage&) = delete;
    descriptor_shortage& operator=(const descriptor_shortage&) = delete;

private:
    rlimit m_before {};
    std::vector<int> m_taken;
};

}

// Guards against a body of which a byte now and then keeps its connection for ever.
TEST_CASE("test_body_that_trickles_is_ended")
{
    http_server_limits limits;
    limits.bodyReadTimeout = 100ms;
    answering_server node(limits);
    const std::pair<const char*, const char*> bodies[] { { "Content-Length: 4000000\r\n\r\n", "x" },
        { "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n" }, { "Transfer-Encoding: chunked\r\n\r\n4;x=", "x" },
        { "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ", "x" } };
    for (const auto& [beginning, block] : bodies) {
        INFO(beginning);
        trickling_client client(node.server.port(), "POST / HTTP/1.1\r\nHost: x\r\n" + QByteArray(beginning), block);
        spin(client.isClosed);
        CHECK(client.received.startsWith("HTTP/1.1 408"));
    }
    CHECK(node.requests == 0);
}

// Guards against a listener that takes the processor while descriptors are short, or accepts nothing any more
// afterwards.
TEST_CASE("test_server_rests_while_descriptors_are_short_and_accepts_again")
{
    answering_server node;
    CHECK(exchangeWhole(node.server.port()).startsWith("HTTP/1.1 200"));
    const int client = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int turns = 0;
    {
        const descriptor_shortage shortage;
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(node.server.port());
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::connect(client, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
        QObject counted;
        QObject::connect(
            QAbstractEventDispatcher::instance(), &QAbstractEventDispatcher::awake, &counted, [&] { ++turns; });
        bool hasPassed = false;
        QTimer::singleShot(200, [&] { hasPassed = true; });
        QEventLoop loop;
        while (!hasPassed)
            loop.processEvents(QEventLoop::WaitForMoreEvents);
    }
    constexpr int maxTurns = 50;
    CHECK(turns <= maxTurns);
    CHECK(exchangeWhole(node.server.port()).startsWith("HTTP/1.1 200"));
    ::close(client);
}
