// Admission, queueing, dispatch and retries of the requests at one node. Uses no sockets, clocks or threads.
#pragma once

#include "decide/account_limiter.h"
#include "decide/request_table.h"
#include "decide/retry_budget.h"
#include "decide/router.h"
#include "decide/target_table.h"
#include "quarantine/abandoned_attempts.h"
#include "quarantine/request_quarantine.h"

#include <array>
#include <deque>
#include <memory>
#include <vector>

namespace tamarack {

/// Counters since start, for metrics and experiments.
struct traffic_counts {
    std::uint64_t accepted = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t retried = 0;
    std::uint64_t resumed = 0;
    std::uint64_t staleEvents = 0; ///< events of attempts that are no longer current
};

/// Demand on one service in tokens per second, as an exponential moving average.
struct service_demand {
    double promptTokens = 0;
    double outputTokens = 0;
    double refusedShare = 0; ///< share of the demanded work that was refused for lack of capacity
};

/// Decides for each request whether it is started, queued, or refused at once with a time after which to retry.
/// Commands are appended to `out` and must be carried out immediately.
class traffic_system {
public:
    traffic_system(const std::string& vm, const std::string& zone, std::uint64_t seed, routing_rule rule = {});

    /// Applies a configuration. Queued requests of removed services are refused; running ones continue.
    void configure(std::shared_ptr<const deployment> config, instant now, traffic_commands& out);
    /// The time that the request may take from its arrival: its own deadline, or the policy's default.
    duration deadlineOf(const request_shape& shape) const;
    /// Adds a new request. On return `out` may already contain its start or its refusal.
    request_id admit(const request_shape& shape, instant now, traffic_commands& out);
    /// Stages decode and whole: `tokens` more output tokens were received.
    void tokensReceived(request_id request, attempt_id attempt, std::int64_t tokens);
    /// The target has completed the prefill.
    void prefillCompleted(request_id request, attempt_id attempt);
    /// Stage prefill: the target returned the final answer, so no decode stage follows.
    void wholeAnswerReceived(request_id request, attempt_id attempt);
    /// The target has sent an answer that is certainly complete. Called before attemptEnded().
    void completeAnswerReceived(request_id request, attempt_id attempt, instant now);
    /// The target has closed the connection of an attempt before the end of its answer. Called before attemptEnded().
    /// Whether the target itself has ended must be checked.
    void targetClosedConnection(request_id request, attempt_id attempt, instant now);
    /// The target has turned the attempt away and wants no work from this node for `rest`. Called before
    /// attemptEnded().
    void targetAskedForRest(request_id request, attempt_id attempt, duration rest, instant now);
    /// Targets that have closed connections since the last call; their status is needed.
    std::vector<target_id> takeTargetsToCheck();
    /// The target answers with this incarnation. Called before the target table is updated.
    void targetAnswered(target_id target, std::uint64_t incarnation, instant now);
    /// The target does not answer.
    void targetSilent(target_id target, instant now) { blameAttemptsAt(target, now); }
    /// Merges quarantine records of a peer, and ends the requests that they quarantine.
    void applyQuarantine(const std::vector<quarantine_record>& records, instant now, traffic_commands& out);
    request_quarantine& quarantine() { return m_quarantine; }
    const request_quarantine& quarantine() const { return m_quarantine; }
    /// Whether an attempt whose target is silent is to be stopped: its deadline is reached, or `mayHaveFailed` is set
    /// and another target has room for the request now. Otherwise the silent target may still be the one that answers.
    bool shouldStopSilent(request_id request, attempt_id attempt, bool mayHaveFailed, instant now);
    /// The attempt has ended with the given result.
    void attemptEnded(
        request_id request, attempt_id attempt, attempt_result result, instant now, traffic_commands& out);
    /// The caller has disconnected; the request is removed and no further commands refer to it.
    void callerDisconnected(request_id request, instant now, traffic_commands& out);
    /// Starts queued requests where possible and refuses those that can no longer meet their deadline.
    void tick(instant now, traffic_commands& out);

    /// Whether `attempt` is the request's current one. Bytes of any other attempt must not be passed to the caller.
    bool isCurrent(request_id request, attempt_id attempt) const;
    target_table& targets() { return m_targets; }
    const target_table& targets() const { return m_targets; }
    const deployment& config() const { return *m_config; }
    const traffic_counts& counts() const { return m_counts; }
    const router& routes() const { return m_router; }
    std::size_t held() const { return m_requests.held(); }
    std::size_t waiting() const;
    /// Sets the number of nodes that share the targets, including this one; used to estimate queueing time.
    void setNodeCount(int nodes) { m_nodeCount = nodes < 1 ? 1 : nodes; }
    service_demand demand(service_id service, instant now) const;

private:
    static constexpr std::size_t levels = 3; // nested, urgent, all other requests
    struct service_queue {
        std::array<std::deque<request_id>, levels> first; // waiting for stage whole or prefill
        std::array<std::deque<request_id>, levels> decode; // prefill completed, waiting for a decode slot
    };
    /// Exponentially decaying sums.
    struct demand_meter {
        instant at;
        double promptTokens = 0;
        double outputTokens = 0;
        double asked = 0; // seconds of demanded work
        double refused = 0; // seconds of refused work
    };

    static std::size_t queueLevel(const request_shape& shape);
    routing_request routingRequestFor(std::size_t row, instant now) const;
    bool tryStart(std::size_t row, instant now, traffic_commands& out);
    bool mayRetry(std::size_t row, instant now) const;
    routing_choice route(std::size_t row, request_stage stage, role_set roles, instant now);
    bool startLongPrompt(std::size_t row, instant now, traffic_commands& out);
    bool startDecode(std::size_t row, instant now, traffic_commands& out);
    bool startAt(
        std::size_t row, request_stage stage, const routing_choice& choice, instant now, traffic_commands& out);
    bool startOrRefuse(std::size_t row, instant now, traffic_commands& out);
    /// Refuses the request if it is quarantined. Returns whether it was.
    bool refuseIfQuarantined(std::size_t row, traffic_commands& out);
    /// Ends the held requests that have been quarantined since the last call.
    void endQuarantined(traffic_commands& out);
    void enqueue(std::size_t row, bool atFront);
    void releaseTargetLoad(std::size_t row);
    /// Hash of the target's name and incarnation.
    std::uint32_t instanceHash(target_id target) const;
    /// Attributes the end of a target to the attempts at it that were cancelled or cut off shortly before.
    void blameAttemptsAt(target_id target, instant now);
    void refuse(std::size_t row, error_kind kind, duration retryAfter, traffic_commands& out);
    void retryOrRefuse(std::size_t row, error_kind kind, bool countsAgainstBudget, instant now, traffic_commands& out);
    void succeeded(std::size_t row, instant now, traffic_commands& out);
    void targetFailed(target_id id, instant now);
    /// Completes, retries or refuses the request according to the result of its current attempt.
    void handleAttemptResult(std::size_t row, attempt_result result, instant now, traffic_commands& out);
    /// Starts queued requests by level; a level ends at the first request for which no target has capacity.
    void dispatch(service_id service, instant now, traffic_commands& out);
    /// Refuses queued requests that can no longer meet their deadline.
    void refuseUnmeetable(std::deque<request_id>& level, instant now, traffic_commands& out);
    bool isWaiting(request_id id) const;
    bool willMissDeadline(std::size_t row, instant now) const;
    /// Expected execution time of a request once started.
    duration serviceTime(const request_shape& shape) const;
    /// Expected execution time of what the request still lacks.
    duration remainingTime(std::size_t row) const;
    duration expectedWait(service_id service, std::size_t level, instant now) const;
    /// Time until the first target of the service ends its rest; zero if some target does not rest.
    duration remainingRest(service_id service, instant now) const;
    void updateSlots(service_id service, instant now, bool& recoversSoon);
    /// Number of slots at targets that accept requests now. Sets `recoversSoon` if another target is only temporarily
    /// unavailable.
    int usableSlots(service_id service, instant now, bool& recoversSoon) const;
    /// Adds a request to the demand of its service.
    void recordDemand(const request_shape& shape, instant now);
    /// Updates the service's slowdown from an answered request.
    void updateSlowdown(std::size_t row, instant now);

    std::shared_ptr<const deployment> m_config;
    target_table m_targets;
    request_table m_requests;
    router m_router;
    account_limiter m_accounts;
    request_quarantine m_quarantine;
    abandoned_attempts m_abandoned; // cancelled
    abandoned_attempts m_cutOff; // their targets closed the connection
    std::vector<target_id> m_targetsToCheck;
    std::uint64_t m_quarantinesSeen = 0;
    std::vector<retry_budget> m_budgets; // by service
    std::vector<service_queue> m_queues; // by service
    std::vector<double>
        m_outputShare; // by service: moving average of the output tokens produced as a share of the maximum requested
    std::vector<double> m_slowdown; // by service: moving average of actual over ideal execution time; at least 1
    std::vector<demand_meter> m_demand; // by service
    std::vector<int> m_slotsNow; // by service: usable slots as of the last tick
    std::vector<instant> m_restUntil; // by service: all its targets rest until then, as of the last tick
    traffic_counts m_counts;
    std::uint64_t m_nextAttempt = 1;
    int m_nodeCount = 1;
};

}
