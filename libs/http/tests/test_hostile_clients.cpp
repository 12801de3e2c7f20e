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

    explicit answering_server(http_server_limits limits = {}, std::shared_ptr<client_budget> budget = nullptr)
        : server(
            limits,
            [this](http_request request, std::shared_ptr<response_writer> caller) {
                ++requests;
                caller->sendWhole({ 200, {}, request.body });
            },
            [](error_kind kind, std::string_view detail) {
                return http_response { answerFor(kind).status, {}, std::string(detail) };
            },
            {}, {}, std::move(budget))
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

namespace {

struct connected_client {
    QTcpSocket socket;
    QByteArray received;
    bool isClosed = false;

    explicit connected_client(quint16 port)
    {
        QObject::connect(&socket, &QTcpSocket::readyRead, [this] { received += socket.readAll(); });
        QObject::connect(&socket, &QTcpSocket::disconnected, [this] { isClosed = true; });
        socket.connectToHost(QHostAddress::LocalHost, port);
        REQUIRE(socket.waitForConnected());
    }
    void send(const QByteArray& bytes) { socket.write(bytes); }
};

void spinUntil(const std::function<bool()>& condition)
{
    bool isDone = false;
    QTimer poll;
    QObject::connect(&poll, &QTimer::timeout, [&] { isDone = condition(); });
    poll.start(1);
    spin(isDone);
}

const QByteArray keptRequest = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok";

}

// Guards against connections that send nothing and keep the places of callers that do.
TEST_CASE("test_connection_without_a_request_makes_place_for_the_next_one")
{
    http_server_limits limits;
    limits.connections = 3;
    answering_server node(limits);
    connected_client used(node.server.port());
    used.send(keptRequest);
    spinUntil([&] { return used.received.contains("200"); });
    connected_client silent(node.server.port());
    connected_client partial(node.server.port());
    partial.send("POST / HT");
    spinUntil([&] { return node.server.connectionCount() == 3; });
    CHECK(exchangeWhole(node.server.port()).startsWith("HTTP/1.1 200"));
    spinUntil([&] { return silent.isClosed; });
    CHECK(silent.received.isEmpty());
    connected_client next(node.server.port());
    next.send(keptRequest);
    spinUntil([&] { return next.received.contains("200"); });
    connected_client last(node.server.port());
    spinUntil([&] { return partial.isClosed; });
    CHECK(partial.received.startsWith("HTTP/1.1 503"));
    CHECK(!used.isClosed);
    CHECK(node.server.connectionCount() <= 3);
}

// Guards against the same at several servers, which together take all descriptors.
TEST_CASE("test_servers_of_one_budget_share_its_places")
{
    client_budget_limits few;
    few.connections = 4;
    const auto budget = std::make_shared<client_budget>(few);
    answering_server first({}, budget);
    answering_server second({}, budget);
    std::vector<std::unique_ptr<connected_client>> silent;
    for (int i = 0; i < 6; ++i)
        silent.push_back(std::make_unique<connected_client>((i % 2 ? first : second).server.port()));
    CHECK(exchangeWhole(first.server.port()).startsWith("HTTP/1.1 200"));
    CHECK(exchangeWhole(second.server.port()).startsWith("HTTP/1.1 200"));
    CHECK(budget->connections() <= 4);
}

// Guards against a request that is no longer counted once its handler has it, or for ever after its client has left.
TEST_CASE("test_request_is_counted_until_its_handler_lets_it_go")
{
    const auto budget = std::make_shared<client_budget>();
    std::shared_ptr<response_writer> held;
    http_server server(
        {}, [&](http_request, std::shared_ptr<response_writer> caller) { held = std::move(caller); },
        [](error_kind, std::string_view) {
            return http_response { 400, {}, {} };
        },
        {}, {}, budget);
    REQUIRE(server.listen(QHostAddress::LocalHost, 0));
    constexpr std::size_t bodyBytes = 300'000;
    {
        connected_client client(server.port());
        client.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 300000\r\n\r\n" + QByteArray(bodyBytes, 'b'));
        spinUntil([&] { return held != nullptr; });
        CHECK(budget->held() >= bodyBytes);
        CHECK(budget->held() <= bodyBytes + 10'000);
        client.socket.abort();
    }
    spinUntil([&] { return !held->isOpen(); });
    CHECK(budget->held() >= bodyBytes);
    held = nullptr;
    CHECK(budget->held() == 0);
}

// Guards against a body that attempts share and nobody counts.
TEST_CASE("test_shared_body_is_counted_until_its_last_holder_lets_it_go")
{
    const auto budget = std::make_shared<client_budget>();
    std::shared_ptr<const std::string> body;
    http_server server(
        {},
        [&](http_request request, const std::shared_ptr<response_writer>& caller) {
            body = caller->shareBody(std::move(request.body));
            caller->sendWhole({ 200, {}, {} });
        },
        [](error_kind, std::string_view) {
            return http_response { 400, {}, {} };
        },
        {}, {}, budget);
    REQUIRE(server.listen(QHostAddress::LocalHost, 0));
    connected_client client(server.port());
    constexpr std::size_t bodyBytes = 300'000;
    client.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 300000\r\n\r\n" + QByteArray(bodyBytes, 'b'));
    spinUntil([&] { return client.received.contains("200"); });
    CHECK(body->size() == bodyBytes);
    CHECK(budget->held() == bodyBytes);
    body = nullptr;
    CHECK(budget->held() == 0);
}

// Guards against an input that grows with each request of a client that sends faster than it is answered.
TEST_CASE("test_requests_that_are_read_ahead_are_bounded")
{
    const auto budget = std::make_shared<client_budget>();
    answering_server node({}, budget);
    connected_client client(node.server.port());
    constexpr int requests = 40'000;
    client.send(keptRequest.repeated(requests));
    std::uint64_t most = 0;
    spinUntil([&] {
        most = std::max(most, budget->held());
        return node.requests >= requests / 4;
    });
    CHECK(most > 0);
    CHECK(most <= 64 * 1024);
}

// Guards against a body that is held for an exchange until the answer comes, and against a part that is not sent.
TEST_CASE("test_shared_body_is_sent_whole_and_released")
{
    std::string received;
    std::shared_ptr<response_writer> held;
    http_server server(
        {},
        [&](http_request request, std::shared_ptr<response_writer> caller) {
            received = std::move(request.body);
            held = std::move(caller);
        },
        [](error_kind, std::string_view) {
            return http_response { 400, {}, {} };
        });
    REQUIRE(server.listen(QHostAddress::LocalHost, 0));
    http_client client;
    std::string pattern;
    for (int i = 0; pattern.size() < 3'000'000; ++i)
        pattern += std::to_string(i);
    auto body = std::make_shared<const std::string>(pattern);
    exchange_options options;
    options.body = body;
    bool isDone = false;
    client.fetch({ "127.0.0.1", server.port() }, { "POST", "/", {}, {} }, options,
        [&](const http_response* response, const exchange_failure&) { isDone = response != nullptr; });
    options.body = nullptr;
    spinUntil([&] { return held != nullptr; });
    CHECK(received == pattern);
    spinUntil([&] { return body.use_count() == 1; });
    held->sendWhole({ 200, {}, {} });
    spin(isDone);
}
