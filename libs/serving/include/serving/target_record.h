// The record that a target publishes in the list of targets.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarack::serving {

enum class target_role : unsigned char {
    plain, ///< a service without prefill and decode stages
    prefill, ///< prefills prompts
    decode, ///< decodes, and prefills prompts more slowly
    mixed
};

/// Name of one incarnation of a target. `bornAt` is 0 for targets that do not report it.
inline std::string instanceName(std::string_view name, std::uint64_t bornAt)
{
    return bornAt == 0 ? std::string(name) : std::string(name) + "/" + std::to_string(bornAt);
}

struct target_record {
    std::string name; ///< name under which the target is listed and called; a restarted target may keep it
    /// Start of this incarnation in milliseconds since 1970 by its own clock. 0 if not reported.
    std::uint64_t bornAt = 0;
    std::string service;
    std::string address; ///< `ip:port`
    std::string availabilityZone;
    /// Version of the target's software, not of its weights. One incarnation has one build; empty if not reported.
    std::string build;
    int slots = 1; ///< requests it executes concurrently
    bool isDraining = false; ///< it accepts no new work
    duration coldTime = duration::zero(); ///< time for which it is still slow after its start
    target_role role = target_role::plain;
    std::uint64_t sequence = 0; ///< increases with each record of one incarnation

    /// Identifies the incarnation. State kept about a target belongs to one incarnation.
    std::string instance() const { return instanceName(name, bornAt); }
    bool operator==(const target_record&) const = default;
};

}
