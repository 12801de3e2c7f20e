// Implements the statistics of answers.
#include "serving/answer_times.h"

#include <algorithm>

namespace tamarack::serving {

void answer_times::summary::add(const answer_time& time)
{
    ++answers;
    sumToBegin += time.toBegin;
    sumFromBegin += time.fromBegin;
    longest.toBegin = std::max(longest.toBegin, time.toBegin);
    longest.fromBegin = std::max(longest.fromBegin, time.fromBegin);
    longest.outputTokens = std::max(longest.outputTokens, time.outputTokens);
}

void answer_times::summary::add(const summary& other)
{
    answers += other.answers;
    sumToBegin += other.sumToBegin;
    sumFromBegin += other.sumFromBegin;
    longest.toBegin = std::max(longest.toBegin, other.longest.toBegin);
    longest.fromBegin = std::max(longest.fromBegin, other.longest.fromBegin);
    longest.outputTokens = std::max(longest.outputTokens, other.longest.outputTokens);
}

void answer_times::record(const std::string& route, attempt_stage stage, const answer_time& time, instant now)
{
    const auto number = windowAt(now);
    const auto slot = static_cast<std::size_t>(number % 2);
    if (m_numbers[slot] != number) {
        m_numbers[slot] = number;
        m_windows[slot].clear();
    }
    m_windows[slot][{ route, stage == attempt_stage::decode }].add(time);
}

std::optional<answer_allowance> answer_times::allowance(
    const std::string& route, attempt_stage stage, instant now) const
{
    summary all;
    for (std::size_t slot = 0; slot < m_windows.size(); ++slot) {
        if (m_numbers[slot] + 1 < windowAt(now))
            continue;
        const auto found = m_windows[slot].find({ route, stage == attempt_stage::decode });
        if (found != m_windows[slot].end())
            all.add(found->second);
    }
    if (all.answers < minAnswers)
        return std::nullopt;
    // The spread between the usual and the longest answer says how far the next one may exceed the longest.
    const auto allow = [&](duration longest, duration sum) { return 2 * longest - sum / all.answers; };
    return answer_allowance { allow(all.longest.toBegin, all.sumToBegin),
        allow(all.longest.fromBegin, all.sumFromBegin), all.longest.outputTokens };
}

}
