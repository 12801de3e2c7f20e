// A fleet in virtual time: callers, nodes that decide, model engines, and the time that messages take between them.
#pragma once

#include "fleet_sheet.h"
#include "request_maker.h"

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

/// A day of the deployment; the same for the same seed.
class fleet_model {
public:
    fleet_model(fleet_sheet sheet, std::uint64_t seed);

    fleet_result run(duration length);

private:
    struct playing_node {
        std::unique_ptr<dispatcher> decisions;
        std::string name;
        bool isRetired = false; ///< started anew: it ends what it holds
        idle_connections connections; ///< that there are, by row of its fleet
    };
    struct sent_attempt {
        std::size_t node = 0;
        request_id request;
        attempt_id attempt;
        int engine = 0;
        attempt_stage stage = attempt_stage::whole;
        target_id target;
    };
    struct asked_request {
        made_request made;
        instant at;
        int tries = 1;
        instant lastEventAt;
        duration longestPause = duration::zero();
        duration first = duration::zero();
        int events = 0;
        std::uint64_t currentKey = 0; ///< of the attempt under way at its engine; 0: none
    };
    using request_key = std::pair<std::size_t, request_id>;
    using action = std::function<void()>;

    void later(duration wait, action what);
    void addEngines();
    double typicalSlowness(int engine) const;
    void addNodes();
    void addNode(std::size_t zone);
    void restart(const node_restart& what);
    void tellCaches(std::size_t node);
    void tellListed(std::size_t node);
    target_record recordOf(int engine) const;
    std::shared_ptr<const serving_configuration> makeConfiguration() const;
    void countLargest(std::size_t kind);
    void scheduleArrival(std::size_t kind);
    void arrive(std::size_t kind);
    void submit(asked_request asked, std::size_t node);
    duration soonest(const prompt& text) const;
    /// The caller leaves if it has heard nothing since.
    void watchSilence(request_key key, instant since);
    duration longestSilence(std::size_t kind) const;
    void refused(request_key key, duration retryAfter);
    void tickNode(std::size_t node);
    void tellNew(std::size_t node);
    void beat(std::size_t node);
    void carryOut(std::size_t node, const command_list& commands);
    void sendTo(std::size_t node, const start_attempt& start);
    /// The node has an idle connection to the attempt's engine.
    void keepConnection(const sent_attempt& sent);
    void reached(std::uint64_t key, engine_job job);
    void touch(int engine);
    void prefilled(std::uint64_t key);
    void streamed(std::uint64_t key);
    void answered(std::uint64_t key);
    void reading(const prompt_part& part);
    void kept(int engine, const prompt_part& part);
    void endAttempt(std::uint64_t key, attempt_result result, const std::string& cacheName);
    std::vector<int> someEngines(double share);
    void lose(const engine_loss& loss);
    void comeBack(const std::vector<int>& engines);
    void slowDown(const engine_slowdown& slowdown);
    void beginFailing(const engine_failing& failing);
    bool losesAnswer(int engine);
    void lookAtRoles();
    void orderRole(const role_change& change);
    void changeRole(int engine, bool alsoWrites, const std::string& instance);
    void relist(int engine);
    void finish(asked_request& asked);
    asked_request& requestOf(const sent_attempt& sent) { return m_asked.at({ sent.node, sent.request }); }

    fleet_sheet m_sheet;
    random_source m_arrivals; // drawn from by arrivals only, so that they are the same whatever is decided
    random_source m_random;
    std::shared_ptr<const serving_configuration> m_configuration;
    instant m_now;
    instant m_trafficFrom;
    std::multimap<instant, action> m_events;
    int m_firstReaders = 0; // engines that read at the start
    std::vector<engine_model> m_engines;
    std::vector<std::string> m_instances; // by engine; a new one after a loss
    std::unordered_map<std::string, int> m_engineOf; // by instance
    std::vector<char> m_isLost; // by engine
    std::vector<std::uint64_t> m_sequences; // by engine: of its last record
    std::vector<playing_node> m_nodes;
    std::vector<std::size_t> m_inService; // nodes that take requests
    request_maker m_maker;
    std::unique_ptr<role_split> m_split; // of the first node's view
    std::map<request_key, asked_request> m_asked;
    std::unordered_map<std::uint64_t, sent_attempt> m_sent; // by the key at the engine
    std::unordered_set<std::uint64_t> m_everRead; // shared parts
    std::vector<double> m_lossShare; // by engine: of the requests, whose answers it loses
    std::uint64_t m_nextKey = 1;
    std::uint64_t m_nextRequest = 1;
    fleet_result m_result;
    std::vector<std::vector<request_outcome>> m_outcomes; // of the requests that were answered, by kind
    std::vector<std::vector<double>> m_owed; // of all requests, by kind
};

}
