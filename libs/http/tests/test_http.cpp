// Tests of the event splitter, and of the HTTP client and server with each other and with misbehaving peers.
#include "http/event_stream.h"
#include "http/http_client.h"
#include "http/http_server.h"

#include "http_fixture.h"

using namespace tamarack;
using namespace tamarack::tests;

TEST_CASE("test_events_are_split_without_changing_a_byte")
{
    const std::string stream = "id: 0\ndata: {\"a\":1}\n\n: comment\n\nid: 1\ndata: x\n\ndata: [DONE]\n\n";
    for (std::size_t part = 1; part < stream.size(); ++part) {
        event_splitter splitter;
        std::string joined;
        std::vector<std::uint64_t> ids;
        int comments = 0;
        const auto onEvent = [&](const stream_event& event) {
            joined += event.bytes;
            comments += event.isComment;
            if (event.id)
                ids.push_back(*event.id);
        };
        for (std::size_t at = 0; at < stream.size(); at += part)
            REQUIRE(splitter.feed(std::string_view(stream).substr(at, part), onEvent));
        CHECK(joined == stream);
        CHECK(ids == std::vector<std::uint64_t> { 0, 1 });
        CHECK(comments == 1);
        CHECK_FALSE(splitter.hasPartial());
    }
}

TEST_CASE("test_event_above_its_limit_ends_the_splitting")
{
    // Guards against a target whose event never ends making a node hold all that it sends.
    for (const std::size_t part : { 1, 3, 1000 }) {
        INFO(part);
        event_splitter splitter(20);
        int events = 0;
        const auto feed = [&](std::string_view bytes) {
            bool isGood = true;
            for (std::size_t at = 0; at < bytes.size() && isGood; at += part)
                isGood = splitter.feed(bytes.substr(at, part), [&](const stream_event&) { ++events; });
            return isGood;
        };
        CHECK(feed("data: 12345678901a\n\ndata: 12345678901b\n\n"));
        CHECK(events == 2);
        CHECK_FALSE(feed("data: c\n\ndata: 1234567890abc\n\ndata: d\n\n"));
        CHECK(events == 3);
        CHECK(splitter.pendingBytes() <= 20 + part);
        splitter.reset();
        CHECK(feed("data: e\n\n"));
        CHECK(events == 4);
    }
}

TEST_CASE("test_request_is_sent_once_when_the_peer_closes_without_answer")
{
    // Guards against a target executing a request twice that its caller sent once. This happens if the peer reads the
    // request and closes without a response, and the client library then resends the request by itself.
    http_client client;
    raw_peer peer("");
    const auto result = fetch(client, peer.address());
    CHECK_FALSE(result.isComplete);
    CHECK(result.failure.mayHaveReachedPeer);
    CHECK(peer.requests == 1);
}

TEST_CASE("test_request_to_an_unreachable_peer_is_known_to_be_undelivered")
{
    http_client client;
    endpoint closedPort;
    {
        raw_peer peer("");
        closedPort = peer.address();
    }
    const auto result = fetch(client, closedPort);
    CHECK_FALSE(result.isComplete);
    CHECK_FALSE(result.failure.mayHaveReachedPeer);
}

TEST_CASE("test_incomplete_or_malformed_answers_are_failures")
{
    const char* const answers[] {
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "this is not HTTP\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
    };
    http_client client;
    for (const char* answer : answers) {
        raw_peer peer(answer);
        INFO(answer);
        CHECK_FALSE(fetch(client, peer.address()).isComplete);
    }
    raw_peer whole("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
    CHECK(fetch(client, whole.address()).response.body == "whole");
}

TEST_CASE("test_silent_peer_times_out")
{
    QTcpServer silent;
    silent.listen(QHostAddress::LocalHost, 0);
    http_client client;
    exchange_options options;
    options.silenceTimeout = std::chrono::milliseconds(50);
    const auto result = fetch(client, { "127.0.0.1", silent.serverPort() }, options);
    CHECK(result.failure.timedOut);
}

TEST_CASE("test_handler_may_cancel_its_own_exchange")
{
    // Guards against a crash of the node, or a caller that waits forever, after the relay has rejected a response. The
    // head shows that the response belongs to another request, so the handler cancels the exchange and continues. The
    // cancellation must not destroy the handler that is running.
    http_client client;
    raw_peer peer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
    bool isDone = false;
    std::shared_ptr<http_exchange> exchange;
    std::string note = "a string too long to be kept inside of the closure object itself";
    exchange_handlers handlers;
    handlers.onHead = [&, note](const http_response_head&) {
        exchange->cancel();
        isDone = note.size() > 20;
    };
    handlers.onEnd = [] { FAIL("a cancelled exchange does not end"); };
    exchange = client.start(peer.address(), { "GET", "/", {}, "" }, {}, std::move(handlers));
    spin(isDone);
}

TEST_CASE("test_writes_after_the_caller_has_disconnected_are_safe")
{
    std::shared_ptr<response_writer> savedWriter;
    bool isDisconnected = false;
    http_server server(
        {},
        [&](http_request, std::shared_ptr<response_writer> caller) {
            savedWriter = caller;
            caller->startStream({ 200, {} });
            caller->write("first");
            caller->onClosed = [&] { isDisconnected = true; };
        },
        [](error_kind, std::string_view) { return http_response {}; });
    REQUIRE(server.listen(QHostAddress::LocalHost, 0));
    http_client client;
    std::shared_ptr<http_exchange> exchange;
    exchange_handlers handlers;
    handlers.onBody = [&](std::string_view) { exchange->cancel(); };
    exchange = client.start({ "127.0.0.1", server.port() }, { "GET", "/", {}, "" }, {}, std::move(handlers));
    spin(isDisconnected);
    savedWriter->write("second");
    savedWriter->finish();
    savedWriter->abort();
    CHECK_FALSE(savedWriter->isOpen());
}

TEST_CASE("test_requests_on_one_connection_are_answered_in_order")
{
    std::vector<std::shared_ptr<response_writer>> waiting;
    http_server server(
        {},
        [&](http_request request, std::shared_ptr<response_writer> caller) {
            http_response answer;
            answer.body = request.target;
            caller->sendWhole(answer);
        },
        [](error_kind, std::string_view) {
            return http_response { 400, {}, {} };
        });
    REQUIRE(server.listen(QHostAddress::LocalHost, 0));
    QTcpSocket socket;
    socket.connectToHost(QHostAddress::LocalHost, server.port());
    socket.write("GET /one HTTP/1.1\r\n\r\nGET /two HTTP/1.1\r\n\r\nGET /three HTTP/1.1\r\nConnection: close\r\n\r\n");
    QByteArray all;
    bool isClosed = false;
    QObject::connect(&socket, &QTcpSocket::readyRead, [&] { all += socket.readAll(); });
    QObject::connect(&socket, &QTcpSocket::disconnected, [&] { isClosed = true; });
    spin(isClosed);
    CHECK(all.indexOf("/one") < all.indexOf("/two"));
    CHECK(all.indexOf("/two") < all.indexOf("/three"));
}
