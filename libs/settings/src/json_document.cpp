// Implements the document on nlohmann/json; a counting iterator provides the line of each key.
#include "json_document.h"

#include <algorithm>

namespace tamarack {

std::string toString(const setting_error& error)
{
    std::string text = error.file;
    if (error.line > 0)
        text += ":" + std::to_string(error.line);
    if (!error.field.empty())
        text += ": " + error.field;
    return text + ": " + error.message;
}

namespace detail {

    std::string joinField(const std::string& parent, const std::string& name)
    {
        return parent.empty() ? name : parent + "." + name;
    }

    std::string indexField(const std::string& parent, std::size_t index)
    {
        return parent + "[" + std::to_string(index) + "]";
    }

    namespace {

        /// Iterates over the text and counts lines. The count is accurate because the parser reads at most one byte
        /// ahead.
        struct counting_iterator {
            using iterator_category = std::input_iterator_tag;
            using value_type = char;
            using difference_type = std::ptrdiff_t;
            using pointer = const char*;
            using reference = const char&;

            const char* at;
            int* line;

            reference operator*() const { return *at; }
            counting_iterator& operator++()
            {
                if (*at == '\n')
                    ++*line;
                ++at;
                return *this;
            }
            bool operator==(const counting_iterator& other) const { return at == other.at; }
            bool operator!=(const counting_iterator& other) const { return at != other.at; }
        };

        /// Records the line of each key and array element.
        class line_indexer : public nlohmann::json_sax<json> {
        public:
            line_indexer(std::map<std::string, int>& lines, const int& line)
                : m_lines(lines)
                , m_line(line)
            {
            }

            bool null() override { return value(); }
            bool boolean(bool) override { return value(); }
            bool number_integer(number_integer_t) override { return value(); }
            bool number_unsigned(number_unsigned_t) override { return value(); }
            bool number_float(number_float_t, const string_t&) override { return value(); }
            bool string(string_t&) override { return value(); }
            bool binary(binary_t&) override { return value(); }
            bool start_object(std::size_t) override { return open(false); }
            bool end_object() override { return close(); }
            bool start_array(std::size_t) override { return open(true); }
            bool end_array() override { return close(); }
            bool key(string_t& name) override
            {
                m_levels.back().current = joinField(m_levels.back().path, name);
                m_lines.emplace(m_levels.back().current, m_line);
                return true;
            }
            bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override
            {
                return false;
            }

        private:
            struct level {
                std::string path;
                bool isArray;
                std::size_t next = 0;
                std::string current;
            };

            std::string nextPath()
            {
                if (m_levels.empty())
                    return {};
                level& top = m_levels.back();
                if (!top.isArray)
                    return top.current;
                const auto path = indexField(top.path, top.next++);
                m_lines.emplace(path, m_line);
                return path;
            }
            bool value()
            {
                nextPath();
                return true;
            }
            bool open(bool isArray)
            {
                auto path = nextPath();
                m_levels.push_back({ std::move(path), isArray, 0, {} });
                return true;
            }
            bool close()
            {
                m_levels.pop_back();
                return true;
            }

            std::map<std::string, int>& m_lines;
            const int& m_line;
            std::vector<level> m_levels;
        };

    }

    json_document::json_document(const std::string& text, std::string file)
        : m_file(std::move(file))
    {
        try {
            m_root = json::parse(text, nullptr, true, true);
        } catch (const json::parse_error& error) {
            const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(error.byte, text.size()));
            const int line = 1 + static_cast<int>(std::count(text.begin(), end, '\n'));
            std::string message = error.what();
            const auto colon = message.find("] ");
            if (colon != std::string::npos)
                message.erase(0, colon + 2);
            m_errors.push_back({ m_file, line, "", "not valid JSON: " + message });
            return;
        }
        indexLines(text);
        if (!m_root.is_object()) {
            addError("", "must be an object");
            return;
        }
        m_parsed = true;
    }

    void json_document::indexLines(const std::string& text)
    {
        int line = 1;
        line_indexer indexer(m_lines, line);
        const counting_iterator first { text.data(), &line };
        const counting_iterator last { text.data() + text.size(), &line };
        json::sax_parse(first, last, &indexer, json::input_format_t::json, true, true);
    }

    int json_document::lineOf(const std::string& field) const
    {
        for (std::string path = field; !path.empty();) {
            if (const auto found = m_lines.find(path); found != m_lines.end())
                return found->second;
            const auto cut = path.find_last_of(".[");
            path = cut == std::string::npos ? "" : path.substr(0, cut);
        }
        return m_lines.empty() ? 0 : 1;
    }

    void json_document::addError(const std::string& field, std::string message)
    {
        m_errors.push_back({ m_file, lineOf(field), field, std::move(message) });
    }

}

}
