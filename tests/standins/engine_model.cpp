// Steps of a batching engine.
#include "standins/engine_model.h"

#include <algorithm>

namespace tamarack::standins {

namespace {
    constexpr int prefillStepsPerDecode = 4; // role prefill: answers under way wait while prompts are read
    constexpr std::int64_t decodeRolePieces = 8; // role decode: prompts are read in eighths of a piece
}

void engine_model::add(const engine_job& job)
{
    const auto isLower = [&](const engine_job& other) { return other.priority < job.priority; };
    m_waiting.insert(std::find_if(m_waiting.begin(), m_waiting.end(), isLower), job);
}

void engine_model::cancel(std::uint64_t id)
{
    std::erase_if(m_waiting, [&](const auto& job) { return job.id == id; });
    std::erase_if(m_running, [&](const auto& item) { return item.job.id == id; });
}

void engine_model::clear()
{
    m_waiting.clear();
    m_running.clear();
}

std::int64_t engine_model::prefillTokens() const
{
    std::int64_t total = 0;
    for (const auto& job : m_waiting)
        total += job.promptTokens;
    for (const auto& item : m_running)
        total += item.prefillLeft;
    return total;
}

bool engine_model::isCached(const engine_job& job)
{
    if (job.prefixKey == 0 || job.prefixTokens == 0)
        return false;
    const auto found = std::find(m_prefixes.begin(), m_prefixes.end(), job.prefixKey);
    const bool isHit = found != m_prefixes.end();
    if (isHit)
        m_prefixes.erase(found);
    m_prefixes.push_front(job.prefixKey);
    if (m_prefixes.size() > m_timing.cachedPrefixes)
        m_prefixes.pop_back();
    return isHit;
}

void engine_model::fillSlots()
{
    while (!m_waiting.empty() && static_cast<int>(m_running.size()) < m_timing.slots) {
        const engine_job job = m_waiting.front();
        m_waiting.erase(m_waiting.begin());
        const std::int64_t cached = isCached(job) ? std::min(job.prefixTokens, job.promptTokens) : 0;
        m_running.push_back({ job, job.promptTokens - cached, job.outputTokens, false });
    }
}

engine_model::running_job* engine_model::nextPrefill()
{
    running_job* best = nullptr;
    for (auto& item : m_running) {
        const bool isUnread = item.prefillLeft > 0 || (item.job.outputTokens == 0 && item.outputLeft == 0);
        if (isUnread && (!best || item.job.priority > best->job.priority))
            best = &item;
    }
    return best;
}

double engine_model::beginStep()
{
    fillSlots();
    m_stepPrefillJob = 0;
    m_stepPrefillTokens = 0;
    running_job* prefill = nextPrefill();
    const bool hasDecode = std::any_of(m_running.begin(), m_running.end(),
        [](const auto& item) { return item.prefillLeft <= 0 && item.outputLeft > 0; });
    bool decodes = hasDecode;
    if (prefill) {
        std::int64_t piece = m_timing.pieceTokens;
        if (m_role == engine_role::decode && hasDecode)
            piece /= decodeRolePieces;
        if (m_role == engine_role::prefill && hasDecode)
            decodes = ++m_stepsSinceDecode % prefillStepsPerDecode == 0;
        m_stepPrefillJob = prefill->job.id;
        m_stepPrefillTokens = std::min(piece, prefill->prefillLeft);
    }
    double time = static_cast<double>(m_stepPrefillTokens) / m_timing.prefillTokensPerSecond;
    for (auto& item : m_running)
        item.isInStep = decodes && item.prefillLeft <= 0 && item.outputLeft > 0;
    if (decodes)
        time += m_timing.stepSeconds;
    constexpr double shortestStep = 0.001;
    return std::max(time, shortestStep);
}

std::vector<engine_event> engine_model::endStep()
{
    std::vector<engine_event> events;
    for (auto& item : m_running) {
        if (item.isInStep) {
            --item.outputLeft;
            events.push_back({ item.job.id, engine_event_kind::token });
            if (item.outputLeft == 0)
                events.push_back({ item.job.id, engine_event_kind::done });
        }
        if (item.job.id == m_stepPrefillJob) {
            item.prefillLeft -= m_stepPrefillTokens;
            if (item.prefillLeft > 0)
                continue;
            events.push_back({ item.job.id, engine_event_kind::prefilled });
            if (item.job.outputTokens == 0) {
                item.outputLeft = -1;
                events.push_back({ item.job.id, engine_event_kind::done });
            }
        }
    }
    std::erase_if(m_running, [](const auto& item) {
        return item.prefillLeft <= 0 && (item.outputLeft == -1 || (item.outputLeft == 0 && item.job.outputTokens > 0));
    });
    return events;
}

}
