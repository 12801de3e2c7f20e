// Boost.Log with a formatter that prints the message alone: the message is the JSON line.
#include "observe/logger.h"

#include "base/clock.h"

#include <array>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace tamarack {

namespace {

    constexpr std::array<std::string_view, 4> levelNames { "debug", "info", "warning", "error" };
    using sink_type = boost::log::sinks::synchronous_sink<boost::log::sinks::text_ostream_backend>;

}

log_level parseLogLevel(std::string_view text)
{
    for (std::size_t i = 0; i < levelNames.size(); ++i) {
        if (levelNames[i] == text)
            return static_cast<log_level>(i);
    }
    return log_level::info;
}

log_field::log_field(std::string_view k, const std::string& v)
    : key(k)
    , value(v)
{
}

log_field::log_field(std::string_view k, std::string_view v)
    : key(k)
    , value(std::string(v))
{
}

log_field::log_field(std::string_view k, const char* v)
    : key(k)
    , value(std::string(v))
{
}

log_field::log_field(std::string_view k, bool v)
    : key(k)
    , value(v)
{
}

log_field::log_field(std::string_view k, double v)
    : key(k)
    , value(v)
{
}

struct logger::state {
    log_level lowest;
    std::string vm;
    std::string instance;
    boost::shared_ptr<sink_type> sink;
    mutable boost::log::sources::severity_logger_mt<int> source;
};

logger::logger(log_level lowest, std::string vm, std::string instance)
    : m_state(std::make_unique<state>())
{
    m_state->lowest = lowest;
    m_state->vm = std::move(vm);
    m_state->instance = std::move(instance);
    auto backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    backend->auto_flush(true);
    m_state->sink = boost::make_shared<sink_type>(backend);
    m_state->sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(m_state->sink);
}

logger::~logger() { boost::log::core::get()->remove_sink(m_state->sink); }

void logger::write(log_level level, std::string_view event, std::initializer_list<log_field> fields) const
{
    if (level < m_state->lowest)
        return;
    nlohmann::ordered_json line;
    line["ts_ms"] = wallMilliseconds();
    line["level"] = levelNames[static_cast<std::size_t>(level)];
    line["event"] = event;
    line["vm"] = m_state->vm;
    line["instance"] = m_state->instance;
    for (const auto& field : fields)
        std::visit([&](const auto& value) { line[std::string(field.key)] = value; }, field.value);
    const auto text = line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    BOOST_LOG_SEV(m_state->source, static_cast<int>(level)) << text;
}

void logger::debug(std::string_view event, std::initializer_list<log_field> fields) const
{
    write(log_level::debug, event, fields);
}

void logger::info(std::string_view event, std::initializer_list<log_field> fields) const
{
    write(log_level::info, event, fields);
}

void logger::warning(std::string_view event, std::initializer_list<log_field> fields) const
{
    write(log_level::warning, event, fields);
}

void logger::error(std::string_view event, std::initializer_list<log_field> fields) const
{
    write(log_level::error, event, fields);
}

}
