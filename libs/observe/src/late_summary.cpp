// Which requests were late, and for what reason.
#include "observe/log_story.h"

#include "cause_table.h"
#include "logged_line.h"

#include <algorithm>
#include <map>

namespace tamarack {

namespace {

    using detail::logged_line;
    using detail::parseLog;

    /// One try at a target, as its two lines tell it.
    struct logged_attempt {
        std::string target;
        std::string stage;
        std::int64_t startedAt = 0;
        double predicted = 0; ///< milliseconds, as all below
        double wait = 0;
        double took = 0; ///< until the stage's answer began
        double work = 0;
        bool wasLate = false; ///< it was sent as one that cannot be in time
        bool hasFailed = false;
    };

    struct logged_request {
        std::string id;
        std::string route;
        std::int64_t takenAt = 0;
        std::int64_t endedAt = 0;
        double aim = 0;
        double gapAim = 0;
        double first = 0; ///< until the answer began
        double longestPause = 0;
        bool isStream = false;
        bool isWhole = false;
        std::vector<logged_attempt> attempts;
    };

    /// A prompt that a target read beside its streams.
    struct reading_span {
        std::int64_t from = 0;
        std::int64_t to = 0;
        std::string request;
    };

    using request_table = std::map<std::string, logged_request>;

    void noteStart(logged_request& request, const logged_line& line)
    {
        logged_attempt attempt;
        attempt.target = line.text("target");
        attempt.stage = line.text("stage");
        attempt.startedAt = line.at;
        attempt.predicted = line.number("predicted_ms");
        attempt.wait = line.number("wait_ms");
        attempt.work = line.number("work");
        attempt.wasLate = line.text("late") == "true";
        request.attempts.push_back(std::move(attempt));
    }

    void noteAttemptEnd(logged_request& request, const logged_line& line)
    {
        if (request.attempts.empty())
            return;
        auto& attempt = request.attempts.back();
        attempt.hasFailed = line.is("attempt_failed");
        const bool isPrefill = attempt.stage == "prefill";
        attempt.took = line.number(isPrefill || line.number("first_ms") < 0 ? "took_ms" : "first_ms");
    }

    void noteEnd(logged_request& request, const logged_line& line)
    {
        request.isWhole = true;
        request.endedAt = line.at;
        request.isStream = line.number("first_ms") >= 0;
        request.first = line.number(request.isStream ? "first_ms" : "took_ms");
        request.longestPause = line.number("longest_pause_ms");
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
                request.aim = line.number("aim_ms");
                request.gapAim = line.number("gap_aim_ms");
            }
            const auto found = out.find(id);
            if (found == out.end())
                continue; // its beginning is not in the files
            if (line.is("attempt_started"))
                noteStart(found->second, line);
            if (line.is("attempt_ended") || line.is("attempt_failed"))
                noteAttemptEnd(found->second, line);
            if (line.is("request_ended"))
                noteEnd(found->second, line);
        }
        return out;
    }

    std::map<std::string, std::vector<reading_span>> readingByTarget(const request_table& requests)
    {
        std::map<std::string, std::vector<reading_span>> out;
        for (const auto& [id, request] : requests) {
            for (const auto& attempt : request.attempts) {
                const auto to = attempt.startedAt + static_cast<std::int64_t>(attempt.took);
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

    /// Why its answer began late. The first reason that explains half of the delay beyond the aim.
    std::string firstEventCause(const logged_request& request)
    {
        if (request.attempts.empty())
            return "no attempt in the files";
        const double excess = (request.first - request.aim) / 2;
        const auto& first = request.attempts.front();
        if (static_cast<double>(first.startedAt - request.takenAt) >= excess)
            return "held by the node before the first attempt";
        if (hasFailedAttempt(request))
            return "an attempt failed, a further one was needed";
        if (first.wasLate)
            return first.wait >= first.predicted / 2 ? "wait that was foretold" : "size of the prompt";
        const auto& last = request.attempts.back();
        if (last.stage == "decode" && last.took - last.predicted >= excess)
            return "import took longer than foretold";
        if (first.took - first.predicted < excess && request.attempts.size() > 1)
            return "between the stages, waiting for a place to write";
        return first.stage + (first.work > 0 ? " reading" : "") + " took longer than foretold";
    }

    std::string pauseCause(
        const logged_request& request, const std::map<std::string, std::vector<reading_span>>& readings)
    {
        if (request.attempts.empty())
            return "no attempt in the files";
        if (hasFailedAttempt(request))
            return "the stream went on at another target";
        const auto& writer = request.attempts.back();
        const auto found = readings.find(writer.target);
        if (found == readings.end())
            return "its engine read nothing meanwhile";
        const auto writesFrom = writer.startedAt + static_cast<std::int64_t>(writer.took);
        const bool wasReading = std::any_of(found->second.begin(), found->second.end(), [&](const auto& reading) {
            return reading.request != request.id && reading.from < request.endedAt && reading.to > writesFrom;
        });
        return wasReading ? "its engine read for others" : "its engine read nothing meanwhile";
    }

}

std::string formatLateSummary(const std::vector<std::string>& lines, const time_span& span)
{
    const auto requests = collect(parseLog(lines), span);
    const auto readings = readingByTarget(requests);
    detail::cause_table causes;
    int answered = 0;
    int late = 0;
    for (const auto& [id, request] : requests) {
        answered += request.isWhole;
        const bool beganLate = request.aim > 0 && request.first > request.aim;
        const bool paused = request.gapAim > 0 && request.longestPause > request.gapAim;
        if (!request.isWhole || !(beganLate || paused))
            continue;
        ++late;
        auto cause = request.route + "  ";
        if (beganLate)
            cause += (request.isStream ? "first event: " : "answer: ") + firstEventCause(request);
        else
            cause += "pause: " + pauseCause(request, readings);
        causes.count(cause, id);
    }
    return std::to_string(late) + " of " + std::to_string(answered) + " whole answers were late\n" + causes.format();
}

}
