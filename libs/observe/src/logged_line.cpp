// Parses log lines.
#include "logged_line.h"

#include <algorithm>

namespace tamarack::detail {

using nlohmann::ordered_json;

std::string logged_line::text(const char* name) const
{
    const auto found = fields.find(name);
    if (found == fields.end())
        return {};
    return found->is_string() ? found->get<std::string>() : found->dump();
}

double logged_line::number(const char* name) const
{
    const auto found = fields.find(name);
    return found != fields.end() && found->is_number() ? found->get<double>() : 0;
}

std::vector<logged_line> parseLog(const std::vector<std::string>& lines)
{
    std::vector<logged_line> out;
    for (const auto& line : lines) {
        const auto begin = line.find('{');
        if (begin == std::string::npos)
            continue;
        auto fields = ordered_json::parse(line.substr(begin), nullptr, false);
        const bool isLine = fields.is_object() && fields.contains("ts_ms") && fields["ts_ms"].is_number_integer()
            && fields.contains("event") && fields["event"].is_string();
        if (isLine)
            out.push_back({ fields["ts_ms"].get<std::int64_t>(), std::move(fields) });
    }
    std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    return out;
}

}
