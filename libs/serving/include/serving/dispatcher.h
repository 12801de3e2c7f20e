// Admission, waiting, starting, retries and refusals of the requests that one node holds. Pure: no socket, clock or
// thread.
#pragma once

#include "serving/in_flight_requests.h"
#include "serving/peer_load.h"
#include "serving/placement.h"
#include "serving/retry_allowance.h"

#include <map>
#include <string>
#include <vector>

namespace tamarack::serving {

struct dispatcher_settings {
    std::string vm;
    std::string availabilityZone;
    std::uint64_t seed = 1;
    retry_bound retries;
    /// Of the process: a node has its part of the retries' slack some time after it. Not set: there was no former life.
    instant startedAt;
    duration peerLife = std::chrono::seconds(1); ///< a peer silent for so long no longer counts
};

/// Every command is for now: a request is started, waits, or is refused at once with a time to come back.
class dispatcher {
public:
    explicit dispatcher(dispatcher_settings settings);

    void targetListed(const target_record& record);
    void targetGone(const std::string& instance, instant now);
    void peerTold(const std::string& peer, const std::vector<load_entry>& load, instant now);
    /// Prompts that a peer, by shortHash() of its VM, has sent to engines; `isAll`: and no others.
    void peerSent(std::uint32_t peer, const std::vector<prefill_report>& jobs, bool isAll, instant now);
    /// The engine takes another role: it gets nothing new until then, or until it is listed with that role.
    void roleChanging(target_id engine, instant until) { m_fleet.roleChangeUntil[engine.value] = until; }
    /// How long a silent peer counts.
    void setPeerLife(duration life) { m_peers.setTimeToLive(life); }
    /// What a peer's attempts came to.
    void peerSaw(const std::vector<health_report>& news, instant now);
    /// What own attempts came to since the last call, for the peers.
    std::vector<health_report> takeHealthNews(instant now) { return m_health.takeReports(now); }
    /// All nodes known, this one included, whether they seem alive or not; 0: it is not known how many there are.
    void setKnownNodes(int nodes);

    /// A new request; `out` may already hold its start or its refusal.
    request_id arrive(serving_request request, instant now, command_list& out);
    /// The first bytes of the answer have come from the target.
    void began(request_id request, attempt_id attempt, instant now);
    /// An event of a stream has come.
    void streamed(request_id request, attempt_id attempt, instant now);
    /// Some of the answer has gone to the caller.
    void started(request_id request, attempt_id attempt);
    /// An attempt is over. `cacheName` is the exported KV cache's of a prefill.
    void ended(request_id request, attempt_id attempt, attempt_result result, const std::string& cacheName, instant now,
        command_list& out);
    /// The caller has gone; nothing more is said about the request.
    void abandoned(request_id request, instant now, command_list& out);
    /// Places waiting requests, and ends those whose time is up.
    void tick(instant now, command_list& out);

    bool isCurrent(request_id request, attempt_id attempt) const;
    void loadTold(target_id target, const reported_load& load) { m_fleet.reportedLoad[target.value] = load; }
    void cacheTold(target_id engine, const std::vector<cache_event>& events) { m_caches.applyEvents(engine, events); }
    void cacheListed(target_id engine, const std::vector<cache_event>& parts) { m_caches.replaceParts(engine, parts); }
    std::vector<prompt_part> partsThere(target_id engine) const { return m_caches.cachedParts(engine); }
    void cacheLost(target_id engine) { m_caches.forget(engine); }
    /// The attempt that ended at the target has left an idle connection, to be used until then.
    void connectionKept(target_id target, instant until) { m_connections.add(target, until); }
    std::vector<health_change> takeHealthChanges() { return m_health.takeChanges(); }
    const fleet_table& fleet() const { return m_fleet; }
    std::vector<load_entry> ownLoad() const { return m_peers.localLoad(); }
    std::vector<prefill_report> ownJobs(instant now) const { return m_queues.localReports(now); }
    /// Prompts sent to engines since the last call, for the peers.
    std::vector<prefill_report> takeNewJobs(instant now) { return m_queues.takeNewReports(now); }
    /// For which long prompts wait at engines that only read, lately, in seconds.
    double readWait() const { return m_readWait; }
    std::size_t held() const { return m_book.held(); }
    std::size_t waiting() const { return m_waiting.size(); }

private:
    placement_query needOf(std::size_t row, instant now) const;
    /// The prompt of the present attempt was read, or will not be.
    void endReading(std::size_t row, instant now, bool wasRead);
    retry_allowance& allowanceOf(const std::string& service);
    bool tryStart(std::size_t row, instant now, command_list& out);
    bool startDecode(std::size_t row, instant now, command_list& out);
    void start(std::size_t row, const target_choice& choice, instant now, command_list& out);
    void startOrWait(std::size_t row, instant now, command_list& out);
    /// Whether one more attempt may be sent that counts against the route's bound.
    bool mayResend(std::size_t row, instant now);
    void countSend(std::size_t row, instant now);
    /// An attempt may have reached its target: a further one counts against the bound of all nodes.
    void countArrival(std::size_t row, instant now);
    void dispatch(instant now, command_list& out);
    void settle(std::size_t row, attempt_result result, const std::string& cacheName, instant now, command_list& out);
    void succeeded(std::size_t row, instant now);
    void prefilled(std::size_t row, const std::string& cacheName, instant now, command_list& out);
    void retryOrEnd(std::size_t row, bool countsAsSend, error_kind kind, instant now, command_list& out);
    void endWithFailure(std::size_t row, error_kind kind, command_list& out);
    void refuse(std::size_t row, error_kind kind, duration retryAfter, command_list& out);
    void remove(std::size_t row, command_list& out);
    void releaseAttempt(std::size_t row);
    void releaseCache(std::size_t row, command_list& out);
    void checkTimes(std::size_t row, instant now, command_list& out);
    bool hasRunOrMayRun(std::size_t row) const;
    bool isPastHolding(std::size_t row, instant now) const;
    duration returnTime(std::size_t row, instant now);

    fleet_table m_fleet;
    peer_load m_peers;
    engine_pace m_pace;
    prefill_queues m_queues;
    prompt_cache_map m_caches;
    target_health m_health;
    idle_connections m_connections;
    placement m_placement;
    random_source m_random;
    in_flight_requests m_book;
    retry_bound m_retryBound;
    instant m_startedAt;
    std::map<std::string, retry_allowance> m_allowances; // by service
    std::vector<request_id> m_waiting; // in order of arrival
    double m_readWait = 0;
    std::uint64_t m_nextAttempt = 1;
    int m_knownNodes = 0;
};

}
