// Traces: one span for each hop, W3C trace context between processes, OTLP-shaped JSON lines on disk or in the log.
#pragma once

#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/// The part of a trace that travels in `traceparent`.
struct trace_context {
    std::string traceId; ///< 32 hexadecimal digits
    std::string spanId; ///< 16 hexadecimal digits

    bool isValid() const { return traceId.size() == 32 && spanId.size() == 16; }
};

/// An invalid context if the header is not a version 00 `traceparent`.
trace_context parseTraceparent(std::string_view header);
std::string formatTraceparent(const trace_context& context);

struct span_attribute {
    std::string key;
    std::string value;
};

struct span {
    trace_context context;
    std::string parentSpanId;
    std::string name;
    std::int64_t startNanoseconds = 0; ///< since 1970
    std::int64_t endNanoseconds = 0;
    std::vector<span_attribute> attributes;
};

/// Makes ids for new spans. Seeded, so that tests see the same ids.
class span_id_source {
public:
    explicit span_id_source(std::uint64_t seed);
    /// A child of `parent`, or the root of a new trace if that is invalid.
    trace_context child(const trace_context& parent);

private:
    std::uint64_t next();
    std::uint64_t m_state;
};

/// Appends spans to a file as JSON lines; does nothing without a file name.
class span_writer {
public:
    span_writer(const std::string& fileName, std::string service);
    void write(const span& finished);

private:
    std::ofstream m_file;
    std::string m_service;
};

std::int64_t wallNanoseconds();

/// Prints the spans of one trace as a tree. `lines` are what span_writer wrote, from any number of processes.
std::string formatTraceTree(const std::vector<std::string>& lines, const std::string& traceId);

}
