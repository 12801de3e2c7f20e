// Provides at-most-once execution of non-idempotent requests: consults the home node of an idempotency key, joins a run
// that is in progress, and replays stored answers.
#pragma once

#include "decide/key_registry.h"
#include "decide/membership.h"
#include "http/http_server.h"
#include "observe/metrics.h"
#include "peer/peer_transport.h"
#include "relay.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tamarack {

/// Decides for each keyed request whether this node runs it. The referenced objects must outlive it.
class idempotency_handler {
public:
    idempotency_handler(
        key_registry& keys, peer_transport& peers, const membership& members, metrics& counters, duration timeout);

    /// Calls `run` if this node is to run the request, either at once or after the home node has delegated the key to
    /// it. Otherwise the caller receives a stored answer, the answer of a run in progress, or an error.
    void admit(const std::string& key, const std::string& home, std::shared_ptr<response_writer> caller,
        std::function<void()> run);
    /// Records the outcome of a request that admit() ran, and answers the callers and peers that wait for it.
    void onRequestFinished(const std::string& key, const relay::outcome& outcome);
    /// Answers a request of a peer about a key whose home is this node.
    void onPeerRequest(const peer_request& request, peer_transport::reply_sender reply);
    /// Expires stored keys; called periodically.
    void tick(instant now) { m_keys.tick(now); }
    /// Returns the current value of the `Tamarack-Home` header.
    std::string homeHeader() const;
    const instance_id& self() const { return m_keys.self(); }

private:
    void askHome(const std::string& key, const key_home& home, std::shared_ptr<response_writer> caller,
        std::function<void()> run);
    void applyDecision(const std::string& key, const key_answer& answer, const std::shared_ptr<response_writer>& caller,
        const std::function<void()>& run);
    void refuse(const std::shared_ptr<response_writer>& caller, error_kind kind, std::string_view detail,
        const std::string& extra = {});

    struct waiting_peer {
        peer_request request;
        peer_transport::reply_sender reply;
    };

    key_registry& m_keys;
    peer_transport& m_peers;
    const membership& m_members;
    metrics& m_counters;
    duration m_timeout;
    // Callers waiting for a run on this node, by key.
    std::map<std::string, std::vector<std::shared_ptr<response_writer>>> m_joinedCallers;
    // Peers waiting for a run on this node, by key.
    std::map<std::string, std::vector<waiting_peer>> m_waitingPeers;
};

}
