// Implements the delivery of orders over HTTP.
#include "order_deliverer.h"

#include <QTimer>
#include <nlohmann/json.hpp>

namespace tamarack {

namespace {
    // Must exceed TCP_USER_TIMEOUT: after this time the kernel has dropped the bytes of a request that it could not
    // send.
    constexpr auto bufferedBytesLifetime = std::chrono::milliseconds(12'000);
}

order_deliverer::order_deliverer(http_client& client, const logger& log, result_handler onResult)
    : m_client(client)
    , m_log(log)
    , m_onResult(std::move(onResult))
{
}

void order_deliverer::deliver(const deliver_order& order, const endpoint& target)
{
    http_request request;
    request.method = "POST";
    request.target = "/control/orders";
    request.headers.set("Content-Type", "application/json");
    const nlohmann::json body { { "order", order.order.value }, { "fence", order.fence.value },
        { "set", std::string(toString(order.what.kind)) }, { "value", order.what.value } };
    request.body = body.dump();
    exchange_options options;
    options.freshConnection = true;
    m_log.write(log_event::order_sent,
        { { "target", order.target }, { "order", order.order.value }, { "set", std::string(toString(order.what.kind)) },
            { "value", order.what.value } });
    m_client.fetch(
        target, request, options, [this, order](const http_response* response, const exchange_failure& failure) {
            onResponse(order, response, failure);
        });
}

void order_deliverer::onResponse(
    const deliver_order& order, const http_response* response, const exchange_failure& failure)
{
    if (response) {
        const bool isAccepted = response->status >= 200 && response->status < 300;
        m_log.write(log_event::order_answered,
            { { "target", order.target }, { "order", order.order.value }, { "status", response->status } });
        return m_onResult(order.order, isAccepted ? delivery_result::accepted : delivery_result::refused);
    }
    m_log.write(log_event::order_unanswered,
        { { "target", order.target }, { "order", order.order.value }, { "reason", failure.reason } });
    if (!failure.mayHaveReachedPeer)
        return m_onResult(order.order, delivery_result::not_sent);
    const auto id = order.order;
    QTimer::singleShot(bufferedBytesLifetime, &m_timerContext, [this, id] { m_onResult(id, delivery_result::closed); });
}

}
