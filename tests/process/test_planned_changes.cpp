// Planned changes under load: none cuts a request.
#include "process_fixture.h"

#include <QTcpSocket>
#include <arpa/inet.h>
#include <array>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace tamarack;
using namespace tamarack::test;

namespace {

/// Callers that keep some streams and calls open until they are told to stop.
class steady_load {
public:
    steady_load(const deployment_run& run, int parallel)
        : m_caller(callerAddresses(run), 11)
    {
        for (int i = 0; i < parallel; ++i)
            next();
    }

    /// Waits for what is open.
    void stop()
    {
        m_isStopping = true;
        waitUntil([&] { return m_caller.pending() == 0; }, std::chrono::seconds(60));
    }

    int ends(call_end end) const { return m_ends[static_cast<std::size_t>(end)]; }
    int resumes() const { return m_resumes; }

private:
    void next()
    {
        if (m_isStopping)
            return;
        const int number = m_number++;
        auto spec = streamCall("steady " + std::to_string(number), 60);
        if (number % 4 == 0)
            spec = reportCall("steady-" + std::to_string(number));
        m_caller.send(spec, [this](const harness::call_result& result) {
            ++m_ends[static_cast<std::size_t>(result.end)];
            m_resumes += result.resumes;
            next();
        });
    }

    harness::test_caller m_caller;
    std::array<int, static_cast<std::size_t>(call_end::count)> m_ends {};
    int m_number = 0;
    int m_resumes = 0;
    bool m_isStopping = false;
};

int cutByChanges(const deployment_run& run)
{
    int cut = 0;
    for (const auto& target : run.targetsOf("jazyk"))
        cut += run.targetStatus(target).value("cut_by_change", 0);
    return cut;
}

/// A caller whose kernel holds little of an answer that it does not read.
class slow_reader {
public:
    explicit slow_reader(const endpoint& node)
        : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        constexpr int receiveBytes = 4096;
        setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(node.port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::connect(m_descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    }
    ~slow_reader() { ::close(m_descriptor); }
    slow_reader(const slow_reader&) = delete;
    slow_reader& operator=(const slow_reader&) = delete;

    void send(const std::string& bytes) const
    {
        REQUIRE(::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    }
    bool hasBytes() const
    {
        char first = 0;
        return ::recv(m_descriptor, &first, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    }
    std::string readToEnd() const
    {
        std::string all;
        std::array<char, 65536> buffer {};
        for (ssize_t count = 1; count > 0;) {
            count = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
            all.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        }
        return all;
    }

private:
    int m_descriptor;
};

std::string rawCall(const std::string& path)
{
    return "POST /services/teren" + path + " HTTP/1.1\r\nHost: node\r\nContent-Length: 2\r\n\r\n{}";
}

void checkNothingLost(const steady_load& load)
{
    CHECK(load.ends(call_end::lost) == 0);
    CHECK(load.ends(call_end::wrong) == 0);
    CHECK(load.ends(call_end::unknown) == 0);
    CHECK(load.ends(call_end::refused) == 0);
    CHECK(load.ends(call_end::whole) > 0);
}

}

TEST_CASE("test_process_rolling_replacement_of_all_nodes_cuts_nothing")
{
    // Symptom: streams break whenever a node is replaced.
    // Sequence: each node is told to stop while it holds streams, and callers still hold its address.
    // Cause: it closed before its callers could know, or before its streams had ended.
    const auto run = startSmall("rolling");
    steady_load load(*run, 8);
    for (const auto& vm : run->vms()) {
        run->terminate(vm);
        REQUIRE(waitUntil([&] { return !run->isRunning(vm); }, std::chrono::seconds(60)));
        run->startNode(vm);
        REQUIRE(waitUntil([&] { return run->isReady(vm); }));
    }
    load.stop();
    checkNothingLost(load);
    CHECK(load.resumes() == 0);
}

TEST_CASE("test_process_planned_stop_announces_the_close_of_kept_connections")
{
    // Guards against requests that cross the close of a kept connection, since no answer announced it.
    const auto run = startSmall("stop_announced");
    const auto vm = run->vms().front();
    const auto node = run->callerAddress(vm);
    QTcpSocket used;
    QTcpSocket waiting;
    QByteArray received;
    for (auto* socket : { &used, &waiting })
        socket->connectToHost(QHostAddress::LocalHost, node.port);
    QObject::connect(&used, &QTcpSocket::readyRead, [&] { received += used.readAll(); });
    used.write(rawCall("/valves").c_str());
    REQUIRE(waitUntil([&] { return received.endsWith("}"); }));
    CHECK_FALSE(received.contains("Connection: close"));
    received.clear();
    run->terminate(vm);
    REQUIRE(waitUntil([&] { return run->status(vm).value("state", "") == "stopping"; }));
    used.write(rawCall("/valves").c_str());
    REQUIRE(waitUntil([&] { return received.endsWith("}"); }));
    CHECK(received.startsWith("HTTP/1.1 200"));
    CHECK(received.contains("Connection: close"));
    REQUIRE(waitUntil([&] { return waiting.state() == QAbstractSocket::UnconnectedState; }));
    CHECK(waiting.error() == QAbstractSocket::RemoteHostClosedError);
    REQUIRE(waitUntil([&] { return !run->isRunning(vm); }, std::chrono::seconds(20)));
}

TEST_CASE("test_process_planned_stop_sends_the_whole_answer_to_a_caller_that_reads_slowly")
{
    // Guards against an exit that discards the part of an answer which the caller has not read yet.
    const auto run = startSmall("stop_slow_reader");
    const auto vm = run->vms().front();
    const slow_reader caller(run->callerAddress(vm));
    caller.send(rawCall("/long"));
    REQUIRE(waitUntil([&] { return caller.hasBytes(); }));
    REQUIRE(waitUntil([&] { return run->status(vm)["requests"].value("held", 1) == 0; }));
    run->terminate(vm);
    waitUntil([&] { return !run->isRunning(vm); }, std::chrono::seconds(5));
    const auto answer = caller.readToEnd();
    const auto bodyAt = answer.find("\r\n\r\n") + 4;
    const auto lengthAt = answer.find("Content-Length: ");
    REQUIRE(lengthAt < bodyAt);
    CHECK(answer.size() - bodyAt == std::stoul(answer.substr(lengthAt + 16)));
    CHECK(waitUntil([&] { return !run->isRunning(vm); }, std::chrono::seconds(20)));
}

TEST_CASE("test_process_planned_stop_answers_a_call_that_waits_for_its_home")
{
    // Guards against an exit that ends a call without an answer while another node is asked whether it may run.
    const auto run = startSmall("stop_asked_home");
    const auto home = run->vms()[0];
    const auto stopping = run->vms()[1];
    const auto entries = harness::call(run->callerAddress(home), "GET", "/v1/entries");
    REQUIRE(entries);
    http_request request { "POST", "/services/teren/reports", {}, "{}" };
    request.headers.set("Idempotency-Key", "asked");
    request.headers.set("Tamarack-Home", std::string(entries->headers.find("tamarack-home")));
    run->freeze(home);
    run->terminate(stopping);
    REQUIRE(waitUntil([&] { return run->status(stopping).value("state", "") == "stopping"; }));
    http_client client;
    int status = 0;
    client.fetch(run->callerAddress(stopping), request, {},
        [&](const http_response* response, const exchange_failure&) { status = response ? response->status : -1; });
    REQUIRE(waitUntil([&] { return status != 0; }));
    CHECK(status == answerFor(error_kind::outcome_unknown).status);
    run->thaw(home);
    CHECK(waitUntil([&] { return !run->isRunning(stopping); }, std::chrono::seconds(20)));
    CHECK(runsOf(*run, "asked") == 0);
}

TEST_CASE("test_process_version_change_cuts_nothing")
{
    // Symptom: streams break when engines load a new version.
    // Sequence: an order reaches an engine that still writes answers.
    // Cause: the order was sent before the engine had finished what it held.
    const auto run = startSmall("version");
    steady_load load(*run, 6);
    REQUIRE(run->publish({ { "services", { { "jazyk", { { "version", "2026.12" } } } } } }) == 0);
    REQUIRE(waitUntil(
        [&] {
            for (const auto& target : run->targetsOf("jazyk")) {
                if (run->targetStatus(target).value("version", "") != "2026.12")
                    return false;
            }
            return true;
        },
        std::chrono::seconds(90)));
    load.stop();
    checkNothingLost(load);
    CHECK(load.resumes() == 0);
    CHECK(cutByChanges(*run) == 0);
}

TEST_CASE("test_process_role_change_cuts_nothing")
{
    // Symptom: streams break when an engine changes its role.
    // Sequence and cause as for versions; here both kinds of order go to the same engines.
    const auto run = startSmall("role_change");
    steady_load load(*run, 6);
    REQUIRE(
        run->publish({ { "services",
            { { "jazyk", { { "prefill_targets", 1 }, { "decode_targets", 1 }, { "adapters", { "hydrant" } } } } } } })
        == 0);
    const auto count = [&](const char* field, const std::string& value) {
        int found = 0;
        for (const auto& target : run->targetsOf("jazyk"))
            found += run->targetStatus(target).value(field, "") == value;
        return found;
    };
    REQUIRE(waitUntil(
        [&] {
            return count("role", "prefill") == 1 && count("role", "decode") == 1 && count("adapter", "hydrant") == 3;
        },
        std::chrono::seconds(90)));
    load.stop();
    checkNothingLost(load);
    CHECK(load.resumes() == 0);
    CHECK(cutByChanges(*run) == 0);
}

TEST_CASE("test_process_configuration_change_cuts_nothing")
{
    const auto run = startSmall("configuration_change");
    steady_load load(*run, 6);
    for (int i = 0; i < 3; ++i)
        REQUIRE(run->publish({ { "policy", { { "default_deadline", 40 + i } } } }) == 0);
    REQUIRE(waitUntil([&] { return run->status(run->vms().back()).value("served_version", 0) == 4; }));
    load.stop();
    checkNothingLost(load);
    CHECK(load.resumes() == 0);
}

TEST_CASE("test_process_leaving_target_gets_no_new_work")
{
    // Symptom: requests break when a target's VM goes away although its leaving was announced.
    // Sequence: the VM list says so late, or is down and the target says so itself.
    // Cause: only one of the two was believed.
    const auto run = startSmall("leaving");
    steady_load load(*run, 6);
    const auto engines = run->targetsOf("jazyk");
    const auto takesWork = [&](const std::string& name) {
        for (const auto& vm : run->vms()) {
            const auto status = run->status(vm);
            for (const auto& target : status["targets"]) {
                if (target["target"] == name && target["takes_work"].get<bool>())
                    return true;
            }
        }
        return false;
    };
    SECTION("by the VM list")
    {
        run->listVms({ engines[0] });
        REQUIRE(waitUntil([&] { return !takesWork(engines[0]); }));
    }
    SECTION("by its own word, the VM list being down")
    {
        harness::callJson(run->platformAddress(), "POST", "/fault", { { "vm_list", "down" } });
        harness::callJson(run->targetAddress(engines[0]), "POST", "/fault", { { "leaving", true } });
        REQUIRE(waitUntil([&] { return !takesWork(engines[0]); }));
        const int before = run->targetStatus(engines[0]).value("work_after_leaving", 0);
        REQUIRE(waitUntil([&] { return load.ends(call_end::whole) > 30; }));
        CHECK(run->targetStatus(engines[0]).value("work_after_leaving", 0) == before);
    }
    REQUIRE(waitUntil([&] { return run->targetStatus(engines[0]).value("running", 1) == 0; }));
    load.stop();
    checkNothingLost(load);
}
