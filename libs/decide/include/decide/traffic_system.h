// Admission, waiting, dispatch and retries of the requests that one node holds. Pure: no socket, clock or thread.
#pragma once

#include "decide/account_limiter.h"
#include "decide/request_table.h"
#include "decide/retry_budget.h"
#include "decide/router.h"
#include "decide/target_table.h"

#include <array>
#include <deque>
#include <memory>
#include <vector>

namespace tamarack {

/// Counts since start, for metrics and experiments.
struct traffic_counts {
    std::uint64_t accepted = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t retried = 0;
    std::uint64_t resumed = 0;
    std::uint64_t lateEvents = 0; ///< events of attempts that no longer count
};

/// Prompt and output tokens that callers asked of one service each second, averaged over some seconds.
struct service_demand {
    double promptTokens = 0;
    double outputTokens = 0;
    double refusedShare = 0; ///< of that work, refused for lack of capacity
};

/// Every command is for now: a request is started, waits, or is refused at once with a time to come back.
class traffic_system {
public:
    traffic_system(const std::string& vm, const std::string& zone, std::uint64_t seed, routing_rule rule = {});

    /// Puts a configuration in force. Held requests of services that are gone are refused.
    void configure(std::shared_ptr<const deployment> config, instant now, traffic_commands& out);
    /// A new request; `out` may already hold its start or its refusal.
    request_id arrive(const request_shape& shape, instant now, traffic_commands& out);
    /// Stage decode or whole: the answer now has `tokens` more.
    void progressed(request_id request, attempt_id attempt, std::int64_t tokens);
    /// The target has read the whole prompt.
    void prefilled(request_id request, attempt_id attempt);
    /// Stage prefill: the target gave the request's final answer, so no decode stage follows.
    void answeredWhole(request_id request, attempt_id attempt);
    void ended(request_id request, attempt_id attempt, attempt_result result, instant now, traffic_commands& out);
    /// The caller has gone; nothing more is said about the request.
    void abandoned(request_id request, instant now, traffic_commands& out);
    /// Places waiting requests and refuses those that can no longer make it.
    void tick(instant now, traffic_commands& out);

    /// Whether `attempt` is the request's present one: bytes of any other must not reach the caller.
    bool isCurrent(request_id request, attempt_id attempt) const;
    target_table& targets() { return m_targets; }
    const target_table& targets() const { return m_targets; }
    const deployment& config() const { return *m_config; }
    const traffic_counts& counts() const { return m_counts; }
    const router& routes() const { return m_router; }
    std::size_t held() const { return m_requests.held(); }
    std::size_t waiting() const;
    /// Nodes that share the targets, this one included; for the estimate of waits.
    void setNodeCount(int nodes) { m_nodeCount = nodes < 1 ? 1 : nodes; }
    service_demand demand(service_id service, instant now) const;

private:
    static constexpr std::size_t levels = 3; // nested, urgent, the rest
    struct service_queue {
        std::array<std::deque<request_id>, levels> first; // for a whole request or its prefill
        std::array<std::deque<request_id>, levels> decode; // KV cache made, waiting for a decode slot
    };
    struct demand_meter {
        instant at;
        double promptTokens = 0;
        double outputTokens = 0;
        double asked = 0; // seconds of work
        double refused = 0;
    };

    static std::size_t levelOf(const request_shape& shape);
    routing_need needOf(std::size_t row, instant now) const;
    bool tryStart(std::size_t row, instant now, traffic_commands& out);
    routing_choice route(std::size_t row, request_stage stage, role_set roles, instant now);
    bool startLong(std::size_t row, instant now, traffic_commands& out);
    bool startDecode(std::size_t row, instant now, traffic_commands& out);
    bool startAt(
        std::size_t row, request_stage stage, const routing_choice& choice, instant now, traffic_commands& out);
    bool startOrRefuse(std::size_t row, instant now, traffic_commands& out);
    void enqueue(std::size_t row, bool atFront);
    void uncharge(std::size_t row);
    void refuse(std::size_t row, error_kind kind, duration retryAfter, traffic_commands& out);
    void retryOrRefuse(std::size_t row, error_kind kind, bool countsAgainstBudget, instant now, traffic_commands& out);
    void succeeded(std::size_t row, instant now, traffic_commands& out);
    void targetFailed(target_id id, instant now);
    /// What the end of the present attempt means for its request.
    void settle(std::size_t row, attempt_result result, instant now, traffic_commands& out);
    /// Starts what waits, in order of level, until the first of a level finds no place.
    void dispatch(service_id service, instant now, traffic_commands& out);
    /// Refuses what waits in vain.
    void sweep(std::deque<request_id>& level, instant now, traffic_commands& out);
    bool isWaiting(request_id id) const;
    bool isHopeless(std::size_t row, instant now) const;
    duration serviceTime(const request_shape& shape) const;
    duration expectedWait(service_id service, std::size_t level) const;
    int usableSlots(service_id service, instant now, bool& comesBackSoon) const;
    void meter(const request_shape& shape, instant now);
    /// Learns from an answered request how much slower than ideal the targets are now.
    void learnPace(std::size_t row, instant now);

    std::shared_ptr<const deployment> m_config;
    target_table m_targets;
    request_table m_requests;
    router m_router;
    account_limiter m_accounts;
    std::vector<retry_budget> m_budgets; // by service
    std::vector<service_queue> m_queues; // by service
    std::vector<double> m_outputShare; // by service: produced tokens over the most allowed, averaged
    std::vector<double> m_pace; // by service: real over ideal time of requests once started, averaged; at least 1
    std::vector<demand_meter> m_demand; // by service
    std::vector<int> m_slotsNow; // by service, at the last tick
    traffic_counts m_counts;
    std::uint64_t m_nextAttempt = 1;
    int m_nodeCount = 1;
};

}
