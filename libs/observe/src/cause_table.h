// Counts requests by cause.
#pragma once

#include <map>
#include <string>

namespace tamarack::detail {

class cause_table {
public:
    void count(const std::string& cause, const std::string& request);
    /// Returns one line per cause, most frequent first, each with the id of one of its requests.
    std::string format() const;

private:
    struct counted_cause {
        int requests = 0;
        std::string sample; // id of the request counted last
    };

    std::map<std::string, counted_cause> m_causes;
};

}
