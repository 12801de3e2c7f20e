// Collects names for one log line and keeps only the first few.
#pragma once

#include <string>
#include <string_view>

namespace tamarack {

class name_sample {
public:
    void add(std::string_view name)
    {
        ++m_count;
        if (m_count > maxNames)
            return;
        if (m_count > 1)
            m_text += ' ';
        m_text += name;
    }
    /// Returns the names that were kept, separated by blanks; ends in `...` if names were left out.
    std::string text() const { return m_count > maxNames ? m_text + " ..." : m_text; }
    /// Returns the number of names added, including those left out.
    std::size_t count() const { return m_count; }

private:
    static constexpr std::size_t maxNames = 8;

    std::string m_text;
    std::size_t m_count = 0;
};

}
