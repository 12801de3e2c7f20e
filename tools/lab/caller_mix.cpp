// Implements the caller mix: draws requests, sends them on a timer and records the results.
#include "caller_mix.h"

#include <algorithm>
#include <cmath>

namespace tamarack::lab {

namespace {

    using harness::call_end;
    using harness::call_kind;

    std::vector<endpoint> addresses(const harness::deployment_run& run)
    {
        std::vector<endpoint> list;
        for (const auto& vm : run.vms())
            list.push_back(run.callerAddress(vm));
        return list;
    }

}

double latency_list::quantile(double q)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(q * static_cast<double>(values.size())))];
}

caller_mix::caller_mix(harness::deployment_run& run, mix_settings settings)
    : m_run(run)
    , m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_caller(addresses(run), m_settings.seed)
{
    QObject::connect(&m_timer, &QTimer::timeout, [this] { sendNext(); });
}

void caller_mix::start()
{
    m_startedAt = boot_clock::now();
    m_timer.start(static_cast<int>(1000 / m_settings.requestsPerSecond));
}

harness::call_spec caller_mix::nextCall()
{
    harness::call_spec spec;
    const double draw = m_random.unit();
    const auto number = std::to_string(m_random.next());
    if (draw < 0.15) {
        spec.kind = call_kind::plain;
        spec.model = m_settings.service;
        spec.path = "/valves";
        spec.prompt = "{\"street\":" + number + "}";
        spec.requestClass = m_settings.urgentClass;
        spec.patience = 10;
        return spec;
    }
    if (draw < 0.35) {
        spec.kind = call_kind::non_idempotent;
        spec.model = m_settings.service;
        spec.path = m_settings.keyedPath;
        spec.prompt = "{\"report\":" + number + "}";
        spec.key = "key-" + number;
        return spec;
    }
    spec.kind = call_kind::completion;
    spec.model = m_settings.model;
    const bool isUrgent = m_random.unit() < 0.2;
    const double elapsedSeconds = seconds(boot_clock::now() - m_startedAt);
    const double longPromptShare = 0.5 + 0.5 * std::sin(2 * 3.14159265 * elapsedSeconds / m_settings.periodSeconds);
    const double promptTokens = isUrgent ? 100 : 500 + longPromptShare * 7000 * m_random.unit();
    spec.maxTokens = isUrgent ? 16 : static_cast<int>(20 + (1 - longPromptShare) * 200 * m_random.unit());
    spec.prompt = "history " + std::to_string(m_random.below(20)) + " ";
    while (spec.prompt.size() < 2000)
        spec.prompt += spec.prompt;
    spec.prompt.resize(static_cast<std::size_t>(std::min(promptTokens, 500.0) * 4));
    spec.prompt += number;
    spec.prompt.resize(static_cast<std::size_t>(promptTokens * 4), 'x');
    if (isUrgent)
        spec.requestClass = m_settings.urgentClass;
    return spec;
}

void caller_mix::sendNext()
{
    if (seconds(boot_clock::now() - m_startedAt) >= m_settings.seconds)
        return m_timer.stop();
    const auto spec = nextCall();
    ++m_result.sent;
    m_caller.send(spec, [this, spec](const harness::call_result& result) { recordResult(spec, result); });
}

void caller_mix::recordResult(const harness::call_spec& spec, const harness::call_result& result)
{
    ++m_result.ends[static_cast<std::size_t>(result.end)];
    m_result.retries += std::max(0, result.tries - 1);
    m_result.resumes += result.resumes;
    const bool isWhole = result.end == call_end::whole;
    m_result.goodput += isWhole && result.totalSeconds <= spec.patience;
    m_result.completedKeyed += isWhole && spec.kind == call_kind::non_idempotent;
    if (!isWhole) {
        ++m_result.failureDetails[result.detail];
        return;
    }
    (spec.requestClass.empty() ? m_result.others : m_result.urgent).values.push_back(result.totalSeconds);
    if (spec.kind == call_kind::completion)
        m_result.firstEvent.values.push_back(result.firstSeconds);
}

bool caller_mix::isDone() const { return !m_timer.isActive() && m_caller.pending() == 0; }

mix_result caller_mix::finish()
{
    std::map<std::string, int> executions;
    for (const auto& target : m_run.targetsOf(m_settings.service)) {
        const auto response = harness::callJson(m_run.targetAddress(target), "GET", "/runs");
        if (!response.is_object())
            continue;
        for (const auto& [key, count] : response.items())
            executions[key] += count.get<int>();
    }
    for (const auto& [key, count] : executions)
        m_result.duplicatedKeys += count > 1;
    return m_result;
}

}
