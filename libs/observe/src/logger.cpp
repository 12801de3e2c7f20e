// Implements the logger on Boost.Log: the message of each record is the complete JSON line, and the formatter prints
// nothing else.
#include "observe/logger.h"

#include "bounded_output.h"

#include "base/clock.h"

#include <algorithm>
#include <array>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <charconv>
#include <cstdio>

namespace tamarack {

namespace {

    constexpr std::array<std::string_view, 4> levelNames { "debug", "info", "warning", "error" };
    constexpr auto rateWindowLength = std::chrono::seconds(1);
    /// Bytes of a text value that are logged. Longer ones are sent by clients or targets.
    constexpr std::size_t maxTextBytes = 512;

    class output_backend
        : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::concurrent_feeding> {
    public:
        explicit output_backend(detail::bounded_output& output)
            : m_output(output)
        {
        }
        void consume(const boost::log::record_view&, const string_type& line) { m_output.add(line); }

    private:
        detail::bounded_output& m_output;
    };

    using sink_type = boost::log::sinks::unlocked_sink<output_backend>;

    void appendText(std::string& line, std::string_view text)
    {
        const auto left = text.size() - std::min(text.size(), maxTextBytes);
        text = text.substr(0, maxTextBytes);
        line += '"';
        for (const char c : text) {
            const auto byte = static_cast<unsigned char>(c);
            if (c == '"' || c == '\\') {
                line += '\\';
                line += c;
            } else if (byte < 0x20 || byte >= 0x7f) {
                char escaped[8];
                std::snprintf(escaped, sizeof escaped, "\\u%04x", byte);
                line += escaped;
            } else {
                line += c;
            }
        }
        if (left > 0)
            line += "... (" + std::to_string(left) + " more bytes)";
        line += '"';
    }

    template <class Number> void appendNumber(std::string& line, Number number)
    {
        std::array<char, 32> text;
        const auto end = std::to_chars(text.data(), text.data() + text.size(), number).ptr;
        line.append(text.data(), end);
    }

    struct value_writer {
        std::string& line;

        void operator()(std::int64_t number) const { appendNumber(line, number); }
        void operator()(double number) const { appendNumber(line, number); }
        void operator()(bool flag) const { line += flag ? "true" : "false"; }
        void operator()(std::string_view text) const { appendText(line, text); }
    };

    void appendField(std::string& line, const log_field& field)
    {
        line += ",\"";
        line += field.key;
        line += "\":";
        std::visit(value_writer { line }, field.value);
    }

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
    , value(std::string_view(v))
{
}

log_field::log_field(std::string_view k, std::string_view v)
    : key(k)
    , value(v)
{
}

log_field::log_field(std::string_view k, const char* v)
    : key(k)
    , value(std::string_view(v))
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
    explicit state(logger_options initial)
        : options(std::move(initial))
        , output(options.descriptor, options.bufferBytes)
    {
    }

    /// Lines of one group in the current second.
    struct rate_window {
        instant begin;
        int lines = 0;
        std::uint64_t leftOut = 0; // since the last `lines_left_out` line
    };

    bool tryAdmitLine(log_group group, instant now);
    void logLeftOutLines(instant now);
    void emit(const log_event_info& info, std::initializer_list<log_field> fields);

    logger_options options;
    detail::bounded_output output;
    boost::shared_ptr<sink_type> sink;
    boost::log::sources::severity_logger<int> source;
    std::array<rate_window, static_cast<std::size_t>(log_group::count)> rateWindows;
    std::uint64_t leftOut = 0;
};

bool logger::state::tryAdmitLine(log_group group, instant now)
{
    auto& window = rateWindows[static_cast<std::size_t>(group)];
    if (now >= window.begin + rateWindowLength) {
        window.begin = now;
        window.lines = 0;
    }
    if (window.lines < options.linesPerSecond[static_cast<std::size_t>(group)]) {
        ++window.lines;
        return true;
    }
    ++window.leftOut;
    ++leftOut;
    return false;
}

void logger::state::emit(const log_event_info& info, std::initializer_list<log_field> fields)
{
    std::string line = "{\"ts_ms\":";
    appendNumber(line, wallMilliseconds());
    line += ",\"level\":\"";
    line += levelNames[static_cast<std::size_t>(info.level)];
    line += "\",\"event\":\"";
    line += info.name;
    line += "\",\"vm\":";
    appendText(line, options.vm);
    line += ",\"instance\":";
    appendText(line, options.instance);
    for (const auto& field : fields)
        appendField(line, field);
    line += '}';
    BOOST_LOG_SEV(source, static_cast<int>(info.level)) << line;
    if (options.isUnbuffered)
        output.flush();
}

void logger::state::logLeftOutLines(instant now)
{
    for (std::size_t group = 0; group < rateWindows.size(); ++group) {
        auto& window = rateWindows[group];
        if (window.leftOut == 0 || now < window.begin + rateWindowLength)
            continue;
        emit(infoOf(log_event::lines_left_out),
            { { "group", toString(static_cast<log_group>(group)) }, { "lines", window.leftOut } });
        window.leftOut = 0;
    }
}

logger::logger(logger_options options)
    : m_state(std::make_unique<state>(std::move(options)))
{
    m_state->sink = boost::make_shared<sink_type>(boost::make_shared<output_backend>(m_state->output));
    m_state->sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(m_state->sink);
}

logger::~logger()
{
    boost::log::core::get()->remove_sink(m_state->sink);
    m_state->output.flush();
}

void logger::write(log_event event, std::initializer_list<log_field> fields) const
{
    const auto& info = infoOf(event);
    if (info.level < m_state->options.lowest)
        return;
    const auto now = boot_clock::now();
    m_state->logLeftOutLines(now);
    if (m_state->tryAdmitLine(info.group, now))
        m_state->emit(info, fields);
}

void logger::flush() const
{
    m_state->logLeftOutLines(boot_clock::now());
    m_state->output.flush();
}

std::uint64_t logger::linesLeftOut() const { return m_state->leftOut + m_state->output.dropped(); }

}
