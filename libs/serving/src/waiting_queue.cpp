// Implements the order of waiting requests.
#include "serving/waiting_queue.h"

#include <algorithm>
#include <utility>

namespace tamarack::serving {

std::vector<request_id> waiting_queue::takeAll(const key_function& keyOf)
{
    std::vector<std::pair<waiting_key, request_id>> keyed;
    for (const auto id : m_ids) {
        if (const auto key = keyOf(id))
            keyed.emplace_back(*key, id);
    }
    m_ids.clear();
    std::stable_sort(keyed.begin(), keyed.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<request_id> out;
    for (const auto& [key, id] : keyed)
        out.push_back(id);
    return out;
}

}
