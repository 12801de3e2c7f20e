// The port to targets: attempts to HTTP, and their answers to typed messages. Implemented for each kind of wire.
#pragma once

#include "http/http_message.h"
#include "serving/prompt_cache_map.h"
#include "serving/serving_request.h"
#include "serving/target_record.h"

#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// What one attempt adds to the caller's request.
struct attempt_spec {
    std::string_view requestId;
    std::string_view target; ///< name of the one that shall take it, and no other at its address
    serving::attempt_stage stage = serving::attempt_stage::whole;
    std::string_view cacheSource; ///< stage decode: `ip:port` of the engine that holds the KV cache
    std::string_view cacheName;
    std::string_view fetchFrom; ///< `ip:port` of an engine that keeps the prompt's beginning; empty: none
    duration timeLeft = duration::zero();
    int urgency = 0; ///< 0 goes first
    std::string_view resumeAfter; ///< id of the last event the caller has; empty: none
    bool hasPrompt = false;
};

/// Numbers of requests, as the target tells them with an answer.
struct answer_load {
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/// What the head of a target's answer says.
struct target_answer {
    int status = 0;
    bool hasNotRun = false; ///< the target states that it did not run the request
    bool isMisdirected = false; ///< another target answers at the address
    /// False for a success that cannot be the target's own: it must not reach the caller.
    bool isGenuine = true;
    std::optional<answer_load> load;
    header_list forCaller; ///< the headers that go on to the caller
    std::optional<std::uint64_t> bodyBytes; ///< empty: the body is chunked or ends with the connection
};

/// What an engine tells of its cache.
struct cache_report {
    std::uint64_t epoch = 0; ///< changes when the engine has lost its memory
    std::uint64_t next = 0; ///< number of the first event that is not in here
    bool isGapped = false; ///< events before these are not kept any more
    std::vector<serving::cache_event> events; ///< the oldest first
};

/// What an engine tells of its role.
struct role_report {
    serving::target_role role = serving::target_role::plain;
    bool isChanging = false; ///< it carries out an order
    std::uint64_t ordersTaken = 0; ///< in this life
    std::uint64_t bornAt = 0; ///< when this life began, as in the target list; 0: it does not say
};

/// An order to an engine to take another role.
struct role_order {
    std::string_view target; ///< its name
    serving::target_role role = serving::target_role::plain;
    std::string_view holder; ///< VM of the node that gives it
    std::int64_t fencingNumber = 0;
    /// An engine that has taken another number of orders refuses it: what was decided on is not so any more.
    std::uint64_t ordersTaken = 0;
};

enum class order_answer : unsigned char {
    accepted, ///< it will be carried out
    alreadyHolds, ///< the engine has the role
    refused, ///< it has had no effect and never will
    count
};

class target_protocol {
public:
    virtual ~target_protocol() = default;
    /// The caller's request as the target shall get it.
    virtual http_request attempt(const http_request& fromCaller, const attempt_spec& spec) const = 0;
    /// Whether the answer is to this request. A late one to an earlier request may come first.
    virtual bool answers(const http_response_head& head, std::string_view requestId) const = 0;
    virtual target_answer decode(const http_response_head& head) const = 0;
    /// Name of the exported KV cache in the answer to stage prefill; empty if there is none.
    virtual std::string decodePrefill(std::string_view body) const = 0;
    virtual http_request releaseCache(std::string_view cacheName, std::string_view target) const = 0;
    /// Asks an engine for cache events from number `next` on; it answers after `wait` at the latest.
    virtual http_request cacheEvents(std::uint64_t next, duration wait, std::string_view target) const = 0;
    /// Empty if the body is no report.
    virtual std::optional<cache_report> decodeCacheEvents(std::string_view body) const = 0;
    /// Asks for all that an engine keeps. The engine is held up by it, so it is for when events were missed.
    virtual http_request cacheList(std::string_view target) const = 0;
    /// Every part as an event. Empty if the body is no list.
    virtual std::optional<cache_report> decodeCacheList(std::string_view body) const = 0;
    virtual http_request roleReport(std::string_view target) const = 0;
    /// Empty if the body is no report.
    virtual std::optional<role_report> decodeRoleReport(std::string_view body) const = 0;
    virtual http_request orderRole(const role_order& order) const = 0;
    virtual order_answer decodeOrderAnswer(int status) const = 0;
};

}
