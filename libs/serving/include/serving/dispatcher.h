// Decides on admission, queueing, dispatch, retries and refusal of the requests held by one node. The dispatcher is
// deterministic: it uses no socket, clock or thread.
#pragma once

#include "quarantine/abandoned_attempts.h"
#include "quarantine/request_quarantine.h"
#include "serving/admission.h"
#include "serving/answer_times.h"
#include "serving/peer_load.h"
#include "serving/permit_holder.h"
#include "serving/permit_issuer.h"
#include "serving/placement.h"
#include "serving/retry_limiter.h"
#include "serving/target_limits.h"
#include "serving/target_paths.h"
#include "serving/target_rest.h"
#include "serving/target_room.h"
#include "serving/waiting_queue.h"

#include "serving/in_flight_requests.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace tamarack::serving {

struct dispatcher_settings {
    std::string vm;
    std::string availabilityZone;
    std::uint64_t seed = 1;
    retry_bound retries;
    /// Start of the process. The node uses its share of the retry slack only one retry window later. If unset, there
    /// was no previous process.
    instant startedAt;
    duration peerLoadExpiry
        = std::chrono::seconds(1); ///< load reported by a peer expires after this time without an update
    /// From when on this node has noticed every build of targets. If unset, always.
    instant buildsKnownSince;
};

/// When the process ends after a planned stop.
struct stop_times {
    instant lastAnswerAt; ///< what has not been answered by then may be cut
    instant earliestExitAt; ///< the process does not exit before, even if it holds no request
};

/// Schedules requests onto targets. Commands take effect immediately: a request is started, waits, or is refused at
/// once with a retry delay.
class dispatcher {
public:
    explicit dispatcher(dispatcher_settings settings);

    void targetListed(const target_record& record);
    void targetGone(const std::string& instance, instant now);
    /// The target has declared in an answer that it leaves. This incarnation gets no new work from now on, whatever the
    /// target list says; its running attempts go on. Returns whether the declaration is new.
    bool targetLeaves(const std::string& instance);
    /// Takes back an attempt whose command has not been executed yet if its target has begun to leave since the
    /// choice, and starts the request elsewhere or lets it wait. Returns whether the attempt was taken back.
    bool takeBackIfLeaving(request_id request, attempt_id attempt, instant now, command_list& out);
    void updatePeerLoad(const std::string& peer, const std::vector<load_entry>& load, instant now);
    /// Records prompts that a peer sent to engines. The peer is given as shortHash() of its VM. With `isAll`, the list
    /// is complete and replaces earlier reports.
    void updatePeerJobs(std::uint32_t peer, const std::vector<prefill_report>& jobs, bool isAll, instant now);
    /// The engine is changing its role. It receives no new work before `until`, unless it is listed with the new role
    /// earlier.
    void roleChanging(target_id engine, instant until) { m_fleet.roleChangeUntil[engine.value] = until; }
    /// Sets the time without an update after which load reported by a peer expires.
    void setPeerLoadExpiry(duration expiry) { m_peers.setTimeToLive(expiry); }
    /// The target wants nothing from this node for `rest`.
    void targetAskedForRest(target_id target, duration rest, instant now) { m_rests.told(target, rest, now); }
    target_limits& limits() { return m_limits; }
    const target_limits& limits() const { return m_limits; }
    permit_issuer& permitIssuer() { return m_permitIssuer; }
    permit_holder& permits() { return m_permits; }
    void permitsGranted(const std::vector<permit_grant>& grants, instant now, command_list& out);
    /// Takes a permit for a call that is no attempt, if the target has a limit. Returns false if there is none now; the
    /// node then asks for one.
    bool takePermit(target_id target, instant now);
    /// Records the outcomes of a peer's attempts.
    void updatePeerHealth(const std::vector<health_report>& reports, instant now);
    /// Outcomes of this node's attempts since the last call, to be sent to the peers.
    std::vector<health_report> takeHealthReports(instant now) { return m_health.takeReports(now); }
    /// Merges quarantine records of a peer or of the store, and ends the requests that they quarantine.
    void applyQuarantine(const std::vector<quarantine_record>& records, instant now, command_list& out);
    request_quarantine& quarantine() { return m_quarantine; }
    const request_quarantine& quarantine() const { return m_quarantine; }
    /// Sets the number of known nodes, reachable or not, including this one. 0 if the number is unknown.
    void setKnownNodes(int nodes);

    /// Admits a new request. If the request is started or refused at once, the command for this is added to `out`.
    request_id submit(serving_request request, instant now, command_list& out);
    /// A peer has answered a question of origins().
    void originReplyReceived(const node_endpoint& from, const origin_reply& reply, instant now, command_list& out);
    stream_origins& origins() { return m_origins; }
    const stream_origins& origins() const { return m_origins; }
    /// The first bytes of the response have arrived from the target.
    void firstByteReceived(request_id request, attempt_id attempt, instant now);
    /// A stream event has arrived.
    void streamEventReceived(request_id request, attempt_id attempt, instant now);
    /// Reading from the target was paused because the caller receives too slowly, or was resumed.
    void readingPaused(request_id request, attempt_id attempt, bool isPaused, instant now);
    /// Whether the caller may get an answer before it is whole. A stopping process keeps an answer that its exit might
    /// cut until it is whole, since what has not begun can still end with an error.
    bool mayBeginAnswer(request_id request, instant now) const;
    /// Part of the response is about to be sent to the caller. Messages of origins() have to leave before it.
    void responseStarted(request_id request, attempt_id attempt, instant now);
    /// The target has sent an answer that is certainly complete. Called before attemptEnded().
    void wholeAnswerReceived(request_id request, attempt_id attempt, instant now);
    /// The target has closed the connection of an attempt before the end of its answer. Called before attemptEnded().
    void targetClosedConnection(request_id request, attempt_id attempt, instant now);
    /// No connection to the target of an attempt could be made, by this node or by the peer of its detour. Called
    /// before attemptEnded().
    void targetUnreached(request_id request, attempt_id attempt, path_failure failure, instant now);
    /// The peer of an attempt's detour has not taken it and gets no calls for `pause`; zero: only none for this target.
    /// Called before attemptEnded().
    void detourRefused(request_id request, attempt_id attempt, duration pause, instant now);
    /// The peer of an attempt's detour has said that the target has sent no usable answer. Called before
    /// attemptEnded().
    void targetBrokeBehindPeer(request_id request, attempt_id attempt);
    /// A check of the path to the target, begun at `startedAt`, has ended. `failure` is empty if the target was
    /// reached.
    void pathChecked(const std::string& instance, std::optional<path_failure> failure, instant startedAt, instant now,
        command_list& out);
    /// An attempt has ended. `cacheName` is the name of the KV cache that a prefill exported.
    void attemptEnded(request_id request, attempt_id attempt, attempt_result result, const std::string& cacheName,
        instant now, command_list& out);
    /// The caller has disconnected. No further commands are issued for the request.
    void callerDisconnected(request_id request, instant now, command_list& out);
    /// The process is stopping. From now on an attempt is started only if the whole answer is expected in time; other
    /// requests are refused at once.
    void stop(const stop_times& times) { m_stop = times; }
    /// Time in which a stopping process still answers; nothing if it is not stopping.
    std::optional<duration> untilExit(instant now) const
    {
        return m_stop ? std::optional(std::max(duration::zero(), m_stop->lastAnswerAt - now)) : std::nullopt;
    }
    /// Sets whether callers of this node find another one that takes calls.
    void setOthersTakeCalls(bool othersTakeCalls) { m_othersTakeCalls = othersTakeCalls; }
    /// Ends all requests with errors, since the process is about to exit.
    void endAll(instant now, command_list& out);
    /// Dispatches waiting requests and ends those whose deadline has passed.
    void tick(instant now, command_list& out);

    /// Whether the attempt is in progress. While a silent target may still answer, a request can have two. The first
    /// one that brings a byte of the answer ends the other; the command to stop that one comes with the next tick.
    bool isCurrent(request_id request, attempt_id attempt) const;
    void updateTargetLoad(target_id target, const reported_load& load) { m_fleet.reportedLoad[target.value] = load; }
    void applyCacheEvents(target_id engine, const std::vector<cache_event>& events)
    {
        m_caches.applyEvents(engine, events);
    }
    void replaceCacheParts(target_id engine, const std::vector<cache_event>& parts)
    {
        m_caches.replaceParts(engine, parts);
    }
    std::vector<prompt_part> cachedParts(target_id engine) const { return m_caches.cachedParts(engine); }
    void forgetCache(target_id engine) { m_caches.forget(engine); }
    /// An attempt has left an idle connection to the target, which may be reused until then.
    void connectionKept(target_id target, instant until) { m_connections.add(target, until); }
    std::vector<health_change> takeHealthChanges() { return m_health.takeChanges(); }
    std::vector<rest_change> takeRestChanges() { return m_rests.takeChanges(); }
    const fleet_table& fleet() const { return m_fleet; }
    const target_paths& paths() const { return m_paths; }
    target_paths& paths() { return m_paths; }
    /// Targets whose direct path was lost since the last call. Idle connections to them must not be used any more.
    std::vector<target_id> takeLostPaths();
    std::vector<service_path_change> takeServiceChanges(instant now) { return m_paths.takeServiceChanges(now); }
    std::vector<load_entry> ownLoad() const { return m_peers.localLoad(); }
    std::vector<prefill_report> ownJobs(instant now) const { return m_queues.localReports(now); }
    /// Prompts sent to engines since the last call, to be reported to the peers.
    std::vector<prefill_report> takeNewJobs(instant now) { return m_queues.takeNewReports(now); }
    /// Moving average of the time that long prompts wait at prefill-only engines, in seconds.
    double prefillWaitSeconds() const { return m_prefillWaitSeconds; }
    std::size_t held() const { return m_book.held(); }
    std::size_t waiting() const { return m_waiting.size(); }
    /// The predicted wait of the least urgent requests of the service that arrive now.
    duration predictedWait(const std::string& service, instant now) const
    {
        return m_admission.predictedWait(service, now);
    }

private:
    /// Minimum remaining time for which an attempt is started. Below it no target can answer.
    static constexpr duration minUsefulTime = std::chrono::milliseconds(20);

    /// The gap after which callers abandon a stream of the route.
    static duration abandonedGap(const route_rule& route);
    placement_query needOf(std::size_t row, instant now) const;
    /// Ends the prefill accounting of the current attempt. `wasRead` says whether the prompt was prefilled.
    void finishPrefill(std::size_t row, instant now, bool wasRead);
    retry_limiter& retryLimiterOf(const std::string& service);
    bool tryStart(std::size_t row, instant now, command_list& out);
    /// Refuses the request if it or a part of its prompt is quarantined, unless it is the trial that may show that the
    /// quarantine is wrong. Returns whether it was.
    bool refuseIfQuarantined(std::size_t row, instant now, command_list& out);
    /// What is quarantined of the request: itself and parts of its prompt.
    std::vector<request_trait> quarantinedTraits(std::size_t row) const;
    /// Whether the request is the trial of all that is quarantined of it. Claims the trial if it is due.
    bool isTrial(std::size_t row, const std::vector<request_trait>& quarantined, instant now);
    /// The current attempt may have reached its target. Counts it if it is a trial.
    void countTrial(std::size_t row);
    /// The first event of an answer to the request has come.
    void partsBegun(std::size_t row, instant now);
    /// The target has outlasted the begin of an answer to the request.
    void partsProvenHarmless(std::size_t row, instant now);
    /// Calls `function` with the traits of the request that the end of its target speaks against, and the evidence.
    template <class Function>
    void forSuspects(std::size_t row, const current_attempt& attempt, Function function) const;
    /// Ends the held requests that have been quarantined since the last call.
    void endQuarantined(instant now, command_list& out);
    bool startDecode(std::size_t row, instant now, command_list& out);
    void start(std::size_t row, const target_choice& choice, instant now, command_list& out);
    /// Starts or refuses a request that does not wait yet, or lets it wait behind the more urgent ones.
    void startOrWait(std::size_t row, instant now, command_list& out);
    /// Lets the request wait, unless it has waited for too long.
    void wait(std::size_t row, instant now, command_list& out);
    /// Whether the present order, prediction and return times apply: a target of the service reports its load.
    bool isAdmissionActive(const std::string& service) const;
    /// Whether the request goes on with work that was done for it: a prefilled prompt or a begun answer.
    bool isUnderWay(std::size_t row) const;
    /// The request's place among those that wait.
    queue_position positionOf(std::size_t row, instant now) const;
    /// Refuses the request if it would be started too late, and says when to return. Returns whether it did.
    bool refuseOnArrival(std::size_t row, instant now, command_list& out);
    /// Makes room for the request in a full queue by refusing the least urgent request that waits, or the request
    /// itself if it is less urgent. Returns whether the request may wait.
    bool makeRoomInQueue(std::size_t row, instant now, command_list& out);
    /// Refuses the request for lack of capacity, with its own return time.
    void refuseOverloaded(std::size_t row, bool isOnArrival, instant now, command_list& out);
    /// The time from which the request is of no use in the queue.
    instant waitEnd(std::size_t row, instant now) const;
    /// Refuses the request if all targets that could answer it rest for longer than it may wait. Returns whether it
    /// did.
    bool refuseIfAllRest(std::size_t row, instant now, command_list& out);
    /// Refuses the request if all targets that could answer it have limits that leave no permit for it in time. Returns
    /// whether it did.
    bool refuseIfAllLimited(std::size_t row, instant now, command_list& out);
    /// Asks for permits of the targets that could serve the request.
    void wantPermits(std::size_t row, permit_use use, instant now);
    /// Predicted time until this node has a permit for a request that comes after those that wait; zero unless all
    /// targets that could answer it have limits and none a permit.
    duration permitDelay(std::size_t row, instant now);
    /// Refuses the request if this node reaches no target of its service, neither directly nor by a peer. Returns
    /// whether it did.
    bool refuseIfCutOff(std::size_t row, instant now, command_list& out);
    /// Records how long the answer that has just ended took, if that says something about others.
    void recordAnswerTime(std::size_t row, instant now);
    /// The time to allow for a whole answer if the attempt is started now; `choice` may have no target.
    duration timeToAnswer(std::size_t row, const target_choice& choice, instant now) const;
    /// The time to allow from the first byte of the answer to its end. `choice` may have no target.
    std::optional<duration> timeFromBegin(std::size_t row, const target_choice& choice, instant now) const;
    /// Ends the request if the process is stopping and the answer would come after that. Returns whether it did.
    bool refuseIfStopping(std::size_t row, duration needed, instant now, command_list& out);
    /// The same whatever target is chosen.
    bool refuseIfStoppingBeforeStart(std::size_t row, instant now, command_list& out);
    /// The same for a request that has to wait for those before it.
    bool refuseIfStoppingAfterWait(std::size_t row, instant now, command_list& out);
    /// The stage of the request's next attempt, without a target.
    target_choice nextChoice(std::size_t row) const;
    /// The time after which the callers of a stopping node find one that takes calls.
    duration returnDelayAtStop(instant now);
    origin_scope originScopeOf(std::size_t row) const;
    /// Continues requests that take up a stream whose origin was found, and refuses those whose origin is unknown.
    void applyOrigins(instant now, command_list& out);
    void applyOrigin(const origin_finding& finding, instant now, command_list& out);
    /// Ends the request if its stream was begun by a build of which no target is left. Returns whether it did.
    bool endIfBuildIsGone(std::size_t row, command_list& out);
    /// The time until a target that could answer the request may be asked again; zero unless all of them rest.
    duration restDelay(std::size_t row, instant now);
    /// Whether another attempt that counts against the route's attempt limit may be sent.
    bool mayRetry(std::size_t row, instant now);
    /// The attempt of the request with this id, which is in progress.
    current_attempt& attemptOf(std::size_t row, attempt_id attempt);
    /// A target to which the request of a silent one could be sent now, and which would answer in time; invalid if
    /// there is none.
    target_choice choiceBesideSilent(std::size_t row, instant now);
    /// Starts an attempt beside the silent current one if another target can take the request.
    void leaveSilent(std::size_t row, instant now, command_list& out);
    /// The attempt brings the answer, so that another one beside it is of no use any more.
    void goOnWith(std::size_t row, attempt_id attempt, instant now);
    /// Goes on with the silent attempt alone, as the one beside it has ended. Returns whether there was one.
    bool returnToSilent(std::size_t row, instant now);
    /// A silent attempt has ended without an answer while another one is in progress.
    void silentEnded(std::size_t row, attempt_result result, instant now);
    void countSend(std::size_t row, instant now);
    /// Counts an attempt that may have reached its target. Further ones count against the retry limit shared by all
    /// nodes.
    void countArrival(std::size_t row, instant now);
    void dispatch(instant now, command_list& out);
    /// What decides the request's place among those that wait; nothing if it does not wait.
    std::optional<waiting_key> waitingKeyOf(request_id id, instant now) const;
    void handleAttemptResult(
        std::size_t row, attempt_result result, const std::string& cacheName, instant now, command_list& out);
    void succeeded(std::size_t row, instant now);
    void prefilled(std::size_t row, const std::string& cacheName, instant now, command_list& out);
    void retryOrEnd(std::size_t row, bool countsAsSend, error_kind kind, instant now, command_list& out);
    void endWithFailure(std::size_t row, error_kind kind, instant now, command_list& out);
    void refuse(std::size_t row, error_kind kind, duration retryAfter, command_list& out);
    void remove(std::size_t row, command_list& out);
    void releaseAttempt(current_attempt& attempt);
    void releaseCurrent(std::size_t row);
    /// Remembers an attempt which is being cancelled although its target may run it.
    void abandonAttempt(std::size_t row, const current_attempt& attempt, instant now);
    /// The same for all attempts of the request.
    void abandonAttempts(std::size_t row, instant now);
    void stopAttempts(std::size_t row, stop_reason reason, command_list& out);
    /// Attributes the end of a target to the attempts at it that were cancelled shortly before.
    void blameAbandoned(target_id target, instant now);
    void releaseCache(std::size_t row, command_list& out);
    /// Records what an attempt that did not reach its target says of the target's health.
    void recordBroken(const current_attempt& attempt, instant now);
    void judgeUnreached(const current_attempt& attempt, instant now);
    void checkTimes(std::size_t row, instant now, command_list& out);
    bool hasRunOrMayRun(std::size_t row) const;
    /// Whether the request has waited for a target for as long as is of use to its caller.
    bool isHoldTimeOver(std::size_t row, instant now) const;
    instant holdEnd(std::size_t row) const;
    duration retryDelay(std::size_t row, instant now);

    fleet_table m_fleet;
    peer_load m_peers;
    engine_pace m_pace;
    prefill_queues m_queues;
    prompt_cache_map m_caches;
    target_health m_health;
    target_rests m_rests;
    target_limits m_limits;
    permit_issuer m_permitIssuer;
    permit_holder m_permits;
    target_paths m_paths;
    stream_origins m_origins;
    request_quarantine m_quarantine;
    abandoned_attempts m_abandoned;
    command_list m_delayed; // commands that result from received bytes, issued by the next tick
    std::uint64_t m_quarantinesSeen = 0;
    idle_connections m_connections;
    target_room m_room;
    placement m_placement;
    random_source m_random;
    in_flight_requests m_book;
    retry_bound m_retryBound;
    instant m_startedAt;
    std::map<std::string, retry_limiter> m_retryLimiters; // by service
    waiting_queue m_waiting;
    admission m_admission;
    answer_times m_answerTimes;
    std::optional<stop_times> m_stop; // set while the process is stopping
    bool m_othersTakeCalls = false;
    double m_prefillWaitSeconds = 0;
    std::uint64_t m_nextAttempt = 1;
    int m_knownNodes = 0;
};

}
