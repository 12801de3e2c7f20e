// Measures time and memory of the decision and peer code by table size, up to the deployment size expected in two
// years.
#include "decide/account_limiter.h"
#include "decide/control_system.h"
#include "decide/key_registry.h"
#include "decide/membership.h"
#include "decide/traffic_system.h"
#include "peer/peer_messages.h"
#include "platform/record_codec.h"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>

namespace {

using namespace tamarack;

/// Resident memory of this process in MB.
double residentMegabytes()
{
    std::ifstream statm("/proc/self/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    return resident * 4096 / 1e6;
}

/// Runs `action` `times` times and returns the mean duration in microseconds.
template <class Action> double microsecondsEach(int times, Action action)
{
    const auto from = std::chrono::steady_clock::now();
    for (int i = 0; i < times; ++i)
        action(i);
    const auto elapsed = std::chrono::steady_clock::now() - from;
    return std::chrono::duration<double, std::micro>(elapsed).count() / times;
}

std::shared_ptr<deployment> deploymentOf(int engines, int models)
{
    auto config = std::make_shared<deployment>();
    config->name = "large";
    config->availabilityZones = { "z1", "z2", "z3", "z4", "z5" };
    config->policy.accountRequestsPerSecond = 1e9;
    config->policy.accountBurst = 1e9;
    for (int m = 0; m < models; ++m) {
        service_entry service;
        service.name = "model-" + std::to_string(m);
        service.kind = service_kind::engine;
        service.model = service.name;
        service.slots = 128;
        for (int i = 0; i < engines / models; ++i) {
            const auto zone = config->availabilityZones[static_cast<std::size_t>(i) % 5];
            service.targets.push_back({ service.name + "-runner-" + std::to_string(i), "10.0.0.1:1", zone });
        }
        config->services.push_back(std::move(service));
    }
    return config;
}

void measureDecisions(int engines, int models)
{
    traffic_system traffic("vm", "z1", 1);
    traffic_commands commands;
    const instant start(fromSeconds(1000));
    traffic.configure(deploymentOf(engines, models), start, commands);
    request_shape shape;
    shape.promptTokens = 1000;
    shape.outputTokens = 100;
    constexpr int times = 200'000;
    const double microsecondsPerCall = microsecondsEach(times, [&](int i) {
        commands.clear();
        shape.service = { static_cast<std::uint32_t>(i % models) };
        shape.prefixHash = static_cast<std::uint64_t>(i) * 7919;
        shape.account = static_cast<std::uint64_t>(i % 15'000);
        const instant now = start + std::chrono::microseconds(185 * i);
        const auto id = traffic.admit(shape, now, commands);
        const auto* started = std::get_if<start_attempt>(&commands.back());
        if (!started)
            return;
        const auto attempt = started->attempt;
        commands.clear();
        traffic.attemptEnded(id, attempt, attempt_result::answered, now, commands);
    });
    const double tick = microsecondsEach(1000, [&](int i) {
        commands.clear();
        traffic.tick(start + std::chrono::milliseconds(i), commands);
    });
    std::printf("%4d engines, %2d models: %.2f us per request (admit, route, end), %.1f us per tick\n", engines, models,
        microsecondsPerCall, tick);
}

peer_state peerNumber(int i)
{
    peer_state state;
    state.instance = { "entry-zone-" + std::to_string(i % 5) + "-" + std::to_string(i), 1796234266630ULL };
    state.region = "region";
    state.availabilityZone = "z" + std::to_string(i % 5 + 1);
    state.address = "10.0.0." + std::to_string(i % 250);
    state.callerPort = 8080;
    state.peerPort = 8081;
    state.isReady = true;
    state.configurationVersion = 1;
    return state;
}

void measurePeers(int nodes)
{
    membership members("self", {}, 1);
    const instant now(fromSeconds(1000));
    for (int i = 0; i < nodes; ++i)
        members.applyHeartbeat(peerNumber(i), now);
    heartbeat message;
    message.sender = peerNumber(1);
    for (std::uint32_t i = 0; i < 48; ++i)
        message.loads.push_back({ i, 1, 1, 1, 1 });
    for (std::uint32_t i = 0; i < 15; ++i)
        message.demands.push_back({ i, 1, 1, 1 });
    const auto bytes = encodeHeartbeat(message);
    const double encode = microsecondsEach(20'000, [&](int) { encodeHeartbeat(message); });
    const double apply = microsecondsEach(20'000, [&](int i) {
        const auto read = decodeHeartbeat(bytes);
        members.applyHeartbeat(read->sender, now + std::chrono::milliseconds(i));
    });
    const double selectRecipients = microsecondsEach(2'000, [&](int) { members.heartbeatRecipients(now); });
    const double alive = microsecondsEach(2'000, [&](int) { members.alive(now); });
    std::printf(
        "%4d nodes: heartbeat %zu bytes, encode %.1f us, decode and apply %.1f us, recipients %.1f us, alive %.1f us\n",
        nodes, bytes.size(), encode, apply, selectRecipients, alive);
}

void measureControl(int nodes, int engines, int models)
{
    control_system control({ { "self", 1 }, "region", "z1" }, {}, instant(fromSeconds(1000)));
    instant now(fromSeconds(1000));
    decoded_page page { { 0 }, { engines + 1 }, {} };
    std::string text = "{\"deployment\":\"d\",\"region\":\"region\",\"availability_zones\":[\"z1\"],\"services\":[";
    for (int m = 0; m < models; ++m) {
        text += std::string(m ? "," : "") + "{\"name\":\"m" + std::to_string(m)
            + "\",\"kind\":\"engine\",\"model\":\"m\",\"targets\":[";
        for (int i = 0; i < engines / models; ++i) {
            const auto number = std::to_string(m * 1000 + i);
            text += std::string(i ? "," : "") + "{\"name\":\"r" + number
                + "\",\"address\":\"10.0.0.1:" + std::to_string(m * 1000 + i + 1) + "\",\"availability_zone\":\"z1\"}";
        }
        text += "]}";
    }
    text += "]}";
    page.items.push_back({ { 0 }, log_record { { 0 }, { { "op", 1 }, 1 }, publication_record { 0, text, "op" } } });
    page.end = { 1 };
    control.onLogPage(page, now);
    const double parse = microsecondsEach(1, [&](int) { control.tick(now); });
    for (int i = 0; i < nodes; ++i)
        control.onPeerHeartbeat(peerNumber(i), now);
    for (int m = 0; m < models; ++m) {
        for (int i = 0; i < engines / models; ++i) {
            target_view view;
            view.isKnown = true;
            control.onTargetView("r" + std::to_string(m * 1000 + i), view);
        }
    }
    const double tick = microsecondsEach(200, [&](int) {
        now += std::chrono::milliseconds(50);
        control.tick(now);
    });
    std::printf(
        "%4d nodes, %d engines, %d models: control tick %.0f us, new text of %zu bytes parsed and checked in %.0f us\n",
        nodes, engines, models, tick, text.size(), parse);
    const auto snapshot = encodeRecord({ { "self", 1 }, 1 }, snapshot_record { control.replicated().data() });
    std::printf("      snapshot record %zu bytes\n", snapshot.size());
}

void measureAccounts(int accounts)
{
    const double before = residentMegabytes();
    account_limiter limiter(16'384);
    const instant now(fromSeconds(1000));
    const double microsecondsPerCall = microsecondsEach(500'000, [&](int i) {
        limiter.take(
            static_cast<std::uint64_t>(i % accounts) * 0x9e3779b97f4a7c15ULL, now + std::chrono::microseconds(i));
    });
    std::printf(
        "%d accounts: %.3f us per request, %.2f MB\n", accounts, microsecondsPerCall, residentMegabytes() - before);
}

void measureKeys(int keys)
{
    const double before = residentMegabytes();
    key_registry registry({ "self", 1 }, std::chrono::seconds(600));
    const instant now(fromSeconds(1000));
    const auto home = registry.issue(now);
    const double microsecondsPerCall = microsecondsEach(keys, [&](int i) {
        const auto key = "app/key-" + std::to_string(i);
        registry.onRequest(key, home, now);
        registry.onAnswer(key, std::string(200, 'x'), now);
    });
    const double sweep = microsecondsEach(1, [&](int) { registry.tick(now + std::chrono::seconds(60)); });
    std::printf("%d keys with answers of 200 bytes: %.2f us each, %.1f MB, sweep %.0f us\n", keys, microsecondsPerCall,
        residentMegabytes() - before, sweep);
}

}

int main()
{
    for (const auto& [engines, models] :
        { std::pair { 20, 1 }, std::pair { 200, 5 }, std::pair { 600, 15 }, std::pair { 600, 1 } })
        measureDecisions(engines, models);
    for (const int nodes : { 9, 100, 390 })
        measurePeers(nodes);
    measureControl(9, 20, 1);
    measureControl(100, 200, 5);
    measureControl(390, 600, 15);
    measureAccounts(15'000);
    measureKeys(10'000);
    measureKeys(100'000);
    return 0;
}
