// Provides a fleet in virtual time: callers, the nodes' decisions, model engines, and the delays of messages between
// them.
#pragma once

#include "fleet_profile.h"
#include "request_generator.h"

#include "base/random_source.h"
#include "serving/dispatcher.h"
#include "serving/role_split.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace tamarack::serving::tests {

/// One run of a deployment's load profile. Runs with the same seed are identical.
class fleet_model {
public:
    fleet_model(fleet_profile profile, std::uint64_t seed);

    fleet_result run(duration length);

private:
    struct model_node {
        std::unique_ptr<dispatcher> decisions;
        std::string name;
        bool isRetired = false; ///< restarted; it ends the requests that it holds
        idle_connections connections; ///< existing ones, by row of its fleet table
    };
    struct sent_attempt {
        std::size_t node = 0;
        request_id request;
        attempt_id attempt;
        int engine = 0;
        attempt_stage stage = attempt_stage::whole;
        target_id target;
    };
    struct caller_request {
        generated_request generated;
        instant at;
        int tries = 1;
        instant lastEventAt;
        duration longestPause = duration::zero();
        duration first = duration::zero();
        int events = 0;
    };
    using request_key = std::pair<std::size_t, request_id>;
    using action = std::function<void()>;

    void schedule(duration wait, action what);
    void addEngines();
    double typicalSlowness(int engine) const;
    void addNodes();
    void addNode(std::size_t zone);
    void restart(const node_restart& what);
    void copyCachesFromPeer(std::size_t node);
    void listCaches(std::size_t node);
    target_record recordOf(int engine) const;
    std::shared_ptr<const serving_configuration> makeConfiguration() const;
    void countLargest(std::size_t kind);
    void scheduleArrival(std::size_t kind);
    void arrive(std::size_t kind);
    void submit(caller_request asked, std::size_t node);
    duration fastestAnswer(const prompt& text) const;
    /// Schedules a check after which the caller leaves if it has got nothing since `since`.
    void scheduleSilenceCheck(request_key key, instant since);
    duration silenceTimeout(std::size_t kind) const;
    void handleRefusal(request_key key, duration retryAfter);
    void tickNode(std::size_t node);
    void sendNewJobs(std::size_t node);
    void sendHeartbeat(std::size_t node);
    void execute(std::size_t node, const command_list& commands);
    void sendTo(std::size_t node, const start_attempt& start);
    /// Records that the node has an idle connection to the attempt's engine.
    void recordIdleConnection(const sent_attempt& sent);
    void arriveAtEngine(std::uint64_t key, engine_job job);
    void scheduleStep(int engine);
    void prefilled(std::uint64_t key);
    void streamed(std::uint64_t key);
    void answered(std::uint64_t key);
    void countRecomputed(const prompt_part& part);
    void handleCacheEvent(int engine, const prompt_part& part);
    void endAttempt(std::uint64_t key, attempt_result result, const std::string& cacheName);
    std::vector<int> drawEngines(double share);
    void loseEngines(const engine_loss& loss);
    void restoreEngines(const std::vector<int>& engines);
    void slowEngines(const engine_slowdown& slowdown);
    void startFailures(const engine_failure& failing);
    bool losesAnswer(int engine);
    void checkRoles();
    void orderRole(const role_change& change);
    void changeRole(int engine, bool alsoDecodes, const std::string& instance);
    void relist(int engine);
    void finish(caller_request& asked);
    caller_request& requestOf(const sent_attempt& sent) { return m_requests.at({ sent.node, sent.request }); }

    fleet_profile m_profile;
    random_source m_arrivals; // used by arrivals only, so that they do not depend on the decisions
    random_source m_random;
    std::shared_ptr<const serving_configuration> m_configuration;
    instant m_now;
    instant m_trafficFrom;
    std::multimap<instant, action> m_events;
    int m_initialPrefillEngines = 0; // engines that only prefill at the start
    std::vector<engine_model> m_engines;
    std::vector<std::string> m_instances; // by engine; a new one after a loss
    std::unordered_map<std::string, int> m_engineOf; // by instance
    std::vector<char> m_isLost; // by engine
    std::vector<std::uint64_t> m_sequences; // by engine: sequence number of its last record
    std::vector<model_node> m_nodes;
    std::vector<std::size_t> m_inService; // nodes that take requests
    request_generator m_generator;
    std::unique_ptr<role_split> m_split; // uses the first node's view
    std::map<request_key, caller_request> m_requests;
    std::unordered_map<std::uint64_t, sent_attempt> m_sent; // by the key at the engine
    std::unordered_set<std::uint64_t> m_prefilledParts; // shared parts
    std::vector<double> m_lossShare; // by engine: share of the requests whose answers it loses
    std::uint64_t m_nextKey = 1;
    std::uint64_t m_nextRequest = 1;
    fleet_result m_result;
    std::vector<std::vector<request_outcome>> m_outcomes; // of the requests that were answered, by kind
    std::vector<std::vector<double>> m_owed; // of all requests, by kind
};

}
