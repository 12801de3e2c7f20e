// Requests counted by cause.
#pragma once

#include <map>
#include <string>

namespace tamarack::detail {

class cause_table {
public:
    void count(const std::string& cause, const std::string& request);
    /// A line for each cause, the largest first, with the id of one of its requests.
    std::string format() const;

private:
    struct counted_cause {
        int requests = 0;
        std::string sample;
    };

    std::map<std::string, counted_cause> m_causes;
};

}
