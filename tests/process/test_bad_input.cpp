// Input that is not what it should be: a clear error or a counted drop, and the node goes on.
#include "process_fixture.h"

#include "peer/peer_messages.h"

#include <QTcpSocket>
#include <QUdpSocket>
#include <catch2/catch.hpp>

using namespace tamarack;
using namespace tamarack::test;

namespace {

/// Sends bytes and reads until the other end closes or is silent.
std::string exchangeRaw(const endpoint& peer, const std::string& bytes, bool halfOnly = false)
{
    QTcpSocket socket;
    socket.connectToHost(QString::fromStdString(peer.address), peer.port);
    if (!socket.waitForConnected(3000))
        return "no connection";
    socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
    socket.waitForBytesWritten(3000);
    if (halfOnly) {
        socket.abort();
        return {};
    }
    std::string answer;
    while (socket.waitForReadyRead(1500))
        answer += socket.readAll().toStdString();
    return answer;
}

std::string post(const std::string& path, const std::string& body, const std::string& headers = {})
{
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct bad_case {
    const char* name;
    std::string bytes;
    const char* status;
    const char* type;
};

}

TEST_CASE("test_process_bad_input_gets_a_clear_error")
{
    const auto run = startSmall("bad_input");
    const auto vm = run->vms().front();
    const auto node = run->callerAddress(vm);
    std::string flood;
    for (int i = 0; i < 2000; ++i)
        flood += "X-Flood-" + std::to_string(i) + ": y\r\n";
    const std::string completions = "/v1/completions";
    const std::vector<bad_case> cases {
        { "garbage", "\x01\x02\x03 what is this\r\n\r\n", "400", "bad-request" },
        { "header flood", "GET /v1/entries HTTP/1.1\r\n" + flood + "\r\n", "431", "header-too-large" },
        { "one huge header", "GET / HTTP/1.1\r\nX: " + std::string(100'000, 'a') + "\r\n\r\n", "431",
            "header-too-large" },
        { "huge body", "POST /v1/completions HTTP/1.1\r\nContent-Length: 999999999\r\n\r\n", "413", "body-too-large" },
        { "bad length", "POST /v1/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n", "400", "bad-request" },
        { "not JSON", post(completions, "{nonsense"), "400", "bad-request" },
        { "not an object", post(completions, "[1,2]"), "400", "bad-request" },
        { "no model", post(completions, "{\"prompt\":\"x\"}"), "400", "model" },
        { "wrong type", post(completions, "{\"model\":5,\"prompt\":\"x\"}"), "400", "model" },
        { "wrong max_tokens", post(completions, R"({"model":"jazyk-sumar","prompt":"x","max_tokens":-1})"), "400",
            "max_tokens" },
        { "no messages", post("/v1/chat/completions", R"({"model":"jazyk-sumar","messages":[{"content":1}]})"), "400",
            "messages[0]" },
        { "unknown model", post(completions, R"({"model":"other","prompt":"x"})"), "404", "unknown-service" },
        { "unknown service", post("/services/none/x", "{}"), "404", "unknown-service" },
        { "unknown path", post("/v2/what", "{}"), "404", "unknown-service" },
        { "wrong method", "GET /v1/completions HTTP/1.1\r\nConnection: close\r\n\r\n", "400", "bad-request" },
        { "bad deadline", post(completions, R"({"model":"jazyk-sumar","prompt":"x"})", "Tamarack-Deadline: soon\r\n"),
            "400", "Tamarack-Deadline" },
        { "bad depth", post(completions, R"({"model":"jazyk-sumar","prompt":"x"})", "Tamarack-Depth: 900\r\n"), "400",
            "Tamarack-Depth" },
        { "bad event id", post(completions, R"({"model":"jazyk-sumar","prompt":"x"})", "Last-Event-ID: x\r\n"), "400",
            "Last-Event-ID" },
        { "no key", post("/services/teren/reports", "{}"), "428", "home-required" },
        { "bad home", post("/services/teren/reports", "{}", "Idempotency-Key: k\r\nTamarack-Home: nobody\r\n"), "428",
            "home-required" },
    };
    for (const auto& item : cases) {
        const auto answer = exchangeRaw(node, item.bytes);
        INFO(item.name << ": " << answer.substr(0, 600));
        CHECK(answer.starts_with(std::string("HTTP/1.1 ") + item.status));
        CHECK(answer.find(item.type) != std::string::npos);
        CHECK(answer.find("\"ran\":\"no\"") != std::string::npos);
    }
    exchangeRaw(node, "POST /v1/completions HTTP/1.1\r\nContent-Length: 500\r\n\r\n{\"mod", true);

    SECTION("garbage on the peer ports is counted and dropped")
    {
        const auto peer = run->peerAddress(vm);
        const auto before = metricOf(*run, vm, "tamarack_peer_undecodable");
        QUdpSocket udp;
        for (const auto& bytes : { QByteArray("x"), QByteArray(1000, '\xff'), QByteArray(60, '\0') })
            udp.writeDatagram(bytes, QHostAddress(QString::fromStdString(peer.address)), peer.port);
        exchangeRaw(peer, std::string("\xff\xff\xff\xff", 4) + std::string(100, 'z'));
        exchangeRaw(peer, std::string("\x00\x00\x00\x05hello", 9));
        CHECK(waitUntil([&] { return metricOf(*run, vm, "tamarack_peer_undecodable") >= before + 5; }));
    }
    SECTION("a log record that does not decode is counted and passed over")
    {
        for (const char* record : { "garbage", "{}", R"({"kind":"order","writer":"a@1","sequence":1})",
                 R"({"kind":"of the future","writer":"a@1","sequence":2})", "[1,2,3]" })
            harness::call(run->platformAddress(), "POST", "/streams/tamarack/records", record);
        for (const auto& each : run->vms())
            CHECK(waitUntil([&] { return metricOf(*run, each, "tamarack_log_undecodable") >= 5; }));
    }
    SECTION("an answer above the bound is dropped, and said so")
    {
        const auto answer = harness::call(node, "POST", "/services/teren/large", "{}");
        REQUIRE(answer);
        CHECK(answer->status == 504);
        CHECK(answer->body.find("\"ran\":\"unknown\"") != std::string::npos);
        CHECK(metricOf(*run, vm, "tamarack_answers_too_large_total") >= 1);
    }
    harness::test_caller caller(callerAddresses(*run), 1);
    CHECK(caller.call(streamCall("still here")).end == call_end::whole);
    for (const auto& each : run->vms())
        CHECK(run->isRunning(each));
}
