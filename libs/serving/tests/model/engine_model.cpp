// Steps of the model engine.
#include "engine_model.h"

#include <algorithm>

namespace tamarack::serving::tests {

namespace {

    constexpr double millisecond = 1e-3;
    constexpr double bitsPerByte = 8;
    constexpr double bitsPerGigabit = 1e9;
    constexpr double tokensPerContextUnit = 1'000;
    constexpr double pairsPerUnit = 1e6;
    constexpr double writerPace = 0.5; ///< of an engine that only reads
    constexpr int writerPieces = 4; ///< as many pieces make one of an engine that only reads
    constexpr std::int64_t fewestPartTokens = 16; ///< a block of memory; smaller parts are read again without a trace

}

engine_model::engine_model(engine_sheet sheet, bool alsoWrites, engine_events events)
    : m_sheet(sheet)
    , m_alsoWrites(alsoWrites)
    , m_events(std::move(events))
{
}

std::int64_t engine_model::keptTokens(const prompt& text) const
{
    std::int64_t kept = 0;
    for (const auto& part : text.parts) {
        if (part.tokens >= fewestPartTokens && !m_parts.contains(part.id))
            break;
        if (part.tokens >= fewestPartTokens)
            kept += part.tokens;
    }
    return std::min(kept, text.inputTokens);
}

instant engine_model::transfer(std::int64_t tokens, instant now)
{
    const double bytes = static_cast<double>(tokens) * m_sheet.bytesPerToken;
    m_counts.transferredBytes += bytes;
    const double length = bytes * bitsPerByte / (m_sheet.linkGigabits * bitsPerGigabit);
    m_linkFreeAt = std::max(m_linkFreeAt, now) + fromSeconds(length);
    return m_linkFreeAt + fromSeconds(m_sheet.transferSetupMilliseconds * millisecond);
}

void engine_model::ask(const engine_job& job, std::vector<engine_model>& all, instant now)
{
    held_job item;
    item.job = job;
    item.toRead = -1;
    item.readableAt = now;
    const auto kept = keptTokens(job.text);
    if (job.cacheSource >= 0) {
        auto& source = all[static_cast<std::size_t>(job.cacheSource)];
        item.readableAt = source.transfer(job.text.inputTokens - kept, now);
    } else if (job.fetchFrom >= 0) {
        auto& source = all[static_cast<std::size_t>(job.fetchFrom)];
        const auto more = source.keptTokens(job.text) - kept;
        if (more > 0) {
            item.readableAt = source.transfer(more, now);
            keep({ { job.text.parts.begin(), job.text.parts.end() - 1 }, job.text.inputTokens, 0 });
        }
    }
    m_waiting.push_back(std::move(item));
    if (!m_stepEnd)
        beginStep(now);
}

void engine_model::cancel(std::uint64_t key)
{
    const auto hasKey = [key](const auto& item) { return item.job.key == key; };
    std::erase_if(m_waiting, hasKey);
    std::erase_if(m_running, hasKey);
    std::erase_if(m_settling, [key](const auto& item) { return item.key == key; });
}

std::vector<std::uint64_t> engine_model::beginChange()
{
    m_isChanging = true;
    std::vector<std::uint64_t> sentAway;
    for (const auto& item : m_waiting)
        sentAway.push_back(item.job.key);
    m_waiting.clear();
    return sentAway;
}

void engine_model::endChange(bool alsoWrites)
{
    m_isChanging = false;
    m_alsoWrites = alsoWrites;
}

void engine_model::crash()
{
    m_isChanging = false;
    m_waiting.clear();
    m_running.clear();
    m_settling.clear();
    m_parts.clear();
    m_order.clear();
    m_partTokens = 0;
    m_stepEnd.reset();
}

std::vector<prompt_part> engine_model::keptParts() const
{
    std::vector<prompt_part> out;
    for (const auto part : m_order)
        out.push_back({ part, m_parts.at(part).tokens });
    return out;
}

std::size_t engine_model::writing() const
{
    return static_cast<std::size_t>(std::count_if(
        m_running.begin(), m_running.end(), [](const held_job& item) { return item.writesFrom.has_value(); }));
}

std::optional<instant> engine_model::nextAt() const
{
    std::optional<instant> next = m_stepEnd;
    const auto consider = [&next](instant at) { next = next ? std::min(*next, at) : at; };
    if (!m_settling.empty())
        consider(m_settling.front().at);
    if (m_stepEnd)
        return next;
    const bool hasSlot = m_running.size() < static_cast<std::size_t>(m_sheet.slots);
    for (const auto& item : m_waiting) {
        if (hasSlot)
            consider(item.readableAt);
    }
    for (const auto& item : m_running) {
        if (item.writesFrom)
            consider(*item.writesFrom);
    }
    return next;
}

void engine_model::step(instant now)
{
    tellSettled(now);
    if (m_stepEnd && now >= *m_stepEnd)
        endStep(now);
    if (!m_stepEnd)
        beginStep(now);
}

void engine_model::tellSettled(instant now)
{
    while (!m_settling.empty() && m_settling.front().at <= now) {
        const auto key = m_settling.front().key;
        m_settling.erase(m_settling.begin());
        m_events.onPrefilled(key);
    }
}

double engine_model::read(held_job& item, double budget)
{
    const double tokens = std::min(budget, static_cast<double>(item.toRead));
    const double before = static_cast<double>(item.job.text.inputTokens - item.toRead);
    m_stepTokens += tokens;
    m_stepPairs += tokens * (before + tokens / 2);
    item.toRead -= static_cast<std::int64_t>(tokens);
    m_counts.tokensRead += static_cast<std::int64_t>(tokens);
    return budget - tokens;
}

void engine_model::tellReading(const prompt& text)
{
    bool isKept = true;
    for (const auto& part : text.parts) {
        isKept &= part.tokens < fewestPartTokens || m_parts.contains(part.id);
        if (!isKept)
            m_events.onReading(part);
    }
}

engine_model::held_job* engine_model::admit(instant now)
{
    if (m_running.size() >= static_cast<std::size_t>(m_sheet.slots))
        return nullptr;
    auto best = m_waiting.end();
    for (auto item = m_waiting.begin(); item != m_waiting.end(); ++item) {
        if (item->readableAt <= now && (best == m_waiting.end() || item->job.urgency < best->job.urgency))
            best = item;
    }
    if (best == m_waiting.end())
        return nullptr;
    held_job item = std::move(*best);
    m_waiting.erase(best);
    const bool isImported = item.job.stage == attempt_stage::decode;
    item.toRead = isImported ? 0 : std::max<std::int64_t>(1, item.job.text.inputTokens - keptTokens(item.job.text));
    item.context = item.job.text.inputTokens;
    if (!isImported)
        tellReading(item.job.text);
    if (isImported) {
        item.writesFrom = now + fromSeconds(m_sheet.importMilliseconds * millisecond);
        keep(item.job.text);
    }
    m_running.push_back(std::move(item));
    return &m_running.back();
}

void engine_model::beginStep(instant now)
{
    m_stepTokens = m_stepPairs = 0;
    double budget = m_alsoWrites ? m_sheet.pieceTokens / writerPieces : m_sheet.pieceTokens;
    for (auto& item : m_running) {
        if (item.toRead > 0 && budget > 0)
            budget = read(item, budget);
    }
    while (budget > 0) {
        held_job* item = admit(now);
        if (!item)
            break;
        if (item->toRead > 0)
            budget = read(*item, budget);
    }
    double context = 0;
    int writers = 0;
    for (const auto& item : m_running) {
        if (!item.writesFrom || *item.writesFrom > now)
            continue;
        ++writers;
        context += static_cast<double>(item.context);
    }
    if (writers == 0 && m_stepTokens == 0)
        return; // idle
    const double pace = m_sheet.tokensPerMillisecond * (m_alsoWrites ? writerPace : 1);
    double length = m_sheet.stepMilliseconds + m_sheet.contextMilliseconds * context / tokensPerContextUnit;
    length += m_sheet.slotMilliseconds * writers + m_stepTokens / pace
        + m_sheet.pairsMilliseconds * m_stepPairs / pairsPerUnit;
    m_stepEnd = now + fromSeconds(length * m_sheet.slowness * millisecond);
}

void engine_model::endStep(instant now)
{
    const instant begunAt = *m_stepEnd;
    m_stepEnd.reset();
    std::vector<std::uint64_t> ended;
    // The handlers may ask for more, which moves the rows.
    std::vector<std::uint64_t> events;
    for (auto& item : m_running) {
        if (item.writesFrom) {
            if (*item.writesFrom < begunAt)
                writeOne(item);
            if (*item.writesFrom < begunAt && item.written % m_sheet.tokensPerEvent == 1 % m_sheet.tokensPerEvent)
                events.push_back(item.job.key); // the first token makes an event by itself
            if (item.written >= item.job.outputTokens)
                ended.push_back(item.job.key);
        } else if (item.toRead == 0) {
            finishReading(item, now);
            if (item.job.stage == attempt_stage::prefill)
                ended.push_back(item.job.key);
        }
    }
    std::vector<std::uint64_t> answered;
    for (const auto& item : m_running) {
        if (item.writesFrom && std::find(ended.begin(), ended.end(), item.job.key) != ended.end())
            answered.push_back(item.job.key);
    }
    std::erase_if(m_running,
        [&](const held_job& item) { return std::find(ended.begin(), ended.end(), item.job.key) != ended.end(); });
    for (const auto key : events)
        m_events.onEvent(key);
    for (const auto key : answered)
        m_events.onEnd(key);
}

void engine_model::writeOne(held_job& item)
{
    ++item.written;
    ++item.context;
}

void engine_model::finishReading(held_job& item, instant now)
{
    keep(item.job.text);
    const auto settle = fromSeconds(m_sheet.settleMilliseconds * millisecond);
    if (item.job.stage == attempt_stage::prefill) {
        m_settling.push_back({ item.job.key, now + settle });
        return;
    }
    const auto firstEvent = fromSeconds(m_sheet.stepMilliseconds * millisecond);
    item.writesFrom = now + std::max(settle - firstEvent, duration::zero());
}

void engine_model::keep(const prompt& text)
{
    for (const auto& part : text.parts) {
        if (part.tokens < fewestPartTokens)
            continue;
        const auto found = m_parts.find(part.id);
        if (found != m_parts.end()) {
            m_order.splice(m_order.end(), m_order, found->second.place);
            continue;
        }
        m_parts[part.id] = { part.tokens, m_order.insert(m_order.end(), part.id) };
        m_partTokens += part.tokens;
        m_events.onKept(part);
    }
    makeRoom();
}

void engine_model::makeRoom()
{
    std::int64_t inUse = 0;
    for (const auto& item : m_running)
        inUse += item.written; // the prompts themselves are among the parts
    while (m_partTokens + inUse > m_sheet.memoryTokens && !m_order.empty()) {
        const auto oldest = m_order.front();
        m_order.pop_front();
        m_partTokens -= m_parts[oldest].tokens;
        m_parts.erase(oldest);
        m_events.onKept({ oldest, 0 });
    }
}

}
