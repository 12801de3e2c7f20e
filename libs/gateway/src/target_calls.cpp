// Implements the calls to targets.
#include "target_calls.h"

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// As for attempts: a target in another availability zone accepts a connection within some milliseconds.
    constexpr duration connectTimeout = 150ms;
    /// A peer that has not answered a call gets no others for this time.
    constexpr duration lostPeerPause = 1s;

}

target_calls::target_calls(http_client& client, serving::dispatcher& decisions)
    : m_client(client)
    , m_decisions(decisions)
{
}

std::shared_ptr<http_exchange> target_calls::fetch(
    target_id target, http_request request, exchange_options options, handler done)
{
    options.connectTimeout = connectTimeout;
    const auto now = boot_clock::now();
    if (const auto* detour = m_decisions.paths().detourFor(target, now))
        return fetchByDetour(target, *detour, std::move(request), options, std::move(done));
    const auto& fleet = m_decisions.fleet();
    return m_client.fetch(parseEndpoint(fleet.address[target.value]), request, options,
        [this, now, instance = fleet.instance[target.value], done = std::move(done)](
            const http_response* response, const exchange_failure& failure) {
            learn(instance, response, failure, now);
            done(response, failure);
        });
}

void target_calls::learn(
    const std::string& instance, const http_response* response, const exchange_failure& failure, instant startedAt)
{
    const auto row = m_decisions.fleet().find(instance);
    if (!row.isValid())
        return;
    if (response)
        m_decisions.paths().reached(row, startedAt);
    else if (!failure.mayHaveReachedPeer)
        m_decisions.paths().failed(row,
            failure.timedOut ? serving::path_failure::silent : serving::path_failure::refused, startedAt,
            boot_clock::now());
}

std::shared_ptr<http_exchange> target_calls::fetchByDetour(target_id target, const serving::detour_peer& detour,
    http_request request, const exchange_options& options, handler done)
{
    const auto& instance = m_decisions.fleet().instance[target.value];
    return m_client.fetch(parseEndpoint(detour.address),
        encodeDetourCall(std::move(request), { instance, detour.key, {}, options.maxIdleTime }), options,
        [this, instance, vm = detour.vm, done = std::move(done)](
            const http_response* response, const exchange_failure& failure) {
            const auto answer = response ? decodeDetourAnswer({ response->status, response->headers }) : std::nullopt;
            if (answer && answer->outcome == detour_outcome::answered) {
                const http_response passed { answer->head.status, answer->head.headers, response->body };
                return done(&passed, {});
            }
            if (answer)
                learnFromPeer(instance, vm, *answer);
            else
                m_decisions.paths().peerFailed(vm, lostPeerPause, boot_clock::now());
            const bool mayHaveReached
                = answer ? answer->outcome == detour_outcome::broken : response || failure.mayHaveReachedPeer;
            done(nullptr, { mayHaveReached, failure.timedOut, "the detour by " + vm + " failed", false });
        });
}

void target_calls::learnFromPeer(const std::string& instance, const std::string& vm, const detour_answer& answer)
{
    const auto now = boot_clock::now();
    const auto row = m_decisions.fleet().find(instance);
    if (!row.isValid())
        return;
    if (answer.outcome == detour_outcome::resting)
        m_decisions.targetAskedForRest(row, answer.rest, now);
    if (answer.outcome == detour_outcome::leaving)
        m_decisions.targetLeaves(instance);
    if (answer.outcome != detour_outcome::broken)
        m_decisions.paths().detourFailed(row, vm, now);
}

}
