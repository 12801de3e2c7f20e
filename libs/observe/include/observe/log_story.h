// Reads the logs of several nodes: the story of one request, and why requests failed or were late in a span of time.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace tamarack {

struct time_span {
    std::int64_t from = std::numeric_limits<std::int64_t>::min(); ///< milliseconds since 1970, as in the lines
    std::int64_t to = std::numeric_limits<std::int64_t>::max();
};

/// The lines that name the request in order of their time, each as one readable line, and between them what the nodes
/// came to believe of the targets that it was sent to. Empty if no line names it. Bytes before a line's JSON are passed
/// over.
std::string formatRequestStory(const std::vector<std::string>& lines, const std::string& requestId);

/// A table of causes, the largest first: what callers were told, for which route, and what the attempts before it met.
std::string formatFailureSummary(const std::vector<std::string>& lines, const time_span& span);

/// The same for requests that got their whole answer later than their route aims at, or with a pause within it that is
/// longer: of which route, and for what reason.
std::string formatLateSummary(const std::vector<std::string>& lines, const time_span& span);

}
