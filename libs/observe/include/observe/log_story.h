// Builds reports from the logs of several nodes: the timeline of one request, and summaries of why requests failed or
// were late.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace tamarack {

/// A closed interval of time; by default unbounded.
struct time_span {
    std::int64_t from = std::numeric_limits<std::int64_t>::min(); ///< milliseconds since the Unix epoch, as in `ts_ms`
    std::int64_t to = std::numeric_limits<std::int64_t>::max(); ///< as `from`
};

/// Formats the log lines of one request in order of time. Includes the changes, on the nodes that handled the request,
/// to their view of the targets that it was sent to, their configuration, their peers, the log store and their
/// readiness. Returns an empty text if no line names the request. Bytes before the JSON object of a line are ignored.
std::string formatRequestTimeline(const std::vector<std::string>& lines, const std::string& requestId);

/// Counts failed requests by cause, most frequent first. A cause is the route, the outcome that the caller received and
/// the failure of the last attempt before it.
std::string formatFailureSummary(const std::vector<std::string>& lines, const time_span& span);

/// Counts late requests by route and cause, most frequent first. A request is late if its answer was complete but its
/// time to first event, or the longest pause between events, exceeded the latency goal of its route.
std::string formatLateSummary(const std::vector<std::string>& lines, const time_span& span);

}
