// Target status over HTTP.
#include "target_poller.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace tamarack {

namespace {

    using nlohmann::json;

    std::optional<target_status> parseStatus(const std::string& body, instant askedAt)
    {
        const json root = json::parse(body, nullptr, false);
        if (!root.is_object())
            return std::nullopt;
        try {
            target_status status;
            status.view.isKnown = true;
            status.view.requestedAt = askedAt;
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
                status.load.measuredAt = askedAt - std::chrono::milliseconds(load.value("age_ms", 0));
            }
            return status;
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }

}

target_poller::target_poller(http_client& client, duration timeout, status_handler onStatus, silence_handler onSilence)
    : m_client(client)
    , m_timeout(timeout)
    , m_onStatus(std::move(onStatus))
    , m_onSilence(std::move(onSilence))
{
}

void target_poller::poll(const std::string& target, const endpoint& address)
{
    if (!m_awaited.insert(target).second)
        return;
    http_request request;
    request.method = "GET";
    request.target = "/control/status";
    exchange_options options;
    options.connectTimeout = m_timeout;
    options.silenceTimeout = m_timeout;
    const instant askedAt = boot_clock::now();
    m_client.fetch(
        address, request, options, [this, target, askedAt](const http_response* response, const exchange_failure&) {
            answered(target, askedAt, response);
        });
}

void target_poller::answered(const std::string& target, instant askedAt, const http_response* response)
{
    m_awaited.erase(target);
    const auto status = response && response->status == 200 ? parseStatus(response->body, askedAt) : std::nullopt;
    if (status)
        m_onStatus(target, *status);
    else
        m_onSilence(target);
}

}
