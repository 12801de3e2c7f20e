// Asks targets for their status, each from few nodes, and hands on what they say.
#pragma once

#include "decide/order_system.h"
#include "decide/target_table.h"
#include "http/http_client.h"

#include <functional>
#include <set>
#include <string>

namespace tamarack {

/// A target's own answer.
struct target_status {
    target_view view;
    load_report load;
    bool isLeaving = false;
    bool hasLoad = false;
};

class target_poller {
public:
    using status_handler = std::function<void(const std::string& target, const target_status&)>;
    using silence_handler = std::function<void(const std::string& target)>;

    target_poller(http_client& client, duration timeout, status_handler onStatus, silence_handler onSilence);

    /// Asks now, unless an answer from this target is still awaited.
    void poll(const std::string& target, const endpoint& address);

private:
    void answered(const std::string& target, instant askedAt, const http_response* response);

    http_client& m_client;
    duration m_timeout;
    status_handler m_onStatus;
    silence_handler m_onSilence;
    std::set<std::string> m_awaited;
};

}
