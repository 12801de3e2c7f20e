// Tests of the HTTP server with callers that are slow, idle, or send requests with ambiguous framing.
#include "http_fixture.h"

#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace tamarack;
using namespace tamarack::tests;
using namespace std::chrono_literals;

namespace {

/// A server that counts the requests passed to its handler, and responds to refused input with the status of the error.
struct counting_server {
    int requests = 0;
    std::vector<discarded_input> discarded;
    http_server server;

    explicit counting_server(http_server_limits limits = {}, std::shared_ptr<client_budget> budget = nullptr)
        : server(
            limits,
            [this](http_request request, std::shared_ptr<response_writer> caller) {
                ++requests;
                caller->sendWhole({ 200, {}, request.target + "|" + request.body });
            },
            [](error_kind kind, std::string_view detail) {
                return http_response { answerFor(kind).status, {}, std::string(detail) };
            },
            [this](const discarded_input& input) { discarded.push_back(input); }, {}, std::move(budget))
    {
        REQUIRE(server.listen(QHostAddress::LocalHost, 0));
    }
    QByteArray send(const QByteArray& bytes) { return exchangeRaw(server.port(), bytes); }
};

}

TEST_CASE("test_requests_with_ambiguous_framing_are_refused")
{
    // Guards against request smuggling, where a target executes a request that no caller sent. The body contains what
    // looks like another request, and the head has two lengths, or a length and a chunked coding, or a chunk size that
    // only some parsers accept. This parser and that of the target then disagree on where the first request ends.
    const QByteArray smuggled = "GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n";
    const char* const heads[] {
        "Content-Length: 4\r\nContent-Length: 60\r\n",
        "Content-Length: 4\r\nContent-Length: 4\r\n",
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        "Transfer-Encoding : chunked\r\n",
        "Content-Length: +4\r\n",
        "Content-Length: 4, 4\r\n",
        "Content-Length: 0x4\r\n",
        "Host: y\r\n",
    };
    for (const char* head : heads) {
        INFO(head);
        counting_server server;
        const auto answer = server.send("POST /a HTTP/1.1\r\nHost: x\r\n" + QByteArray(head) + "\r\nabcd" + smuggled);
        CHECK(answer.startsWith("HTTP/1.1 400"));
        CHECK(answer.count("HTTP/1.1") == 1);
        CHECK(server.requests == 0);
    }
}

TEST_CASE("test_chunk_sizes_that_are_not_hexadecimal_are_refused")
{
    const char* const bodies[] { "0x4\r\nabcd\r\n0\r\n\r\n", "+4\r\nabcd\r\n0\r\n\r\n", "4 \r\nabcd\r\n0\r\n\r\n",
        "-1\r\nabcd\r\n0\r\n\r\n", "ffffffffffffffffff\r\nabcd\r\n0\r\n\r\n", "\r\nabcd\r\n0\r\n\r\n",
        "4\r\nabcdX\r\n0\r\n\r\n", "g\r\nabcd\r\n0\r\n\r\n" };
    for (const char* body : bodies) {
        INFO(body);
        counting_server server;
        const auto answer
            = server.send("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + QByteArray(body));
        CHECK(answer.startsWith("HTTP/1.1 400"));
        CHECK(server.requests == 0);
    }
    counting_server server;
    const auto answer
        = server.send("POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "4\r\nabcd\r\nA\r\n0123456789\r\n0\r\n\r\n");
    CHECK(answer.endsWith("/a|abcd0123456789"));
}

TEST_CASE("test_each_limit_has_its_own_status_code")
{
    http_server_limits limits;
    limits.headerBytes = 200;
    limits.bodyBytes = 100;
    limits.headerTimeout = 30ms;
    counting_server server(limits);
    CHECK(server.send("GET /" + QByteArray(400, 'a') + " HTTP/1.1\r\nHost: x\r\n\r\n").startsWith("HTTP/1.1 431"));
    CHECK(server.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n" + QByteArray(101, 'b'))
              .startsWith("HTTP/1.1 413"));
    CHECK(server.send("GET / HTTP/1.1\r\nHost").startsWith("HTTP/1.1 408"));
    CHECK(server.requests == 0);
}

TEST_CASE("test_idle_connections_are_closed_without_an_answer")
{
    http_server_limits limits;
    limits.idleTimeout = 30ms;
    counting_server server(limits);
    CHECK(server.send("").isEmpty());
    const auto answer = server.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(answer.startsWith("HTTP/1.1 200"));
    CHECK(server.requests == 1);
}

namespace {

/// A connection that sends although the server has closed its side; QTcpSocket closes its own side then.
class late_sender {
public:
    explicit late_sender(quint16 port)
        : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int receiveBuffer = 4096;
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        REQUIRE(::connect(m_descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    }
    ~late_sender() { ::close(m_descriptor); }
    late_sender(const late_sender&) = delete;
    late_sender& operator=(const late_sender&) = delete;
    void send(std::string_view bytes) const
    {
        REQUIRE(::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    }
    /// Returns the number of bytes received, 0 at the end of the connection, and -1 if there are none now.
    ssize_t receive() const
    {
        std::array<char, 4096> buffer;
        const auto count = ::recv(m_descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
        return count < 0 && errno != EAGAIN ? 0 : count;
    }

private:
    int m_descriptor;
};

}

TEST_CASE("test_input_that_arrives_after_the_close_is_reported")
{
    counting_server server;
    const late_sender caller(server.server.port());
    const std::string request = "GET /late HTTP/1.1\r\nHost: x\r\n\r\n";
    bool isReported = false;
    QTimer poll;
    QObject::connect(&poll, &QTimer::timeout, [&] {
        server.server.closeIdle();
        isReported = !server.discarded.empty();
    });
    poll.start(1);
    QTimer::singleShot(200, [&] { caller.send(request); });
    spin(isReported);
    CHECK(server.requests == 0);
    CHECK(server.discarded.front().reason == close_reason::drained);
    CHECK(server.discarded.front().bytes == request.size());
    CHECK(server.discarded.front().delay > 100ms);
}

namespace {

/// A caller that sends requests on one connection, each after a given time. Collects what the server answers.
struct kept_connection {
    QTcpSocket socket;
    QByteArray received;
    bool isClosed = false;

    explicit kept_connection(quint16 port)
    {
        QObject::connect(&socket, &QTcpSocket::readyRead, [this] { received += socket.readAll(); });
        QObject::connect(&socket, &QTcpSocket::disconnected, [this] { isClosed = true; });
        socket.connectToHost(QHostAddress::LocalHost, port);
    }
    void send(const QByteArray& path, const QByteArray& body = {})
    {
        socket.write("POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + QByteArray::number(body.size())
            + "\r\n\r\n" + body);
    }
    int answers() const { return received.count("HTTP/1.1 200"); }
    void waitForAnswers(int wanted)
    {
        bool isDone = false;
        QTimer poll;
        QObject::connect(&poll, &QTimer::timeout, [&] { isDone = answers() >= wanted || isClosed; });
        poll.start(1);
        spin(isDone);
    }
};

void wait(std::chrono::milliseconds length)
{
    bool isOver = false;
    QTimer::singleShot(length, [&] { isOver = true; });
    spin(isOver);
}

}

TEST_CASE("test_waiting_connections_are_kept_for_a_raised_idle_timeout")
{
    // Guards against requests that cross the close of a connection which callers may still use.
    http_server_limits limits;
    limits.idleTimeout = 400ms;
    counting_server server(limits);
    kept_connection used(server.server.port());
    kept_connection fresh(server.server.port());
    used.send("/first");
    used.waitForAnswers(1);
    limits.idleTimeout = 4s;
    server.server.setLimits(limits);
    wait(1900ms);
    used.send("/second");
    fresh.send("/only");
    used.waitForAnswers(2);
    fresh.waitForAnswers(1);
    CHECK(used.answers() == 2);
    CHECK(fresh.answers() == 1);
}

TEST_CASE("test_connections_are_kept_for_as_long_as_the_last_answer_says")
{
    // Guards against requests that cross the close of a connection after the idle timeout was lowered.
    http_server_limits limits;
    limits.idleTimeout = 2500ms;
    counting_server server(limits);
    kept_connection caller(server.server.port());
    caller.send("/first");
    caller.waitForAnswers(1);
    CHECK(caller.received.contains("Keep-Alive: timeout=2\r\n"));
    limits.idleTimeout = 100ms;
    server.server.setLimits(limits);
    wait(1900ms);
    caller.send("/second");
    caller.waitForAnswers(2);
    CHECK(caller.answers() == 2);
    CHECK(server.discarded.empty());
}

TEST_CASE("test_request_that_has_arrived_when_idle_connections_are_closed_is_answered")
{
    // Guards against a request that a stopping server discards although it has arrived.
    counting_server server;
    kept_connection caller(server.server.port());
    caller.send("/first");
    caller.waitForAnswers(1);
    caller.send("/second");
    caller.socket.flush();
    std::this_thread::sleep_for(20ms);
    server.server.beginDrain();
    server.server.closeIdle();
    caller.waitForAnswers(2);
    CHECK(caller.answers() == 2);
    CHECK(caller.received.contains("Connection: close"));
}

TEST_CASE("test_connection_that_was_used_while_its_idle_timeout_ran_out_stays_open")
{
    // Guards against the close of a connection right after an answer that lets its caller go on using it.
    int requests = 0;
    std::function<void(const std::string&)> onRequest = [](const std::string&) {};
    http_server_limits limits;
    limits.idleTimeout = 50ms;
    http_server server(
        limits,
        [&](http_request request, std::shared_ptr<response_writer> caller) {
            ++requests;
            onRequest(request.target);
            caller->sendWhole({ 200, {}, "" });
        },
        [](error_kind, std::string_view) {
            return http_response { 400, {}, "" };
        });
    REQUIRE(server.listen(QHostAddress::LocalHost, 0));
    kept_connection caller(server.port());
    kept_connection other(server.port());
    caller.send("/first");
    other.send("/first");
    caller.waitForAnswers(1);
    other.waitForAnswers(1);
    // The event loop is held beyond the timeout. Then it finds the timeout and a request of another caller, during
    // which two requests arrive on the connection.
    onRequest = [&](const std::string& target) {
        if (target == "/hold") {
            other.send("/arrive");
            other.socket.flush();
            std::this_thread::sleep_for(1200ms);
        } else if (target == "/arrive") {
            caller.send("/second");
            caller.send("/third");
            caller.socket.flush();
            std::this_thread::sleep_for(20ms);
        }
    };
    kept_connection holder(server.port());
    holder.send("/hold");
    caller.waitForAnswers(3);
    CHECK(caller.answers() == 3);
    caller.send("/fourth");
    caller.waitForAnswers(4);
    CHECK(caller.answers() == 4);
    CHECK(requests == 7);
}

TEST_CASE("test_connection_that_was_made_before_the_server_stops_listening_is_served")
{
    // Guards against a reset of connections that the kernel has accepted and the server has not.
    counting_server server;
    kept_connection caller(server.server.port());
    REQUIRE(caller.socket.waitForConnected());
    caller.send("/first");
    caller.socket.flush();
    server.server.beginDrain();
    server.server.stopListening();
    server.server.closeIdle();
    caller.waitForAnswers(1);
    CHECK(caller.answers() == 1);
}

TEST_CASE("test_limits_apply_to_the_next_request_on_a_kept_connection")
{
    // Guards against requests that are refused by limits which are no longer in force.
    http_server_limits limits;
    limits.bodyBytes = 100;
    counting_server server(limits);
    kept_connection used(server.server.port());
    kept_connection fresh(server.server.port());
    used.send("/first");
    used.waitForAnswers(1);
    limits.bodyBytes = 1000;
    server.server.setLimits(limits);
    used.send("/second", QByteArray(500, 'b'));
    fresh.send("/only", QByteArray(500, 'b'));
    used.waitForAnswers(2);
    fresh.waitForAnswers(1);
    CHECK(used.answers() == 2);
    CHECK(fresh.answers() == 1);
}

TEST_CASE("test_slow_caller_gets_the_whole_answer_on_a_connection_that_closes")
{
    // Guards against an answer whose end is lost because its caller is still receiving it when the connection is reset.
    const std::string body(200'000, 'b');
    http_server server(
        {},
        [&](http_request, std::shared_ptr<response_writer> caller) {
            caller->sendWhole({ 200, {}, body });
        },
        [](error_kind, std::string_view) {
            return http_response { 400, {}, "" };
        });
    REQUIRE(server.listen(QHostAddress::LocalHost, 0));
    const late_sender caller(server.port());
    caller.send("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    wait(2500ms);
    std::size_t received = 0;
    bool isDone = false;
    QTimer poll;
    QObject::connect(&poll, &QTimer::timeout, [&] {
        const auto count = caller.receive();
        received += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
        isDone = count == 0 || received > body.size();
    });
    poll.start(1);
    spin(isDone);
    CHECK(received > body.size());
}

TEST_CASE("test_draining_server_announces_the_close_of_the_connection")
{
    counting_server server;
    server.server.beginDrain();
    const auto answer = server.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(answer.contains("Connection: close"));
}

// Guards against a request that a stopping server has read behind another one and closes its connection without an
// answer.
TEST_CASE("test_request_that_a_draining_server_has_read_is_answered_before_the_close")
{
    counting_server server;
    server.server.beginDrain();
    const QByteArray requests = "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto answers = server.send(requests);
    CHECK(answers.contains("/first"));
    CHECK(answers.contains("/second"));
    CHECK(answers.count("Connection: close") == 1);
}

TEST_CASE("test_total_size_of_incoming_bodies_is_bounded")
{
    // Guards against the operating system killing the process for its memory use. Many callers send long bodies at the
    // same time; each body is within its own limit, but their sum is too large.
    client_budget_limits few;
    few.bytes = 1000;
    few.reservedBytes = 0;
    counting_server server({}, std::make_shared<client_budget>(few));
    const auto answer
        = server.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n" + QByteArray(2000, 'b'));
    CHECK(answer.startsWith("HTTP/1.1 503"));
}

TEST_CASE("test_100_continue_is_sent_to_callers_that_expect_it")
{
    counting_server server;
    QTcpSocket socket;
    QByteArray all;
    bool isClosed = false;
    QObject::connect(&socket, &QTcpSocket::readyRead, [&] {
        all += socket.readAll();
        if (all == "HTTP/1.1 100 Continue\r\n\r\n")
            socket.write("body");
    });
    QObject::connect(&socket, &QTcpSocket::disconnected, [&] { isClosed = true; });
    socket.connectToHost(QHostAddress::LocalHost, server.server.port());
    socket.write(
        "POST /c HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nConnection: close\r\nContent-Length: 4\r\n\r\n");
    spin(isClosed);
    CHECK(all.endsWith("/c|body"));
}

TEST_CASE("test_answer_to_head_has_no_body")
{
    counting_server server;
    const auto answer = server.send("HEAD /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    CHECK(answer.contains("Content-Length: 3"));
    CHECK(answer.endsWith("\r\n\r\n"));
}
