// Plays nodes that share the rates of targets which name limits, in virtual time: their messages, which take time and
// get lost, their views of each other, their failures, and the arrivals at the targets.
#pragma once

#include "base/random_source.h"
#include "serving/permit_holder.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tamarack::serving::tests {

struct limit_world_settings {
    int nodes = 9;
    int targets = 1;
    double loss = 0.03; ///< share of the messages
    /// Requests per second that each node has for all targets together, by node.
    std::vector<double> demand;
    /// A request that finds no permit waits for one for this long.
    duration patience = std::chrono::milliseconds(300);
    /// Share of the answers that name the limit.
    double namingShare = 1;
    std::uint64_t seed = 1;
};

class limit_world {
public:
    struct arrival {
        instant at;
        int node = 0;
    };

    explicit limit_world(limit_world_settings settings);

    static instant at(duration sinceStart) { return instant(std::chrono::hours(1)) + sinceStart; }

    /// The target names the limit from then on; negative: none.
    void setLimit(int target, double perSecond) { m_limits[static_cast<std::size_t>(target)] = perSecond; }
    void run(duration until);
    /// The node ends at once. Nothing that it knows is left.
    void kill(int node);
    void start(int node);
    /// The node does nothing until it is resumed, and then receives what was sent to it meanwhile.
    void freeze(int node);
    void resume(int node);
    /// Nodes below `firstOther` and the others hear nothing of each other; 0: all nodes hear each other.
    void cut(int firstOther);
    /// Requests that could go to the targets go to others, which the world doesn't have, until this is set to false.
    void setUsesOthers(bool usesOthers) { m_usesOthers = usesOthers; }

    const std::vector<arrival>& arrivals(int target) const { return m_arrivals[static_cast<std::size_t>(target)]; }
    /// The largest number of arrivals in any four seconds between the two times.
    std::size_t mostArrivals(int target, duration from, duration to) const;
    std::size_t countArrivals(int target, duration from, duration to) const;
    std::size_t countArrivalsOf(int node, duration from, duration to) const;
    std::uint64_t messagesSent() const { return m_messagesSent; }
    /// Whether the node knows of a limit of the target.
    bool isLimited(int node, int target) const;

private:
    struct waiting_request {
        instant until;
        int number = 0; // decides for which target it asks
    };
    struct model_node {
        std::unique_ptr<fleet_table> fleet;
        std::unique_ptr<target_limits> limits;
        std::unique_ptr<permit_issuer> issuer;
        std::unique_ptr<permit_holder> holder;
        node_state state;
        bool isUp = false;
        bool isFrozen = false;
        instant upSince;
        instant changedAt; // when it went up or down last, or was frozen or resumed
        instant nextTickAt;
        instant nextHeartbeatAt;
        instant nextRequestAt;
        instant nextViewAt;
        std::vector<waiting_request> waiting;
        std::vector<std::function<void()>> held; // messages that came while it was frozen
    };

    void createNode(int node);
    void tick(int node);
    void updateView(int node);
    bool isSeenBy(int node, int other) const;
    void serve(int node);
    /// Sends a request to the first target with a permit. Returns whether there is one.
    bool sendRequest(int node);
    void reach(int node, int target);
    void send(int from, int to, std::function<void()> message);
    void broadcast(int from, const limit_report& report);
    void schedule(duration wait, std::function<void()> what);
    int nodeAt(const node_endpoint& endpoint) const { return endpoint.port; }
    duration heartbeatInterval() const;
    duration peerTimeout() const;

    limit_world_settings m_settings;
    random_source m_random;
    instant m_now = at(duration::zero());
    std::vector<model_node> m_nodes;
    std::vector<double> m_limits;
    std::vector<std::vector<arrival>> m_arrivals;
    std::multimap<instant, std::function<void()>> m_events;
    int m_requests = 0;
    int m_firstOther = 0;
    bool m_usesOthers = false;
    instant m_cutAt; // when the last cut began or ended
    std::uint64_t m_messagesSent = 0;
};

}
