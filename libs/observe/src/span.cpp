// Implements span ids, the `traceparent` header and the span writer.
#include "observe/span.h"

#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace tamarack {

namespace {

    bool isHex(std::string_view text) { return text.find_first_not_of("0123456789abcdef") == std::string_view::npos; }

    std::string hex(std::uint64_t value)
    {
        char text[17];
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
        return text;
    }

}

trace_context parseTraceparent(std::string_view header)
{
    constexpr std::size_t length = 55; // 00-<32>-<16>-<2>
    if (header.size() < length || header.substr(0, 3) != "00-" || header[35] != '-' || header[52] != '-')
        return {};
    const auto traceId = header.substr(3, 32);
    const auto spanId = header.substr(36, 16);
    if (!isHex(traceId) || !isHex(spanId))
        return {};
    return { std::string(traceId), std::string(spanId) };
}

std::string formatTraceparent(const trace_context& context)
{
    return "00-" + context.traceId + "-" + context.spanId + "-01";
}

span_id_source::span_id_source(std::uint64_t seed)
    : m_state(seed)
{
}

std::uint64_t span_id_source::next()
{
    // splitmix64: values are distinct for 2^64 calls, which is sufficient for ids.
    m_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = m_state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

trace_context span_id_source::child(const trace_context& parent)
{
    if (parent.isValid())
        return { parent.traceId, hex(next()) };
    const auto high = hex(next());
    return { high + hex(next()), hex(next()) };
}

span_writer::span_writer(const std::string& fileName, std::string service)
    : m_service(std::move(service))
{
    if (!fileName.empty())
        m_file.open(fileName, std::ios::app);
}

void span_writer::write(const span& finished)
{
    if (!m_file.is_open())
        return;
    nlohmann::ordered_json line;
    line["traceId"] = finished.context.traceId;
    line["spanId"] = finished.context.spanId;
    line["parentSpanId"] = finished.parentSpanId;
    line["name"] = finished.name;
    line["service.name"] = m_service;
    line["startTimeUnixNano"] = finished.startNanoseconds;
    line["endTimeUnixNano"] = finished.endNanoseconds;
    for (const auto& attribute : finished.attributes)
        line["attributes"][attribute.key] = attribute.value;
    m_file << line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) << std::endl;
}

std::int64_t wallNanoseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::nanoseconds>(now).count();
}

}
