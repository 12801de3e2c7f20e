// Handles requests that may run at most once: asks the key's home, waits for runs under way, replays kept answers.
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

class idempotency_handler {
public:
    idempotency_handler(
        key_registry& keys, peer_transport& peers, const membership& members, metrics& counters, duration timeout);

    /// `run` is called if this node is to run the request, now or after its home agreed; otherwise the caller is
    /// answered.
    void admit(const std::string& key, const std::string& home, std::shared_ptr<response_writer> caller,
        std::function<void()> run);
    /// The request that admit() let run has ended.
    void finished(const std::string& key, const relay::outcome& outcome);
    /// Another node asks about a key whose home this is.
    void asked(const peer_request& request, peer_transport::reply_sender reply);
    void tick(instant now) { m_keys.tick(now); }
    /// The home to name to callers now.
    std::string homeHeader() const;
    const instance_id& self() const { return m_keys.self(); }

private:
    void askHome(const std::string& key, const key_home& home, std::shared_ptr<response_writer> caller,
        std::function<void()> run);
    void follow(const std::string& key, const key_answer& answer, const std::shared_ptr<response_writer>& caller,
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
    std::map<std::string, std::vector<std::shared_ptr<response_writer>>> m_joined; // callers waiting for a run here
    std::map<std::string, std::vector<waiting_peer>> m_waitingPeers; // nodes waiting for a run here
};

}
