// Implements the part that all calls to targets have in common.
#include "target_call.h"

namespace tamarack {

bool isResting(const serving::dispatcher& decisions, const std::string& instance, instant now)
{
    const auto row = decisions.fleet().find(instance);
    return row.isValid() && decisions.fleet().isResting(row, now);
}

void noteRest(serving::dispatcher& decisions, const target_protocol& protocol, const std::string& instance,
    const http_response* response)
{
    const auto row = decisions.fleet().find(instance);
    if (!response || !row.isValid())
        return;
    if (const auto rest = protocol.decode({ response->status, response->headers }).rest)
        decisions.targetAskedForRest(row, *rest, boot_clock::now());
}

}
