// Implements the polling of target status over HTTP.
#include "target_poller.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace tamarack {

namespace {

    using nlohmann::json;

    std::optional<target_status> parseStatus(const std::string& body, instant sentAt)
    {
        const json root = json::parse(body, nullptr, false);
        if (!root.is_object())
            return std::nullopt;
        try {
            target_status status;
            status.view.isKnown = true;
            status.view.requestedAt = sentAt;
            status.view.incarnation = root.at("incarnation");
            status.view.isChanging = root.value("changing", false);
            status.view.running = root.value("running", 0);
            status.view.lastOrder = root.value("last_order", std::int64_t(-1));
            status.isLeaving = root.value("leaving", false);
            for (const auto kind : { order_kind::role, order_kind::model, order_kind::version, order_kind::adapter }) {
                const std::string name(toString(kind));
                if (root.contains(name))
                    status.view.settings[kind] = root[name].get<std::string>();
            }
            status.hasLoad = root.contains("load");
            if (status.hasLoad) {
                const auto& load = root["load"];
                status.load.running = load.at("running");
                status.load.prefillTokens = load.at("prefill_tokens");
                status.load.measuredAt = sentAt - std::chrono::milliseconds(load.value("age_ms", 0));
            }
            return status;
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }

}

target_poller::target_poller(
    http_client& client, duration timeout, status_handler onStatus, no_status_handler onNoStatus)
    : m_client(client)
    , m_timeout(timeout)
    , m_onStatus(std::move(onStatus))
    , m_onNoStatus(std::move(onNoStatus))
{
}

void target_poller::poll(const std::string& target, const endpoint& address)
{
    if (!m_pendingTargets.insert(target).second)
        return;
    http_request request;
    request.method = "GET";
    request.target = "/control/status";
    exchange_options options;
    options.connectTimeout = m_timeout;
    options.silenceTimeout = m_timeout;
    const instant sentAt = boot_clock::now();
    m_client.fetch(
        address, request, options, [this, target, sentAt](const http_response* response, const exchange_failure&) {
            onResponse(target, sentAt, response);
        });
}

void target_poller::onResponse(const std::string& target, instant sentAt, const http_response* response)
{
    m_pendingTargets.erase(target);
    const auto status = response && response->status == 200 ? parseStatus(response->body, sentAt) : std::nullopt;
    if (status)
        m_onStatus(target, *status);
    else
        m_onNoStatus(target);
}

}
