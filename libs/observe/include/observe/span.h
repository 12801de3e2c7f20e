// Provides tracing with one span per hop: W3C trace context between processes, and spans as JSON lines with OTLP field
// names.
#pragma once

#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/// The trace and span id that are propagated in the `traceparent` header.
struct trace_context {
    std::string traceId; ///< 32 hexadecimal digits
    std::string spanId; ///< 16 hexadecimal digits

    bool isValid() const { return traceId.size() == 32 && spanId.size() == 16; }
};

/// Returns an invalid context if the header is not a version 00 `traceparent`.
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
    std::int64_t startNanoseconds = 0; ///< since the Unix epoch
    std::int64_t endNanoseconds = 0;
    std::vector<span_attribute> attributes;
};

/// Generates ids for new spans. The sequence depends on the seed only, so that tests are reproducible.
class span_id_source {
public:
    explicit span_id_source(std::uint64_t seed);
    /// Returns the context of a child of `parent`, or of the root of a new trace if `parent` is invalid.
    trace_context child(const trace_context& parent);

private:
    std::uint64_t next();
    std::uint64_t m_state;
};

/// Appends spans to a file as JSON lines. With an empty file name, spans are discarded.
class span_writer {
public:
    span_writer(const std::string& fileName, std::string service);
    void write(const span& finished);

private:
    std::ofstream m_file;
    std::string m_service;
};

/// Returns the system clock's time in nanoseconds since the Unix epoch.
std::int64_t wallNanoseconds();

/// Formats the spans of one trace as a tree. `lines` is the output of span_writer, from any number of processes.
std::string formatTraceTree(const std::vector<std::string>& lines, const std::string& traceId);

}
