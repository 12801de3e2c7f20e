// Provides the delivery of orders to targets: each order is sent once and the result of the delivery is reported.
#pragma once

#include "decide/order_system.h"
#include "http/http_client.h"
#include "observe/logger.h"

#include <QObject>
#include <functional>

namespace tamarack {

/// Sends orders through an HTTP client, which must outlive it.
class order_deliverer {
public:
    using result_handler = std::function<void(log_offset, delivery_result)>;

    order_deliverer(http_client& client, const logger& log, result_handler onResult);

    /// Sends the order on a fresh connection, because a reused one may leave it unknown whether the order arrived. The
    /// result is reported through the handler.
    void deliver(const deliver_order& order, const endpoint& target);

private:
    void onResponse(const deliver_order& order, const http_response* response, const exchange_failure& failure);

    http_client& m_client;
    const logger& m_log;
    result_handler m_onResult;
    QObject m_timerContext; // cancels pending timers when this object is destroyed
};

}
