// Interface between the gateway and the platform's wire protocol for calls that one node makes for the fleet.
#pragma once

#include "duties/duty_statement.h"
#include "http/http_message.h"

#include <string_view>

namespace tamarack {

/// Who calls, and the number by which the platform may recognize calls of an earlier holder.
struct duty_authority {
    std::string_view holder; ///< VM
    std::int64_t fencingNumber = 0;
};

enum class duty_answer : unsigned char {
    accepted,
    unavailable, ///< no instances of this kind are to be had now
    refused ///< without effect
};

class duty_protocol {
public:
    virtual ~duty_protocol() = default;
    virtual http_request reportUsage(const duty_authority& authority, const usage_statement& usage) const = 0;
    virtual http_request orderInstances(const duty_authority& authority, const instance_order& order) const = 0;
    virtual duty_answer decodeAnswer(int status) const = 0;
};

}
