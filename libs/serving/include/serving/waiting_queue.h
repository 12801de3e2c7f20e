// Holds the requests that wait for a target, and says which of them is next.
#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace tamarack::serving {

/// What decides the place of a waiting request. The members are compared in their order; of two equal requests the one
/// that was added first is first. Keys change with time, so they are computed whenever the order is needed.
struct waiting_key {
    int priority = 0; ///< 0 is the highest
    bool isNew = true; ///< false: its prompt has been prefilled, or a part of its answer has gone to the caller
    double accountDebt = 0; ///< service that its account had beyond its share; 0 without accounts; never NaN
    bool isLate = false; ///< it cannot meet its aim any more
    duration timeLeft = duration::zero(); ///< to the last start that meets its aim; negative afterwards
    std::int64_t tokens = 0; ///< size; 0 if it carries no prompt

    auto operator<=>(const waiting_key&) const = default;
};

class waiting_queue {
public:
    /// The key of a request now; nothing if the request does not wait any more.
    using key_function = std::function<std::optional<waiting_key>(request_id)>;

    void add(request_id id) { m_ids.push_back(id); }
    /// Adds a request ahead of those with the same key.
    void addFirst(request_id id) { m_ids.push_front(id); }
    /// Removes all requests and returns those that still wait, in the order in which they are to be served.
    std::vector<request_id> takeAll(const key_function& keyOf);
    const std::deque<request_id>& ids() const { return m_ids; }
    std::size_t size() const { return m_ids.size(); }

private:
    std::deque<request_id> m_ids; // in order of arrival
};

}
