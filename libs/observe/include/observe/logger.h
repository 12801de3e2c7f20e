// Structured logs on standard output: one JSON object a line, bounded, and never waiting for whoever reads them.
#pragma once

#include "observe/log_event.h"

#include <concepts>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace tamarack {

/// `info` for an unknown text.
log_level parseLogLevel(std::string_view text);

struct log_field {
    std::string_view key;
    std::variant<std::int64_t, double, bool, std::string_view> value; ///< text is valid during the call only

    log_field(std::string_view k, const std::string& v);
    log_field(std::string_view k, std::string_view v);
    log_field(std::string_view k, const char* v);
    log_field(std::string_view k, bool v);
    log_field(std::string_view k, double v);
    template <std::integral Integer>
    log_field(std::string_view k, Integer v)
        : key(k)
        , value(static_cast<std::int64_t>(v))
    {
    }
};

struct logger_options {
    log_level lowest = log_level::info;
    std::string vm;
    std::string instance;
    int descriptor = 1; ///< standard output
    /// Lines of each group in a second; what is above is counted, and the count is logged.
    int linesPerSecond[static_cast<std::size_t>(log_group::count)] = { 100, 300, 300, 300 };
    /// Kept while the reader is slow; lines beyond are counted and dropped.
    std::size_t bufferBytes = 512 * 1024;
    /// Write each line at once. Else flush() writes them, together.
    bool isUnbuffered = true;
};

/// Goes through Boost.Log to a sink that writes only what the descriptor takes without waiting: a reader that is slow
/// or gone costs lines, not time. One per process, on one thread.
class logger {
public:
    explicit logger(logger_options options);
    ~logger();
    logger(const logger&) = delete;
    logger& operator=(const logger&) = delete;

    void write(log_event event, std::initializer_list<log_field> fields = {}) const;
    /// Writes what the descriptor takes; called from time to time.
    void flush() const;
    /// Lines left out so far: above their group's bound, or for lack of buffer.
    std::uint64_t linesLeftOut() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

}
