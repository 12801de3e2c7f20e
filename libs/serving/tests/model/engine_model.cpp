// Implements the steps of the model engine.
#include "engine_model.h"

#include <algorithm>

namespace tamarack::serving::tests {

namespace {

    constexpr double millisecond = 1e-3;
    constexpr double bitsPerByte = 8;
    constexpr double bitsPerGigabit = 1e9;
    constexpr double tokensPerContextUnit = 1'000;
    constexpr double pairsPerUnit = 1e6;
    constexpr double decodingPaceFactor = 0.5; ///< relative to an engine that only prefills
    constexpr int decodingChunkDivisor = 4; ///< relative to the chunk of an engine that only prefills
    /// one block of the cache; smaller parts are prefilled again without an event
    constexpr std::int64_t minPartTokens = 16;

}

engine_model::engine_model(engine_parameters profile, bool alsoDecodes, engine_events events)
    : m_profile(profile)
    , m_alsoDecodes(alsoDecodes)
    , m_events(std::move(events))
{
}

std::int64_t engine_model::cachedTokens(const prompt& text) const
{
    std::int64_t kept = 0;
    for (const auto& part : text.parts) {
        if (part.tokens >= minPartTokens && !m_parts.contains(part.id))
            break;
        if (part.tokens >= minPartTokens)
            kept += part.tokens;
    }
    return std::min(kept, text.inputTokens);
}

instant engine_model::transfer(std::int64_t tokens, instant now)
{
    const double bytes = static_cast<double>(tokens) * m_profile.bytesPerToken;
    m_counts.transferredBytes += bytes;
    const double length = bytes * bitsPerByte / (m_profile.linkGigabits * bitsPerGigabit);
    m_linkFreeAt = std::max(m_linkFreeAt, now) + fromSeconds(length);
    return m_linkFreeAt + fromSeconds(m_profile.transferSetupMilliseconds * millisecond);
}

void engine_model::submit(const engine_job& job, std::vector<engine_model>& all, instant now)
{
    held_job item;
    item.job = job;
    item.tokensToPrefill = -1;
    item.readyAt = now;
    const auto kept = cachedTokens(job.text);
    if (job.cacheSource >= 0) {
        auto& source = all[static_cast<std::size_t>(job.cacheSource)];
        item.readyAt = source.transfer(job.text.inputTokens - kept, now);
    } else if (job.fetchFrom >= 0) {
        auto& source = all[static_cast<std::size_t>(job.fetchFrom)];
        const auto more = source.cachedTokens(job.text) - kept;
        if (more > 0) {
            item.readyAt = source.transfer(more, now);
            addToCache({ { job.text.parts.begin(), job.text.parts.end() - 1 }, job.text.inputTokens, 0 });
        }
    }
    m_waiting.push_back(std::move(item));
    if (!m_stepEnd)
        startStep(now);
}

void engine_model::cancel(std::uint64_t key)
{
    const auto hasKey = [key](const auto& item) { return item.job.key == key; };
    std::erase_if(m_waiting, hasKey);
    std::erase_if(m_running, hasKey);
    std::erase_if(m_finishingPrefills, [key](const auto& item) { return item.key == key; });
}

std::vector<std::uint64_t> engine_model::startRoleChange()
{
    m_isChanging = true;
    std::vector<std::uint64_t> rejected;
    for (const auto& item : m_waiting)
        rejected.push_back(item.job.key);
    m_waiting.clear();
    return rejected;
}

void engine_model::finishRoleChange(bool alsoDecodes)
{
    m_isChanging = false;
    m_alsoDecodes = alsoDecodes;
}

void engine_model::crash()
{
    m_isChanging = false;
    m_waiting.clear();
    m_running.clear();
    m_finishingPrefills.clear();
    m_parts.clear();
    m_order.clear();
    m_partTokens = 0;
    m_stepEnd.reset();
}

std::vector<prompt_part> engine_model::cachedParts() const
{
    std::vector<prompt_part> out;
    for (const auto part : m_order)
        out.push_back({ part, m_parts.at(part).tokens });
    return out;
}

std::size_t engine_model::countDecoding() const
{
    return static_cast<std::size_t>(std::count_if(
        m_running.begin(), m_running.end(), [](const held_job& item) { return item.decodesFrom.has_value(); }));
}

std::optional<instant> engine_model::nextAt() const
{
    std::optional<instant> next = m_stepEnd;
    const auto consider = [&next](instant at) { next = next ? std::min(*next, at) : at; };
    if (!m_finishingPrefills.empty())
        consider(m_finishingPrefills.front().at);
    if (m_stepEnd)
        return next;
    const bool hasSlot = m_running.size() < static_cast<std::size_t>(m_profile.slots);
    for (const auto& item : m_waiting) {
        if (hasSlot)
            consider(item.readyAt);
    }
    for (const auto& item : m_running) {
        if (item.decodesFrom)
            consider(*item.decodesFrom);
    }
    return next;
}

void engine_model::step(instant now)
{
    reportFinishedPrefills(now);
    if (m_stepEnd && now >= *m_stepEnd)
        endStep(now);
    if (!m_stepEnd)
        startStep(now);
}

void engine_model::reportFinishedPrefills(instant now)
{
    while (!m_finishingPrefills.empty() && m_finishingPrefills.front().at <= now) {
        const auto key = m_finishingPrefills.front().key;
        m_finishingPrefills.erase(m_finishingPrefills.begin());
        m_events.onPrefilled(key);
    }
}

double engine_model::prefill(held_job& item, double budget)
{
    const double tokens = std::min(budget, static_cast<double>(item.tokensToPrefill));
    const double before = static_cast<double>(item.job.text.inputTokens - item.tokensToPrefill);
    m_stepTokens += tokens;
    m_stepPairs += tokens * (before + tokens / 2);
    item.tokensToPrefill -= static_cast<std::int64_t>(tokens);
    m_counts.prefilledTokens += static_cast<std::int64_t>(tokens);
    return budget - tokens;
}

void engine_model::reportPrefilledParts(const prompt& text)
{
    bool isKept = true;
    for (const auto& part : text.parts) {
        isKept &= part.tokens < minPartTokens || m_parts.contains(part.id);
        if (!isKept)
            m_events.onPrefillPart(part);
    }
}

engine_model::held_job* engine_model::admit(instant now)
{
    if (m_running.size() >= static_cast<std::size_t>(m_profile.slots))
        return nullptr;
    auto best = m_waiting.end();
    for (auto item = m_waiting.begin(); item != m_waiting.end(); ++item) {
        if (item->readyAt <= now && (best == m_waiting.end() || item->job.urgency < best->job.urgency))
            best = item;
    }
    if (best == m_waiting.end())
        return nullptr;
    held_job item = std::move(*best);
    m_waiting.erase(best);
    const bool isImported = item.job.stage == attempt_stage::decode;
    item.tokensToPrefill
        = isImported ? 0 : std::max<std::int64_t>(1, item.job.text.inputTokens - cachedTokens(item.job.text));
    item.context = item.job.text.inputTokens;
    if (!isImported)
        reportPrefilledParts(item.job.text);
    if (isImported) {
        item.decodesFrom = now + fromSeconds(m_profile.importMilliseconds * millisecond);
        addToCache(item.job.text);
    }
    m_running.push_back(std::move(item));
    return &m_running.back();
}

void engine_model::startStep(instant now)
{
    m_stepTokens = m_stepPairs = 0;
    double budget = m_alsoDecodes ? m_profile.chunkTokens / decodingChunkDivisor : m_profile.chunkTokens;
    for (auto& item : m_running) {
        if (item.tokensToPrefill > 0 && budget > 0)
            budget = prefill(item, budget);
    }
    while (budget > 0) {
        held_job* item = admit(now);
        if (!item)
            break;
        if (item->tokensToPrefill > 0)
            budget = prefill(*item, budget);
    }
    double context = 0;
    int decoding = 0;
    for (const auto& item : m_running) {
        if (!item.decodesFrom || *item.decodesFrom > now)
            continue;
        ++decoding;
        context += static_cast<double>(item.context);
    }
    if (decoding == 0 && m_stepTokens == 0)
        return; // idle
    const double pace = m_profile.tokensPerMillisecond * (m_alsoDecodes ? decodingPaceFactor : 1);
    double length = m_profile.stepMilliseconds + m_profile.contextMilliseconds * context / tokensPerContextUnit;
    length += m_profile.slotMilliseconds * decoding + m_stepTokens / pace
        + m_profile.millionPairsMilliseconds * m_stepPairs / pairsPerUnit;
    m_stepEnd = now + fromSeconds(length * m_profile.slowness * millisecond);
}

void engine_model::endStep(instant now)
{
    const instant stepEnd = *m_stepEnd;
    m_stepEnd.reset();
    std::vector<std::uint64_t> ended;
    // The handlers may submit further jobs, which invalidates references to rows.
    std::vector<std::uint64_t> events;
    for (auto& item : m_running) {
        if (item.decodesFrom) {
            if (*item.decodesFrom < stepEnd)
                decodeToken(item);
            if (*item.decodesFrom < stepEnd
                && item.decodedTokens % m_profile.tokensPerEvent == 1 % m_profile.tokensPerEvent)
                events.push_back(item.job.key); // the first token is an event by itself
            if (item.decodedTokens >= item.job.outputTokens)
                ended.push_back(item.job.key);
        } else if (item.tokensToPrefill == 0) {
            finishPrefill(item, now);
            if (item.job.stage == attempt_stage::prefill)
                ended.push_back(item.job.key);
        }
    }
    std::vector<std::uint64_t> answered;
    for (const auto& item : m_running) {
        if (item.decodesFrom && std::find(ended.begin(), ended.end(), item.job.key) != ended.end())
            answered.push_back(item.job.key);
    }
    std::erase_if(m_running,
        [&](const held_job& item) { return std::find(ended.begin(), ended.end(), item.job.key) != ended.end(); });
    for (const auto key : events)
        m_events.onEvent(key);
    for (const auto key : answered)
        m_events.onEnd(key);
}

void engine_model::decodeToken(held_job& item)
{
    ++item.decodedTokens;
    ++item.context;
}

void engine_model::finishPrefill(held_job& item, instant now)
{
    addToCache(item.job.text);
    const auto settle = fromSeconds(m_profile.prefillOverheadMilliseconds * millisecond);
    if (item.job.stage == attempt_stage::prefill) {
        m_finishingPrefills.push_back({ item.job.key, now + settle });
        return;
    }
    const auto firstEvent = fromSeconds(m_profile.stepMilliseconds * millisecond);
    item.decodesFrom = now + std::max(settle - firstEvent, duration::zero());
}

void engine_model::addToCache(const prompt& text)
{
    for (const auto& part : text.parts) {
        if (part.tokens < minPartTokens)
            continue;
        const auto found = m_parts.find(part.id);
        if (found != m_parts.end()) {
            m_order.splice(m_order.end(), m_order, found->second.place);
            continue;
        }
        m_parts[part.id] = { part.tokens, m_order.insert(m_order.end(), part.id) };
        m_partTokens += part.tokens;
        m_events.onCacheEvent(part);
    }
    evictParts();
}

void engine_model::evictParts()
{
    std::int64_t inUse = 0;
    for (const auto& item : m_running)
        inUse += item.decodedTokens; // the prompts themselves are among the parts
    while (m_partTokens + inUse > m_profile.memoryTokens && !m_order.empty()) {
        const auto oldest = m_order.front();
        m_order.pop_front();
        m_partTokens -= m_parts[oldest].tokens;
        m_parts.erase(oldest);
        m_events.onCacheEvent({ oldest, 0 });
    }
}

}
