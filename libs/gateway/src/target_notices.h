// Applies what targets declare about themselves in their answers, whichever call they answer.
#pragma once

#include "gateway/target_protocol.h"

#include "observe/logger.h"
#include "observe/metrics.h"
#include "serving/dispatcher.h"

#include <set>

namespace tamarack {

/// The call of this node that a target answers.
struct answered_call {
    std::string_view kind; ///< for the log
    instant sentAt;
    /// Whether it is a request of a caller. Targets that name a limit may leave it out in answers to other calls.
    bool isAttempt = false;
};

class target_notices {
public:
    target_notices(
        const target_protocol& protocol, serving::dispatcher& decisions, metrics& counters, const logger& log);

    /// An answer of the instance has arrived.
    void received(const std::string& instance, const target_answer& answer, const answered_call& call);
    void received(const std::string& instance, const http_response& response, const answered_call& call);
    /// Whether the instance has asked this node for a rest that has not ended. An unknown instance does not rest.
    bool isResting(const std::string& instance, instant now) const;
    /// Whether the instance has a limit, so that it gets no calls that can be left out.
    bool isLimited(const std::string& instance) const;

private:
    void applyLimit(const std::string& instance, const target_answer& answer, const answered_call& call);
    /// Headers that the protocol does not define may be declarations that the node ignores.
    void logUnknownHeaders(const std::string& instance, const target_answer& answer, const answered_call& call);

    const target_protocol& m_protocol;
    serving::dispatcher& m_decisions;
    metrics& m_counters;
    const logger& m_log;
    std::set<std::string> m_unknownHeaders; // each is logged once
};

}
