// Calls to targets that are no attempts: polls, reports, orders and releases. They heed the target's rest as attempts
// do.
#pragma once

#include "gateway/target_protocol.h"

#include "serving/dispatcher.h"

#include <string>

namespace tamarack {

/// Whether the instance wants no call from this node now. An instance that is not known does not rest.
bool isResting(const serving::dispatcher& decisions, const std::string& instance, instant now);

/// Notes the rest that the instance asks for in its answer to a call; null: the call got no answer.
void noteRest(serving::dispatcher& decisions, const target_protocol& protocol, const std::string& instance,
    const http_response* response);

}
