// The ids used across the system.
#pragma once

#include "base/strong_id.h"

#include <string>

namespace tamarack {

/// Row of a target in the target table of one node. Not meaningful on another node.
using target_id = strong_id<struct target_tag>;
/// Row of a service in the configuration in force.
using service_id = strong_id<struct service_tag>;
/// A request held by this node, unique within the life of the process.
using request_id = strong_id<struct request_tag, std::uint64_t>;
/// One try of a request at one target, unique within the life of the process.
using attempt_id = strong_id<struct attempt_tag, std::uint64_t>;
/// Place of a record in the platform's log.
using log_offset = strong_id<struct offset_tag, std::int64_t>;

/// One life of one process: the node's name and a number that rises with every start.
struct instance_id {
    std::string node;
    std::uint64_t incarnation = 0;

    auto operator<=>(const instance_id&) const = default;
    bool isValid() const { return !node.empty(); }
};

/// `name@incarnation`, as callers and log records carry it.
std::string toString(const instance_id&);
/// The inverse of toString(); an invalid id if the text is not one.
instance_id parseInstance(const std::string&);

}

template <> struct std::hash<tamarack::instance_id> {
    std::size_t operator()(const tamarack::instance_id& id) const noexcept
    {
        return std::hash<std::string>()(id.node) ^ (id.incarnation * 0x9e3779b97f4a7c15ULL);
    }
};
