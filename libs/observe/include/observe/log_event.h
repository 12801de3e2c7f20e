// Defines every log event of the programs, with its name, level, group and fields.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace tamarack {

enum class log_level : unsigned char { debug, info, warning, error };

/// Each group has its own rate limit, so that lines about served requests never displace the others.
enum class log_group : unsigned char {
    lifecycle, ///< start, stop, reload, connections to dependencies
    belief, ///< the local view of targets, peers and configuration versions
    failed, ///< requests that were refused, failed or truncated, and failed attempts
    served, ///< all other lines about requests
    count
};

enum class log_event : unsigned char {
    node_started,
    drain_started,
    drain_finished,
    event_loop_late,
    settings_reloaded,
    settings_invalid,
    registered,
    registration_failed,
    store_reached,
    store_lost,
    store_reading_changed,
    store_asked,
    peer_lost,
    peers_reached,
    peers_lost,
    relay_changed,
    readiness_changed,
    state_pulled,
    state_not_pulled,
    lines_left_out,
    configuration_in_force,
    configuration_invalid,
    target_listed,
    target_gone,
    targets_changed,
    target_record_invalid,
    target_blocked,
    target_returned,
    service_unreached,
    service_reached,
    target_rests,
    target_leaves,
    target_limits,
    target_limit_malformed,
    target_header_unknown,
    request_quarantined,
    quarantine_ended,
    cache_view_restarted,
    caches_told,
    cache_not_released,
    alarm_raised,
    alarm_cleared,
    lease_changed,
    duty_stated,
    duty_call_sent,
    duty_call_answered,
    duty_call_unanswered,
    usage_missed,
    roles_due,
    role_kept,
    order_sent,
    order_answered,
    order_unanswered,
    request_refused,
    request_failed,
    request_held_at_exit,
    request_without_route,
    request_denied,
    attempt_failed,
    attempt_stopped,
    input_discarded,
    slow_caller_cut,
    client_pressure,
    foreign_answer_dropped,
    request_taken,
    stream_taken_up,
    request_waits,
    attempt_started,
    attempt_ended,
    call_passed_on,
    request_ended,
    count
};

struct log_event_info {
    log_event event;
    std::string_view name;
    log_level level;
    log_group group;
    std::string_view fields; ///< fields besides those common to all lines; documentation only
};

/// Returns the entry for `event`.
const log_event_info& infoOf(log_event event);
/// Returns one entry for each event, in the order of the enumeration.
std::span<const log_event_info> logEvents();
std::string_view toString(log_group group);

}
