// Implements the timeline of a request and the summary of failures.
#include "observe/log_story.h"

#include "cause_table.h"
#include "logged_line.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>

namespace tamarack {

namespace {

    using detail::logged_line;
    using detail::parseLog;

    /// State changes within this time before the first line of a request are part of its timeline: they may have
    /// determined how it was handled.
    constexpr std::int64_t contextMilliseconds = 3000;

    std::string describe(const logged_line& line, std::int64_t start)
    {
        char time[32];
        std::snprintf(time, sizeof time, "%+8.3f s  ", static_cast<double>(line.at - start) / 1000);
        std::string out = time + line.text("vm") + "  " + line.text("event");
        for (const auto& [name, value] : line.fields.items()) {
            static const std::set<std::string> common { "ts_ms", "level", "event", "vm", "instance", "request" };
            if (!common.contains(name))
                out += "  " + name + "=" + line.text(name.c_str());
        }
        return out + "\n";
    }

    bool isStateChange(const logged_line& line)
    {
        static const std::set<std::string> events { "target_listed", "target_gone", "targets_changed", "target_blocked",
            "target_returned", "service_unreached", "service_reached", "target_rests", "target_leaves", "target_limits",
            "configuration_in_force", "store_lost", "store_reached", "peer_lost", "peers_lost", "readiness_changed" };
        return events.contains(line.text("event"));
    }

    /// The cause of the last failed attempt, by request id.
    using attempt_causes = std::map<std::string, std::string>;

    std::string causeOf(const logged_line& attempt)
    {
        if (attempt.is("attempt_stopped"))
            return attempt.text("stage") + " stopped (" + attempt.text("reason") + ")";
        auto cause = attempt.text("stage") + " " + attempt.text("result");
        if (!attempt.text("via").empty())
            cause += " by a peer";
        if (const auto reason = attempt.text("reason"); !reason.empty())
            cause += " (" + reason + ")";
        if (const auto status = attempt.text("status"); !status.empty() && status != "0")
            cause += " " + status;
        if (attempt.fields.value("rest_ms", -1) > 0)
            cause += ", the target rests";
        return cause;
    }

}

std::string formatRequestTimeline(const std::vector<std::string>& lines, const std::string& requestId)
{
    const auto all = parseLog(lines);
    std::set<std::string> targets;
    std::set<std::string> nodes;
    std::int64_t first = std::numeric_limits<std::int64_t>::max();
    std::int64_t last = 0;
    bool isRefusedForLimits = false;
    for (const auto& line : all) {
        if (line.text("request") != requestId)
            continue;
        targets.insert(line.text("target"));
        nodes.insert(line.text("vm"));
        first = std::min(first, line.at);
        last = std::max(last, line.at);
        isRefusedForLimits |= line.text("for_limits") == "true";
    }
    if (nodes.empty())
        return {};
    std::string out;
    for (const auto& line : all) {
        const bool namesRequest = line.text("request") == requestId;
        const bool isInWindow = line.at >= first - contextMilliseconds && line.at <= last;
        const auto target = line.text("target");
        const bool isContext = isInWindow && isStateChange(line) && nodes.contains(line.text("vm"))
            && (target.empty() || targets.contains(target) || (isRefusedForLimits && line.is("target_limits")));
        if (namesRequest || isContext)
            out += describe(line, first);
    }
    return out;
}

std::string formatFailureSummary(const std::vector<std::string>& lines, const time_span& span)
{
    attempt_causes attempts;
    detail::cause_table causes;
    int taken = 0;
    int failed = 0;
    int leftOut = 0;
    for (const auto& line : parseLog(lines)) {
        if (line.at < span.from || line.at > span.to)
            continue;
        const auto id = line.text("request");
        if (line.is("lines_left_out"))
            leftOut += line.fields.value("lines", 0);
        taken += line.is("request_taken");
        if (line.is("attempt_failed") || line.is("attempt_stopped"))
            attempts[id] = causeOf(line);
        const bool isRefusal = line.is("request_refused");
        if (!isRefusal && !line.is("request_failed") && !line.is("request_without_route") && !line.is("request_denied"))
            continue;
        ++failed;
        std::string cause = line.text("route") + "  ";
        if (line.is("request_denied"))
            cause += "denied: " + line.text("reason") + ", by version " + line.text("version");
        else if (isRefusal)
            cause += "refused: " + line.text("kind")
                + (line.text("for_limits") == "true" ? ", since all its targets name limits" : "");
        else
            cause += line.is("request_failed") ? line.text("outcome") : "no route in version " + line.text("version");
        if (const auto attempt = attempts.find(id); attempt != attempts.end())
            cause += ", after " + attempt->second;
        causes.count(cause, id);
    }
    std::string out
        = std::to_string(failed) + " of " + std::to_string(taken) + " requests did not get an answer from a target\n";
    if (leftOut > 0)
        out += std::to_string(leftOut) + " lines were dropped by the nodes\n";
    return out + causes.format();
}

}
