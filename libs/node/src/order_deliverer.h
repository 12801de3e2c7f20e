// Sends orders to targets, each once, and reports what became of the sending.
#pragma once

#include "decide/order_system.h"
#include "http/http_client.h"
#include "observe/logger.h"

#include <QObject>
#include <functional>

namespace tamarack {

class order_deliverer {
public:
    using result_handler = std::function<void(log_offset, delivery_result)>;

    order_deliverer(http_client& client, const logger& log, result_handler onResult);

    void deliver(const deliver_order& order, const endpoint& target);

private:
    void finished(const deliver_order& order, const http_response* response, const exchange_failure& failure);

    http_client& m_client;
    const logger& m_log;
    result_handler m_onResult;
    QObject m_lifetime; // ends pending timers with this object
};

}
