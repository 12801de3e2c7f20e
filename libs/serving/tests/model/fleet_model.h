// A fleet in virtual time: callers, nodes that decide, model engines, and the time that messages take between them.
#pragma once

#include "base/random_source.h"
#include "engine_model.h"
#include "serving/dispatcher.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace tamarack::serving::tests {

/// A log-normal size, cut off at `max`.
struct size_spread {
    double mean = 0;
    double spread = 0; ///< standard deviation of its logarithm
    double max = 0;
};

/// One kind of requests, in the terms of the users' sheets.
struct request_sheet {
    std::string name;
    double perSecond = 0;
    double worth = 1;
    double lateWorth = 0;
    duration aim = duration::zero();
    duration gapAim = duration::zero();
    duration patience = duration::zero();
    int priority = 0;
    bool isRepeatable = false;
    int beginnings = 1; ///< that requests share
    double skew = 0.3; ///< of how often they are asked for
    size_spread shared;
    size_spread own;
    size_spread events; ///< of an answer
    duration sendTime = std::chrono::milliseconds(3); ///< to an engine
};

/// From `from` to `until` a share of the engines is gone; they come back with nothing in memory.
struct engine_loss {
    duration from = duration::zero();
    duration until = duration::zero();
    double share = 0;
};

/// Nodes are started anew and know nothing of the engines' memories; what they held before goes on to its end.
struct node_restart {
    duration at = duration::zero();
    double share = 0;
    bool isTold = true; ///< by a peer that went on; without any, by lists of the engines
};

struct fleet_sheet {
    engine_sheet engine;
    int engines = 57;
    double readingShare = 0.32; ///< of the engines only read
    int zones = 4;
    int nodes = 82;
    std::vector<request_sheet> kinds;
    /// Of a kind's usual rate at a time.
    std::function<double(std::size_t kind, duration since)> rate;
    std::vector<engine_loss> losses;
    std::vector<node_restart> restarts;
};

struct kind_result {
    std::int64_t asked = 0;
    std::int64_t onTime = 0;
    std::int64_t lateFirst = 0;
    std::int64_t lateForPause = 0;
    std::int64_t refused = 0;
    std::int64_t failed = 0;
    double owed = 0;
    double earned = 0;
    std::int64_t unreachable = 0; ///< could not have been on time even alone
    double owedUnreachable = 0; ///< what they were worth more on time than late
};

struct fleet_result {
    std::vector<kind_result> kinds;
    double owed = 0;
    double earned = 0;
    double tokensRead = 0;
    double beginningsReadAgain = 0; ///< tokens of shared parts that some engine had read before
    double transferredGigabytes = 0;
};

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
    };
    struct sent_attempt {
        std::size_t node = 0;
        request_id request;
        attempt_id attempt;
        int engine = 0;
        attempt_stage stage = attempt_stage::whole;
    };
    struct asked_request {
        std::size_t kind = 0;
        prompt text;
        std::int64_t outputTokens = 0;
        double owed = 0;
        double owedLate = 0;
        instant at;
        instant lastEventAt;
        duration longestPause = duration::zero();
        duration first = duration::zero();
        int events = 0;
        std::uint64_t currentKey = 0; ///< of the attempt under way at its engine; 0: none
    };
    using request_key = std::pair<std::size_t, request_id>;
    /// Shared parts have lower ids.
    static constexpr std::uint64_t firstOwnPart = 1ULL << 40;
    using action = std::function<void()>;

    void later(duration wait, action what);
    void addEngines();
    void addNodes();
    void addNode(std::size_t zone);
    void restart(const node_restart& what);
    void tellCaches(std::size_t node);
    void tellListed(std::size_t node);
    target_record recordOf(int engine) const;
    std::shared_ptr<const serving_configuration> makeConfiguration() const;
    double size(const size_spread& spread);
    void scheduleArrival(std::size_t kind);
    void arrive(std::size_t kind);
    prompt makePrompt(std::size_t kind);
    duration soonest(const prompt& text) const;
    void tickNode(std::size_t node);
    void tellNew(std::size_t node);
    void beat(std::size_t node);
    void carryOut(std::size_t node, const command_list& commands);
    void sendTo(std::size_t node, const start_attempt& start);
    void reached(std::uint64_t key, engine_job job);
    void touch(int engine);
    void prefilled(std::uint64_t key);
    void streamed(std::uint64_t key);
    void answered(std::uint64_t key);
    void reading(const prompt_part& part);
    void kept(int engine, const prompt_part& part);
    void endAttempt(std::uint64_t key, attempt_result result, const std::string& cacheName);
    void lose(const engine_loss& loss);
    void comeBack(const std::vector<int>& engines);
    void finish(asked_request& asked);
    asked_request& requestOf(const sent_attempt& sent) { return m_asked.at({ sent.node, sent.request }); }

    fleet_sheet m_sheet;
    random_source m_random;
    std::shared_ptr<const serving_configuration> m_configuration;
    instant m_now;
    std::multimap<instant, action> m_events;
    std::vector<engine_model> m_engines;
    std::vector<std::string> m_instances; // by engine; a new one after a loss
    std::unordered_map<std::string, int> m_engineOf; // by instance
    std::vector<char> m_isLost; // by engine
    std::vector<playing_node> m_nodes;
    std::vector<std::size_t> m_inService; // nodes that take requests
    std::vector<std::vector<std::int64_t>> m_beginnings; // sizes, by kind
    std::vector<std::vector<double>> m_popularity; // cumulative, by kind
    std::map<request_key, asked_request> m_asked;
    std::unordered_map<std::uint64_t, sent_attempt> m_sent; // by the key at the engine
    std::unordered_set<std::uint64_t> m_everRead; // shared parts
    std::uint64_t m_nextKey = 1;
    std::uint64_t m_nextPart = firstOwnPart;
    fleet_result m_result;
};

}
