// Interface between the gateway and the targets' wire protocol: encodes attempts as HTTP requests and decodes the
// responses. Each wire protocol has its own implementation.
#pragma once

#include "base/request_rate.h"
#include "http/http_message.h"
#include "serving/prompt_cache_map.h"
#include "serving/serving_request.h"
#include "serving/target_record.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/// Data of one attempt that is added to the caller's request.
struct attempt_spec {
    std::string_view requestId;
    std::string_view target; ///< name of the intended target; any other target at its address must reject the request
    serving::attempt_stage stage = serving::attempt_stage::whole;
    std::string_view cacheSource; ///< stage decode only: `ip:port` of the engine that holds the KV cache of the prefill
    std::string_view cacheName;
    std::string_view fetchFrom; ///< `ip:port` of an engine that has a prefix of the prompt cached; empty: none
    duration timeLeft = duration::zero();
    int urgency = 0; ///< 0 is the most urgent
    std::string_view resumeAfter; ///< id of the last event that the caller has received; empty: none
    bool hasPrompt = false;
    std::string_view account; ///< name of the client account; empty: none
};

/// Request counts that a target reports with a response.
struct answer_load {
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/// Decoded head of a target's response.
struct target_answer {
    int status = 0;
    bool hasNotRun = false; ///< the target declares that it has not executed the request
    bool isMisdirected = false; ///< another target has responded at this address
    /// For how long the target wants no request of any kind from this node; empty: it has not said so.
    std::optional<duration> rest;
    bool isLeaving = false; ///< the target declares that it is about to exit and takes no further requests
    /// The requests that the target takes from all nodes together; empty: the answer names no limit.
    std::optional<request_rate> limit;
    bool isLimitMalformed = false; ///< the answer names a limit that is not a number; it neither sets nor lifts one
    std::vector<std::string> unknownHeaders; ///< names of headers that the protocol does not define
    /// False for a success that cannot originate from the target itself; it must not be relayed to the caller.
    bool isGenuine = true;
    std::optional<answer_load> load;
    header_list forCaller; ///< headers to relay to the caller
    std::optional<std::uint64_t> bodyBytes; ///< empty: the body is chunked or delimited by the end of the connection
    bool isDelimited = true; ///< false: the body ends with the connection, so its end does not show that it is complete
};

/// Events of an engine's prefix cache.
struct cache_report {
    std::uint64_t epoch = 0; ///< changes when the engine has lost its cache contents
    std::uint64_t next = 0; ///< sequence number of the first event after this report
    bool hasGap = false; ///< events between the requested one and these are no longer retained
    std::vector<serving::cache_event> events; ///< oldest first
};

/// The role state that an engine reports.
struct role_report {
    serving::target_role role = serving::target_role::plain;
    bool isChanging = false; ///< a role change is in progress
    std::uint64_t ordersTaken = 0; ///< number of orders accepted since the process start
    std::uint64_t bornAt = 0; ///< process start time, as in the target list; 0: not reported
};

/// An order to an engine to switch to another role.
struct role_order {
    std::string_view target; ///< name of the engine
    serving::target_role role = serving::target_role::plain;
    std::string_view holder; ///< VM of the node that holds the lease and sends the order
    std::int64_t fencingNumber = 0;
    /// Precondition: an engine that has accepted another number of orders rejects this one, since the state on which
    /// the decision was based has changed.
    std::uint64_t ordersTaken = 0;
};

enum class order_answer : unsigned char {
    accepted, ///< the role change will be executed
    alreadyHolds, ///< the engine already has the role
    refused, ///< the order has no effect, now or later
    count
};

class target_protocol {
public:
    virtual ~target_protocol() = default;
    /// Builds the request for the target from the caller's request.
    virtual http_request attempt(const http_request& fromCaller, const attempt_spec& spec) const = 0;
    /// Whether the response belongs to this request. A late response to an earlier request may arrive first on a
    /// connection.
    virtual bool answers(const http_response_head& head, std::string_view requestId) const = 0;
    virtual target_answer decode(const http_response_head& head) const = 0;
    /// Returns the name of the exported KV cache from the response to stage prefill; empty if there is none.
    virtual std::string decodePrefill(std::string_view body) const = 0;
    virtual http_request releaseCache(std::string_view cacheName, std::string_view target) const = 0;
    /// Builds a long poll for an engine's cache events from sequence number `next` on; it responds after `wait` at the
    /// latest.
    virtual http_request cacheEvents(std::uint64_t next, duration wait, std::string_view target) const = 0;
    /// Returns nothing if the body is malformed.
    virtual std::optional<cache_report> decodeCacheEvents(std::string_view body) const = 0;
    /// Builds a request for the full contents of an engine's cache. Listing blocks the engine, so it is only for when
    /// events were missed.
    virtual http_request cacheList(std::string_view target) const = 0;
    /// Returns every cached prefix as an event, or nothing if the body is malformed.
    virtual std::optional<cache_report> decodeCacheList(std::string_view body) const = 0;
    virtual http_request roleReport(std::string_view target) const = 0;
    /// Returns nothing if the body is malformed.
    virtual std::optional<role_report> decodeRoleReport(std::string_view body) const = 0;
    virtual http_request orderRole(const role_order& order) const = 0;
    virtual order_answer decodeOrderAnswer(int status) const = 0;
};

}
