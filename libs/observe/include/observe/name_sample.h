// The first few of many names, for one log line.
#pragma once

#include <string>
#include <string_view>

namespace tamarack {

class name_sample {
public:
    void add(std::string_view name)
    {
        ++m_count;
        if (m_count > mostNames)
            return;
        if (m_count > 1)
            m_text += ' ';
        m_text += name;
    }
    /// Ends in `...` if there were more.
    std::string text() const { return m_count > mostNames ? m_text + " ..." : m_text; }
    std::size_t count() const { return m_count; }

private:
    static constexpr std::size_t mostNames = 8;

    std::string m_text;
    std::size_t m_count = 0;
};

}
