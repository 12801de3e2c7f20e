// Passes declarations of targets to the dispatcher, and logs and counts them.
#include "target_notices.h"

namespace tamarack {

namespace {

    /// The number of headers that are logged; a service may add any number of its own.
    constexpr std::size_t maxUnknownHeaders = 32;

}

target_notices::target_notices(
    const target_protocol& protocol, serving::dispatcher& decisions, metrics& counters, const logger& log)
    : m_protocol(protocol)
    , m_decisions(decisions)
    , m_counters(counters)
    , m_log(log)
{
}

// A misdirected call counts against the instance that was called as well: either it has answered itself, for a stage
// that is not its own, or another instance has taken its address.
void target_notices::received(const std::string& instance, const target_answer& answer, const answered_call& call)
{
    m_counters.count("tamarack_target_answers_total", { { "call", std::string(call.kind) } });
    logUnknownHeaders(instance, answer, call);
    applyLimit(instance, answer, call);
    const auto& fleet = m_decisions.fleet();
    const target_id row = fleet.find(instance);
    if (answer.rest && row.isValid())
        m_decisions.targetAskedForRest(row, *answer.rest, boot_clock::now());
    if (!answer.isLeaving || !m_decisions.targetLeaves(instance))
        return;
    const bool isListed = row.isValid() && fleet.isListed[row.value];
    m_counters.count("tamarack_targets_leaving_total", { { "call", std::string(call.kind) } });
    m_log.write(log_event::target_leaves,
        { { "target", instance }, { "call", call.kind }, { "status", answer.status }, { "listed", isListed },
            { "draining", isListed && fleet.isDraining[row.value] } });
}

// Another instance at the address does not speak for this one.
void target_notices::applyLimit(const std::string& instance, const target_answer& answer, const answered_call& call)
{
    const target_id row = m_decisions.fleet().find(instance);
    if (!row.isValid() || answer.isMisdirected)
        return;
    if (answer.isLimitMalformed)
        return m_log.write(log_event::target_limit_malformed,
            { { "target", instance }, { "call", call.kind }, { "status", answer.status } });
    if (answer.limit || call.isAttempt)
        m_decisions.limits().answered(row, answer.limit, call.sentAt, boot_clock::now());
}

void target_notices::logUnknownHeaders(
    const std::string& instance, const target_answer& answer, const answered_call& call)
{
    for (const auto& header : answer.unknownHeaders) {
        if (m_unknownHeaders.size() >= maxUnknownHeaders || !m_unknownHeaders.insert(header).second)
            continue;
        m_counters.count("tamarack_target_headers_unknown_total");
        m_log.write(
            log_event::target_header_unknown, { { "target", instance }, { "call", call.kind }, { "header", header } });
    }
}

void target_notices::received(const std::string& instance, const http_response& response, const answered_call& call)
{
    received(instance, m_protocol.decode({ response.status, response.headers }), call);
}

bool target_notices::isResting(const std::string& instance, instant now) const
{
    const auto row = m_decisions.fleet().find(instance);
    return row.isValid() && m_decisions.fleet().isResting(row, now);
}

bool target_notices::isLimited(const std::string& instance) const
{
    const auto row = m_decisions.fleet().find(instance);
    return row.isValid() && m_decisions.fleet().isLimited[row.value];
}

}
