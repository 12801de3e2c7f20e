// A node before registered targets: takes callers' requests, places them, and shares what it knows with its peers.
#pragma once

#include "gateway/caller_protocol.h"
#include "gateway/gateway_settings.h"
#include "gateway/keyed_log.h"
#include "gateway/record_decoder.h"
#include "gateway/target_protocol.h"

#include <functional>
#include <memory>
#include <string>

namespace tamarack {

/// The implementations of the gateway's ports; they outlive it.
struct gateway_ports {
    const caller_protocol& callers;
    const target_protocol& targets;
    const record_decoder& records;
    keyed_log& store;
};

/// Threading: everything happens on the event loop's thread.
class gateway {
public:
    /// `onStopped` is called once, after a drain.
    gateway(gateway_settings settings, gateway_ports ports, http_client& client, std::function<void()> onStopped);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Empty, or why it cannot start.
    std::string start();
    /// Takes bounds, seeds and limits that have changed; where it listens stays as it is.
    void reconfigure(const gateway_settings& settings);
    /// Leaves gracefully: out of the entry addresses first, then no new connections, then the end.
    void drain();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

}
