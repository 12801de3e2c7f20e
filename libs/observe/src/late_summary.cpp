// Implements the summary of late requests: determines which requests were late, and the cause of each.
#include "observe/log_story.h"

#include "cause_table.h"
#include "logged_line.h"

#include <algorithm>
#include <map>

namespace tamarack {

namespace {

    using detail::logged_line;
    using detail::parseLog;

    /// One attempt at a target, from the log lines of its start and its end.
    struct logged_attempt {
        std::string target;
        std::string stage;
        std::int64_t startedAt = 0;
        double predictedMs = 0;
        double waitMs = 0;
        double tookMs = 0; ///< until the first event; until the end for a prefill or an attempt without events
        double work = 0;
        bool wasPredictedLate = false; ///< it was sent although it was predicted to miss its latency goal
        bool hasFailed = false;
    };

    struct logged_request {
        std::string id;
        std::string route;
        std::int64_t takenAt = 0;
        std::int64_t endedAt = 0;
        double aimMs = 0;
        double gapAimMs = 0;
        double firstMs = 0; ///< until the first event of a stream, or the whole answer
        double longestPauseMs = 0;
        bool isStream = false;
        bool isComplete = false;
        std::vector<logged_attempt> attempts;
    };

    /// The prefill of one request on a target that also decodes streams.
    struct prefill_interval {
        std::int64_t from = 0;
        std::int64_t to = 0;
        std::string request;
    };

    using request_table = std::map<std::string, logged_request>;

    void recordAttemptStart(logged_request& request, const logged_line& line)
    {
        logged_attempt attempt;
        attempt.target = line.text("target");
        attempt.stage = line.text("stage");
        attempt.startedAt = line.at;
        attempt.predictedMs = line.number("predicted_ms");
        attempt.waitMs = line.number("wait_ms");
        attempt.work = line.number("work");
        attempt.wasPredictedLate = line.text("late") == "true";
        request.attempts.push_back(std::move(attempt));
    }

    void recordAttemptEnd(logged_request& request, const logged_line& line)
    {
        if (request.attempts.empty())
            return;
        auto& attempt = request.attempts.back();
        attempt.hasFailed = !line.is("attempt_ended");
        const bool isPrefill = attempt.stage == "prefill";
        attempt.tookMs = line.number(isPrefill || line.number("first_ms") < 0 ? "took_ms" : "first_ms");
    }

    void recordRequestEnd(logged_request& request, const logged_line& line)
    {
        request.isComplete = true;
        request.endedAt = line.at;
        request.isStream = line.number("first_ms") >= 0;
        request.firstMs = line.number(request.isStream ? "first_ms" : "took_ms");
        request.longestPauseMs = line.number("longest_pause_ms");
    }

    request_table collect(const std::vector<logged_line>& lines, const time_span& span)
    {
        request_table out;
        for (const auto& line : lines) {
            const auto id = line.text("request");
            if (id.empty() || line.at < span.from || line.at > span.to)
                continue;
            if (line.is("request_taken")) {
                auto& request = out[id];
                request = {};
                request.id = id;
                request.route = line.text("route");
                request.takenAt = line.at;
                request.aimMs = line.number("aim_ms");
                request.gapAimMs = line.number("gap_aim_ms");
            }
            const auto found = out.find(id);
            if (found == out.end())
                continue; // its request_taken line is not in the files
            if (line.is("attempt_started"))
                recordAttemptStart(found->second, line);
            if (line.is("attempt_ended") || line.is("attempt_failed") || line.is("attempt_stopped"))
                recordAttemptEnd(found->second, line);
            if (line.is("request_ended"))
                recordRequestEnd(found->second, line);
        }
        return out;
    }

    std::map<std::string, std::vector<prefill_interval>> prefillsByTarget(const request_table& requests)
    {
        std::map<std::string, std::vector<prefill_interval>> out;
        for (const auto& [id, request] : requests) {
            for (const auto& attempt : request.attempts) {
                const auto to = attempt.startedAt + static_cast<std::int64_t>(attempt.tookMs);
                if (attempt.stage == "whole" && attempt.work > 0)
                    out[attempt.target].push_back({ attempt.startedAt, to, id });
            }
        }
        return out;
    }

    bool hasFailedAttempt(const logged_request& request)
    {
        return std::any_of(
            request.attempts.begin(), request.attempts.end(), [](const auto& attempt) { return attempt.hasFailed; });
    }

    /// Returns why the answer of a request began late: the first cause that accounts for at least half of the excess
    /// over the latency goal.
    std::string firstEventCause(const logged_request& request)
    {
        if (request.attempts.empty())
            return "no attempt in the log files";
        const double halfExcess = (request.firstMs - request.aimMs) / 2;
        const auto& first = request.attempts.front();
        if (static_cast<double>(first.startedAt - request.takenAt) >= halfExcess)
            return "held by the node before the first attempt";
        if (hasFailedAttempt(request))
            return "an attempt failed and another one was needed";
        if (first.wasPredictedLate)
            return first.waitMs >= first.predictedMs / 2 ? "predicted wait" : "prompt size";
        const auto& last = request.attempts.back();
        if (last.stage == "decode" && last.tookMs - last.predictedMs >= halfExcess)
            return "import took longer than predicted";
        if (first.tookMs - first.predictedMs < halfExcess && request.attempts.size() > 1)
            return "between the stages, waiting for a decode slot";
        return first.stage + (first.work > 0 ? " prompt processing" : "") + " took longer than predicted";
    }

    std::string pauseCause(
        const logged_request& request, const std::map<std::string, std::vector<prefill_interval>>& prefills)
    {
        if (request.attempts.empty())
            return "no attempt in the log files";
        if (hasFailedAttempt(request))
            return "the stream continued on another target";
        const auto& lastAttempt = request.attempts.back();
        const auto found = prefills.find(lastAttempt.target);
        if (found == prefills.end())
            return "its engine ran no other prefill meanwhile";
        const auto decodeStart = lastAttempt.startedAt + static_cast<std::int64_t>(lastAttempt.tookMs);
        const bool wasPrefilling = std::any_of(found->second.begin(), found->second.end(), [&](const auto& prefill) {
            return prefill.request != request.id && prefill.from < request.endedAt && prefill.to > decodeStart;
        });
        return wasPrefilling ? "its engine ran prefill for other requests"
                             : "its engine ran no other prefill meanwhile";
    }

}

std::string formatLateSummary(const std::vector<std::string>& lines, const time_span& span)
{
    const auto requests = collect(parseLog(lines), span);
    const auto prefills = prefillsByTarget(requests);
    detail::cause_table causes;
    int answered = 0;
    int late = 0;
    for (const auto& [id, request] : requests) {
        answered += request.isComplete;
        const bool beganLate = request.aimMs > 0 && request.firstMs > request.aimMs;
        const bool hadLongPause = request.gapAimMs > 0 && request.longestPauseMs > request.gapAimMs;
        if (!request.isComplete || !(beganLate || hadLongPause))
            continue;
        ++late;
        auto cause = request.route + "  ";
        if (beganLate)
            cause += (request.isStream ? "first event: " : "answer: ") + firstEventCause(request);
        else
            cause += "pause: " + pauseCause(request, prefills);
        causes.count(cause, id);
    }
    return std::to_string(late) + " of " + std::to_string(answered) + " whole answers were late\n" + causes.format();
}

}
