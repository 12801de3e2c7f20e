// Applies what targets declare about themselves in their answers, whichever call they answer.
#pragma once

#include "gateway/target_protocol.h"

#include "observe/logger.h"
#include "observe/metrics.h"
#include "serving/dispatcher.h"

#include <map>
#include <set>

namespace tamarack {

class target_notices {
public:
    target_notices(
        const target_protocol& protocol, serving::dispatcher& decisions, metrics& counters, const logger& log);

    /// An answer of the instance has arrived. `call` names the kind of call that it answers, for the log.
    void received(const std::string& instance, const target_answer& answer, std::string_view call);
    void received(const std::string& instance, const http_response& response, std::string_view call);
    /// Whether the instance has asked this node for a rest that has not ended. An unknown instance does not rest.
    bool isResting(const std::string& instance, instant now) const;

private:
    void logLimit(const std::string& instance, const target_answer& answer, std::string_view call);
    /// Headers that the protocol does not define may be declarations that the node ignores.
    void logUnknownHeaders(const std::string& instance, const target_answer& answer, std::string_view call);

    const target_protocol& m_protocol;
    serving::dispatcher& m_decisions;
    metrics& m_counters;
    const logger& m_log;
    std::map<std::string, request_rate> m_limits; // by instance, as last named
    std::set<std::string> m_unknownHeaders; // each is logged once
};

}
