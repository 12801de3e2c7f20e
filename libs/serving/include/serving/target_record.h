// What a target says of itself in the list of targets.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>

namespace tamarack::serving {

enum class target_role : unsigned char {
    plain, ///< a service without stages
    prefill, ///< reads prompts
    decode, ///< writes answers, and reads prompts at a slower pace
    mixed
};

struct target_record {
    std::string instance; ///< one life of one target
    std::string service;
    std::string address; ///< `ip:port`
    std::string availabilityZone;
    int slots = 1; ///< requests it runs at a time
    bool isDraining = false; ///< it takes no new work any more
    duration coldTime = duration::zero(); ///< for which it is still slow after its start
    target_role role = target_role::plain;
    std::uint64_t sequence = 0; ///< rises with each record of the instance

    bool operator==(const target_record&) const = default;
};

}
