// Allocation and reuse of request rows.
#include "decide/request_table.h"

#include "base/contract.h"

namespace tamarack {

request_id request_table::add(const request_shape& newShape, instant now)
{
    if (m_free.empty()) {
        m_free.push_back(static_cast<std::uint32_t>(rows()));
        phase.push_back(request_phase::free);
        shape.emplace_back();
        arrivedAt.emplace_back();
        deadlineAt.emplace_back();
        stage.push_back(request_stage::whole);
        kvSource.emplace_back();
        target.emplace_back();
        avoid.emplace_back();
        attempt.emplace_back();
        attempts.push_back(0);
        prefillCharged.push_back(0);
        tokensDone.push_back(0);
        startedAt.emplace_back();
        mayHaveRun.push_back(0);
        m_generations.push_back(0);
    }
    const auto at = m_free.back();
    m_free.pop_back();
    phase[at] = request_phase::waiting;
    shape[at] = newShape;
    arrivedAt[at] = now;
    deadlineAt[at] = now + newShape.deadline;
    stage[at] = request_stage::whole;
    kvSource[at] = target[at] = avoid[at] = {};
    attempt[at] = {};
    attempts[at] = 0;
    prefillCharged[at] = tokensDone[at] = 0;
    mayHaveRun[at] = 0;
    startedAt[at] = {};
    ++m_generations[at];
    ++m_held;
    return idOf(at);
}

void request_table::remove(request_id id)
{
    const auto at = row(id);
    TAMARACK_ASSERT(at >= 0, "only a held request can be removed");
    phase[static_cast<std::size_t>(at)] = request_phase::free;
    m_free.push_back(static_cast<std::uint32_t>(at));
    --m_held;
}

std::int64_t request_table::row(request_id id) const
{
    const auto at = static_cast<std::uint32_t>(id.value);
    if (!id.isValid() || at >= rows() || m_generations[at] != id.value >> 32 || phase[at] == request_phase::free)
        return -1;
    return at;
}

request_id request_table::idOf(std::size_t at) const
{
    return { static_cast<std::uint64_t>(m_generations[at]) << 32 | at };
}

}
