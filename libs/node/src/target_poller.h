// Provides the polling of target status. Each target is polled by only a few nodes.
#pragma once

#include "decide/order_system.h"
#include "decide/target_table.h"
#include "http/http_client.h"

#include <functional>
#include <set>
#include <string>

namespace tamarack {

/// The status that a target reported in response to a poll.
struct target_status {
    target_view view;
    load_report load;
    bool isLeaving = false;
    bool hasLoad = false;
};

/// Polls targets through an HTTP client, which must outlive it.
class target_poller {
public:
    using status_handler = std::function<void(const std::string& target, const target_status&)>;
    using no_status_handler = std::function<void(const std::string& target)>;

    /// `onNoStatus` is called when a poll fails, times out or returns an invalid status.
    target_poller(http_client& client, duration timeout, status_handler onStatus, no_status_handler onNoStatus);

    /// Polls the target, unless an earlier poll of it is still pending.
    void poll(const std::string& target, const endpoint& address);

private:
    void onResponse(const std::string& target, instant sentAt, const http_response* response);

    http_client& m_client;
    duration m_timeout;
    status_handler m_onStatus;
    no_status_handler m_onNoStatus;
    std::set<std::string> m_pendingTargets; // targets with a poll in flight
};

}
