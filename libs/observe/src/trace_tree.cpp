// Reassembles the spans of one trace into a tree.
#include "observe/span.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <set>

namespace tamarack {

namespace {

    using nlohmann::json;

    void appendSubtree(const std::vector<json>& spans, const std::string& parent, int depth, std::string& out)
    {
        for (const auto& item : spans) {
            if (item.value("parentSpanId", "") != parent)
                continue;
            const auto start = item.value("startTimeUnixNano", std::int64_t(0));
            const auto end = item.value("endTimeUnixNano", std::int64_t(0));
            char time[40];
            std::snprintf(time, sizeof time, "%9.3f ms  ", static_cast<double>(end - start) / 1e6);
            out += time + std::string(static_cast<std::size_t>(depth) * 2, ' ');
            out += item.value("name", "?") + "  [" + item.value("service.name", "?") + "]";
            if (item.contains("attributes")) {
                for (const auto& [key, value] : item["attributes"].items())
                    out += "  " + key + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
            }
            out += "\n";
            appendSubtree(spans, item.value("spanId", ""), depth + 1, out);
        }
    }

}

std::string formatTraceTree(const std::vector<std::string>& lines, const std::string& traceId)
{
    std::vector<json> spans;
    std::set<std::string> spanIds;
    for (const auto& line : lines) {
        auto item = json::parse(line, nullptr, false);
        if (!item.is_object() || item.value("traceId", "") != traceId)
            continue;
        spanIds.insert(item.value("spanId", ""));
        spans.push_back(std::move(item));
    }
    for (auto& item : spans) {
        if (!spanIds.contains(item.value("parentSpanId", "")))
            item["parentSpanId"] = ""; // its parent is not in `lines`: show it as a root
    }
    std::sort(spans.begin(), spans.end(), [](const json& a, const json& b) {
        return a.value("startTimeUnixNano", std::int64_t(0)) < b.value("startTimeUnixNano", std::int64_t(0));
    });
    std::string out;
    appendSubtree(spans, "", 0, out);
    return out;
}

}
