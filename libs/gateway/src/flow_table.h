// Holds the flows of all requests on this node and executes the dispatcher's commands on them.
#pragma once

#include "caller_flow.h"
#include "target_calls.h"

#include <QObject>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

namespace tamarack {

/// A caller's request with its matching route.
struct routed_request {
    http_request request;
    caller_request decoded;
    std::shared_ptr<const serving::serving_configuration> configuration; ///< in force on arrival; owns `route`
    const serving::route_rule* route = nullptr;
    const client_account* account = nullptr; ///< owned by the configuration; null: none
    std::shared_ptr<response_writer> caller;
};

class flow_table {
public:
    /// `onExecuted` is called after commands were executed, which may have sent prompts to engines.
    flow_table(flow_services& services, std::function<void()> onExecuted);

    void submit(routed_request routed);
    /// Executes commands in order. Execution may add further commands, also reentrantly.
    void execute(serving::command_list commands);
    /// Logs the requests that the exit of the process ends.
    void logHeldAtExit() const;

private:
    serving::serving_request servingRequest(const routed_request& routed) const;
    caller_flow::callbacks callbacksFor(request_id id);
    void handleCallerGone(request_id id);
    void executeCommand(const serving::command& command);
    /// Calls the engine to free the KV cache, after its rest if it rests.
    void release(const serving::cache_handle& cache, const std::string& instance, instant giveUpAt);
    /// Returns null if the caller has disconnected meanwhile.
    std::shared_ptr<caller_flow> find(request_id id) const;

    flow_services& m_services;
    target_calls m_calls;
    std::function<void()> m_onExecuted;
    std::unordered_map<request_id, std::shared_ptr<caller_flow>> m_flows;
    std::deque<serving::command> m_pending; // commands not executed yet
    bool m_isExecuting = false;
    QObject m_timers; // ends the timers of postponed releases
};

}
