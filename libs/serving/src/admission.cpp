// Implements the prediction of waits and the schedule of returning requests.
#include "serving/admission.h"

#include <algorithm>
#include <cmath>

namespace tamarack::serving {

namespace {

    using namespace std::chrono_literals;

    /// Decisions are made many times a second. After a longer step the process was suspended or got no processor, and
    /// nothing could be started meanwhile.
    constexpr duration maxStep = 200ms;
    /// A rate is known after as much waiting and as many starts. Short prompts are held for 125 ms, plain calls for 75
    /// to 150 ms, so an overload of 3 s is known in its first tenth.
    constexpr duration minWaited = 250ms;
    constexpr int minStarts = 3;
    /// Callers heed a delay of up to this share of their remaining time.
    constexpr int usefulDelayDivisor = 3;
    /// Waits of up to this share of the longest useful delay are told as predicted. Longer ones are compressed into the
    /// rest.
    constexpr double plainShare = 0.25;
    /// Waits of up to this multiple of the longest useful delay keep their order and their spread: 27 s for callers
    /// with 4 s left, after which 530 requests are started at a slow node's 20 a second.
    constexpr double longestWaitInLimits = 20;
    /// Solves b * ln(1 + 19.75 / b) = 0.75, so that the compressed part begins with the slope of the plain one and ends
    /// at the longest useful delay.
    constexpr double bendShare = 0.1543;
    /// An earlier return finds the same targets full.
    constexpr duration minReturnDelay = 50ms;
    /// Between two requests of a priority that return in order.
    constexpr duration minReturnGap = 1ms;
    /// At 300 refusals a second and the longest useful delay of the users' callers (2.7 s), 800 requests are to return.
    constexpr std::size_t maxReturns = 4096;

    /// Maps a predicted wait to a delay of at most `limit`, strictly increasing up to the longest wait. A logarithm
    /// keeps the spread whatever the number of requests: twice the wait adds about a tenth of the limit, so fewer than
    /// half of those that are refused together return within any tenth of it.
    double compressed(double wait, double limit)
    {
        const double plain = plainShare * limit;
        if (wait <= plain || limit <= 0)
            return std::clamp(wait, 0.0, std::max(0.0, plain));
        const double bend = bendShare * limit;
        return plain + bend * std::log1p((std::min(wait, longestWaitInLimits * limit) - plain) / bend);
    }

}

start_window::bucket& start_window::bucketAt(duration at)
{
    const auto index = static_cast<std::int64_t>(at / bucketLength);
    auto& out = m_buckets[static_cast<std::size_t>(index) % bucketCount];
    if (out.index != index)
        out = { index, 0, duration::zero() };
    return out;
}

bool start_window::isInWindow(const bucket& item, duration at) const
{
    return item.index >= 0 && item.index > static_cast<std::int64_t>(at / bucketLength - bucketCount);
}

int start_window::starts(duration at) const
{
    int out = 0;
    for (const auto& item : m_buckets)
        out += isInWindow(item, at) ? item.starts : 0;
    return out;
}

duration start_window::waited(duration at) const
{
    duration out = duration::zero();
    for (const auto& item : m_buckets)
        out += isInWindow(item, at) ? item.waited : duration::zero();
    return out;
}

duration admission::activeTime(instant now) const
{
    if (m_lastAt == instant())
        return m_activeTime;
    return m_activeTime + std::clamp<duration>(now - m_lastAt, duration::zero(), maxStep);
}

void admission::advance(instant now)
{
    const duration step = activeTime(now) - m_activeTime;
    m_activeTime += step;
    m_lastAt = std::max(m_lastAt, now);
    for (auto& [name, service] : m_services) {
        bool doesAnyWait = false;
        for (auto& [priority, item] : service.classes) {
            if (item.waiting == 0)
                continue;
            doesAnyWait = true;
            item.window.addWaiting(m_activeTime, step);
        }
        if (doesAnyWait)
            service.window.addWaiting(m_activeTime, step);
    }
}

void admission::beginRound(instant now)
{
    advance(now);
    m_isInRound = true;
    for (auto& [name, service] : m_services) {
        for (auto& [priority, item] : service.classes)
            item.waitingInRound = 0;
    }
}

void admission::endRound()
{
    m_isInRound = false;
    for (auto& [name, service] : m_services) {
        for (auto& [priority, item] : service.classes)
            item.waiting = item.waitingInRound;
    }
}

void admission::waits(const std::string& service, int priority, instant now)
{
    advance(now);
    auto& item = m_services[service].classes[priority];
    ++(m_isInRound ? item.waitingInRound : item.waiting);
}

void admission::started(const std::string& service, int priority, instant now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return;
    advance(now);
    auto& classes = found->second.classes;
    if (std::any_of(classes.begin(), classes.end(), [](const auto& item) { return item.second.waiting > 0; }))
        found->second.window.addStart(m_activeTime);
    if (const auto own = classes.find(priority); own != classes.end() && own->second.waiting > 0)
        own->second.window.addStart(m_activeTime);
}

double admission::perSecond(const start_window& window, duration at)
{
    return window.starts(at) / seconds(window.waited(at));
}

double admission::rateOf(const service_state& service, duration at) const
{
    if (service.window.waited(at) < minWaited || service.window.starts(at) < minStarts)
        return 0;
    return perSecond(service.window, at);
}

// What a less urgent class gets, a more urgent one would get instead, so its rate is at least that high. A class that
// has waited without a start has a rate of at most one start for that time.
double admission::rateOf(const service_state& service, int priority, duration at) const
{
    double out = 0;
    for (auto item = service.classes.lower_bound(priority); item != service.classes.end(); ++item) {
        const auto& window = item->second.window;
        const auto waited = window.waited(at);
        if (waited < minWaited)
            continue;
        out = std::max(out, std::max(1, window.starts(at)) / seconds(waited));
    }
    return out;
}

std::optional<duration> admission::predictedWait(
    const std::string& service, int priority, const queue_position& position, instant now) const
{
    const auto found = m_services.find(service);
    const auto at = activeTime(now);
    const double all = found == m_services.end() ? 0 : rateOf(found->second, at);
    if (all <= 0)
        return std::nullopt;
    double wait = static_cast<double>(position.ahead + 1) / all;
    // More urgent requests that arrive meanwhile go first. The rate of the priority itself shows how many do.
    if (const double own = rateOf(found->second, priority, at); own > 0)
        wait = std::max(wait, static_cast<double>(position.aheadOfPriority + 1) / own);
    return fromSeconds(wait);
}

std::optional<duration> admission::returnDelay(
    const std::string& service, int priority, const queue_position& position, duration remaining, instant now)
{
    if (!predictedWait(service, priority, position, now))
        return std::nullopt;
    auto& item = m_services[service].classes[priority];
    item.returns.erase(item.returns.begin(), item.returns.upper_bound(now));
    const auto expected = item.returns.size();
    const auto wait
        = predictedWait(service, priority, { position.ahead + expected, position.aheadOfPriority + expected }, now);
    const duration limit = remaining / usefulDelayDivisor;
    instant at = now + fromSeconds(compressed(seconds(*wait), seconds(limit)));
    // A caller that gives up sooner than those refused before it returns before them.
    if (const auto inOrder = item.lastReturn + minReturnGap; inOrder <= now + limit)
        at = std::max(at, inOrder);
    at = std::max(at, now + minReturnDelay);
    item.lastReturn = std::max(item.lastReturn, at);
    if (item.returns.size() < maxReturns)
        item.returns.insert(at);
    return at - now;
}

bool admission::lessUrgentWaits(const std::string& service, int priority) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return false;
    const auto& classes = found->second.classes;
    return std::any_of(classes.upper_bound(priority), classes.end(), [this](const auto& entry) {
        const auto& item = entry.second;
        const bool isToReturn = !item.returns.empty() && *item.returns.rbegin() > m_lastAt;
        return item.waiting > 0 || isToReturn || item.window.waited(m_activeTime) > duration::zero();
    });
}

duration admission::predictedWait(const std::string& service, instant now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return duration::zero();
    queue_position position;
    std::optional<duration> out;
    for (const auto& [priority, item] : found->second.classes) {
        position.ahead += item.waiting;
        position.aheadOfPriority = item.waiting;
        if (item.waiting > 0)
            out = predictedWait(service, priority, position, now);
    }
    return out.value_or(duration::zero());
}

}
