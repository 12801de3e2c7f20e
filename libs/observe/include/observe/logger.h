// Writes structured logs, one JSON object per line, with a rate limit and without blocking on a slow reader.
#pragma once

#include "observe/log_event.h"

#include <concepts>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace tamarack {

/// Returns `info` for an unknown level.
log_level parseLogLevel(std::string_view text);

struct log_field {
    std::string_view key;
    std::variant<std::int64_t, double, bool, std::string_view> value; ///< text is borrowed for the duration of the call

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
    log_level lowest = log_level::info; ///< events below this level are not logged
    std::string vm;
    std::string instance;
    int descriptor = 1; ///< standard output
    /// Limit of each group, in lines per second. Lines above it are dropped and counted, and the count is logged.
    int linesPerSecond[static_cast<std::size_t>(log_group::count)] = { 100, 300, 300, 300 };
    /// Size of the buffer for a slow reader. Lines that do not fit are dropped and counted.
    std::size_t bufferBytes = 512 * 1024;
    /// Write each line immediately. Otherwise lines are written in batches by flush().
    bool isUnbuffered = true;
};

/// Logs through Boost.Log to a sink that writes only as much as the descriptor accepts without blocking. A reader that
/// is slow or gone causes dropped lines, never delays. Use one logger per process, from one thread.
class logger {
public:
    explicit logger(logger_options options);
    ~logger();
    logger(const logger&) = delete;
    logger& operator=(const logger&) = delete;

    void write(log_event event, std::initializer_list<log_field> fields = {}) const;
    /// Writes as much of the buffer as the descriptor accepts without blocking. Must be called periodically.
    void flush() const;
    /// Returns the number of lines dropped so far, by the rate limit of a group or because the buffer was full.
    std::uint64_t linesLeftOut() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

}
