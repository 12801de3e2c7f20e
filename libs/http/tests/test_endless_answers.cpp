// Tests of the HTTP client with peers that send without end. Each guards against an exchange that holds what it
// receives until the process is killed for its memory use, or that never ends.
#include "endless_peer.h"
#include "http_fixture.h"

using namespace tamarack;
using namespace tamarack::tests;
using namespace std::chrono_literals;

namespace {

struct endless_case {
    const char* name;
    QByteArray beginning;
    QByteArray unit;
};

/// Answers that never reach a byte of the body of the response, or never leave it.
const std::vector<endless_case>& withoutProgress()
{
    static const std::vector<endless_case> cases {
        { "status line", "HTTP/1.1 200 ", "x" },
        { "one header", "HTTP/1.1 200 OK\r\nA: ", "x" },
        { "headers", "HTTP/1.1 200 OK\r\n", "A: xxxxxxxx\r\n" },
        { "informational heads", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" },
        { "chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0" },
        { "chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=", "x" },
        { "one trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: ", "x" },
        { "trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", "A: xxxxxxxx\r\n" },
        { "bytes that are not HTTP", "", "x" },
    };
    return cases;
}

const std::vector<endless_case>& bodies()
{
    static const std::vector<endless_case> cases {
        { "sized", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "x" },
        { "until close", "HTTP/1.1 200 OK\r\n\r\n", "x" },
        { "chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n" },
        { "one chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", "x" },
    };
    return cases;
}

void checkEnded(const endless_peer& peer, qint64 maxHeld)
{
    bool isClosed = false;
    QTimer poll;
    QObject::connect(&poll, &QTimer::timeout, [&] { isClosed = peer.isClosed(); });
    poll.start(1);
    spin(isClosed);
    CHECK(peer.sent <= maxHeld + kernelBufferBytes);
}

/// Starts an exchange whose body is passed on as it arrives.
exchange_failure relay(
    http_client& client, const endpoint& peer, std::function<bool(const http_response_head&)> accepts)
{
    exchange_failure out;
    bool isDone = false;
    bool hasFailed = false;
    exchange_handlers handlers;
    handlers.accepts = std::move(accepts);
    handlers.onEnd = [&] { isDone = true; };
    handlers.onFailure = [&](const exchange_failure& failure) {
        out = failure;
        isDone = hasFailed = true;
    };
    exchange_options options;
    options.silenceTimeout = 5s;
    const auto exchange = client.start(peer, { "POST", "/x", {}, "body" }, options, std::move(handlers));
    spin(isDone);
    CHECK(hasFailed);
    return out;
}

constexpr qint64 maxHeadHeld = 1024 * 1024;

}

TEST_CASE("test_endless_answer_without_progress_ends_the_exchange")
{
    for (const auto& item : withoutProgress()) {
        INFO(item.name);
        endless_peer peer(item.beginning, item.unit);
        http_client client;
        const auto failure = relay(client, peer.address(), {});
        INFO(failure.reason);
        CHECK(failure.mayHaveReachedPeer);
        CHECK_FALSE(failure.timedOut);
        CHECK_FALSE(failure.isClosedByPeer);
        checkEnded(peer, maxHeadHeld);
    }
}

TEST_CASE("test_endless_answer_to_another_request_ends_the_exchange")
{
    for (const auto& item : bodies()) {
        INFO(item.name);
        endless_peer peer(item.beginning, item.unit);
        http_client client;
        const auto failure = relay(client, peer.address(), [](const http_response_head&) { return false; });
        CHECK(failure.mayHaveReachedPeer);
        CHECK_FALSE(failure.timedOut);
        checkEnded(peer, maxHeadHeld);
    }
}

TEST_CASE("test_endless_answers_to_other_requests_end_the_exchange")
{
    endless_peer peer("", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno");
    http_client client;
    const auto failure = relay(client, peer.address(), [](const http_response_head&) { return false; });
    CHECK(failure.mayHaveReachedPeer);
    checkEnded(peer, maxHeadHeld);
}

TEST_CASE("test_endless_body_of_a_collected_answer_ends_the_exchange")
{
    for (const auto& item : bodies()) {
        INFO(item.name);
        endless_peer peer(item.beginning, item.unit);
        http_client client;
        exchange_options options;
        options.silenceTimeout = 5s;
        const auto result = fetch(client, peer.address(), options);
        CHECK_FALSE(result.isComplete);
        CHECK(result.failure.mayHaveReachedPeer);
        CHECK_FALSE(result.failure.timedOut);
        checkEnded(peer, 8 * 1024 * 1024);
    }
}

TEST_CASE("test_announced_length_takes_no_memory")
{
    // Guards against a response with a Content-Length that no memory could hold ending the process.
    for (const char* length : { "1000000000000000", "9000000000000000000", "18446744073709551615" }) {
        INFO(length);
        raw_peer peer(QByteArray("HTTP/1.1 200 OK\r\nContent-Length: ") + length + "\r\n\r\nabc");
        http_client client;
        const auto result = fetch(client, peer.address());
        CHECK_FALSE(result.isComplete);
        CHECK(result.failure.mayHaveReachedPeer);
    }
}

TEST_CASE("test_collected_answer_of_which_a_byte_arrives_now_and_then_ends_the_exchange")
{
    // Guards against a poll that stays in progress for ever, so that no other one is made.
    QTcpServer server;
    server.listen(QHostAddress::LocalHost, 0);
    QTimer drip;
    QObject::connect(&server, &QTcpServer::newConnection, [&] {
        QTcpSocket* socket = server.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [&, socket] {
            socket->readAll();
            socket->write("HTTP/1.1 200 OK\r\n\r\n");
            QObject::connect(&drip, &QTimer::timeout, socket, [socket] { socket->write("x"); });
            drip.start(10);
        });
    });
    http_client client;
    exchange_options options;
    options.limits.collectTime = 300ms;
    const auto result = fetch(client, { "127.0.0.1", server.serverPort() }, options);
    CHECK_FALSE(result.isComplete);
    CHECK(result.failure.mayHaveReachedPeer);
}

TEST_CASE("test_answers_at_the_limits_are_taken")
{
    // Guards against limits that end legitimate exchanges.
    http_client client;
    exchange_options options;
    options.limits.collectedBytes = 300'000;
    const std::string body(300'000, 'b');
    raw_peer sized(QByteArray("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n") + body.c_str());
    CHECK(fetch(client, sized.address(), options).response.body == body);
    raw_peer tooLong(QByteArray("HTTP/1.1 200 OK\r\nContent-Length: 300001\r\n\r\n") + body.c_str() + "b");
    CHECK_FALSE(fetch(client, tooLong.address(), options).isComplete);
    const std::string value(12 * 1024, 'h');
    raw_peer longHead(QByteArray("HTTP/1.1 200 OK\r\nA: ") + value.c_str() + "\r\nContent-Length: 3\r\n\r\nyes");
    CHECK(fetch(client, longHead.address()).response.headers.find("A") == value);
}

TEST_CASE("test_large_body_that_is_passed_on_has_no_bound")
{
    constexpr std::size_t size = 40'000'000;
    raw_peer peer("HTTP/1.1 200 OK\r\nContent-Length: 40000000\r\n\r\n" + QByteArray(size, 'x'));
    http_client client;
    std::size_t received = 0;
    bool isDone = false;
    bool hasFailed = false;
    exchange_handlers handlers;
    handlers.onBody = [&](std::string_view bytes) { received += bytes.size(); };
    handlers.onEnd = [&] { isDone = true; };
    handlers.onFailure = [&](const exchange_failure&) { isDone = hasFailed = true; };
    const auto exchange = client.start(peer.address(), { "GET", "/", {}, "" }, {}, std::move(handlers));
    spin(isDone);
    CHECK_FALSE(hasFailed);
    CHECK(received == size);
}
