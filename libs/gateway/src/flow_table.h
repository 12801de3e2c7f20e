// The flows of the requests that this node holds, and what the decisions say about them carried out.
#pragma once

#include "caller_flow.h"

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

namespace tamarack {

/// A caller's request for which a route was found.
struct routed_request {
    http_request request;
    caller_request decoded;
    std::shared_ptr<const serving::serving_configuration> configuration; ///< in force on arrival; owns `route`
    const serving::route_rule* route = nullptr;
    std::shared_ptr<response_writer> caller;
};

class flow_table {
public:
    /// `onExecuted`: commands were carried out; prompts may have gone to engines.
    flow_table(flow_services& services, std::function<void()> onExecuted);

    void submit(routed_request wanted);
    /// Carrying out a command may yield further ones, also from within.
    void execute(serving::command_list commands);

private:
    serving::serving_request servingRequest(const routed_request& wanted) const;
    caller_flow::callbacks callbacksFor(request_id id);
    void callerGone(request_id id);
    void executeOne(const serving::command& command);
    void release(const serving::cache_handle& cache);
    /// Null if its caller has gone meanwhile.
    std::shared_ptr<caller_flow> find(request_id id) const;

    flow_services& m_services;
    std::function<void()> m_onExecuted;
    std::unordered_map<request_id, std::shared_ptr<caller_flow>> m_flows;
    std::deque<serving::command> m_pending; // commands not carried out yet
    bool m_isExecuting = false;
};

}
