// Structured logs: one JSON object a line, with a stable event name.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace tamarack {

enum class log_level : unsigned char { debug, info, warning, error };

/// `info` for an unknown text.
log_level parseLogLevel(std::string_view text);

struct log_field {
    std::string_view key;
    std::variant<std::int64_t, double, bool, std::string> value;

    log_field(std::string_view k, const std::string& v);
    log_field(std::string_view k, std::string_view v);
    log_field(std::string_view k, const char* v);
    log_field(std::string_view k, bool v);
    log_field(std::string_view k, double v);
    template <class Integer>
    requires std::is_integral_v<Integer> log_field(std::string_view k, Integer v)
        : key(k)
        , value(static_cast<std::int64_t>(v))
    {
    }
};

/// Writes to standard error through Boost.Log. One per process; usable from any thread.
class logger {
public:
    logger(log_level lowest, std::string vm, std::string instance);
    ~logger();
    logger(const logger&) = delete;
    logger& operator=(const logger&) = delete;

    void write(log_level level, std::string_view event, std::initializer_list<log_field> fields = {}) const;
    void debug(std::string_view event, std::initializer_list<log_field> fields = {}) const;
    void info(std::string_view event, std::initializer_list<log_field> fields = {}) const;
    void warning(std::string_view event, std::initializer_list<log_field> fields = {}) const;
    void error(std::string_view event, std::initializer_list<log_field> fields = {}) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

}
