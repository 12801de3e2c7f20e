// Defines the table of log events.
#include "observe/log_event.h"

#include <array>

namespace tamarack {

namespace {

    using enum log_level;
    using enum log_group;

    constexpr std::array<log_event_info, static_cast<std::size_t>(log_event::count)> table { {
        { log_event::node_started, "node_started", info, lifecycle,
            "availability_zone callers caller_port address first_start" },
        { log_event::drain_started, "drain_started", info, lifecycle, "held connections late_ms" },
        { log_event::drain_finished, "drain_finished", info, lifecycle, "held connections unsent_bytes after_ms" },
        { log_event::event_loop_late, "event_loop_late", warning, lifecycle, "late_ms" },
        { log_event::settings_reloaded, "settings_reloaded", info, lifecycle, "seeds" },
        { log_event::settings_invalid, "settings_invalid", error, lifecycle, "field message" },
        { log_event::registered, "registered", info, lifecycle, "incarnation" },
        { log_event::registration_failed, "registration_failed", warning, lifecycle, "reason" },
        { log_event::store_reached, "store_reached", info, lifecycle, "topic away_ms" },
        { log_event::store_lost, "store_lost", warning, lifecycle, "topic reason" },
        { log_event::store_reading_changed, "store_reading_changed", info, lifecycle,
            "for_zone configuration targets configuration_age_ms targets_age_ms" },
        { log_event::store_asked, "store_asked", info, lifecycle, "topic age_ms rank" },
        { log_event::peer_lost, "peer_lost", warning, lifecycle, "peer silent_ms" },
        { log_event::peers_reached, "peers_reached", info, lifecycle, "count peers" },
        { log_event::peers_lost, "peers_lost", warning, lifecycle, "count peers" },
        { log_event::relay_changed, "relay_changed", info, lifecycle, "relay passes_on" },
        { log_event::readiness_changed, "readiness_changed", info, lifecycle, "ready configuration targets stopping" },
        { log_event::state_pulled, "state_pulled", info, lifecycle, "peer targets" },
        { log_event::state_not_pulled, "state_not_pulled", warning, lifecycle, "peer reason" },
        { log_event::lines_left_out, "lines_left_out", warning, lifecycle, "group lines" },
        { log_event::configuration_in_force, "configuration_in_force", info, belief,
            "version offset routes deployment" },
        { log_event::configuration_invalid, "configuration_invalid", error, belief, "offset field message" },
        { log_event::target_listed, "target_listed", info, belief,
            "target service address build role draining sequence" },
        { log_event::target_gone, "target_gone", info, belief, "target" },
        { log_event::targets_changed, "targets_changed", info, belief, "listed draining gone known targets" },
        { log_event::target_record_invalid, "target_record_invalid", warning, belief, "target field message" },
        { log_event::target_blocked, "target_blocked", warning, belief, "target reason failures for_ms" },
        { log_event::target_returned, "target_returned", info, belief, "target" },
        { log_event::service_unreached, "service_unreached", warning, belief, "service targets reason since_ms" },
        { log_event::service_reached, "service_reached", info, belief, "service targets away_ms" },
        { log_event::target_rests, "target_rests", info, belief, "target rest_ms" },
        { log_event::target_leaves, "target_leaves", info, belief, "target call status listed draining" },
        { log_event::target_limits, "target_limits", info, belief, "target per_second since_ms issuer" },
        { log_event::target_limit_malformed, "target_limit_malformed", warning, belief, "target call status" },
        { log_event::target_header_unknown, "target_header_unknown", warning, belief, "target call header" },
        { log_event::request_quarantined, "request_quarantined", warning, belief,
            "digest kind account targets age_ms quarantined" },
        { log_event::quarantine_ended, "quarantine_ended", info, belief, "digest kind clearances held_back left" },
        { log_event::cache_view_restarted, "cache_view_restarted", info, belief, "target restarted gap" },
        { log_event::caches_told, "caches_told", info, belief,
            "parts answered complete (of a peer: the prompt parts that it knows to be cached by engines, and whether "
            "its view is complete)" },
        { log_event::cache_not_released, "cache_not_released", debug, belief, "reason" },
        { log_event::alarm_raised, "alarm_raised", warning, lifecycle, "alarm detail" },
        { log_event::alarm_cleared, "alarm_cleared", info, lifecycle, "alarm" },
        { log_event::lease_changed, "lease_changed", info, belief, "lease holder term read_to" },
        { log_event::duty_stated, "duty_stated", info, belief, "key fence" },
        { log_event::duty_call_sent, "duty_call_sent", info, belief,
            "call window accounts requests service zone spot desired fence" },
        { log_event::duty_call_answered, "duty_call_answered", info, belief,
            "call window service zone spot desired status result" },
        { log_event::duty_call_unanswered, "duty_call_unanswered", warning, belief,
            "call window service zone spot desired may_have_reached reason" },
        { log_event::usage_missed, "usage_missed", warning, belief, "window late_ms" },
        { log_event::roles_due, "roles_due", info, belief, "service engines readers wanted idle" },
        { log_event::role_kept, "role_kept", info, belief, "target reason" },
        { log_event::order_sent, "order_sent", info, belief, "target order fence set value" },
        { log_event::order_answered, "order_answered", info, belief, "target order status" },
        { log_event::order_unanswered, "order_unanswered", warning, belief, "target order may_have_reached reason" },
        { log_event::request_refused, "request_refused", info, failed,
            "request connection route kind retry_after_ms held_ms waiting for_limits on_arrival predicted_wait_ms "
            "version" },
        { log_event::request_failed, "request_failed", warning, failed,
            "request connection route outcome detail first_ms took_ms events attempts attempt_ends cause until_exit_ms "
            "longest_pause_ms" },
        { log_event::request_held_at_exit, "request_held_at_exit", warning, failed,
            "request route took_ms running_ms began events attempts" },
        { log_event::request_without_route, "request_without_route", info, failed, "request host path version age_ms" },
        { log_event::request_denied, "request_denied", info, failed, "request host path reason version age_ms" },
        { log_event::attempt_failed, "attempt_failed", info, failed,
            "request digest parts target stage via result began reason status rest_ms may_have_reached took_ms" },
        { log_event::attempt_stopped, "attempt_stopped", info, failed,
            "request digest target stage reason silent_ms events took_ms" },
        { log_event::input_discarded, "input_discarded", warning, failed, "reason bytes delay_ms" },
        { log_event::slow_caller_cut, "slow_caller_cut", warning, failed, "bytes all_bytes" },
        { log_event::client_pressure, "client_pressure", warning, failed, "kind bytes all_bytes connections" },
        { log_event::foreign_answer_dropped, "foreign_answer_dropped", warning, failed, "request target" },
        { log_event::request_taken, "request_taken", info, served,
            "request connection digest account route service version left_ms until_exit_ms tokens parts last_event "
            "first_call "
            "aim_ms gap_aim_ms" },
        { log_event::stream_taken_up, "stream_taken_up", info, served, "request first_call origin build waited_ms" },
        { log_event::request_waits, "request_waits", info, served, "request waiting" },
        { log_event::attempt_started, "attempt_started", info, served,
            "request target build stage via beside after_event late urgency work wait_ms running predicted_ms left_ms "
            "fetch_from" },
        { log_event::attempt_ended, "attempt_ended", info, served, "request target stage via status first_ms took_ms" },
        { log_event::call_passed_on, "call_passed_on", info, served, "request target result reason status took_ms" },
        { log_event::request_ended, "request_ended", info, served,
            "request route first_ms took_ms events attempts longest_pause_ms" },
    } };

    constexpr bool isComplete()
    {
        for (std::size_t i = 0; i < table.size(); ++i) {
            if (static_cast<std::size_t>(table[i].event) != i)
                return false;
        }
        return true;
    }
    static_assert(isComplete(), "the table must have one row per event, in the order of the enumeration");

}

const log_event_info& infoOf(log_event event) { return table[static_cast<std::size_t>(event)]; }

std::span<const log_event_info> logEvents() { return table; }

std::string_view toString(log_group group)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(log_group::count)> names { "lifecycle", "belief",
        "failed", "served" };
    return names[static_cast<std::size_t>(group)];
}

}
