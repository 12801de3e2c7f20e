// A node of the serving system: accepts callers' requests, routes them to registered targets and shares its view of the
// fleet with its peer nodes.
#pragma once

#include "gateway/caller_protocol.h"
#include "gateway/duty_protocol.h"
#include "gateway/gateway_settings.h"
#include "gateway/keyed_log.h"
#include "gateway/record_decoder.h"
#include "gateway/target_protocol.h"

#include <functional>
#include <memory>
#include <string>

namespace tamarack {

/// The protocol and store implementations that the gateway uses. They must outlive it.
struct gateway_ports {
    const caller_protocol& callers;
    const target_protocol& targets;
    const record_decoder& records;
    const duty_protocol& duties;
    keyed_log& store;
};

/// Not thread-safe: all calls and callbacks run on the event loop's thread.
class gateway {
public:
    /// `onStopped` is called once, when the drain has finished.
    gateway(gateway_settings settings, gateway_ports ports, http_client& client, std::function<void()> onStopped);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Starts listening and joins the system. Returns an empty string, or the reason for the failure.
    std::string start();
    /// Applies changed time bounds, seeds and limits. Listening addresses do not change.
    void reconfigure(const gateway_settings& settings);
    /// Shuts down gracefully: first removes the node from the entry addresses, then refuses new connections, then
    /// stops.
    void drain();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

}
