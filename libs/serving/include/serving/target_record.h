// What a target says of itself in the list of targets.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarack::serving {

enum class target_role : unsigned char {
    plain, ///< a service without stages
    prefill, ///< reads prompts
    decode, ///< writes answers, and reads prompts at a slower pace
    mixed
};

/// Names one life of a target and no other. `bornAt` is 0 where targets do not tell it.
inline std::string instanceName(std::string_view name, std::uint64_t bornAt)
{
    return bornAt == 0 ? std::string(name) : std::string(name) + "/" + std::to_string(bornAt);
}

struct target_record {
    std::string name; ///< under which it is listed, and asked; it may start again under it
    /// When this life of it began, in milliseconds since 1970 by its own clock; 0: it does not say.
    std::uint64_t bornAt = 0;
    std::string service;
    std::string address; ///< `ip:port`
    std::string availabilityZone;
    int slots = 1; ///< requests it runs at a time
    bool isDraining = false; ///< it takes no new work any more
    duration coldTime = duration::zero(); ///< for which it is still slow after its start
    target_role role = target_role::plain;
    std::uint64_t sequence = 0; ///< rises with each record of one life

    /// What is believed of a target belongs to one life of it.
    std::string instance() const { return instanceName(name, bornAt); }
    bool operator==(const target_record&) const = default;
};

}
